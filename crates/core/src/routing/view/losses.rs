//! Endpoints that lose requests, in the choice of one, and what the daemons tell each other of them.

use derive_more::Debug;
use rand::RngExt;

use super::View;
use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::ablation::{Mechanism, is_on};
use crate::routing::endpoint::InstanceId;
use crate::routing::exchange::{self, Loss};
use crate::routing::health::HealthStatus;
use crate::routing::losses::{Change, Losses, OWN, Sign};

/// An endpoint that is out for requests that may run only once, or back.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct LossChange {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// What changed.
    pub change: Change,
    /// Whether this daemon's own losses were the last evidence.
    pub is_own: bool,
}

impl View {
    /// Records that this daemon lost a request at an endpoint, or was refused a connection; to be
    /// told to the others.
    pub fn record_loss_sign(
        &mut self,
        id: &InstanceId,
        sign: Sign,
        now: Millis,
    ) -> Option<LossChange> {
        if !is_on(Mechanism::LossNews) || !self.directory.is_listed(id) {
            return None;
        }
        let short = exchange::short_id(id);
        let (is_new, change) = self.losses.record(OWN, short, sign, now, now);
        if is_new {
            self.untold.push((short, sign, now));
            self.has_told_losses = true;
        }
        let change = self.apply_loss(short, change?, now)?;
        Some(LossChange {
            is_own: true,
            ..change
        })
    }

    /// Records that an endpoint answered a request that was sent at a time; returns whether that is
    /// to be told to the others.
    pub fn record_loss_answer(&mut self, id: &InstanceId, sent: Millis, now: Millis) -> bool {
        if self.losses.is_empty() {
            return false;
        }
        let short = exchange::short_id(id);
        let is_first = self.losses.record_answer(short, sent, now);
        if is_first {
            self.untold.push((short, Sign::Answered, now));
        }
        is_first
    }

    /// Withdraws what this daemon saw and told: its own link was the cause.
    pub fn withdraw_losses(&mut self, now: Millis) {
        self.losses.withdraw(OWN, now);
        if std::mem::take(&mut self.has_told_losses) {
            self.untold.push((0, Sign::Withdrawn, now));
        }
    }

    /// What this daemon saw and didn't tell the others yet: short ids, and what happened when.
    pub fn take_untold(&mut self) -> Vec<(u32, Sign, Millis)> {
        std::mem::take(&mut self.untold)
    }

    /// Applies what other daemons saw; returns the endpoints that go out by it.
    pub fn merge_losses(&mut self, losses: &[Loss], now: Millis) -> Vec<LossChange> {
        if !is_on(Mechanism::LossNews) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for Loss {
            endpoint,
            reporter,
            sign,
            at,
            ..
        } in losses
        {
            match sign {
                Sign::Cut => {
                    self.doubts.record(*reporter, *endpoint, *at);
                }
                Sign::Withdrawn => self.doubts.withdraw(*reporter, *at),
                _ => {}
            }
            let (_, change) = self.losses.record(*reporter, *endpoint, *sign, *at, now);
            changes.extend(change.and_then(|change| self.apply_loss(*endpoint, change, now)));
        }
        changes
    }

    /// The change of a listed endpoint. Its first trial is put off.
    fn apply_loss(&mut self, short: u32, change: Change, now: Millis) -> Option<LossChange> {
        let share = self.rng.random();
        self.losses.stagger(short, self.daemons, share, now);
        let endpoint = self.directory.with_short_id(short).next()?;
        Some(LossChange {
            endpoint: endpoint.id.clone(),
            change,
            is_own: false,
        })
    }

    /// Endpoints that are back since the last call.
    pub fn review_losses(&mut self, now: Millis) -> Vec<LossChange> {
        let back = self.losses.review(now);
        let listed = back
            .iter()
            .filter_map(|short| self.directory.with_short_id(*short).next());
        let back = listed.map(|endpoint| LossChange {
            endpoint: endpoint.id.clone(),
            change: Change::Back,
            is_own: false,
        });
        back.collect()
    }

    /// Whether other daemons lost an endpoint, too, so that a connection that fails says nothing of
    /// this daemon's own links.
    pub fn is_lost_to_others(&self, id: &InstanceId, now: Millis) -> bool {
        let short = || exchange::short_id(id);
        !self.losses.is_empty() && self.losses.is_lost_to_others(short(), now)
    }

    /// Number of endpoints that are out.
    pub fn out_count(&self, now: Millis) -> usize {
        self.losses.all_out(now).count()
    }

    /// Records that an endpoint is sent a trial.
    pub(super) fn record_loss_trial(&mut self, id: &InstanceId, now: Millis) {
        if !self.losses.is_empty() {
            self.losses.record_trial(exchange::short_id(id), now);
        }
    }

    /// Whether some endpoints of a pool are out, but not all of them: a request has to go somewhere.
    pub(super) fn has_losses(&self, pool: &PoolId, now: Millis) -> bool {
        if self.losses.is_empty() {
            return false;
        }
        let out = self.losses.all_out(now);
        let out = out.flat_map(|short| self.directory.with_short_id(short));
        let out = out.filter(|endpoint| endpoint.pool == *pool && !endpoint.leaving);
        let staying = self
            .directory
            .get_pool(pool)
            .map_or(0, |pool| pool.staying());
        (1..staying).contains(&out.count())
    }
}

/// Health of an endpoint that may be out, too.
pub(super) fn with_losses(
    health: HealthStatus,
    losses: &Losses,
    id: &InstanceId,
    daemons: u32,
    now: Millis,
) -> HealthStatus {
    match losses.out(exchange::short_id(id), daemons, now) {
        None => health,
        Some(true) => health.max(HealthStatus::Trial),
        Some(false) => health.max(HealthStatus::Bad),
    }
}
