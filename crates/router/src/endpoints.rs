//! Connections to endpoints, and a report of response headers that nothing reads.

mod connections;
mod unread;

pub use connections::{ConnectionPool, LeasedConnection, SendError, Sent, idle_limit};
pub use unread::UnreadHeaders;
