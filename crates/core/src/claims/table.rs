//! The live claims of one shard, by key.

use std::collections::{BTreeMap, HashMap};

use crate::claims::hash::{Digest, KeyHash};
use crate::claims::record::{ClaimEntry, Holder, RecordError, Result, Void};
use crate::clock::Millis;
use crate::ids::{DaemonId, Incarnation, RequestId};

/// One claim among all: a process numbers its own.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ClaimId {
    /// The claimant.
    pub claimant: Incarnation,
    /// The claimant's number for it.
    pub number: u64,
}

impl ClaimId {
    /// The number of no claim: claimants count from one.
    pub const NONE: Self = Self {
        claimant: Incarnation(0),
        number: 0,
    };
}

/// A claim as recorded.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Claim {
    /// Who holds it.
    pub id: ClaimId,
    /// The claimant's daemon.
    pub daemon: DaemonId,
    /// The claimed request.
    pub digest: Digest,
    /// The caller's request.
    pub request: RequestId,
    /// When the key is forgotten, in wall time.
    pub expiry: Millis,
    /// Number of the object that says so.
    pub object: u64,
}

/// Live claims, and the objects that they stand in.
#[derive(Clone, Default, Debug)]
pub struct Table {
    /// Claims by key.
    claims: HashMap<KeyHash, Claim>,
    /// Number of live claims by object.
    counts: BTreeMap<u64, usize>,
}

impl Table {
    /// The claim that holds a key.
    pub fn get(&self, key: &KeyHash) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Number of claims that stand in one object.
    pub fn count(&self, object: u64) -> usize {
        self.counts.get(&object).copied().unwrap_or(0)
    }

    /// Claims and their keys, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&KeyHash, &Claim)> {
        self.claims.iter()
    }

    /// Records a claim; it replaces an earlier one of the same key.
    pub fn insert(&mut self, key: KeyHash, claim: Claim) {
        self.remove(&key);
        *self.counts.entry(claim.object).or_default() += 1;
        self.claims.insert(key, claim);
    }

    /// Frees a key.
    pub fn remove(&mut self, key: &KeyHash) -> Option<Claim> {
        let claim = self.claims.remove(key)?;
        if let Some(count) = self.counts.get_mut(&claim.object) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&claim.object);
            }
        }
        Some(claim)
    }

    /// Keeps the claims for which `keep` holds.
    pub fn retain(&mut self, mut keep: impl FnMut(&Claim) -> bool) {
        let gone: Vec<_> = self
            .claims
            .iter()
            .filter(|(_, claim)| !keep(claim))
            .map(|(key, _)| *key)
            .collect();
        for key in gone {
            self.remove(&key);
        }
    }
}

/// Makes the coded form of claims, naming each claimant once.
#[derive(Default)]
pub(crate) struct EntryWriter {
    pub(crate) entries: Vec<ClaimEntry>,
    pub(crate) holders: Vec<Holder>,
    indices: HashMap<Incarnation, u32>,
}

impl EntryWriter {
    pub(crate) fn push(&mut self, key: &KeyHash, claim: &Claim) {
        let holder = self.holder(claim);
        self.entries.push(ClaimEntry {
            key: key.to_bytes(),
            digest: claim.digest.to_bytes(),
            holder,
            number: claim.id.number,
            request: claim.request.to_bytes().to_vec().into(),
            expiry: claim.expiry.0,
        });
    }

    fn holder(&mut self, claim: &Claim) -> u32 {
        let claimant = claim.id.claimant;
        if let Some(index) = self.indices.get(&claimant) {
            return *index;
        }
        let index = u32::try_from(self.holders.len()).unwrap_or(u32::MAX);
        self.indices.insert(claimant, index);
        self.holders.push(Holder {
            claimant: claimant.0,
            daemon: claim.daemon.to_string(),
        });
        index
    }
}

/// Reads claims from their coded form.
pub(crate) fn read_entries(
    entries: &[ClaimEntry],
    holders: &[Holder],
    object: u64,
) -> Result<Vec<(KeyHash, Claim)>> {
    let daemons = holders
        .iter()
        .map(|holder| holder.daemon.parse())
        .collect::<std::result::Result<Vec<DaemonId>, _>>()
        .map_err(|_| RecordError::Field("daemon"))?;
    let read = |entry: &ClaimEntry| read_entry(entry, holders, &daemons, object);
    entries.iter().map(read).collect()
}

fn read_entry(
    entry: &ClaimEntry,
    holders: &[Holder],
    daemons: &[DaemonId],
    object: u64,
) -> Result<(KeyHash, Claim)> {
    let index = entry.holder as usize;
    let bad = RecordError::Field;
    let holder = holders.get(index).ok_or(bad("holder"))?;
    let daemon = daemons.get(index).ok_or(bad("holder"))?;
    let key = KeyHash::from_bytes(&entry.key).map_err(|_| bad("key"))?;
    let claim = Claim {
        id: ClaimId {
            claimant: Incarnation(holder.claimant),
            number: entry.number,
        },
        daemon: daemon.clone(),
        digest: Digest::from_bytes(&entry.digest).map_err(|_| bad("digest"))?,
        request: RequestId::from_bytes(&entry.request).ok_or(bad("request"))?,
        expiry: Millis(entry.expiry),
        object,
    };
    Ok((key, claim))
}

impl Void {
    /// Gives up a claim.
    pub fn new(key: &KeyHash, id: ClaimId) -> Self {
        Self {
            key: key.to_bytes(),
            claimant: id.claimant.0,
            number: id.number,
        }
    }

    /// The claim that is given up.
    pub const fn id(&self) -> ClaimId {
        ClaimId {
            claimant: Incarnation(self.claimant),
            number: self.number,
        }
    }
}
