//! Ownership of a chain, from its `Open` to its `Close` or the next owner's `Open`.

use std::collections::HashMap;

use derive_more::Debug;
use rand::RngExt;

use crate::claims::chain::{Chain, Result};
use crate::claims::hash::KeyHash;
use crate::claims::log::batch::{BatchContext, PendingClaim, build_batch};
use crate::claims::log::calls::Calls;
use crate::claims::log::event::{CallId, ClaimStatus, LogLimits, ProcessId, Reply};
use crate::claims::log::stats::LogStats;
use crate::claims::log::sweep::Sweep;
use crate::claims::log::write::{Write, WriteOutcome};
use crate::claims::record::{Body, Close, Record};
use crate::claims::table::ClaimId;
use crate::clock::Millis;

/// State of the owner of a chain.
#[derive(Debug)]
pub(super) struct Ownership {
    chain: Chain,
    /// The write in flight; the next number isn't used before its outcome is known.
    write: Option<Write>,
    sweep: Sweep,
    /// Recorded claims whose claimants were refused; they have to be cancelled.
    refused: HashMap<ClaimId, KeyHash>,
    /// Earliest time of the next batch.
    next_batch: Millis,
    started: Millis,
}

impl Ownership {
    pub(super) fn new(chain: Chain, now: Millis) -> Self {
        Self {
            chain,
            write: None,
            sweep: Sweep::default(),
            refused: HashMap::new(),
            next_batch: now,
            started: now,
        }
    }

    pub(super) const fn chain(&self) -> &Chain {
        &self.chain
    }

    pub(super) const fn is_closed(&self) -> bool {
        self.chain.closed
    }

    pub(super) fn is_settling(&self) -> bool {
        self.write.as_ref().is_some_and(Write::is_settling)
    }

    pub(super) const fn duration(&self, now: Millis) -> Millis {
        now.since(self.started)
    }

    pub(super) const fn next_batch(&self) -> Millis {
        match self.write {
            Some(_) => Millis::MAX,
            None => self.next_batch,
        }
    }

    /// When the oldest pending claim in the current write was received.
    pub(super) fn oldest_pending(&self) -> Option<Millis> {
        let claims = self.write.iter().flat_map(|write| &write.claims);
        claims.filter(|w| !w.refused).map(|w| w.since).min()
    }

    pub(super) fn wake(&self) -> Millis {
        let idle = if self.refused.is_empty() {
            Millis::MAX
        } else {
            self.next_batch
        };
        let write = self.write.as_ref().map_or(idle, Write::wake);
        write.min(self.sweep.wake())
    }

    /// Starts writing a record at the next number.
    pub(super) fn write(
        &mut self,
        body: Body,
        claims: Vec<PendingClaim>,
        calls: &mut Calls,
        me: &ProcessId,
    ) {
        let number = self.chain.next();
        let base = match body {
            Body::Checkpoint(_) => number,
            _ => self.chain.base,
        };
        let nonce = calls.rng().random();
        let record = Record::new(me.incarnation, nonce, base, body);
        self.write = Some(Write::new(number, record, claims, calls));
    }

    /// Handles the reply to a call of the current write; applies a recorded write to the chain.
    pub(super) fn write_reply(
        &mut self,
        call: CallId,
        reply: Reply,
        calls: &mut Calls,
        now: Millis,
    ) -> WriteOutcome {
        let Some(write) = &mut self.write else {
            return WriteOutcome::Pending;
        };
        let outcome = write.reply(call, reply, calls, now);
        if let WriteOutcome::Recorded(_) = outcome {
            let number = self.chain.next();
            if self.chain.apply(number, write.record()).is_err() {
                return WriteOutcome::Unreadable;
            }
            self.write = None;
        }
        outcome
    }

    /// The chain, continued by another writer's record at the number of the attempted write.
    pub(super) fn into_chain_with(mut self, record: &Record) -> Result<Chain> {
        let number = self.chain.next();
        self.chain.apply(number, record)?;
        Ok(self.chain)
    }

    /// Lists objects after the last one.
    ///
    /// There are some if the last number had been used and deleted before, or if there is a newer owner.
    pub(super) fn list_successors(&self, calls: &mut Calls) -> CallId {
        calls.list(self.chain.last, 1)
    }

