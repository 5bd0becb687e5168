//! A small fleet for tests and demos: the stand-ins in this process, daemons
//! as processes of their own, and callers.
//!
//! Which program is the daemon is the caller's to say, so that this package
//! depends on none.

mod caller;
mod configuration;
mod daemon;
mod layout;
mod relay;

pub use caller::{CallError, Caller, ChatAnswer, Problem};
pub use configuration::publish;
pub use daemon::{Daemon, DaemonError, Program, Started};
pub use layout::{FLEET_KEY, Fleet, FleetError, Layout, OPERATOR_KEY, metric};
pub use relay::Relay;
