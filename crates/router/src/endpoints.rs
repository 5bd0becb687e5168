//! Connections to endpoints, and one exchange over one of them.

mod connections;

pub use connections::{Connections, Kept, SendError, Sent, spare};
