//! Objects of a chain, coded by `prost`, and their names.
//!
//! Every object names its writer and a nonce, by which a writer whose answer
//! was lost finds out whether the object is its own. It also names the latest
//! checkpoint, from which a reader has to start.

use bytes::Bytes;
use derive_more::{Debug, Display, Error};
use prost::{Message, Oneof};

use crate::ids::Incarnation;

/// Result of reading an object.
pub type Result<T> = std::result::Result<T, RecordError>;

/// An object that can't be read.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
pub enum RecordError {
    /// The bytes aren't a record.
    #[display("the object is no record: {_0}")]
    Coding(#[error(not(source))] String),
    /// A record of a kind that this version doesn't know.
    #[display("the record is of an unknown kind")]
    Kind,
    /// A field has a wrong form.
    #[display("the record's field `{_0}` has a wrong form")]
    Field(#[error(not(source))] &'static str),
}

/// One object of a chain.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Record {
    /// The process that wrote it.
    #[prost(fixed64, tag = "1")]
    pub writer: u64,
    /// Random number of the write.
    #[prost(fixed64, tag = "2")]
    pub nonce: u64,
    /// Number of the latest checkpoint, itself included; zero if there is none.
    #[prost(uint64, tag = "3")]
    pub base: u64,
    /// What it says.
    #[prost(oneof = "Body", tags = "4, 5, 6, 7")]
    pub body: Option<Body>,
}

/// Kinds of records.
#[derive(Clone, PartialEq)]
#[derive(Oneof)]
pub enum Body {
    /// The writer takes over.
    #[prost(message, tag = "4")]
    Open(Open),
    /// Claims.
    #[prost(message, tag = "5")]
    Batch(Batch),
    /// Repeats live claims, so that earlier objects can go.
    #[prost(message, tag = "6")]
    Checkpoint(Checkpoint),
    /// The writer will write no more.
    #[prost(message, tag = "7")]
    Close(Close),
}

/// Takes over a chain.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Open {
    /// The daemon that takes over.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Whether the former owner may still try to write this number: the object is never deleted.
    #[prost(bool, tag = "2")]
    pub fence: bool,
}

/// Ends a tenure.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Close {}

/// Claims that are made and given up; the given up ones come first.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Batch {
    /// Claims of earlier objects that nobody runs.
    #[prost(message, repeated, tag = "1")]
    pub voids: Vec<Void>,
    /// New claims.
    #[prost(message, repeated, tag = "2")]
    pub claims: Vec<ClaimEntry>,
    /// Processes named by the claims.
    #[prost(message, repeated, tag = "3")]
    pub holders: Vec<Holder>,
}

/// Live claims of earlier objects.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Checkpoint {
    /// Earlier checkpoints that still have to be read, in ascending order.
    #[prost(uint64, repeated, tag = "1")]
    pub keep: Vec<u64>,
    /// Claims in kept checkpoints that no longer hold their keys.
    #[prost(message, repeated, tag = "2")]
    pub voids: Vec<Void>,
    /// Live claims of all earlier objects that aren't kept.
    #[prost(message, repeated, tag = "3")]
    pub claims: Vec<ClaimEntry>,
    /// Processes named by the claims.
    #[prost(message, repeated, tag = "4")]
    pub holders: Vec<Holder>,
    /// Objects that this and earlier checkpoints allow to delete and that may still be there.
    #[prost(message, repeated, tag = "5")]
    pub obsolete: Vec<Span>,
}

/// One claim.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct ClaimEntry {
    /// Hash of institution and key, 32 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// Digest of the request, 32 bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub digest: Bytes,
    /// Index of the claimant among the record's holders.
    #[prost(uint32, tag = "3")]
    pub holder: u32,
    /// The claimant's number for the claim.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// The caller's request, 16 bytes.
    #[prost(bytes = "bytes", tag = "5")]
    pub request: Bytes,
    /// When the key is forgotten, in milliseconds of wall time.
    #[prost(uint64, tag = "6")]
    pub expiry: u64,
}

/// A claim that nobody runs.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Void {
    /// Hash of institution and key, 32 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// The claimant.
    #[prost(fixed64, tag = "2")]
    pub claimant: u64,
    /// The claimant's number for the claim.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// A process that holds claims.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Holder {
    /// The process.
    #[prost(fixed64, tag = "1")]
    pub claimant: u64,
    /// Its daemon.
    #[prost(string, tag = "2")]
    pub daemon: String,
}

/// Object numbers from `first` to `last`, both included.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Span {
    /// First number.
    #[prost(uint64, tag = "1")]
    pub first: u64,
    /// Last number.
    #[prost(uint64, tag = "2")]
    pub last: u64,
}

impl Span {
    /// Whether the number lies in the span.
    pub const fn contains(&self, number: u64) -> bool {
        self.first <= number && number <= self.last
    }
}

impl Record {
    /// A record of the given kind.
    pub const fn new(writer: Incarnation, nonce: u64, base: u64, body: Body) -> Self {
        Self {
            writer: writer.0,
            nonce,
            base,
            body: Some(body),
        }
    }

    /// Reads an object.
    pub fn read(bytes: Bytes) -> Result<Self> {
        let record = Self::decode(bytes).map_err(|e| RecordError::Coding(e.to_string()))?;
        if record.body.is_none() {
            return Err(RecordError::Kind);
        }
        Ok(record)
    }

    /// The bytes of the object.
    pub fn to_bytes(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Whether both are the same write.
    pub const fn is_same_write(&self, other: &Self) -> bool {
        self.writer == other.writer && self.nonce == other.nonce
    }
}

/// The common start of a shard's object names.
pub fn shard_prefix(shard: u16) -> String {
    format!("claims/{shard}/")
}

/// The name of an object; names sort like their numbers.
pub fn object_key(shard: u16, number: u64) -> String {
    format!("claims/{shard}/{number:016}")
}

/// The number in an object's name; `None` if it isn't one of the shard's.
pub fn object_number(shard: u16, key: &str) -> Option<u64> {
    key.strip_prefix(&shard_prefix(shard))?.parse().ok()
}
