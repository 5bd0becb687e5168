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

/// Contents from this size on are compressed. The configuration of some hundred routes takes
/// 100 KB plain and a tenth of that compressed; links of 10 Mbit/s carry it to 84 daemons.
const COMPRESSED: usize = 1024;
/// Largest contents; the platform's values end at 1 MiB.
const CONTENTS: u64 = 4 << 20;

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
    #[prost(uint64, tag = "3")]
    revision: u64,
    #[prost(bool, tag = "4")]
    whole: bool,
    #[prost(message, repeated, tag = "5")]
    puts: Vec<Put>,
    #[prost(message, repeated, tag = "6")]
    removals: Vec<Removal>,
    /// Milliseconds for which calls to the platform have failed.
    #[prost(uint64, optional, tag = "7")]
    failing: Option<u64>,
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
    #[prost(bool, tag = "4")]
    compressed: bool,
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
    }
}

const fn kind(code: u32) -> Option<Kind> {
    match code {
        1 => Some(Kind::Configuration),
        2 => Some(Kind::Endpoints),
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

impl Tell {
    /// Changes, or none and only the age.
    pub fn new(kind: Kind, update: Option<&Update>, age: Millis, failing: Option<Millis>) -> Self {
        let mut tell = Self {
            kind: code(kind),
            age: age.0,
            failing: failing.map(|span| span.0),
            ..Self::default()
        };
        let Some(update) = update else {
            return tell;
        };
        tell.revision = update.revision;
        tell.whole = update.whole;
        for change in &update.changes {
            match change {
                Change::Put(object) => tell.puts.push(Put::new(object)),
                Change::Removed { name, revision } => tell.removals.push(Removal {
                    name: name.clone(),
                    revision: *revision,
                }),
            }
        }
        tell
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

    /// The kind, and for how long calls to the platform have failed where this comes from.
    pub fn failed_for(&self) -> Option<(Kind, Millis)> {
        Some((kind(self.kind)?, Millis(self.failing?)))
    }

    /// The kind, its changes and their age; none of a kind that only newer daemons know.
    pub fn into_update(self) -> Option<(Kind, Update, Millis)> {
        let kind = kind(self.kind)?;
        let puts = self.puts.into_iter().filter_map(Put::into_change);
        let removals = self.removals.into_iter().map(|removal| Change::Removed {
            name: removal.name,
            revision: removal.revision,
        });
        let update = Update {
            whole: self.whole,
            changes: puts.chain(removals).collect(),
            revision: self.revision,
        };
        Some((kind, update, Millis(self.age)))
    }
}

impl Put {
    fn new(object: &Object) -> Self {
        let compressed = compress(&object.spec);
        Self {
            name: object.name.clone(),
            revision: object.revision,
            compressed: compressed.is_some(),
            contents: compressed.unwrap_or_else(|| object.spec.clone()),
        }
    }

    fn into_change(self) -> Option<Change> {
        let spec = match self.compressed {
            false => self.contents,
            true => decompress(&self.contents)
                .inspect_err(|error| {
                    log::error!(target: "relay", object = self.name, cause:% = error; "relay: contents can't be read");
                })
                .ok()?,
        };
        Some(Change::Put(Object {
            name: self.name,
            revision: self.revision,
            spec,
        }))
    }
}

fn compress(contents: &Bytes) -> Option<Bytes> {
    if contents.len() < COMPRESSED {
        return None;
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory doesn't fail; if it did, the contents travel plain.
    encoder.write_all(contents).ok()?;
    encoder.finish().ok().map(Bytes::from)
}

fn decompress(contents: &[u8]) -> std::io::Result<Bytes> {
    let mut plain = Vec::new();
    ZlibDecoder::new(contents)
        .take(CONTENTS)
        .read_to_end(&mut plain)?;
    Ok(plain.into())
}
