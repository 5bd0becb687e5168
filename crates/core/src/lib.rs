//! Decision logic of the router fleet, without I/O.
//!
//! Most modules are state machines: they take an event and the current time
//! and return the actions that the caller has to perform. Sockets, files and
//! timers are in `medlarrill-net` and `medlarrilld`.

pub mod admission;
pub mod body_end;
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
