//! A shard's chain as far as it was read or written.

use std::collections::BTreeMap;

use derive_more::{Debug, Display, Error};

use crate::claims::hash::KeyHash;
use crate::claims::record::{Batch, Body, Checkpoint, Record, RecordError, Span, Void};
use crate::claims::table::{Claim, ClaimId, EntryWriter, Table, read_entries};
use crate::clock::Millis;

/// Most dead claims named by one checkpoint; keys of those beyond stay held by claims that nobody runs.
const DEAD_CLAIMS: usize = 2048;

/// Result of applying an object.
pub type Result<T> = std::result::Result<T, ChainError>;

/// An object that doesn't follow from what was read.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
pub enum ChainError {
    /// The object can't be read.
    #[display("{_0}")]
    Record(RecordError),
    /// The checkpoint keeps one that was not read.
    #[display("checkpoint {checkpoint} keeps {kept}, which was not read")]
    Kept {
        /// The checkpoint.
        checkpoint: u64,
        /// The one it keeps.
        kept: u64,
    },
}

impl From<RecordError> for ChainError {
    fn from(error: RecordError) -> Self {
        Self::Record(error)
    }
}

/// A checkpoint that still counts.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Segment {
    /// Its number.
    pub number: u64,
    /// Claims in it when it was written.
    pub size: usize,
}

/// A claim that no longer holds its key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Debug)]
struct DeadClaim {
    key: KeyHash,
    id: ClaimId,
}

/// What the objects read so far say.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Chain {
    /// Live claims.
    pub table: Table,
    /// Number of the latest checkpoint; zero if there is none.
    pub base: u64,
    /// Number of the last object; zero if there is none.
    pub last: u64,
    /// Whether the last object ends a tenure.
    pub closed: bool,
    /// Objects that may be deleted.
    pub obsolete: Vec<Span>,
    /// Checkpoints that count, in ascending order.
    segments: Vec<Segment>,
    /// Numbers since `base` that must never be deleted.
    fences: Vec<u64>,
    /// Claims in segments that no longer count, and their segments.
    dead: BTreeMap<DeadClaim, u64>,
}

impl Chain {
    /// An empty chain.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of the next object.
    pub const fn next(&self) -> u64 {
        self.last + 1
    }

    /// Objects since the latest checkpoint.
    pub const fn tail_length(&self) -> u64 {
        self.last - self.base
    }

    /// Claims that stand in no checkpoint.
    pub fn uncheckpointed(&self) -> usize {
        let kept: usize = self
            .segments
            .iter()
            .map(|segment| self.table.count(segment.number))
            .sum();
        self.table.len() - kept
    }

    /// The live claim of a key, if it has not expired.
    pub fn holder(&self, key: &KeyHash, wall: Millis) -> Option<&Claim> {
        self.table.get(key).filter(|claim| claim.expiry > wall)
    }

    /// Adds the next object.
    pub fn apply(&mut self, number: u64, record: &Record) -> Result<()> {
        match &record.body {
            Some(Body::Open(open)) if open.fence => self.fences.push(number),
            Some(Body::Batch(batch)) => self.apply_batch(number, batch)?,
            Some(Body::Checkpoint(checkpoint)) => self.apply_checkpoint(number, checkpoint)?,
            _ => {}
        }
        self.closed = matches!(record.body, Some(Body::Close(_)));
        self.last = number;
        Ok(())
    }

    /// Adds an earlier checkpoint that a later one keeps.
    pub fn apply_retained(&mut self, number: u64, record: &Record) -> Result<()> {
        let Some(Body::Checkpoint(checkpoint)) = &record.body else {
            return Err(RecordError::Kind.into());
        };
        self.insert_segment(number, checkpoint)
    }

    fn apply_batch(&mut self, number: u64, batch: &Batch) -> Result<()> {
        let claims = read_entries(&batch.claims, &batch.holders, number)?;
        self.apply_voids(&batch.voids)?;
        for (key, claim) in claims {
            self.free(&key);
            self.table.insert(key, claim);
        }
        Ok(())
    }

    fn apply_voids(&mut self, voids: &[Void]) -> Result<()> {
        for void in voids {
            let key = KeyHash::from_bytes(&void.key).map_err(|_| RecordError::Field("key"))?;
            self.void(&key, void.id());
        }
        Ok(())
    }

