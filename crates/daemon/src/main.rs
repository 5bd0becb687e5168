//! Thin main of the daemon.
fn main() {}
