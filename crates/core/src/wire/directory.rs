//! Directory entries on their way to the daemon that keeps them now.

use prost::Message;

/// Some directory entries.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct DirectoryTransfer {
    /// The entries.
    #[prost(message, repeated, tag = "1")]
    pub chats: Vec<TransferredChat>,
}

/// One chat and where it was served.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct TransferredChat {
    /// Hash of institution and chat.
    #[prost(fixed64, tag = "1")]
    pub chat: u64,
    /// Its places, most recent first.
    #[prost(message, repeated, tag = "2")]
    pub places: Vec<TransferredPlace>,
}

/// An endpoint that served a chat.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct TransferredPlace {
    /// Hash of the endpoint's name, by [`name_hash`](super::name_hash).
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// Prefix that it has cached, in tokens.
    #[prost(uint64, tag = "2")]
    pub prefix: u64,
    /// Time since it served the chat, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age: u64,
}
