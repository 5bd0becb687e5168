//! Messages between a source of copies and its followers, encoded as Protocol Buffers.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::mirror::{Change, Object, Update};
use medlarrill_core::routing::revision::{Era, Revision};
use medlarrill_platform::store::Kind;
use prost::{DecodeError, Message};

/// Size in bytes from which on updates are compressed, once for all followers. A list of some
/// hundred endpoints or a configuration of some hundred routes takes 100 KB uncompressed and a
/// fifth of that compressed; links of 10 Mbit/s carry it to 84 daemons.
const COMPRESS_MIN: usize = 1024;
/// Age below which a copy counts as fresh: a call held by the platform and the pause after it take
/// 2.4 s together, and each daemon on the path adds at most half a second. A follower that
/// receives only older copies calls the platform itself, unless that is known to be unreachable.
const MAX_FRESH_AGE: Millis = Millis(3000);
/// Maximum size of a decompressed update, in bytes.
const MAX_UPDATE: u64 = 32 << 20;

/// A follower's first message, with the revisions that it has reached.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Subscription {
    #[prost(message, repeated, tag = "1")]
    positions: Vec<Position>,
}

#[derive(Clone, Copy, PartialEq)]
#[derive(Message)]
struct Position {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(uint64, tag = "2")]
    revision: u64,
    /// Era of the revision; earlier versions don't send it.
    #[prost(uint64, tag = "3")]
    era: u64,
}

/// Changes of one kind, if there are any, and the age of the source's copy.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Notification {
    #[prost(uint32, tag = "1")]
    kind: u32,
    /// Milliseconds since the copy was known to be up to date.
    #[prost(uint64, tag = "2")]
    age: u64,
    /// Milliseconds for which calls to the platform have failed.
    #[prost(uint64, optional, tag = "3")]
    failing: Option<u64>,
    /// `Changes` in encoded form, possibly compressed.
    #[prost(bytes = "bytes", tag = "4")]
    changes: Bytes,
    #[prost(bool, tag = "5")]
    compressed: bool,
    /// Era of the changes, or of the copy if there are none.
    #[prost(uint64, tag = "6")]
    era: u64,
}

/// An update, encoded once for all followers.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EncodedUpdate {
    bytes: Bytes,
    compressed: bool,
    era: Era,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct Changes {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(bool, tag = "2")]
    complete: bool,
    #[prost(message, repeated, tag = "3")]
    puts: Vec<Put>,
    #[prost(message, repeated, tag = "4")]
    removals: Vec<Removal>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct Put {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(bytes = "bytes", tag = "3")]
    contents: Bytes,
    #[prost(uint64, tag = "4")]
    era: u64,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct Removal {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(uint64, tag = "3")]
    era: u64,
}

const fn kind_code(kind: Kind) -> u32 {
    match kind {
        Kind::Configuration => 1,
        Kind::Endpoints => 2,
        Kind::Drains => 3,
        Kind::Daemons => 4,
        Kind::Quarantine => 5,
    }
}

const fn kind_of_code(code: u32) -> Option<Kind> {
    match code {
        1 => Some(Kind::Configuration),
        2 => Some(Kind::Endpoints),
        3 => Some(Kind::Drains),
        4 => Some(Kind::Daemons),
        5 => Some(Kind::Quarantine),
        _ => None,
    }
}

impl Subscription {
    /// Creates a subscription from the revision reached of each kind.
    pub fn new(reached: &[(Kind, Option<Revision>)]) -> Self {
        let position = |(kind, revision): &(Kind, Option<Revision>)| {
            revision.map(|revision| Position {
                kind: kind_code(*kind),
                revision: revision.number,
                era: revision.era.0,
            })
        };
        Self {
            positions: reached.iter().filter_map(position).collect(),
        }
    }

    /// Revision that the follower has reached of a kind, `None` without a copy.
    pub fn revision(&self, kind: Kind) -> Option<Revision> {
        let mut positions = self.positions.iter();
        let found = positions.find(|position| position.kind == kind_code(kind));
        found.map(|position| Revision::new(Era(position.era), position.revision))
    }

