//! Encoding (Protocol Buffers) and names of the objects of a chain.
//!
//! Every object contains its writer and a nonce, so that a writer whose reply
//! was lost can tell whether the object is its own. It also contains the number
//! of the latest checkpoint, from which a reader has to start.

use bytes::Bytes;
use derive_more::{Debug, Display, Error};
use prost::{Message, Oneof};

use crate::ids::Incarnation;

/// Result of decoding an object.
pub type Result<T> = std::result::Result<T, RecordError>;

/// An object that can't be decoded.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
pub enum RecordError {
    /// The bytes aren't a valid message.
    #[display("the object is not a valid record: {_0}")]
    Coding(#[error(not(source))] String),
    /// The record has no kind that this version knows, or not the expected one.
    #[display("the record is of an unknown kind")]
    Kind,
    /// A field has an invalid value.
    #[display("the record's field `{_0}` is invalid")]
    Field(#[error(not(source))] &'static str),
}

/// One object of a chain.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Record {
    /// Incarnation of the process that wrote the record.
    #[prost(fixed64, tag = "1")]
    pub writer: u64,
    /// Random number that identifies the write.
    #[prost(fixed64, tag = "2")]
    pub nonce: u64,
    /// Number of the latest checkpoint, which may be this record; zero if there is none.
    #[prost(uint64, tag = "3")]
    pub base: u64,
    /// Content by kind.
    #[prost(oneof = "Body", tags = "4, 5, 6, 7")]
    pub body: Option<Body>,
}

/// Kinds of records.
#[derive(Clone, PartialEq)]
#[derive(Oneof)]
pub enum Body {
    /// The writer takes over the chain.
    #[prost(message, tag = "4")]
    Open(Open),
    /// New and cancelled claims.
    #[prost(message, tag = "5")]
    Batch(Batch),
    /// Copies live claims, so that earlier objects can be deleted.
    #[prost(message, tag = "6")]
    Checkpoint(Checkpoint),
    /// The writer ends its ownership.
    #[prost(message, tag = "7")]
    Close(Close),
}

/// Start of an ownership.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Open {
    /// The daemon that takes over.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Whether the former owner may still attempt to write this number; if so, the object is never deleted,
    /// so that the attempt fails.
    #[prost(bool, tag = "2")]
    pub fence: bool,
}

/// End of an ownership: the writer writes nothing after it.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Close {}

/// New and cancelled claims; the cancellations apply first.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Batch {
    /// Cancelled claims of earlier objects.
    #[prost(message, repeated, tag = "1")]
    pub voids: Vec<Void>,
    /// New claims.
    #[prost(message, repeated, tag = "2")]
    pub claims: Vec<ClaimEntry>,
    /// Claimants that the claims refer to by index.
    #[prost(message, repeated, tag = "3")]
    pub holders: Vec<Holder>,
}

/// Copy of the live claims of earlier objects.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Checkpoint {
    /// Earlier checkpoints that are still valid and have to be read, in ascending order.
    #[prost(uint64, repeated, tag = "1")]
    pub keep: Vec<u64>,
    /// Claims in retained checkpoints that no longer hold their keys.
    #[prost(message, repeated, tag = "2")]
    pub voids: Vec<Void>,
    /// Live claims of all earlier objects other than retained checkpoints.
    #[prost(message, repeated, tag = "3")]
    pub claims: Vec<ClaimEntry>,
    /// Claimants that the claims refer to by index.
    #[prost(message, repeated, tag = "4")]
    pub holders: Vec<Holder>,
    /// Objects that are no longer needed and may not have been deleted yet.
    #[prost(message, repeated, tag = "5")]
    pub obsolete: Vec<Span>,
}

/// A claim as encoded in a batch or checkpoint.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct ClaimEntry {
    /// Hash of institution and key, 32 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// Digest of the request, 32 bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub digest: Bytes,
    /// Index of the claimant in the record's `holders`.
    #[prost(uint32, tag = "3")]
    pub holder: u32,
    /// The claimant's number for the claim.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// Identifier of the caller's request, 16 bytes.
    #[prost(bytes = "bytes", tag = "5")]
    pub request: Bytes,
    /// When the key becomes free again, in milliseconds of wall time.
    #[prost(uint64, tag = "6")]
    pub expiry: u64,
}

/// A cancelled claim: its request is never run under it.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Void {
    /// Hash of institution and key, 32 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// Incarnation of the claimant.
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
    /// Incarnation of the process.
    #[prost(fixed64, tag = "1")]
    pub claimant: u64,
    /// Name of its daemon.
    #[prost(string, tag = "2")]
    pub daemon: String,
}

/// Inclusive range of object numbers.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct Span {
    /// First number of the range.
    #[prost(uint64, tag = "1")]
    pub first: u64,
    /// Last number of the range.
    #[prost(uint64, tag = "2")]
    pub last: u64,
}

impl Span {
    /// Whether the range contains a number.
    pub const fn contains(&self, number: u64) -> bool {
        self.first <= number && number <= self.last
    }
}

impl Record {
    /// A record with the given content; `base` is the number of the latest checkpoint.
    pub const fn new(writer: Incarnation, nonce: u64, base: u64, body: Body) -> Self {
        Self {
            writer: writer.0,
            nonce,
            base,
            body: Some(body),
        }
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// [`RecordError::Coding`] if the bytes are invalid, [`RecordError::Kind`] if the kind is unknown.
    pub fn read(bytes: Bytes) -> Result<Self> {
        let record = Self::decode(bytes).map_err(|e| RecordError::Coding(e.to_string()))?;
        if record.body.is_none() {
            return Err(RecordError::Kind);
        }
        Ok(record)
    }

    /// Encodes the record.
    pub fn to_bytes(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Whether both records come from the same write.
    pub const fn is_same_write(&self, other: &Self) -> bool {
        self.writer == other.writer && self.nonce == other.nonce
    }
}

/// The common prefix of a shard's object names.
pub fn shard_prefix(shard: u16) -> String {
    format!("claims/{shard}/")
}

/// The name of an object; names sort in the order of their numbers.
pub fn object_key(shard: u16, number: u64) -> String {
    format!("claims/{shard}/{number:016}")
}

/// The number in an object's name; `None` if the object isn't one of the shard's.
pub fn object_number(shard: u16, key: &str) -> Option<u64> {
    key.strip_prefix(&shard_prefix(shard))?.parse().ok()
}
