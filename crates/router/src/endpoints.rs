//! Connections to endpoints, and one exchange over one of them.

mod connections;
mod unread;

pub use connections::{Connections, Kept, SendError, Sent, spare};
pub use unread::UnreadHeaders;
