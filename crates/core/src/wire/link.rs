//! Opening of a link: each side names itself and proves the fleet key.

use bytes::Bytes;
use prost::Message;

/// Names the sender.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Hello {
    /// The fleet's name.
    #[prost(string, tag = "1")]
    pub fleet: String,
    /// The sending daemon.
    #[prost(string, tag = "2")]
    pub daemon: String,
    /// The sending process.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Fresh random bytes, for the other side's proof.
    #[prost(bytes = "bytes", tag = "4")]
    pub nonce: Bytes,
    /// Where the sender takes links, as IP and port.
    #[prost(string, tag = "5")]
    pub address: String,
}

/// A keyed hash over both sides' `Hello`.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Proof {
    /// The hash.
    #[prost(bytes = "bytes", tag = "1")]
    pub mac: Bytes,
}
