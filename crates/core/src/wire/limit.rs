//! Shares of account limits between entries.

use prost::Message;

/// An entry's use of accounts since its last report.
#[derive(Clone, PartialEq, Message)]
pub struct Usage {}

/// What an entry may use until the next grant.
#[derive(Clone, PartialEq, Message)]
pub struct Grant {}
