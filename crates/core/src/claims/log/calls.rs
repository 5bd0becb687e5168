//! Collects calls to the platform and answers to claimants for the driver.

use bytes::Bytes;
use derive_more::Debug;
use rand_pcg::Pcg64;

use crate::claims::backoff::Backoff;
use crate::claims::log::event::{Action, CallId, ClaimStatus, LogLimits};
use crate::claims::log::stats::LogStats;
use crate::claims::record::{object_key, shard_prefix};
use crate::claims::table::Claim;
use crate::clock::Millis;
use crate::ids::Incarnation;
use crate::wire::{ClaimAnswer, ClaimRequest};

/// Consecutive failures after which the platform counts as down.
const DOWN_FAILURES: u32 = 2;

/// Numbers calls, collects actions and tracks failures of the platform.
#[derive(Debug)]
pub(super) struct Calls {
    shard: u16,
    last_id: u64,
    actions: Vec<Action>,
    backoff: Backoff,
    delete_interval: Millis,
    #[debug(skip)]
    rng: Pcg64,
}

impl Calls {
    pub(super) const fn new(shard: u16, rng: Pcg64, limits: &LogLimits) -> Self {
        Self {
            shard,
            last_id: 0,
            actions: Vec::new(),
            backoff: limits.retry_backoff(),
            delete_interval: limits.delete_interval,
            rng,
        }
    }

    pub(super) const fn set_limits(&mut self, limits: &LogLimits) {
        self.backoff = limits.retry_backoff();
        self.delete_interval = limits.delete_interval;
    }

    pub(super) const fn delete_interval(&self) -> Millis {
        self.delete_interval
    }

    pub(super) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    pub(super) const fn rng(&mut self) -> &mut Pcg64 {
        &mut self.rng
    }

    pub(super) const fn shard(&self) -> u16 {
        self.shard
    }

    fn next_id(&mut self) -> CallId {
        self.last_id += 1;
        CallId(self.last_id)
    }

    pub(super) fn create(&mut self, number: u64, bytes: Bytes) -> CallId {
        let call = self.next_id();
        let key = object_key(self.shard, number);
        self.actions.push(Action::Create { call, key, bytes });
        call
    }

    pub(super) fn read(&mut self, number: u64) -> CallId {
        let call = self.next_id();
        let key = object_key(self.shard, number);
        self.actions.push(Action::Read { call, key });
        call
    }

    pub(super) fn list(&mut self, after: u64, limit: usize) -> CallId {
        let call = self.next_id();
        self.actions.push(Action::List {
            call,
            prefix: shard_prefix(self.shard),
            after: object_key(self.shard, after),
            limit,
        });
        call
    }

    pub(super) fn delete(&mut self, number: u64, version: u64) -> CallId {
        let call = self.next_id();
        let key = object_key(self.shard, number);
        self.actions.push(Action::Delete { call, key, version });
        call
    }

    pub(super) fn answer(
        &mut self,
        request: &ClaimRequest,
        status: ClaimStatus,
        holder: Option<&Claim>,
        stats: &mut LogStats,
    ) {
        stats.statuses[status as usize] += 1;
        let mut answer = ClaimAnswer {
            ask: request.ask,
            verdict: status.code(),
            asker: request.claimant,
            ..ClaimAnswer::default()
        };
        if let Some(claim) = holder {
            answer.claimant = claim.id.claimant.0;
            answer.daemon = claim.daemon.to_string();
            answer.request = claim.request.to_bytes().to_vec().into();
            answer.held = claim.id.number;
        }
        self.actions.push(Action::Answer {
            to: request.daemon.clone(),
            claimant: Incarnation(request.claimant),
            answer,
        });
    }

    /// Counts a failure and returns the time of the next attempt.
    pub(super) fn record_failure(&mut self, now: Millis) -> Millis {
        now + self.backoff.next_delay(&mut self.rng)
    }

    pub(super) const fn record_success(&mut self) {
        self.backoff.reset();
    }

    /// Delay before a reader restarts.
    pub(super) fn restart_delay(&mut self) -> Millis {
        let mut backoff = self.backoff.clone();
        backoff.reset();
        backoff.next_delay(&mut self.rng)
    }

    pub(super) const fn is_down(&self) -> bool {
        self.backoff.failures() >= DOWN_FAILURES
    }
}