    /// Starts batches and deletions as the owner.
    pub(super) fn begin(&mut self, now: Millis) {
        self.sweep.start(self.chain.obsolete.clone(), now);
        self.next_batch = now;
        self.started = now;
    }

    /// Handles the reply to a call of the sweep; returns whether it was one.
    pub(super) fn sweep_reply(
        &mut self,
        call: CallId,
        reply: &Reply,
        calls: &mut Calls,
        now: Millis,
    ) -> bool {
        if !self.sweep.is_own_call(call) {
            return false;
        }
        let interval = calls.delete_interval();
        if self.sweep.reply(reply, calls.shard(), interval, now) {
            self.chain.obsolete.clear();
        }
        true
    }

    /// Grants the claims of a recorded write.
    pub(super) fn finish_write(
        &mut self,
        claims: Vec<PendingClaim>,
        calls: &mut Calls,
        stats: &mut LogStats,
        now: Millis,
    ) {
        if self.chain.base == self.chain.last {
            stats.checkpoints += 1;
            self.sweep.start(self.chain.obsolete.clone(), now);
        } else {
            stats.batches += 1;
        }
        let table = &self.chain.table;
        let holds =
            |id: &ClaimId, key: &mut KeyHash| table.get(key).is_some_and(|claim| claim.id == *id);
        self.refused.retain(holds);
        for pending in claims {
            if pending.refused {
                stats.late += 1;
                self.refused.insert(pending.id(), pending.key);
            } else {
                pending.answer(ClaimStatus::Granted, calls, stats);
            }
        }
    }

    /// Answers `NotOwner` to the claims of a write whose number another writer has taken.
    pub(super) fn refuse_write(&mut self, calls: &mut Calls, stats: &mut LogStats) {
        let claims = self.write.take().map(|write| write.claims);
        for pending in claims.into_iter().flatten().filter(|w| !w.refused) {
            pending.answer(ClaimStatus::NotOwner, calls, stats);
        }
    }

    /// Refuses the overdue claims of the current write.
    pub(super) fn expire(
        &mut self,
        is_overdue: impl Fn(&PendingClaim) -> bool,
        calls: &mut Calls,
        stats: &mut LogStats,
    ) {
        let claims = self.write.iter_mut().flat_map(|write| &mut write.claims);
        for pending in claims.filter(|w| !w.refused && is_overdue(w)) {
            pending.refused = true;
            pending.answer(ClaimStatus::Unavailable, calls, stats);
        }
    }

    pub(super) fn tick(&mut self, calls: &mut Calls, now: Millis) {
        if let Some(write) = &mut self.write {
            write.tick(calls, now);
        }
        self.sweep.tick(calls, now);
    }

    /// Writes `Close`, unless a write is in flight.
    pub(super) fn close(&mut self, calls: &mut Calls, me: &ProcessId) {
        if self.write.is_none() {
            self.write(Body::Close(Close {}), Vec::new(), calls, me);
        }
    }

    /// Writes a checkpoint or a batch if one is due.
    pub(super) fn write_due(&mut self, context: &mut BatchContext<'_>, now: Millis) {
        if self.write.is_some() {
            return;
        }
        if self.is_checkpoint_due(context.limits) {
            for (id, key) in std::mem::take(&mut self.refused) {
                self.chain.void(&key, id);
            }
            let checkpoint = self
                .chain
                .checkpoint(context.wall, context.limits.segment_claims);
            self.write(
                Body::Checkpoint(checkpoint),
                Vec::new(),
                context.calls,
                context.me,
            );
            return;
        }
        if now < self.next_batch || (context.queue.is_empty() && self.refused.is_empty()) {
            return;
        }
        let draft = build_batch(context, &self.chain, &self.refused);
        if draft.claims.is_empty() && draft.batch.voids.is_empty() {
            return;
        }
        self.next_batch = now + context.limits.batch_interval;
        self.write(
            Body::Batch(draft.batch),
            draft.claims,
            context.calls,
            context.me,
        );
    }

    fn is_checkpoint_due(&self, limits: &LogLimits) -> bool {
        self.chain.tail_length() >= limits.checkpoint_objects
            || self.chain.uncheckpointed() >= limits.checkpoint_claims
    }
}
