//! Connections to endpoints and the paths there, and a report of response headers that nothing reads.

mod connections;
mod heard;
mod path_taken;
mod paths;
mod process;
mod resets;
mod unread;

pub use connections::{ConnectionPool, LeasedConnection, SendError, Sent, idle_limit};
pub use path_taken::{PathTaken, Taken};
pub use paths::Paths;
pub use process::Demand;
pub use unread::UnreadHeaders;
