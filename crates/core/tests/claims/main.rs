//! The claim protocol's machines against a platform in memory.

mod bench;
mod deletion;
mod log;
mod platform;
