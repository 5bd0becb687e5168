//! What is confirmed holds through restorations of the store.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use medlarrill_platform_standin::Run;

use super::super::plan::Fault;
use super::super::traffic::Sent;
use super::super::world::World;
use super::{CONTACT, LEAVING, Violation, is_harmed};

/// Time after which a confirmed version is in force.
const IN_FORCE: Duration = Duration::from_millis(2500);
/// Time after an effect of a version in which one of the version before may still be seen.
const OVERLAP: Duration = Duration::from_millis(250);

/// Statuses of requests that no version in force allows.
const DENIED: [u16; 2] = [401, 404];

/// The version whose key a request carries.
fn version_of(sent: &Sent) -> Option<u64> {
    sent.call.key.as_ref()?.strip_prefix('v')?.parse().ok()
}

fn is_denied(sent: &Sent) -> bool {
    let status = sent.reply.status;
    status.is_some_and(|status| DENIED.contains(&status.as_u16()))
}

/// Whether anything keeps a daemon from knowing what was confirmed before `at`.
fn is_out_of_touch(world: &World, daemon: usize, at: Instant) -> bool {
    let harms = |fault: &Fault| {
        fault.harms_daemon(daemon)
            || matches!(fault, Fault::HarmStore(harmed, ..) if *harmed == daemon)
    };
    is_harmed(world, at, CONTACT, harms) || world.has_started(daemon, at - CONTACT, at)
}

/// Requests that are handled by an older version than the daemon had in force before, or than has been
/// confirmed for long.
pub fn outdated(world: &World, calls: &[Sent]) -> Vec<Violation> {
    let mut calls: Vec<&Sent> = calls.iter().collect();
    calls.sort_by_key(|sent| sent.to);
    let mut served: HashMap<usize, Vec<(Instant, u64)>> = HashMap::new();
    let mut found = Vec::new();
    for sent in calls {
        let Some(version) = version_of(sent) else {
            if is_denied(sent) {
                found.push(violation(sent, "a key of all versions was denied"));
            }
            continue;
        };
        if is_denied(sent) && is_confirmed(world, version, sent) {
            found.push(violation(sent, "not in force"));
        }
        if !sent.reply.is_success() {
            continue;
        }
        let before = served.entry(sent.daemon).or_default();
        let newer = before.iter().find(|(at, newer)| {
            *newer > version
                && sent.from > *at + OVERLAP
                && !world.has_started(sent.daemon, *at, sent.to)
        });
        if newer.is_some() {
            found.push(violation(sent, "an older version came back"));
        }
        before.push((sent.to, version));
    }
    found
}

fn violation(sent: &Sent, what: &'static str) -> Violation {
    Violation::Outdated {
        request: format!("{} with {:?}", sent.call.attempt, sent.call.key),
        daemon: sent.daemon,
        what,
    }
}

/// Whether a version was the last one to be confirmed, for long, when a request was sent to a daemon
/// in touch.
fn is_confirmed(world: &World, version: u64, sent: &Sent) -> bool {
    let confirmed = world.confirmed.iter().rfind(|(at, _)| *at <= sent.to);
    let Some((at, _)) = confirmed.filter(|(_, newest)| *newest == version) else {
        return false;
    };
    let is_lost = world
        .restored
        .iter()
        .any(|back| back > at && *back <= sent.to);
    !is_lost && sent.from > *at + IN_FORCE && !is_out_of_touch(world, sent.daemon, sent.from)
}

/// Requests that reached an endpoint that had said that it leaves before the store went back, or that
/// has said it again since.
pub fn drained_before(
    world: &World,
    calls: &[Sent],
    runs: &HashMap<String, Vec<Run>>,
) -> Vec<Violation> {
    let ran = |sent: &Sent| runs.get(&sent.call.attempt).cloned().unwrap_or_default();
    let reached = calls
        .iter()
        .flat_map(|sent| ran(sent).into_iter().map(move |run| (sent, run)));
    reached
        .filter_map(|(sent, run)| drained(world, sent, &run))
        .collect()
}

fn drained(world: &World, sent: &Sent, run: &Run) -> Option<Violation> {
    let at: Instant = run.at.into_std();
    let number: usize = run.endpoint.strip_prefix("e-")?.parse().ok()?;
    let span = world.leavings.iter().find(|leaving| {
        let is_over = leaving.to.is_some_and(|to| to <= at);
        leaving.endpoint == number && !is_over && leaving.from <= at
    })?;
    // What was lost before all had to know it counts from when it was said again, which may have
    // been lost in turn.
    let mut said = span.from;
    for back in world.restored.iter().filter(|back| **back <= at) {
        if *back > said && *back < said + LEAVING {
            said = *span.written.iter().find(|written| *written > back)?;
        }
    }
    let is_late = at > said + LEAVING && !is_out_of_touch(world, sent.daemon, at);
    is_late.then(|| Violation::Drained {
        request: run.attempt.clone(),
        endpoint: run.endpoint.clone(),
        late: at.duration_since(span.from).as_millis(),
    })
}
