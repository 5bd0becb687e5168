//! Connections to endpoints and the paths there, and a report of response headers that nothing reads.

mod connections;
mod heard;
mod path_taken;
mod paths;
mod process;
mod resets;
mod send_error;
mod unread;

pub use connections::{ConnectionPool, LeasedConnection, Sent, idle_limit};
pub use path_taken::{PathTaken, Taken};
pub use paths::Paths;
pub use process::{Confirmation, Demand};
pub use send_error::SendError;
pub use unread::UnreadHeaders;
