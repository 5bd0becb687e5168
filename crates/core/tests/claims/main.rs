//! The claim protocol's machines against a platform in memory.

mod bench;
mod checks;
mod claimant;
mod counts;
mod deletion;
mod fleet;
mod log;
mod network;
mod oracle;
mod platform;
mod schedules;
mod shutdown;
mod sizes;
mod steps;
mod tickets;
