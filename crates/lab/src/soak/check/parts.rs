//! What becomes of sound requests beside those that share a part and end endpoints.

use std::time::Instant;

use super::super::plan::Fault;
use super::super::traffic::{CRASHING_ID, Sent};
use super::super::world::World;
use super::{CONTACT, ENOUGH_OF_PART, TROUBLE, Violation};

/// Requests before and after that are needed to compare their shares.
const COMPARED_MIN: usize = 20;

/// Whether sound requests are served less than half as often as before, from twice the time in which
/// all know on.
pub fn starved(world: &World, calls: &[Sent]) -> Option<Violation> {
    world.part?;
    let crashes = world.done.iter().filter(|done| is_crash(&done.fault));
    let times: Vec<Instant> = crashes.map(|done| done.from).collect();
    let known = times.get(ENOUGH_OF_PART - 1).or(times.last())?.to_owned();
    let first = *times.first()?;
    let sound = || {
        calls
            .iter()
            .filter(|sent| !sent.call.attempt.starts_with(CRASHING_ID))
    };
    let calm = |sent: &&Sent| !is_harmed_otherwise(world, sent);
    let before: Vec<&Sent> = sound()
        .filter(|sent| sent.to < first)
        .filter(calm)
        .collect();
    let from = known + CONTACT + CONTACT;
    let after: Vec<&Sent> = sound()
        .filter(|sent| sent.from > from)
        .filter(calm)
        .collect();
    let served = |sent: &[&Sent]| sent.iter().filter(|sent| sent.reply.is_success()).count();
    if before.len().min(after.len()) < COMPARED_MIN {
        return None;
    }
    let (served_before, served_after) = (served(&before), served(&after));
    let is_half = 2 * served_after * before.len() >= served_before * after.len();
    (!is_half).then_some(Violation::Starved {
        served: served_after,
        sent: after.len(),
        before: 100 * served_before / before.len(),
    })
}

const fn is_crash(fault: &Fault) -> bool {
    matches!(fault, Fault::Crash(_))
}

/// Whether another unplanned fault was going on, or had ended shortly before.
fn is_harmed_otherwise(world: &World, sent: &Sent) -> bool {
    world.done.iter().any(|done| {
        let is_other = !is_crash(&done.fault) && !done.fault.is_planned();
        is_other && done.from <= sent.to && done.end() + TROUBLE >= sent.from
    })
}