    /// Frees a key if the claim named still holds it.
    pub fn void(&mut self, key: &KeyHash, id: ClaimId) {
        if self.table.get(key).is_some_and(|claim| claim.id == id) {
            self.free(key);
        }
    }

    fn free(&mut self, key: &KeyHash) {
        if let Some(claim) = self.table.remove(key)
            && self.is_segment(claim.object)
        {
            let id = claim.id;
            self.dead.insert(DeadClaim { key: *key, id }, claim.object);
        }
    }

    fn is_segment(&self, number: u64) -> bool {
        self.segments.iter().any(|segment| segment.number == number)
    }

    fn apply_checkpoint(&mut self, number: u64, checkpoint: &Checkpoint) -> Result<()> {
        if let Some(kept) = checkpoint.keep.iter().find(|kept| !self.is_segment(**kept)) {
            let kept = *kept;
            return Err(ChainError::Kept {
                checkpoint: number,
                kept,
            });
        }
        self.segments
            .retain(|segment| checkpoint.keep.contains(&segment.number));
        // What isn't kept stands in this checkpoint, or is no longer live.
        let keep: Vec<_> = self.segments.iter().map(|s| s.number).collect();
        self.table.retain(|claim| keep.contains(&claim.object));
        self.dead.retain(|_, object| keep.contains(object));
        self.apply_voids(&checkpoint.voids)?;
        self.insert_segment(number, checkpoint)?;
        self.base = number;
        self.obsolete.clone_from(&checkpoint.obsolete);
        self.fences.clear();
        Ok(())
    }

    fn insert_segment(&mut self, number: u64, checkpoint: &Checkpoint) -> Result<()> {
        let claims = read_entries(&checkpoint.claims, &checkpoint.holders, number)?;
        self.segments.push(Segment {
            number,
            size: claims.len(),
        });
        for (key, claim) in claims {
            self.free(&key);
            self.table.insert(key, claim);
        }
        Ok(())
    }

    /// The next checkpoint, as of wall time `wall`, with about `most` claims.
    pub fn checkpoint(&mut self, wall: Millis, most: usize) -> Checkpoint {
        self.table.retain(|claim| claim.expiry > wall);
        let keep = self.kept(most);
        let mut writer = EntryWriter::default();
        let fresh: BTreeMap<_, _> = self
            .table
            .iter()
            .filter(|(_, claim)| !keep.contains(&claim.object))
            .collect();
        for (key, claim) in fresh {
            writer.push(key, claim);
        }
        Checkpoint {
            obsolete: self.next_obsolete(&keep),
            voids: self.kept_voids(&keep),
            keep,
            claims: writer.entries,
            holders: writer.holders,
        }
    }

    /// Which checkpoints stay: those that don't fit into the next one and are at least half live.
    fn kept(&self, most: usize) -> Vec<u64> {
        let mut room = most.saturating_sub(self.uncheckpointed());
        let mut keep = Vec::new();
        let mut newest = true;
        for segment in self.segments.iter().rev() {
            let live = self.table.count(segment.number);
            let wanted = newest || live * 2 < segment.size || live == 0;
            if wanted && live <= room {
                room -= live;
            } else {
                keep.push(segment.number);
                newest = false;
            }
        }
        keep.reverse();
        keep
    }

    fn kept_voids(&self, keep: &[u64]) -> Vec<Void> {
        self.dead
            .iter()
            .filter(|(_, object)| keep.contains(object))
            .take(DEAD_CLAIMS)
            .map(|(dead, _)| Void::new(&dead.key, dead.id))
            .collect()
    }

    /// What may be deleted once the next object is a checkpoint that keeps `keep`.
    fn next_obsolete(&self, keep: &[u64]) -> Vec<Span> {
        let mut obsolete = self.obsolete.clone();
        let folded = self.segments.iter().map(|segment| segment.number);
        let recent = self.base + 1..=self.last;
        let numbers = folded
            .filter(|number| !keep.contains(number))
            .chain(recent)
            .filter(|number| !self.fences.contains(number));
        for number in numbers {
            match obsolete.last_mut() {
                Some(span) if span.last + 1 == number => span.last = number,
                _ => obsolete.push(Span {
                    first: number,
                    last: number,
                }),
            }
        }
        obsolete
    }
}
