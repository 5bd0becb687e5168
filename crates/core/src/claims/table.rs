//! The live claims of one shard, by key.

use std::collections::{BTreeMap, HashMap};

use crate::claims::hash::{Digest, KeyHash};
use crate::claims::record::{ClaimEntry, Holder, RecordError, Result, Void};
use crate::clock::Millis;
use crate::ids::{DaemonId, Incarnation, RequestId};

/// Identifies a claim; each process numbers its own claims.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ClaimId {
    /// Incarnation of the claimant.
    pub claimant: Incarnation,
    /// The claimant's number for the claim.
    pub number: u64,
}

impl ClaimId {
    /// Identifies no claim: claimants count from one.
    pub const NONE: Self = Self {
        claimant: Incarnation(0),
        number: 0,
    };
}

/// A recorded claim.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Claim {
    /// The claim's identifier.
    pub id: ClaimId,
    /// The claimant's daemon.
    pub daemon: DaemonId,
    /// Digest of the claimed request.
    pub digest: Digest,
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Wall time at which the key becomes free again.
    pub expiry: Millis,
    /// Number of the object that records the claim.
    pub object: u64,
}

/// Live claims, with the number of claims in each object.
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

    /// Number of live claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Number of live claims recorded in one object.
    pub fn count(&self, object: u64) -> usize {
        self.counts.get(&object).copied().unwrap_or(0)
    }

    /// Keys and their claims, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (&KeyHash, &Claim)> {
        self.claims.iter()
    }

    /// Inserts a claim, replacing an earlier one of the same key.
    pub fn insert(&mut self, key: KeyHash, claim: Claim) {
        self.remove(&key);
        *self.counts.entry(claim.object).or_default() += 1;
        self.claims.insert(key, claim);
    }

    /// Removes the claim of a key.
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

    /// Removes the claims for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&Claim) -> bool) {
        let removed: Vec<_> = self
            .claims
            .iter()
            .filter(|(_, claim)| !keep(claim))
            .map(|(key, _)| *key)
            .collect();
        for key in removed {
            self.remove(&key);
        }
    }
}

/// Encodes claims, listing each claimant once.
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

/// Decodes claims recorded in object `object`.
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
    let invalid = RecordError::Field;
    let holder = holders.get(index).ok_or(invalid("holder"))?;
    let daemon = daemons.get(index).ok_or(invalid("holder"))?;
    let key = KeyHash::from_bytes(&entry.key).map_err(|_| invalid("key"))?;
    let claim = Claim {
        id: ClaimId {
            claimant: Incarnation(holder.claimant),
            number: entry.number,
        },
        daemon: daemon.clone(),
        digest: Digest::from_bytes(&entry.digest).map_err(|_| invalid("digest"))?,
        request: RequestId::from_bytes(&entry.request).ok_or(invalid("request"))?,
        expiry: Millis(entry.expiry),
        object,
    };
    Ok((key, claim))
}

impl Void {
    /// Cancels a claim.
    pub fn new(key: &KeyHash, id: ClaimId) -> Self {
        Self {
            key: key.to_bytes(),
            claimant: id.claimant.0,
            number: id.number,
        }
    }

    /// The cancelled claim.
    pub const fn id(&self) -> ClaimId {
        ClaimId {
            claimant: Incarnation(self.claimant),
            number: self.number,
        }
    }
}
