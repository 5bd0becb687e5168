//! Streams after all daemons were lost at once.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use derive_more::Debug;

use super::super::plan::Fault;
use super::super::traffic::{STREAM, Sent, events, first_attempt};
use super::super::world::World;
use super::Violation;
use super::builds::{begins, is_new, is_serving, too_few};

/// Longest time from the first to the last daemon that is lost at once.
const AT_ONCE: Duration = Duration::from_millis(250);
/// Age up to which streams at a loss are judged by themselves, too.
const YOUNG: Duration = Duration::from_millis(300);

/// Streams that callers took up after a loss, of those whose software version still served.
#[derive(Clone, Copy, Default, Debug)]
pub struct TakenUp {
    /// How many.
    pub count: usize,
    /// How many of them went on.
    pub went_on: usize,
}

/// A stream that had begun when all daemons were lost.
#[derive(Clone, Debug)]
struct Lost {
    at: Instant,
    is_young: bool,
    build: String,
}

/// Losses after which fewer streams go on than may be expected.
pub fn forgotten(world: &World, calls: &[Sent]) -> Vec<Violation> {
    let new: Vec<bool> = answered(calls).filter(is_new).map(begins).collect();
    let again = after_losses(world, calls).into_iter();
    let violation = |again: TakenUp| too_few(again.went_on, again.count, &new);
    again.filter_map(violation).collect()
}

/// The streams that callers took up after each loss: all, and those that had begun just before.
pub fn after_losses(world: &World, calls: &[Sent]) -> Vec<TakenUp> {
    let losses = losses(world);
    let mut streams: HashMap<&str, Lost> = HashMap::new();
    for sent in answered(calls).filter(is_new) {
        let lost = losses.iter().find(|at| **at > sent.from);
        let first = events(&sent.reply.body).into_iter().next();
        if let Some((lost, first)) = lost.zip(first) {
            let is_young = sent.from + YOUNG > *lost;
            let build = first.build;
            let at = *lost;
            streams.insert(
                &sent.call.attempt,
                Lost {
                    at,
                    is_young,
                    build,
                },
            );
        }
    }
    let mut groups: BTreeMap<(Instant, bool), HashMap<&str, bool>> = BTreeMap::new();
    for sent in answered(calls) {
        let first = first_attempt(&sent.call);
        let Some((first, lost)) = first.and_then(|first| streams.get_key_value(first)) else {
            continue;
        };
        if sent.from <= lost.at || !is_serving(world, &lost.build, sent) {
            continue;
        }
        for of_young in [false, true]
            .into_iter()
            .take(1 + usize::from(lost.is_young))
        {
            let group = groups.entry((lost.at, of_young)).or_default();
            *group.entry(first).or_default() |= begins(sent);
        }
    }
    let count = |again: HashMap<&str, bool>| TakenUp {
        count: again.len(),
        went_on: again.values().filter(|goes_on| **goes_on).count(),
    };
    groups.into_values().map(count).collect()
}

fn answered(calls: &[Sent]) -> impl Iterator<Item = &Sent> {
    let streams = calls.iter().filter(|sent| sent.call.path == STREAM.0);
    streams.filter(|sent| sent.reply.status.is_some())
}

/// When daemons were lost at once.
fn losses(world: &World) -> Vec<Instant> {
    let is_loss = |fault: &Fault| matches!(fault, Fault::PowerOff(..));
    let lost = world.done.iter().filter(|done| is_loss(&done.fault));
    let mut times: Vec<Instant> = lost.map(|done| done.from).collect();
    times.dedup_by(|later, earlier| *later < *earlier + AT_ONCE);
    times
}