    /// Encodes the message.
    pub fn encode(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// When the bytes aren't a valid message.
    pub fn read(bytes: &[u8]) -> Result<Self, DecodeError> {
        Self::decode(bytes)
    }
}

impl EncodedUpdate {
    /// Encodes an update, and compresses it if it is large.
    pub fn new(update: &Update) -> Self {
        let mut changes = Changes {
            revision: update.revision.number,
            complete: update.complete,
            ..Changes::default()
        };
        for change in &update.changes {
            match change {
                Change::Put(object) => changes.puts.push(Put {
                    name: object.name.clone(),
                    revision: object.revision.number,
                    era: object.revision.era.0,
                    contents: object.spec.clone(),
                }),
                Change::Removed { name, revision } => changes.removals.push(Removal {
                    name: name.clone(),
                    revision: revision.number,
                    era: revision.era.0,
                }),
            }
        }
        let plain = Bytes::from(changes.encode_to_vec());
        let compressed = compress(&plain);
        Self {
            compressed: compressed.is_some(),
            bytes: compressed.unwrap_or(plain),
            era: update.revision.era,
        }
    }
}

impl Notification {
    /// Creates a notification of changes, or of only the age.
    pub fn new(
        kind: Kind,
        encoded: Option<EncodedUpdate>,
        age: Millis,
        outage: Option<Millis>,
    ) -> Self {
        let encoded = encoded.unwrap_or(EncodedUpdate {
            bytes: Bytes::new(),
            compressed: false,
            era: Era::default(),
        });
        Self {
            era: encoded.era.0,
            kind: kind_code(kind),
            age: age.0,
            failing: outage.map(|span| span.0),
            changes: encoded.bytes,
            compressed: encoded.compressed,
        }
    }

    /// Sets the era of the copy, of which only the age is sent.
    pub fn with_era(self, era: Era) -> Self {
        let is_age_only = self.changes.is_empty();
        let era = if is_age_only { era.0 } else { self.era };
        Self { era, ..self }
    }

    /// Encodes the message.
    pub fn encode(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// When the bytes aren't a valid message.
    pub fn read(bytes: &[u8]) -> Result<Self, DecodeError> {
        Self::decode(bytes)
    }

    /// The kind, and the era of its changes or, without changes, of the source's copy.
    pub fn era(&self) -> Option<(Kind, Era)> {
        Some((kind_of_code(self.kind)?, Era(self.era)))
    }

    /// The era in which the source is up to date with the platform, if it is.
    pub const fn confirmed_era(&self) -> Option<Era> {
        match self.age < MAX_FRESH_AGE.0 && self.failing.is_none() {
            true => Some(Era(self.era)),
            false => None,
        }
    }

    /// Whether the source's copy is fresh, or its calls to the platform are known to fail.
    pub const fn is_fresh(&self) -> bool {
        self.age < MAX_FRESH_AGE.0 || self.failing.is_some()
    }

    /// The kind, and how long the source's calls to the platform for it have been failing.
    pub fn outage(&self) -> Option<(Kind, Millis)> {
        Some((kind_of_code(self.kind)?, Millis(self.failing?)))
    }

    /// The kind, its changes and the copy's age; `None` for a kind that only newer daemons know.
    ///
    /// # Errors
    ///
    /// When the changes can't be decoded.
    pub fn into_update(self) -> std::io::Result<Option<(Kind, Update, Millis)>> {
        let Some(kind) = kind_of_code(self.kind) else {
            return Ok(None);
        };
        let changes = match self.compressed {
            true => decompress(&self.changes)?,
            false => self.changes,
        };
        let changes = Changes::decode(changes)?;
        let puts = changes.puts.into_iter().map(|put| {
            Change::Put(Object {
                name: put.name,
                revision: Revision::new(Era(put.era), put.revision),
                spec: put.contents,
            })
        });
        let removals = changes.removals.into_iter().map(|removal| Change::Removed {
            name: removal.name,
            revision: Revision::new(Era(removal.era), removal.revision),
        });
        let update = Update {
            complete: changes.complete,
            changes: puts.chain(removals).collect(),
            revision: Revision::new(Era(self.era), changes.revision),
        };
        Ok(Some((kind, update, Millis(self.age))))
    }
}

fn compress(plain: &Bytes) -> Option<Bytes> {
    if plain.len() < COMPRESS_MIN {
        return None;
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory doesn't fail; if it did, the update would be sent uncompressed.
    encoder.write_all(plain).ok()?;
    encoder.finish().ok().map(Bytes::from)
}

fn decompress(encoded: &[u8]) -> std::io::Result<Bytes> {
    let mut plain = Vec::new();
    ZlibDecoder::new(encoded)
        .take(MAX_UPDATE)
        .read_to_end(&mut plain)?;
    Ok(plain.into())
}
