//! Evidence against causes of crashes, and what it means for a request.

use super::{ChooseError, Result, View};
use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::endpoint::{Build, InstanceId};
use crate::routing::exchange;
use crate::routing::fingerprint::Fingerprint;
use crate::routing::plan::RetryPlan;
use crate::routing::quarantine::{Change, Lapse};
use crate::routing::runs::{Complete, RunId, Runs, SilentLoss};

/// Time between the trials of two daemons, and of one, after a quarantine: by then it is known how
/// the one before ended.
const TRIAL_INTERVAL: Millis = Millis(3000);

/// What the quarantine means for one request.
#[derive(Default)]
pub(super) struct Verdict {
    /// Software versions to which it isn't sent.
    pub refused: Vec<Build>,
    /// Causes whose quarantine is over, and which it would try.
    trials: Vec<Fingerprint>,
}

impl View {
    /// What in a request may crash an instance. Endpoints that aren't listed any more have no known
    /// software version.
    pub(super) fn causes(&self, plan: &RetryPlan, id: &InstanceId) -> Vec<Fingerprint> {
        let listed = self.directory.get(id);
        let unknown = Build::from("");
        plan.causes()
            .at(listed.map_or(&unknown, |listed| &listed.build))
    }

    /// Records that an endpoint was lost with a request, even if it isn't listed any more; `began` is
    /// when the head of its response was received. Returns changes of the quarantine.
    pub fn record_loss(
        &mut self,
        plan: &RetryPlan,
        id: &InstanceId,
        began: Option<Millis>,
        now: Millis,
    ) -> Vec<Change> {
        let causes = self.causes(plan, id);
        let endpoint = exchange::short_id(id);
        self.quarantine.record_losses(&causes, endpoint, began, now)
    }

    /// Records that an endpoint gave a complete response to a request, whose head was received at
    /// `began`. Returns changes of the quarantine.
    pub fn record_response(
        &mut self,
        plan: &RetryPlan,
        id: &InstanceId,
        began: Millis,
        now: Millis,
    ) -> Vec<Change> {
        let causes = self.causes(plan, id);
        self.quarantine.record_response(&causes, began, now)
    }

    /// This daemon's requests at endpoints.
    pub const fn runs(&mut self) -> &mut Runs {
        &mut self.runs
    }

    /// Records a head or an event of a response. Returns changes of the quarantine.
    pub fn record_sign(&mut self, id: &InstanceId, run_id: RunId, now: Millis) -> Vec<Change> {
        let complete = self.runs.record_sign(id, run_id, now);
        let record = |Complete { causes, began }: Complete| {
            self.quarantine.record_response(&causes, began, now)
        };
        complete.into_iter().flat_map(record).collect()
    }

    /// Records that an instance left the list. What it ran in silence was lost with it. Returns
    /// changes of the quarantine.
    pub fn record_gone(&mut self, id: &InstanceId, now: Millis) -> Vec<Change> {
        let endpoint = exchange::short_id(id);
        let lost = self.runs.take_lost(id, now);
        let record = |SilentLoss { causes, began, at }: SilentLoss| {
            self.quarantine.record_losses(&causes, endpoint, began, at)
        };
        lost.into_iter().flat_map(record).collect()
    }

    /// Whether a request is the most likely cause of the loss of several endpoints.
    pub fn is_prime_suspect(&self, plan: &RetryPlan, id: &InstanceId) -> bool {
        let causes = self.causes(plan, id);
        self.quarantine.is_prime_suspect(&causes)
    }

    /// What the quarantine means for a request.
    ///
    /// # Errors
    ///
    /// If no software version of the pool may be sent it.
    pub(super) fn check_quarantine(
        &self,
        pool: &PoolId,
        plan: &RetryPlan,
        now: Millis,
    ) -> Result<Verdict> {
        let mut verdict = Verdict::default();
        if !self.quarantine.has_holds() {
            return Ok(verdict);
        }
        let listed = self.directory.get_pool(pool);
        let builds = listed.into_iter().flat_map(|listed| listed.builds());
        let mut shortest: Option<Millis> = None;
        let mut is_open = false;
        for build in builds.filter(|build| plan.accepts(build)) {
            let causes = plan.causes().at(build);
            let lapse = self.quarantine.lapse(&causes, now);
            let wait = self.quarantine.remaining_of(&causes, now);
            let wait = wait.or_else(|| lapse.and_then(|lapse| self.trial_wait(lapse, now)));
            match wait {
                Some(wait) => {
                    shortest = Some(shortest.map_or(wait, |shortest| shortest.min(wait)));
                    verdict.refused.push(build.clone());
                }
                None => {
                    is_open = true;
                    verdict.trials.extend(lapse.map(|lapse| lapse.cause));
                }
            }
        }
        match shortest {
            Some(wait) if !is_open => Err(ChooseError::Quarantined { wait }),
            _ => Ok(verdict),
        }
    }

    /// Time until this daemon may try a request with a cause whose quarantine is over; `None` if it
    /// may now. Daemons take turns by rank, since one of them may get no such request.
    fn trial_wait(&self, lapse: Lapse, now: Millis) -> Option<Millis> {
        let Some(rank) = self.fleet.rank(&lapse.cause.to_string()) else {
            return Some(TRIAL_INTERVAL);
        };
        let turn = Millis(TRIAL_INTERVAL.0 * rank as u64).since(lapse.ago);
        let last = self.trials.get(&lapse.cause);
        let pause = last.map_or(Millis::ZERO, |last| TRIAL_INTERVAL.since(now.since(*last)));
        let wait = turn.max(pause);
        (wait > Millis::ZERO).then_some(wait)
    }

    /// Records the trials of a request that is sent.
    pub(super) fn record_trials(&mut self, verdict: &Verdict, build: &Build, now: Millis) {
        if verdict.trials.is_empty() || verdict.refused.contains(build) {
            return;
        }
        self.trials.retain(|_, at| now.since(*at) < TRIAL_INTERVAL);
        self.trials
            .extend(verdict.trials.iter().map(|cause| (*cause, now)));
    }
}
