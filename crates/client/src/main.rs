//! Thin main of the client.
fn main() {}
