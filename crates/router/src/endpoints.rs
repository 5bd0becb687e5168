//! Connections to endpoints and the ways there, and a report of response headers that nothing reads.

mod connections;
mod heard;
mod passage;
mod unread;
mod ways;

pub use connections::{ConnectionPool, LeasedConnection, SendError, Sent, idle_limit};
pub use passage::{Passage, Taken};
pub use unread::UnreadHeaders;
pub use ways::Ways;
