//! Endpoints that give no sign of life while they have requests of this daemon.

use super::View;
use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::attempt::Fault;
use crate::routing::endpoint::InstanceId;
use crate::routing::health::HealthStatus;
use crate::routing::runs::Silences;
use crate::routing::silence::{Left, MIN_SILENCE, SeenSilence, SilentEndpoints, is_common};

impl View {
    /// Time since an endpoint gave a sign of life, if it has requests of this daemon.
    pub fn silence_of(&self, id: &InstanceId, now: Millis) -> Option<Millis> {
        self.runs.silence(id, now)
    }

    /// The silence of an endpoint that has requests of this daemon.
    pub fn silence(&self, id: &InstanceId, now: Millis) -> Option<SeenSilence> {
        let lasted = self.runs.silence(id, now)?;
        let pool = &self.directory.get(id)?.pool;
        let is_other = |other: &InstanceId| {
            let listed = self.directory.get(other);
            other != id && listed.is_some_and(|endpoint| endpoint.pool == *pool)
        };
        let least = Millis(lasted.0 / 2).max(MIN_SILENCE);
        let others: Silences = self.runs.silences(is_other, least, now);
        Some(SeenSilence { lasted, others })
    }

    /// Records that a request that was sent at `sent` isn't answered by its endpoint, or not to its
    /// end. `silence` is the endpoint's. One that answers others, or that didn't answer a trial, is
    /// failing; one that is silent is avoided until it gives a sign.
    pub fn record_unanswered(
        &mut self,
        id: &InstanceId,
        silence: Option<SeenSilence>,
        sent: Millis,
        now: Millis,
    ) -> Left {
        if !self.directory.is_listed(id) {
            return Left::Noted;
        }
        let is_silent = silence.is_some_and(|silence| silence.is_silent());
        if !is_silent {
            self.record_failure(id, Fault::Slow, now);
            return Left::Noted;
        }
        let left = self.silent.record_left(id, sent, now);
        let hangs = silence.is_some_and(|silence| silence.hangs());
        if left == Left::TrialFailed || hangs {
            self.record_failure(id, Fault::Slow, now);
        }
        left
    }

    /// Records that an endpoint gave a sign of life; returns whether it was avoided until now.
    pub fn end_silence(&mut self, id: &InstanceId) -> bool {
        self.silent.record_sign(id)
    }

    /// Whether no endpoint of a pool is avoided for its silence since so many would be.
    pub(super) fn has_common_silence(&self, pool: &PoolId) -> bool {
        let mut avoided = 0;
        for id in self.silent.all_avoided() {
            let endpoint = self.directory.get(id);
            avoided += usize::from(endpoint.is_some_and(|e| e.pool == *pool && !e.leaving));
        }
        let listed = self.directory.get_pool(pool);
        is_common(avoided, listed.map_or(0, |pool| pool.staying()))
    }
}

/// Health of an endpoint that may be avoided for its silence, too.
pub(super) fn with_silence(
    health: HealthStatus,
    silent: &SilentEndpoints,
    id: &InstanceId,
    now: Millis,
) -> HealthStatus {
    match silent.avoided(id, now) {
        None => health,
        Some(true) => health.max(HealthStatus::Trial),
        Some(false) => health.max(HealthStatus::Bad),
    }
}
