//! The daemons held to be live: the membership task and the view of it.

mod handle;
mod task;
mod view;
mod vms;

pub use handle::{Handle, Message};
pub use task::{Outputs, Task};
pub use view::{FleetView, Peer};
pub use vms::follow_vms;
