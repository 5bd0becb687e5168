//! Handshake of a link: each side names itself and proves knowledge of the fleet key.

use bytes::Bytes;
use prost::Message;

/// Identifies the sender.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Hello {
    /// The fleet's name.
    #[prost(string, tag = "1")]
    pub fleet: String,
    /// Name of the sending daemon.
    #[prost(string, tag = "2")]
    pub daemon: String,
    /// Incarnation of the sending process.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Random bytes, fresh for each link, for the peer's proof.
    #[prost(bytes = "bytes", tag = "4")]
    pub nonce: Bytes,
    /// Address on which the sender accepts links, as IP and port.
    #[prost(string, tag = "5")]
    pub address: String,
}

/// Proof of the fleet key: a keyed hash over both sides' `Hello`.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Proof {
    /// The hash's bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub mac: Bytes,
}
