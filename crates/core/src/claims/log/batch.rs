//! Pending claims, and batches built from them.

use std::collections::{HashMap, HashSet, VecDeque};

use derive_more::Debug;

use crate::claims::chain::Chain;
use crate::claims::hash::{Digest, HashError, KeyHash};
use crate::claims::log::calls::Calls;
use crate::claims::log::event::{ClaimStatus, LogLimits, ProcessId};
use crate::claims::log::stats::LogStats;
use crate::claims::record::{Batch, RecordError, Result, Void};
use crate::claims::table::{Claim, ClaimId, EntryWriter};
use crate::clock::Millis;
use crate::ids::{DaemonId, Incarnation, RequestId};
use crate::wire::ClaimRequest;

/// Most voids in a batch.
const MAX_VOIDS: usize = 512;

/// A requested claim that has not been answered yet.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct PendingClaim {
    message: ClaimRequest,
    pub(super) key: KeyHash,
    daemon: DaemonId,
    digest: Digest,
    request: RequestId,
    /// When the request was received.
    pub(super) since: Millis,
    /// Whether the claimant was refused while the claim was being written.
    pub(super) refused: bool,
}

/// State needed to build and write batches.
pub(super) struct BatchContext<'a> {
    pub(super) queue: &'a mut VecDeque<PendingClaim>,
    pub(super) calls: &'a mut Calls,
    pub(super) stats: &'a mut LogStats,
    pub(super) me: &'a ProcessId,
    pub(super) limits: &'a LogLimits,
    pub(super) wall: Millis,
}

/// A batch and the pending claims in it.
pub(super) struct BatchDraft {
    pub(super) batch: Batch,
    pub(super) claims: Vec<PendingClaim>,
}

impl From<HashError> for RecordError {
    fn from(_: HashError) -> Self {
        Self::Field("hash")
    }
}

impl PendingClaim {
    pub(super) fn read(message: &ClaimRequest, now: Millis) -> Result<Self> {
        let daemon = message.daemon.parse();
        let request = RequestId::from_bytes(&message.request);
        Ok(Self {
            key: KeyHash::from_bytes(&message.key)?,
            daemon: daemon.map_err(|_| RecordError::Field("daemon"))?,
            digest: Digest::from_bytes(&message.digest)?,
            request: request.ok_or(RecordError::Field("request"))?,
            message: message.clone(),
            since: now,
            refused: false,
        })
    }

    pub(super) const fn id(&self) -> ClaimId {
        ClaimId {
            claimant: Incarnation(self.message.claimant),
            number: self.message.ask,
        }
    }

    /// An earlier claim of the key that, according to the claimant, never runs.
    const fn abandoned(&self) -> ClaimId {
        ClaimId {
            claimant: Incarnation(self.message.abandoned_claimant),
            number: self.message.abandoned_ask,
        }
    }

    pub(super) fn answer(&self, status: ClaimStatus, calls: &mut Calls, stats: &mut LogStats) {
        calls.answer(&self.message, status, None, stats);
    }

    fn claim(&self, wall: Millis, skew: Millis) -> Claim {
        Claim {
            id: self.id(),
            daemon: self.daemon.clone(),
            digest: self.digest,
            request: self.request,
            expiry: wall + Millis(self.message.lifetime) + skew,
            object: 0,
        }
    }
}

/// Decides whether to grant a claim, given the claim that holds the key.
///
/// `is_refused` tells whether the claimant of `holder` was refused.
fn decide(pending: &PendingClaim, holder: Option<&Claim>, is_refused: bool) -> ClaimStatus {
    match holder {
        None => ClaimStatus::Granted,
        // The request was received twice, and its first claim is about to be cancelled.
        Some(claim) if is_refused && claim.id == pending.id() => ClaimStatus::Unavailable,
        Some(_) if is_refused => ClaimStatus::Granted,
        Some(claim) if claim.id == pending.abandoned() => ClaimStatus::Granted,
        Some(claim) if claim.digest != pending.digest => ClaimStatus::Reused,
        Some(_) => ClaimStatus::Held,
    }
}

/// Refuses claims whose keys are held, and builds a batch of the others up to the limit.
pub(super) fn build_batch(
    context: &mut BatchContext<'_>,
    chain: &Chain,
    refused: &HashMap<ClaimId, KeyHash>,
) -> BatchDraft {
    let mut writer = EntryWriter::default();
    let mut claims = Vec::new();
    let mut keys = HashSet::new();
    let mut later = VecDeque::new();
    for pending in std::mem::take(context.queue) {
        // A second claim of a key waits until the first one's write is resolved.
        if claims.len() >= context.limits.max_batch || keys.contains(&pending.key) {
            later.push_back(pending);
            continue;
        }
        let holder = chain.holder(&pending.key, context.wall);
        let is_refused = holder.is_some_and(|claim| refused.contains_key(&claim.id));
        let status = decide(&pending, holder, is_refused);
        if status != ClaimStatus::Granted {
            let shown = holder.filter(|_| status == ClaimStatus::Held);
            context
                .calls
                .answer(&pending.message, status, shown, context.stats);
            continue;
        }
        keys.insert(pending.key);
        writer.push(
            &pending.key,
            &pending.claim(context.wall, context.limits.clock_skew),
        );
        claims.push(pending);
    }
    *context.queue = later;
    let voids = refused.iter().take(MAX_VOIDS);
    let batch = Batch {
        voids: voids.map(|(id, key)| Void::new(key, *id)).collect(),
        claims: writer.entries,
        holders: writer.holders,
    };
    BatchDraft { batch, claims }
}
