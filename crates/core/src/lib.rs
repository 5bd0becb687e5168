//! Decisions of the router fleet, without input or output.
//!
//! Each machine in this crate takes an event and the time and returns the
//! actions its caller has to carry out. Sockets, files and timers live in
//! `medlarrill-net` and `medlarrilld`.

pub mod admission;
pub mod change;
pub mod claims;
pub mod clock;
pub mod config;
pub mod endpoint_state;
pub mod freshness;
pub mod ids;
pub mod limits;
pub mod log_limiter;
pub mod membership;
pub mod operator;
pub mod outcome;
pub mod placement;
pub mod reason;
pub mod retry;
pub mod routing;
pub mod units;
pub mod wire;
