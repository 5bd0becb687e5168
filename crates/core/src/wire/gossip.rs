//! Heartbeat with membership and load.

use prost::Message;

/// One heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Gossip {}
