//! The load bound: how many requests an endpoint may get, compared with the mean of its pool.

use derive_more::Debug;

use super::Candidate;
use crate::routing::ablation::{Mechanism, is_on};

/// Load bound as a multiple of the pool's mean load. Lower than the load that endpoints are allowed
/// to reach, since loads are known with a delay.
const BOUND_FACTOR: f64 = 1.5;
/// The same for the mean of all endpoints, including those in drained data centres: these have
/// almost no load, yet they count in the mean that limits the load of endpoints.
const BOUND_FACTOR_ALL: f64 = 1.75;
/// Requests allowed on top of the bound; lets prefixes keep their endpoints in a nearly idle pool.
const BOUND_MARGIN: f64 = 2.0;
/// Bound if the mechanism is switched off: more requests than any endpoint has.
const UNBOUNDED: f64 = 1e9;
/// Load of some endpoints of a pool.
#[derive(Clone, Copy, PartialEq, Default)]
#[derive(Debug)]
pub struct LoadSum {
    /// Sum of their loads.
    pub load: f64,
    /// Number of endpoints.
    pub count: usize,
}

impl LoadSum {
    fn of<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Self {
        candidates.fold(Self::default(), |sum, candidate| Self {
            load: sum.load + candidate.load,
            count: sum.count + 1,
        })
    }

    fn mean(self) -> f64 {
        self.load / self.count.max(1) as f64
    }
}

/// Load up to which an endpoint is given further requests.
pub(super) fn bound(candidates: &[Candidate]) -> f64 {
    let staying = candidates.iter().filter(|c| !c.endpoint.leaving);
    let open = LoadSum::of(staying.clone().filter(|c| !c.drained));
    bound_of(open, LoadSum::of(staying))
}

/// The same, from the sums over endpoints that take work and over all that aren't leaving.
pub(super) fn bound_of(open: LoadSum, staying: LoadSum) -> f64 {
    if !is_on(Mechanism::Bound) {
        return UNBOUNDED;
    }
    (BOUND_FACTOR * open.mean()).min(BOUND_FACTOR_ALL * staying.mean()) + BOUND_MARGIN
}
