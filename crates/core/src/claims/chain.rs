//! State of a shard's chain, built from the objects read and written so far.

use std::collections::BTreeMap;

use derive_more::{Debug, Display, Error};

use crate::claims::hash::KeyHash;
use crate::claims::record::{Batch, Body, Checkpoint, Record, RecordError, Span, Void};
use crate::claims::table::{Claim, ClaimId, EntryWriter, Table, read_entries};
use crate::clock::Millis;

/// Most dead claims listed by one checkpoint; the keys of any others stay held by claims that never run.
const MAX_DEAD_CLAIMS: usize = 2048;

/// Result of applying an object.
pub type Result<T> = std::result::Result<T, ChainError>;

/// An object that doesn't continue the chain.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
pub enum ChainError {
    /// The object can't be decoded.
    #[display("{_0}")]
    Record(RecordError),
    /// The checkpoint retains an earlier one that was not read.
    #[display("checkpoint {checkpoint} keeps {kept}, which was not read")]
    Kept {
        /// Number of the checkpoint.
        checkpoint: u64,
        /// Number of the earlier checkpoint.
        kept: u64,
    },
}

impl From<RecordError> for ChainError {
    fn from(error: RecordError) -> Self {
        Self::Record(error)
    }
}

/// A checkpoint that is still valid.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Segment {
    /// Object number of the checkpoint.
    pub number: u64,
    /// Number of claims in the checkpoint when it was written.
    pub size: usize,
}

/// A claim in a valid checkpoint that no longer holds its key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Debug)]
struct DeadClaim {
    key: KeyHash,
    id: ClaimId,
}

/// State of a chain after the objects applied so far.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Chain {
    /// Live claims.
    pub table: Table,
    /// Number of the latest checkpoint; zero if there is none.
    pub base: u64,
    /// Number of the last object; zero if there is none.
    pub last: u64,
    /// Whether the last object is a `Close`.
    pub closed: bool,
    /// Objects that are no longer needed and may be deleted.
    pub obsolete: Vec<Span>,
    /// Valid checkpoints, in ascending order.
    segments: Vec<Segment>,
    /// Objects after `base` that must never be deleted, so that a former owner's create fails.
    fences: Vec<u64>,
    /// Dead claims, with the number of their checkpoint.
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

    /// Number of objects after the latest checkpoint.
    pub const fn tail_length(&self) -> u64 {
        self.last - self.base
    }

    /// Number of live claims that are in no checkpoint.
    pub fn uncheckpointed(&self) -> usize {
        let kept: usize = self
            .segments
            .iter()
            .map(|segment| self.table.count(segment.number))
            .sum();
        self.table.len() - kept
    }

    /// The claim that holds a key at wall time `wall`.
    pub fn holder(&self, key: &KeyHash, wall: Millis) -> Option<&Claim> {
        self.table.get(key).filter(|claim| claim.expiry > wall)
    }

    /// Applies the next object of the chain.
    ///
    /// # Errors
    ///
    /// If the object can't be decoded, or retains a checkpoint that was not applied.
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

    /// Applies an earlier checkpoint that a later one retains.
    ///
    /// # Errors
    ///
    /// If the object is not a checkpoint or can't be decoded.
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

    /// Frees a key if claim `id` still holds it.
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
        // Claims of other objects are in this checkpoint or no longer live.
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

    /// Builds the next checkpoint as of wall time `wall`, with about `max_claims` claims.
    pub fn checkpoint(&mut self, wall: Millis, max_claims: usize) -> Checkpoint {
        self.table.retain(|claim| claim.expiry > wall);
        let keep = self.retained_checkpoints(max_claims);
        let mut writer = EntryWriter::default();
        let uncheckpointed: BTreeMap<_, _> = self
            .table
            .iter()
            .filter(|(_, claim)| !keep.contains(&claim.object))
            .collect();
        for (key, claim) in uncheckpointed {
            writer.push(key, claim);
        }
        Checkpoint {
            obsolete: self.next_obsolete(&keep),
            voids: self.retained_voids(&keep),
            keep,
            claims: writer.entries,
            holders: writer.holders,
        }
    }

    /// Checkpoints that the next one retains instead of copying their live claims.
    ///
    /// A checkpoint is copied if its live claims fit, and either all newer ones
    /// are copied too or less than half of its claims are live.
    fn retained_checkpoints(&self, max_claims: usize) -> Vec<u64> {
        let mut capacity = max_claims.saturating_sub(self.uncheckpointed());
        let mut keep = Vec::new();
        let mut newer_copied = true;
        for segment in self.segments.iter().rev() {
            let live = self.table.count(segment.number);
            let should_fold = newer_copied || live * 2 < segment.size || live == 0;
            if should_fold && live <= capacity {
                capacity -= live;
            } else {
                keep.push(segment.number);
                newer_copied = false;
            }
        }
        keep.reverse();
        keep
    }

    fn retained_voids(&self, keep: &[u64]) -> Vec<Void> {
        self.dead
            .iter()
            .filter(|(_, object)| keep.contains(object))
            .take(MAX_DEAD_CLAIMS)
            .map(|(dead, _)| Void::new(&dead.key, dead.id))
            .collect()
    }

    /// Objects that may be deleted once the next object is a checkpoint that retains `keep`.
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
