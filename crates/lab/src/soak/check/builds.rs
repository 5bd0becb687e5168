//! Streams before endpoints of several software versions.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::super::plan::Fault;
use super::super::traffic::{STREAM, Sent, events, first_attempt, last_event};
use super::super::world::World;
use super::{CONTACT, EVENTS, Violation, is_harmed, words};

/// Streams that are taken up from which on their share is judged.
const JUDGED: usize = 12;
/// Endpoints that a software version must have for its streams to be counted.
const SERVING: usize = 2;
/// Time for which it must have had them: daemons learn of new ones late.
const SERVED: Duration = Duration::from_secs(2);

/// A stream whose events aren't the request's own, or not those that follow the last one.
pub fn misplaced(sent: &Sent) -> Option<Violation> {
    let reply = &sent.reply;
    let events = events(&reply.body);
    let after = last_event(&sent.call).unwrap_or_default();
    let are_own = events
        .iter()
        .all(|event| event.attempt == sent.call.attempt);
    let ids = events.iter().map(|event| event.id);
    let follow = ids.eq(after + 1..=after + events.len() as u64);
    let last = events.last().map_or(after, |event| event.id);
    let ends_right = !reply.whole || last == EVENTS;
    let is_right = are_own && follow && ends_right && reply.is_signed();
    (!is_right).then(|| Violation::Mixed {
        request: sent.call.attempt.clone(),
        answer: format!("{}: {:?}", words(reply), reply.body),
    })
}

/// Streams that hold events of several software versions, over all attempts of their callers.
pub fn versions(calls: &[Sent]) -> Vec<Violation> {
    let mut streams: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
    for sent in calls {
        let first = first_attempt(&sent.call).unwrap_or(&sent.call.attempt);
        let builds = events(&sent.reply.body)
            .into_iter()
            .map(|event| event.build);
        streams.entry(first).or_default().extend(builds);
    }
    let mixed = streams.into_iter().filter(|(_, builds)| builds.len() > 1);
    let violation = |(request, builds): (&str, BTreeSet<String>)| Violation::Versions {
        request: request.to_owned(),
        builds: builds.into_iter().collect(),
    };
    mixed.map(violation).collect()
}

/// Whether fewer streams go on that callers take up, at one daemon or at all that are in touch, than
/// may be expected.
pub fn take_ups(world: &World, calls: &[Sent], daemon: Option<usize>) -> Option<Violation> {
    let is_answered = |sent: &&Sent| !sent.is_left || sent.reply.status.is_some();
    let streams = || {
        let streams = calls.iter().filter(|sent| sent.call.path == STREAM.0);
        streams.filter(is_answered)
    };
    let new: Vec<bool> = streams().filter(is_new).map(begins).collect();
    let builds: HashMap<&str, String> = streams()
        .filter(is_new)
        .filter_map(|sent| {
            let first = events(&sent.reply.body).into_iter().next()?;
            Some((sent.call.attempt.as_str(), first.build))
        })
        .collect();
    let is_counted = |sent: &&Sent| {
        let build = first_attempt(&sent.call).and_then(|first| builds.get(first));
        let is_here = daemon.is_none_or(|daemon| sent.daemon == daemon);
        let is_serving = build.is_some_and(|build| is_serving(world, build, sent));
        is_here && is_serving && is_in_touch(world, sent)
    };
    let again: Vec<bool> = streams().filter(is_counted).map(begins).collect();
    too_few(count(&again), again.len(), &new)
}

/// Whether a request begins a stream.
pub(super) fn is_new(sent: &&Sent) -> bool {
    first_attempt(&sent.call).is_none()
}

/// Whether a stream begins, or goes on.
pub(super) fn begins(sent: &Sent) -> bool {
    sent.reply.status.is_some_and(|status| status.is_success())
}

/// Whether fewer than half as many streams went on as may be expected by those that begin.
pub(super) fn too_few(went_on: usize, taken_up: usize, new: &[bool]) -> Option<Violation> {
    let begun = count(new);
    let is_enough = went_on * 2 * new.len() >= begun * taken_up;
    (taken_up >= JUDGED && !is_enough).then(|| Violation::TakeUps {
        went_on,
        taken_up,
        share: begun * 100 / new.len().max(1),
    })
}

fn count(begun: &[bool]) -> usize {
    begun.iter().filter(|begins| **begins).count()
}

/// Whether enough endpoints of a software version served all the while.
pub(super) fn is_serving(world: &World, build: &str, sent: &Sent) -> bool {
    let from = sent.from - SERVED;
    let serves = |spans: &&Vec<(Instant, &'static str)>| {
        let before = spans.iter().rfind(|(at, _)| *at <= from);
        let changes = spans.iter().any(|(at, _)| *at > from && *at <= sent.to);
        before.is_some_and(|(_, had)| *had == build) && !changes
    };
    world.builds.spans.iter().filter(serves).count() >= SERVING
}

/// Whether nothing kept the daemon from hearing of others.
fn is_in_touch(world: &World, sent: &Sent) -> bool {
    let harms = |fault: &Fault| match fault {
        Fault::HarmStore(daemon, ..) => *daemon == sent.daemon,
        fault => fault.harms_daemon(sent.daemon),
    };
    world.apart != Some(sent.daemon) && !is_harmed(world, sent.to, CONTACT, harms)
}
