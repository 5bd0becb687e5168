//! Calls to the platform and answers to claimants that wait to be carried out.

use bytes::Bytes;
use derive_more::Debug;
use rand_pcg::Pcg64;

use crate::claims::backoff::Backoff;
use crate::claims::log::event::{Action, CallId, LogLimits, Verdict};
use crate::claims::log::stats::LogStats;
use crate::claims::record::{object_key, shard_prefix};
use crate::claims::table::Claim;
use crate::clock::Millis;
use crate::ids::Incarnation;
use crate::wire::{ClaimAnswer, ClaimRequest};

/// Failures in a row after which the platform counts as down.
const DOWN_FAILURES: u32 = 2;

/// Numbers calls and collects actions.
#[derive(Debug)]
pub(super) struct Calls {
    shard: u16,
    next: u64,
    actions: Vec<Action>,
    backoff: Backoff,
    delete_pace: Millis,
    #[debug(skip)]
    rng: Pcg64,
}

impl Calls {
    pub(super) const fn new(shard: u16, rng: Pcg64, limits: &LogLimits) -> Self {
        Self {
            shard,
            next: 0,
            actions: Vec::new(),
            backoff: limits.retry_backoff(),
            delete_pace: limits.delete_pace,
            rng,
        }
    }

    pub(super) const fn set_limits(&mut self, limits: &LogLimits) {
        self.backoff = limits.retry_backoff();
        self.delete_pace = limits.delete_pace;
    }

    pub(super) const fn delete_pace(&self) -> Millis {
        self.delete_pace
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

    fn call(&mut self) -> CallId {
        self.next += 1;
        CallId(self.next)
    }

    pub(super) fn create(&mut self, number: u64, bytes: Bytes) -> CallId {
        let call = self.call();
        let key = object_key(self.shard, number);
        self.actions.push(Action::Create { call, key, bytes });
        call
    }

    pub(super) fn read(&mut self, number: u64) -> CallId {
        let call = self.call();
        let key = object_key(self.shard, number);
        self.actions.push(Action::Read { call, key });
        call
    }

    pub(super) fn list(&mut self, after: u64, limit: usize) -> CallId {
        let call = self.call();
        self.actions.push(Action::List {
            call,
            prefix: shard_prefix(self.shard),
            after: object_key(self.shard, after),
            limit,
        });
        call
    }

    pub(super) fn delete(&mut self, number: u64, version: u64) -> CallId {
        let call = self.call();
        let key = object_key(self.shard, number);
        self.actions.push(Action::Delete { call, key, version });
        call
    }

    pub(super) fn answer(
        &mut self,
        ask: &ClaimRequest,
        verdict: Verdict,
        holder: Option<&Claim>,
        stats: &mut LogStats,
    ) {
        stats.verdicts[verdict as usize] += 1;
        let mut answer = ClaimAnswer {
            ask: ask.ask,
            verdict: verdict.code(),
            asker: ask.claimant,
            ..ClaimAnswer::default()
        };
        if let Some(claim) = holder {
            answer.claimant = claim.id.claimant.0;
            answer.daemon = claim.daemon.to_string();
            answer.request = claim.request.to_bytes().to_vec().into();
            answer.held = claim.id.ask;
        }
        self.actions.push(Action::Answer {
            to: ask.daemon.clone(),
            claimant: Incarnation(ask.claimant),
            answer,
        });
    }

    /// Counts a failure; returns when to try again.
    pub(super) fn fail(&mut self, now: Millis) -> Millis {
        now + self.backoff.fail(&mut self.rng)
    }

    pub(super) const fn succeed(&mut self) {
        self.backoff.succeed();
    }

    /// Delay before a reader starts anew.
    pub(super) fn restart_delay(&mut self) -> Millis {
        let mut backoff = self.backoff.clone();
        backoff.succeed();
        backoff.fail(&mut self.rng)
    }

    pub(super) const fn is_down(&self) -> bool {
        self.backoff.failures() >= DOWN_FAILURES
    }
}
