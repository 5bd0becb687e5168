//! Distribution of account limits over entries.
//!
//! Both messages are columnar: each repeated field is a column in the order of
//! `accounts`; a column of zeros only is omitted.

use prost::{Enumeration, Message};

/// An entry's usage of accounts since its last report, sent to the owner of these accounts.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Usage {
    /// Sequence number of this entry's messages to this owner, from 1.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Highest number of a grant that was processed.
    #[prost(uint64, tag = "2")]
    pub acknowledged: u64,
    /// Hashes of the accounts.
    #[prost(fixed64, repeated, tag = "3")]
    pub accounts: Vec<u64>,
    /// Requests in flight.
    #[prost(uint32, repeated, tag = "4")]
    pub in_flight: Vec<u32>,
    /// Offered rate, in hundredths of a request per second.
    #[prost(uint32, repeated, tag = "5")]
    pub rates: Vec<u32>,
    /// Concurrency that the entry is granted.
    #[prost(uint32, repeated, tag = "6")]
    pub shares: Vec<u32>,
    /// Requests that wait for the next grant.
    #[prost(uint32, repeated, tag = "7")]
    pub waiting: Vec<u32>,
    /// Requests admitted from the local share that the sampled ones represent.
    #[prost(uint32, repeated, tag = "8")]
    pub samples: Vec<u32>,
}

/// Shares of account limits for an entry, from now on.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Grant {
    /// Sequence number of this owner's messages to this entry, from 1.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Highest number of a usage report that was processed.
    #[prost(uint64, tag = "2")]
    pub acknowledged: u64,
    /// Validity, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub expiry: u32,
    /// Hashes of the accounts.
    #[prost(fixed64, repeated, tag = "4")]
    pub accounts: Vec<u64>,
    /// Concurrency, in requests in flight.
    #[prost(uint32, repeated, tag = "5")]
    pub shares: Vec<u32>,
    /// Rates, in hundredths of a request per second.
    #[prost(uint32, repeated, tag = "6")]
    pub rates: Vec<u32>,
    /// Requests that may be admitted at once, in addition to the rate.
    #[prost(uint32, repeated, tag = "7")]
    pub tokens: Vec<u32>,
    /// For how long no larger share is available, in milliseconds.
    #[prost(uint32, repeated, tag = "8")]
    pub exhausted: Vec<u32>,
    /// How usage of each account is reported, as [`Watch`].
    #[prost(enumeration = "Watch", repeated, tag = "9")]
    pub watch: Vec<i32>,
}

/// How an entry reports its usage of an account.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
#[derive(Enumeration)]
#[repr(i32)]
pub enum Watch {
    /// Changes are reported every second.
    Normal = 0,
    /// The end of every request is reported immediately, as other entries may wait for it.
    Immediate = 1,
    /// Usage is low: the grant is valid for longer, and only a sample of requests is reported.
    Sampled = 2,
}
