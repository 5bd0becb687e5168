//! The home: admits requests to endpoints and dispatches them.
//!
//! One task owns the admission of every endpoint that this daemon is home of,
//! the chat directory and the load view. Each dispatched request has a task of
//! its own, which owns the connection to the endpoint and sends the answer
//! directly to the entry.

mod dispatch;
mod gossip;
mod handle;
mod handover;
mod held;
mod message;
mod placing;
mod poll;
mod reply;
mod show;
mod slot;
mod task;
mod view;

pub use handle::Handle;
pub use message::Message;
pub use show::EndpointRow;
pub use task::Task;
