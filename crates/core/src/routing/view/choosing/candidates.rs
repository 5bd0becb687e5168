//! Candidates for one request.

use std::collections::HashSet;
use std::sync::Arc;

use super::allowances::Allowances;
use crate::clock::Millis;
use crate::ids::DataCentreId;
use crate::routing::brittle::Brittle;
use crate::routing::choose::Candidate;
use crate::routing::directory::Listed;
use crate::routing::doubts::Doubts;
use crate::routing::endpoint::{Build, Endpoint};
use crate::routing::exchange;
use crate::routing::health::{Health, PoolFailures};
use crate::routing::load::{Estimate, LoadTracker};
use crate::routing::losses::Losses;
use crate::routing::plan::RetryPlan;
use crate::routing::prefix_index::PrefixIndex;
use crate::routing::request::SharedPrefix;
use crate::routing::silence::SilentEndpoints;
use crate::routing::slow_start::Allowance;
use crate::routing::view::losses::with_losses;
use crate::routing::view::silence::with_silence;
use crate::routing::work::PoolWork;
use crate::routing::work::outlook::patience;

/// Builds the candidates for one request.
pub(super) struct CandidateSource<'a> {
    pub(super) loads: &'a LoadTracker,
    pub(super) work: PoolWork<'a>,
    /// Time to read what an endpoint may have cached of the prompt, else all of it.
    pub(super) reading: f64,
    pub(super) health: &'a Health,
    /// Endpoints that are avoided for their silence.
    pub(super) silent: Option<&'a SilentEndpoints>,
    /// Endpoints that are out for what may run only once.
    pub(super) losses: Option<&'a Losses>,
    pub(super) prefix_index: &'a PrefixIndex,
    pub(super) drained: &'a HashSet<DataCentreId>,
    pub(super) allowances: Allowances<'a>,
    /// Limits of a pool whose endpoints fail if they turn many requests away.
    pub(super) brittle: Option<&'a mut Brittle>,
    /// Live daemons, which share the probes of an avoided endpoint.
    pub(super) daemons: u32,
    pub(super) plan: &'a RetryPlan,
    /// Software versions that requests like it have crashed.
    pub(super) refused: &'a [Build],
    /// Software versions at which the request isn't begun.
    pub(super) paused: &'a [Build],
    /// Instances to which it isn't sent, since their software version is in doubt.
    pub(super) doubts: Option<&'a Doubts>,
    pub(super) shared: Option<&'a SharedPrefix>,
    pub(super) failures: PoolFailures,
    pub(super) now: Millis,
}

impl CandidateSource<'_> {
    pub(super) fn candidate(&mut self, listed: &Listed) -> Candidate {
        let (endpoint, now) = (&listed.endpoint, self.now);
        let id = &endpoint.id;
        let estimate = self.loads.estimate(id, now);
        let health = self.health.snapshot(id, now);
        let others = self.failures.mean_of_others(health.failures);
        let health = health.status(others, self.daemons, now);
        let health = match self.silent {
            Some(silent) => with_silence(health, silent, id, now),
            None => health,
        };
        Candidate {
            load: self.load(estimate),
            load_age: estimate.age,
            health: match self.losses {
                Some(losses) => with_losses(health, losses, id, self.daemons, now),
                None => health,
            },
            tried: self.plan.has_tried(id),
            drained: self.drained.contains(&endpoint.data_centre),
            allowance: self.allowance(endpoint, estimate.extrapolated),
            age: now.since(listed.since),
            prefix_age: self.prefix_age(endpoint),
            outlook: self.work.outlook(id, now),
            reading: self.reading,
            patience: patience(self.reading, self.plan.target()),
            endpoint: Arc::clone(endpoint),
        }
    }

    fn allowance(&mut self, endpoint: &Endpoint, load: f64) -> Allowance {
        if !self.fits_version(endpoint) {
            return Allowance::Nothing;
        }
        let (fleet, now) = (self.allowances.fleet, self.now);
        let brittle = self.brittle.as_mut();
        match brittle.is_none_or(|brittle| brittle.accepts(endpoint, load, fleet, now)) {
            true => self.allowances.get(&endpoint.id),
            false => Allowance::Nothing,
        }
    }

    /// Whether the request may run at the endpoint's software version.
    fn fits_version(&self, endpoint: &Endpoint) -> bool {
        let doubts = self.doubts;
        let is_doubtful = doubts.is_some_and(|doubts| doubts.contain(&endpoint.id, self.now));
        let is_paused =
            self.paused.contains(&endpoint.build) || self.refused.contains(&endpoint.build);
        self.plan.accepts(&endpoint.build) && !is_doubtful && !is_paused
    }

    /// The load to compare. Requests without a shared prefix are placed by load: if all daemons
    /// extrapolated random changes of load, they would avoid and fill the same endpoints together.
    const fn load(&self, estimate: Estimate) -> f64 {
        match self.shared {
            Some(_) => estimate.extrapolated,
            None => estimate.reported,
        }
    }

    fn prefix_age(&self, endpoint: &Endpoint) -> Option<Millis> {
        let prefix = exchange::short_key(self.shared?.key);
        if !self.prefix_index.is_known(prefix) {
            return None;
        }
        let short = exchange::short_id(&endpoint.id);
        self.prefix_index.age(prefix, short, self.now)
    }
}
