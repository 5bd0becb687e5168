//! Shares of account limits between entries.
//!
//! Both messages hold one column per field, in the order of `accounts`; a
//! column that is all zeros is left out.

use prost::{Enumeration, Message};

/// An entry's use of accounts since its last report, for the owner of these accounts.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Usage {
    /// Number of this message on the way to this owner, from 1.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Highest number of a grant that was taken in.
    #[prost(uint64, tag = "2")]
    pub acknowledged: u64,
    /// Hashes of the accounts.
    #[prost(fixed64, repeated, tag = "3")]
    pub accounts: Vec<u64>,
    /// Requests in flight.
    #[prost(uint32, repeated, tag = "4")]
    pub in_flight: Vec<u32>,
    /// Requests offered, in hundredths a second.
    #[prost(uint32, repeated, tag = "5")]
    pub rates: Vec<u32>,
    /// Concurrency that the entry holds.
    #[prost(uint32, repeated, tag = "6")]
    pub shares: Vec<u32>,
    /// Requests held until the next grant.
    #[prost(uint32, repeated, tag = "7")]
    pub waiting: Vec<u32>,
    /// Requests admitted without asking that the reported ones stand for.
    #[prost(uint32, repeated, tag = "8")]
    pub samples: Vec<u32>,
}

/// What an entry may use of accounts from now on.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Grant {
    /// Number of this message on the way to this entry, from 1.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Highest number of a usage that was taken in.
    #[prost(uint64, tag = "2")]
    pub acknowledged: u64,
    /// How long it holds, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub expiry: u32,
    /// Hashes of the accounts.
    #[prost(fixed64, repeated, tag = "4")]
    pub accounts: Vec<u64>,
    /// Concurrency.
    #[prost(uint32, repeated, tag = "5")]
    pub shares: Vec<u32>,
    /// Rates, in hundredths a second.
    #[prost(uint32, repeated, tag = "6")]
    pub rates: Vec<u32>,
    /// Requests that may go at once, beside the rate.
    #[prost(uint32, repeated, tag = "7")]
    pub tokens: Vec<u32>,
    /// For how long there is no more to be had, in milliseconds.
    #[prost(uint32, repeated, tag = "8")]
    pub exhausted: Vec<u32>,
    /// How closely each account is watched, as [`Watch`].
    #[prost(enumeration = "Watch", repeated, tag = "9")]
    pub watch: Vec<i32>,
}

/// How closely an entry's use of an account is watched.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
#[derive(Enumeration)]
#[repr(i32)]
pub enum Watch {
    /// Changes are reported every second.
    Normal = 0,
    /// The end of every request is reported at once, as others may wait for it.
    Immediate = 1,
    /// Little is used: the grant holds for long, and some requests are reported as samples.
    Sampled = 2,
}
