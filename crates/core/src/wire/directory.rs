//! Transfer of directory entries to the daemon that holds them now.

use prost::Message;

/// A batch of directory entries.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct DirectoryTransfer {
    /// Entries, one for each chat.
    #[prost(message, repeated, tag = "1")]
    pub chats: Vec<TransferredChat>,
}

/// Directory entry of one chat.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct TransferredChat {
    /// Hash of institution and chat.
    #[prost(fixed64, tag = "1")]
    pub chat: u64,
    /// Endpoints that served it, most recent first.
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
    /// Length of the cached prefix, in tokens.
    #[prost(uint64, tag = "2")]
    pub prefix: u64,
    /// Time since it served the chat, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age: u64,
}
