//! Claimants that wait, and the batches that are made of them.

use std::collections::{HashMap, HashSet, VecDeque};

use derive_more::Debug;

use crate::claims::chain::Chain;
use crate::claims::hash::{Digest, HashError, KeyHash};
use crate::claims::log::calls::Calls;
use crate::claims::log::event::{LogLimits, Member, Verdict};
use crate::claims::log::stats::LogStats;
use crate::claims::record::{Batch, RecordError, Result, Void};
use crate::claims::table::{Claim, ClaimId, EntryWriter};
use crate::clock::Millis;
use crate::ids::{DaemonId, Incarnation, RequestId};
use crate::wire::ClaimRequest;

/// Most voids in a batch.
const MAX_VOIDS: usize = 512;

/// A claimant that waits for its answer.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Waiting {
    ask: ClaimRequest,
    pub(super) key: KeyHash,
    daemon: DaemonId,
    digest: Digest,
    request: RequestId,
    /// When it asked.
    pub(super) since: Millis,
    /// Whether it was refused while its claim was being written.
    pub(super) refused: bool,
}

/// What a tenure needs to make batches.
pub(super) struct Work<'a> {
    pub(super) queue: &'a mut VecDeque<Waiting>,
    pub(super) calls: &'a mut Calls,
    pub(super) stats: &'a mut LogStats,
    pub(super) me: &'a Member,
    pub(super) limits: &'a LogLimits,
    pub(super) wall: Millis,
}

/// A batch and the claimants whose claims are in it.
pub(super) struct Draft {
    pub(super) batch: Batch,
    pub(super) asks: Vec<Waiting>,
}

impl From<HashError> for RecordError {
    fn from(_: HashError) -> Self {
        Self::Field("hash")
    }
}

impl Waiting {
    pub(super) fn read(ask: &ClaimRequest, now: Millis) -> Result<Self> {
        let daemon = ask.daemon.parse();
        let request = RequestId::from_bytes(&ask.request);
        Ok(Self {
            key: KeyHash::from_bytes(&ask.key)?,
            daemon: daemon.map_err(|_| RecordError::Field("daemon"))?,
            digest: Digest::from_bytes(&ask.digest)?,
            request: request.ok_or(RecordError::Field("request"))?,
            ask: ask.clone(),
            since: now,
            refused: false,
        })
    }

    pub(super) const fn id(&self) -> ClaimId {
        ClaimId {
            claimant: Incarnation(self.ask.claimant),
            ask: self.ask.ask,
        }
    }

    /// The claim that its claimant says will never be run, by the claimant's own word.
    const fn given_up(&self) -> ClaimId {
        ClaimId {
            claimant: Incarnation(self.ask.abandoned_claimant),
            ask: self.ask.abandoned_ask,
        }
    }

    pub(super) fn answer(&self, verdict: Verdict, calls: &mut Calls, stats: &mut LogStats) {
        calls.answer(&self.ask, verdict, None, stats);
    }

    fn claim(&self, wall: Millis, skew: Millis) -> Claim {
        Claim {
            id: self.id(),
            daemon: self.daemon.clone(),
            digest: self.digest,
            request: self.request,
            expiry: wall + Millis(self.ask.lifetime) + skew,
            object: 0,
        }
    }
}

/// Whether a claim may be made, given who holds the key.
fn judge(waiting: &Waiting, holder: Option<&Claim>, is_refused: bool) -> Verdict {
    match holder {
        None => Verdict::Granted,
        // A question that came twice: a void of its first claim is on its way.
        Some(claim) if is_refused && claim.id == waiting.id() => Verdict::Unavailable,
        Some(_) if is_refused => Verdict::Granted,
        Some(claim) if claim.id == waiting.given_up() => Verdict::Granted,
        Some(claim) if claim.digest != waiting.digest => Verdict::Reused,
        Some(_) => Verdict::Held,
    }
}

/// Answers claimants whose keys are held, and makes a batch of the others up to the limit.
pub(super) fn draft(
    work: &mut Work<'_>,
    chain: &Chain,
    refused: &HashMap<ClaimId, KeyHash>,
) -> Draft {
    let mut writer = EntryWriter::default();
    let mut asks = Vec::new();
    let mut keys = HashSet::new();
    let mut later = VecDeque::new();
    for waiting in std::mem::take(work.queue) {
        // A second claim of a key waits until the fate of the first is known.
        if asks.len() >= work.limits.batch || keys.contains(&waiting.key) {
            later.push_back(waiting);
            continue;
        }
        let holder = chain.holder(&waiting.key, work.wall);
        let is_refused = holder.is_some_and(|claim| refused.contains_key(&claim.id));
        let verdict = judge(&waiting, holder, is_refused);
        if verdict != Verdict::Granted {
            let shown = holder.filter(|_| verdict == Verdict::Held);
            work.calls.answer(&waiting.ask, verdict, shown, work.stats);
            continue;
        }
        keys.insert(waiting.key);
        writer.push(&waiting.key, &waiting.claim(work.wall, work.limits.skew));
        asks.push(waiting);
    }
    *work.queue = later;
    let voids = refused.iter().take(MAX_VOIDS);
    let batch = Batch {
        voids: voids.map(|(id, key)| Void::new(key, *id)).collect(),
        claims: writer.entries,
        holders: writer.holders,
    };
    Draft { batch, asks }
}
