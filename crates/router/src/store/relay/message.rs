//! Messages between a copy and its followers, coded by `prost`.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::mirror::{Change, Object, Update};
use medlarrill_platform::store::Kind;
use prost::{DecodeError, Message};

/// Updates from this size on are compressed, once for all followers. A list of some hundred
/// endpoints or a configuration of some hundred routes takes 100 KB plain and a fifth of that
/// compressed; links of 10 Mbit/s carry it to 84 daemons.
const COMPRESSED: usize = 1024;
/// Age up to which a copy counts as followed: the platform holds a call and pauses after it for
/// 2.4 s together, and each daemon on the way adds half a second at most. One that is told of an
/// older copy looks for a newer one itself, unless the platform is known to be away.
const FRESH: Millis = Millis(3000);
/// Largest update, plain.
const UPDATE: u64 = 32 << 20;

/// Which revisions a follower has reached.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Ask {
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
}

/// Changes of one kind, and how old the copy is.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Tell {
    #[prost(uint32, tag = "1")]
    kind: u32,
    /// Milliseconds since the copy was known to be up to date.
    #[prost(uint64, tag = "2")]
    age: u64,
    /// Milliseconds for which calls to the platform have failed.
    #[prost(uint64, optional, tag = "3")]
    failing: Option<u64>,
    /// Changes, coded as `Changes`.
    #[prost(bytes = "bytes", tag = "4")]
    changes: Bytes,
    #[prost(bool, tag = "5")]
    compressed: bool,
}

/// An update, coded once for all followers.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Packed {
    bytes: Bytes,
    compressed: bool,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct Changes {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(bool, tag = "2")]
    whole: bool,
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
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct Removal {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
}

const fn code(kind: Kind) -> u32 {
    match kind {
        Kind::Configuration => 1,
        Kind::Endpoints => 2,
        Kind::Drains => 3,
        Kind::Daemons => 4,
    }
}

const fn kind(code: u32) -> Option<Kind> {
    match code {
        1 => Some(Kind::Configuration),
        2 => Some(Kind::Endpoints),
        3 => Some(Kind::Drains),
        4 => Some(Kind::Daemons),
        _ => None,
    }
}

impl Ask {
    /// The revisions reached.
    pub fn new(reached: &[(Kind, Option<u64>)]) -> Self {
        let position = |(kind, revision): &(Kind, Option<u64>)| {
            revision.map(|revision| Position {
                kind: code(*kind),
                revision,
            })
        };
        Self {
            positions: reached.iter().filter_map(position).collect(),
        }
    }

    /// The revision reached of a kind, none if nothing is known.
    pub fn revision(&self, kind: Kind) -> Option<u64> {
        let mut positions = self.positions.iter();
        let found = positions.find(|position| position.kind == code(kind));
        found.map(|position| position.revision)
    }

    /// The message.
    pub fn encode(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// When it isn't one.
    pub fn read(bytes: &[u8]) -> Result<Self, DecodeError> {
        Self::decode(bytes)
    }
}

impl Packed {
    /// Codes an update.
    pub fn new(update: &Update) -> Self {
        let mut changes = Changes {
            revision: update.revision,
            whole: update.complete,
            ..Changes::default()
        };
        for change in &update.changes {
            match change {
                Change::Put(object) => changes.puts.push(Put {
                    name: object.name.clone(),
                    revision: object.revision,
                    contents: object.spec.clone(),
                }),
                Change::Removed { name, revision } => changes.removals.push(Removal {
                    name: name.clone(),
                    revision: *revision,
                }),
            }
        }
        let plain = Bytes::from(changes.encode_to_vec());
        let compressed = compress(&plain);
        Self {
            compressed: compressed.is_some(),
            bytes: compressed.unwrap_or(plain),
        }
    }
}

impl Tell {
    /// Changes, or none and only the age.
    pub fn new(kind: Kind, packed: Option<Packed>, age: Millis, failing: Option<Millis>) -> Self {
        let packed = packed.unwrap_or(Packed {
            bytes: Bytes::new(),
            compressed: false,
        });
        Self {
            kind: code(kind),
            age: age.0,
            failing: failing.map(|span| span.0),
            changes: packed.bytes,
            compressed: packed.compressed,
        }
    }

    /// The message.
    pub fn encode(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// When it isn't one.
    pub fn read(bytes: &[u8]) -> Result<Self, DecodeError> {
        Self::decode(bytes)
    }

    /// Whether the other side knows about as much as the platform says, or why it can't.
    pub const fn is_fresh(&self) -> bool {
        self.age < FRESH.0 || self.failing.is_some()
    }

    /// The kind, and for how long calls to the platform have failed where this comes from.
    pub fn failed_for(&self) -> Option<(Kind, Millis)> {
        Some((kind(self.kind)?, Millis(self.failing?)))
    }

    /// The kind, its changes and their age; none of a kind that only newer daemons know.
    ///
    /// # Errors
    ///
    /// When the changes can't be read.
    pub fn into_update(self) -> std::io::Result<Option<(Kind, Update, Millis)>> {
        let Some(kind) = kind(self.kind) else {
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
                revision: put.revision,
                spec: put.contents,
            })
        });
        let removals = changes.removals.into_iter().map(|removal| Change::Removed {
            name: removal.name,
            revision: removal.revision,
        });
        let update = Update {
            complete: changes.whole,
            changes: puts.chain(removals).collect(),
            revision: changes.revision,
        };
        Ok(Some((kind, update, Millis(self.age))))
    }
}

fn compress(plain: &Bytes) -> Option<Bytes> {
    if plain.len() < COMPRESSED {
        return None;
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory doesn't fail; if it did, the update travels plain.
    encoder.write_all(plain).ok()?;
    encoder.finish().ok().map(Bytes::from)
}

fn decompress(packed: &[u8]) -> std::io::Result<Bytes> {
    let mut plain = Vec::new();
    ZlibDecoder::new(packed)
        .take(UPDATE)
        .read_to_end(&mut plain)?;
    Ok(plain.into())
}
