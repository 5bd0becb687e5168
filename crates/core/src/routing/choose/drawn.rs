//! The choice for a request without a shared prefix.

use rand_pcg::Pcg32;

use super::{Candidate, Choice, ChoiceReason, Ranked, choice, draw};
use crate::ids::DataCentreId;
use crate::routing::ablation::{Mechanism, is_on};

/// How much more often an idle endpoint of the same data centre is picked than one elsewhere. Kept
/// low, since a full queue costs more time than the longer network path.
const LOCAL_WEIGHT: f64 = 6.0;
/// Fraction of its slots that is added to the load of every endpoint. Loads are known with a delay
/// of many times the duration of a run: a lower value floods the least loaded endpoint, a higher
/// one gives too much to slow endpoints.
const BASE_LOAD: f64 = 0.6;

/// Picks an endpoint at random, with higher weights for lower loads and shorter waits.
pub(super) fn by_load(
    usable: &[Ranked<'_>],
    local: &DataCentreId,
    rng: &mut Pcg32,
) -> Option<Choice> {
    let weight = |c: &Candidate| {
        let load = c.load / f64::from(c.endpoint.slots.max(1));
        let locality = match c.endpoint.data_centre == *local && is_on(Mechanism::Near) {
            true => LOCAL_WEIGHT,
            false => 1.0,
        };
        c.outlook.weight() * c.long_weight() * locality / (load + BASE_LOAD).powi(2)
    };
    let usable: Vec<&Candidate> = usable.iter().map(|r| r.candidate).collect();
    let picked = draw(&usable, weight, rng)?;
    Some(choice(picked, ChoiceReason::Drawn))
}
