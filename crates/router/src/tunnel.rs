//! Connections to endpoints through other daemons.
//!
//! A daemon that doesn't reach an endpoint asks another daemon to connect to it
//! and to carry bytes both ways. The daemon that took a request still does all
//! the rest: it chooses the endpoint, counts the load, retries, and reads the
//! response. Helpers don't look at the bytes, connect only directly, and only to
//! endpoints that they know to take work. A connection is used for one request.
//!
//! Bytes are carried in frames, so that a helper that is lost can't be mistaken
//! for an endpoint that has finished its response.

mod carry;
pub mod message;
mod open;
mod serve;

pub use carry::{carried, carry};
pub use message::{Opening, Target};
pub use open::{OpenError, Opened, open};
pub use serve::serve;

use medlarrill_core::clock::Millis;

/// Time that a helper takes at most to connect to an endpoint.
pub const CONNECT_TIMEOUT: Millis = Millis(300);
