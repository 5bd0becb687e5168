//! Evidence against causes of crashes, and what it means for a request.

use super::{ChooseError, Result, View};
use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::endpoint::{Build, InstanceId};
use crate::routing::exchange;
use crate::routing::fingerprint::Fingerprint;
use crate::routing::plan::RetryPlan;
use crate::routing::quarantine::{Change, Standing};
use crate::routing::runs::{Complete, RunId, Runs, SilentLoss};

/// Time for which it is remembered that an instance left the list.
const GONE_MEMORY: Millis = Millis::from_secs(60);
/// Time of a daemon's turn to try one request: by its end it is known how that ended.
const TRIAL_INTERVAL: Millis = Millis(3000);
/// Daemons that take turns, at most.
const TRIAL_DAEMONS: usize = 64;

/// What the quarantine means for one request.
#[derive(Default)]
pub(super) struct Verdict {
    /// Software versions to which it isn't sent.
    pub refused: Vec<Build>,
    /// Software versions at which it would be a trial, and of what.
    trials: Vec<(Build, Fingerprint)>,
}

impl View {
    /// What in a request may crash an instance.
    pub(super) fn causes(&self, plan: &RetryPlan, id: &InstanceId) -> Vec<Fingerprint> {
        plan.causes().at(&self.build_of(id))
    }

    /// Software version of an instance; empty if it isn't listed any more.
    fn build_of(&self, id: &InstanceId) -> Build {
        let listed = self.directory.get(id);
        listed.map_or_else(|| Build::from(""), |listed| listed.build.clone())
    }

    /// What in a request may crash an instance, with the ids of parts of its prompt.
    pub fn named_causes(
        &self,
        plan: &RetryPlan,
        id: &InstanceId,
    ) -> Vec<(Fingerprint, Option<u64>)> {
        let build = self.build_of(id);
        let causes = plan.causes().at(&build).into_iter();
        causes
            .map(|cause| (cause, plan.causes().part(cause, &build)))
            .collect()
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
        if let Some(began) = self.runs.began(id, run_id) {
            self.doubts.record_sign(id, began, now);
        }
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
        self.gone.insert(id.clone(), now);
        let record = |SilentLoss { causes, began, at }: SilentLoss| {
            self.quarantine
                .record_losses_at(&causes, endpoint, began, at, now)
        };
        lost.into_iter().flat_map(record).collect()
    }

    pub(super) fn prune_gone(&mut self, now: Millis) {
        self.gone
            .retain(|_, left_at| now.since(*left_at) < GONE_MEMORY);
    }

    /// Whether an endpoint was lost with something that is in a request, too.
    pub fn is_suspect(&self, plan: &RetryPlan, id: &InstanceId) -> bool {
        let causes = self.causes(plan, id);
        causes
            .iter()
            .any(|cause| self.quarantine.is_suspect(*cause))
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
        let mut first: Option<ChooseError> = None;
        let mut is_open = false;
        for build in builds.filter(|build| plan.accepts(build)) {
            let causes = plan.causes().at(build);
            let standing = self.quarantine.standing(&causes, now);
            let refusal = standing.and_then(|standing| self.refusal(standing, now));
            if let Some((cause, wait)) = refusal {
                verdict.refused.push(build.clone());
                let part = plan.causes().part(cause, build);
                _ = first.get_or_insert(ChooseError::Quarantined { wait, cause, part });
                continue;
            }
            is_open = true;
            if let Some(Standing::Trial { cause, .. }) = standing {
                verdict.trials.push((build.clone(), cause));
            }
        }
        match first {
            Some(refusal) if !is_open => Err(refusal),
            _ => Ok(verdict),
        }
    }

    /// The cause for which a request isn't sent, and for how long; `None` if it is.
    fn refusal(&self, standing: Standing, now: Millis) -> Option<(Fingerprint, Millis)> {
        match standing {
            Standing::Held { cause, left } => Some((cause, left)),
            Standing::Trial { cause, ago } => Some((cause, self.trial_wait(cause, ago, now)?)),
        }
    }

    /// Time until this daemon may try a request with a cause for which trials began some time ago;
    /// `None` if it may now. Daemons take turns by rank, since one of them may get no such request.
    fn trial_wait(&self, cause: Fingerprint, ago: Millis, now: Millis) -> Option<Millis> {
        let turns = self.fleet.size().clamp(1, TRIAL_DAEMONS);
        let rank = self.fleet.rank(&cause.to_string());
        let is_turn =
            rank.is_some_and(|rank| ago.0 / TRIAL_INTERVAL.0 % turns as u64 == rank as u64);
        if !is_turn {
            return Some(TRIAL_INTERVAL);
        }
        let last = self.trials.get(&cause);
        let pause = last.map_or(Millis::ZERO, |last| TRIAL_INTERVAL.since(now.since(*last)));
        (pause > Millis::ZERO).then_some(pause)
    }

    /// Records that a request is sent to an endpoint of a software version.
    pub(super) fn record_trial(&mut self, verdict: &Verdict, build: &Build, now: Millis) {
        let trial = verdict.trials.iter().find(|(tried, _)| tried == build);
        if let Some((_, cause)) = trial {
            self.trials.retain(|_, at| now.since(*at) < TRIAL_INTERVAL);
            self.trials.insert(*cause, now);
        }
    }
}
