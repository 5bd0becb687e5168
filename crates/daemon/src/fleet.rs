//! The fleet's membership: its task, and the view of live daemons for other tasks.

mod handle;
mod task;
mod view;
mod vms;

pub use handle::{Handle, Message};
pub use task::{Outputs, Task};
pub use view::{FleetView, Peer};
pub use vms::follow_vms;
