//! Ownership of a chain, from its `open` to its `close` or to the next owner's `open`.

use std::collections::HashMap;

use derive_more::Debug;
use rand::RngExt;

use crate::claims::chain::{Chain, Result};
use crate::claims::hash::KeyHash;
use crate::claims::log::batch::{Waiting, Work, draft};
use crate::claims::log::calls::Calls;
use crate::claims::log::event::{CallId, ClaimStatus, LogLimits, ProcessId, Reply};
use crate::claims::log::stats::LogStats;
use crate::claims::log::sweep::Sweep;
use crate::claims::log::write::{Settled, Write};
use crate::claims::record::{Body, Close, Record};
use crate::claims::table::ClaimId;
use crate::clock::Millis;

#[derive(Debug)]
pub(super) struct Tenure {
    chain: Chain,
    /// The one write on its way; no number after it is used before it is settled.
    write: Option<Write>,
    sweep: Sweep,
    /// Claims that are recorded though their claimants were refused.
    refused: HashMap<ClaimId, KeyHash>,
    /// Earliest time of the next batch.
    write_at: Millis,
    since: Millis,
}

impl Tenure {
    pub(super) fn new(chain: Chain, now: Millis) -> Self {
        Self {
            chain,
            write: None,
            sweep: Sweep::default(),
            refused: HashMap::new(),
            write_at: now,
            since: now,
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

    pub(super) const fn lasted(&self, now: Millis) -> Millis {
        now.since(self.since)
    }

    pub(super) const fn write_at(&self) -> Millis {
        match self.write {
            Some(_) => Millis::MAX,
            None => self.write_at,
        }
    }

    /// When the claimant that has waited longest for the present write asked.
    pub(super) fn oldest_ask(&self) -> Option<Millis> {
        let asks = self.write.iter().flat_map(|write| &write.asks);
        asks.filter(|w| !w.refused).map(|w| w.since).min()
    }

    pub(super) fn wake(&self) -> Millis {
        let idle = if self.refused.is_empty() {
            Millis::MAX
        } else {
            self.write_at
        };
        let write = self.write.as_ref().map_or(idle, Write::wake);
        write.min(self.sweep.wake())
    }

    /// Starts a write at the next number.
    pub(super) fn write(
        &mut self,
        body: Body,
        asks: Vec<Waiting>,
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
        self.write = Some(Write::new(number, record, asks, calls));
    }

    /// Takes the reply to a call of the write; a recorded one joins the chain.
    pub(super) fn settle(
        &mut self,
        call: CallId,
        reply: Reply,
        calls: &mut Calls,
        now: Millis,
    ) -> Settled {
        let Some(write) = &mut self.write else {
            return Settled::Pending;
        };
        let settled = write.reply(call, reply, calls, now);
        if let Settled::Recorded(_) = settled {
            let number = self.chain.next();
            if self.chain.apply(number, write.record()).is_err() {
                return Settled::Unreadable;
            }
            self.write = None;
        }
        settled
    }

    /// The chain with another writer's object at the number that was tried.
    pub(super) fn follow(mut self, record: &Record) -> Result<Chain> {
        let number = self.chain.next();
        self.chain.apply(number, record)?;
        Ok(self.chain)
    }

    /// Lists objects after the last: there are some if the last was deleted once, or if it was replaced.
    pub(super) fn list_later(&self, calls: &mut Calls) -> CallId {
        calls.list(self.chain.last, 1)
    }

    /// Starts work as the owner.
    pub(super) fn begin(&mut self, now: Millis) {
        self.sweep.start(self.chain.obsolete.clone(), now);
        self.write_at = now;
        self.since = now;
    }

    /// Whether the reply was to a deletion.
    pub(super) fn sweep_reply(
        &mut self,
        call: CallId,
        reply: &Reply,
        calls: &mut Calls,
        now: Millis,
    ) -> bool {
        if !self.sweep.is_waiting(call) {
            return false;
        }
        let pace = calls.delete_interval();
        if self.sweep.reply(reply, calls.shard(), pace, now) {
            self.chain.obsolete.clear();
        }
        true
    }

    /// Answers the claimants of a recorded write.
    pub(super) fn recorded(
        &mut self,
        asks: Vec<Waiting>,
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
        for waiting in asks {
            if waiting.refused {
                stats.late += 1;
                self.refused.insert(waiting.id(), waiting.key);
            } else {
                waiting.answer(ClaimStatus::Granted, calls, stats);
            }
        }
    }

    /// Sends the claimants of a write that lost its number to the next owner.
    pub(super) fn fenced(&mut self, calls: &mut Calls, stats: &mut LogStats) {
        let asks = self.write.take().map(|write| write.asks);
        for waiting in asks.into_iter().flatten().filter(|w| !w.refused) {
            waiting.answer(ClaimStatus::NotOwner, calls, stats);
        }
    }

    /// Refuses claimants whose claims are being written, where `late` holds.
    pub(super) fn expire(
        &mut self,
        late: impl Fn(&Waiting) -> bool,
        calls: &mut Calls,
        stats: &mut LogStats,
    ) {
        let asks = self.write.iter_mut().flat_map(|write| &mut write.asks);
        for waiting in asks.filter(|w| !w.refused && late(w)) {
            waiting.refused = true;
            waiting.answer(ClaimStatus::Unavailable, calls, stats);
        }
    }

    pub(super) fn tick(&mut self, calls: &mut Calls, now: Millis) {
        if let Some(write) = &mut self.write {
            write.tick(calls, now);
        }
        self.sweep.tick(calls, now);
    }

    /// Ends the tenure, unless a write has to be settled first.
    pub(super) fn close(&mut self, calls: &mut Calls, me: &ProcessId) {
        if self.write.is_none() {
            self.write(Body::Close(Close {}), Vec::new(), calls, me);
        }
    }

    /// Writes what is due.
    pub(super) fn pump(&mut self, work: &mut Work<'_>, now: Millis) {
        if self.write.is_some() {
            return;
        }
        if self.is_checkpoint_due(work.limits) {
            for (id, key) in std::mem::take(&mut self.refused) {
                self.chain.void(&key, id);
            }
            let checkpoint = self.chain.checkpoint(work.wall, work.limits.segment_claims);
            self.write(
                Body::Checkpoint(checkpoint),
                Vec::new(),
                work.calls,
                work.me,
            );
            return;
        }
        if now < self.write_at || (work.queue.is_empty() && self.refused.is_empty()) {
            return;
        }
        let draft = draft(work, &self.chain, &self.refused);
        if draft.asks.is_empty() && draft.batch.voids.is_empty() {
            return;
        }
        self.write_at = now + work.limits.batch_interval;
        self.write(Body::Batch(draft.batch), draft.asks, work.calls, work.me);
    }

    fn is_checkpoint_due(&self, limits: &LogLimits) -> bool {
        self.chain.tail_length() >= limits.checkpoint_objects
            || self.chain.uncheckpointed() >= limits.checkpoint_claims
    }
}
