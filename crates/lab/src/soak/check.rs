//! What callers and endpoints saw, against what the pages promise.

mod builds;
mod cuts;
mod endless;
mod heads;
mod losses;
mod notices;
mod odd;
mod parts;
mod restores;
mod silences;
mod violation;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use medlarrill_platform_standin::{Reply, Run, event};

use self::builds::{misplaced, take_ups, versions};
use self::cuts::cut_off;
use self::endless::left_late;
use self::heads::broken;
use self::losses::forgotten;
pub use self::losses::{TakenUp, after_losses};
pub use self::notices::PAUSE;
use self::notices::{left, paused};
use self::odd::ignored;
use self::parts::starved;
use self::restores::{drained_before, outdated};
use self::silences::ended_early;
pub use self::violation::Violation;
use super::plan::Fault;
use super::traffic::{CRASHING_ID, PATHS, Sent};
use super::world::{Done, SPARED, World};

/// Events of a stream at the stand-in endpoints.
const EVENTS: u64 = 6;
/// Most endpoints that may run an idempotent request, as the configuration says.
const ATTEMPTS: usize = 2;
/// Time around trouble in which its effects may still be felt: connections that were harmed are
/// found out, endpoints are tried again.
const TROUBLE: Duration = Duration::from_millis(4500);
/// Endpoints that a request may end before it is refused, and how often it may be sent after that.
const ENOUGH: usize = 3;
/// The same of requests that share a part.
const ENOUGH_OF_PART: usize = 5;
/// See [`ENOUGH`].
const SENT_MAX: usize = 3;
/// Time in which all daemons come to know it.
const CONTACT: Duration = Duration::from_secs(3);
/// Time in which a daemon sees and tells that an endpoint has ended.
const SEEN: Duration = Duration::from_millis(500);
/// Time after which connections that were harmed are found out.
const SETTLE: Duration = Duration::from_secs(1);
/// Time after which a leaving endpoint gets no new work.
const LEAVING: Duration = Duration::from_millis(2500);

/// All broken promises of a soak.
pub fn check(world: &World, calls: &[Sent], recovered: &[Sent]) -> Vec<Violation> {
    let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
    for run in world.ledger.all() {
        runs.entry(run.attempt.clone()).or_default().push(run);
    }
    let none = Vec::new();
    let mut found: Vec<Violation> = world.ended.iter().copied().map(Violation::Ended).collect();
    for sent in calls.iter().chain(recovered) {
        let ran = runs.get(&sent.call.attempt).unwrap_or(&none);
        found.extend(mixed(world, sent));
        found.extend(repeated(sent, ran));
        found.extend(leaked(sent, ran));
        found.extend(lost(world, sent, ran));
        if world.has_limits {
            found.extend(ended_early(sent, ran));
        }
        found.extend(ran.iter().filter_map(|run| drained(world, run)));
        found.extend(ran.iter().filter_map(|run| evacuated(world, run)));
    }
    found.extend(flooded(world, runs.values().flatten()));
    found.extend(left(world, calls, &runs));
    found.extend(paused(world, calls, &runs));
    found.extend(recovered.iter().filter_map(not_recovered));
    found.extend(crashed(world, calls, &runs));
    found.extend(starved(world, calls));
    found.extend(broken(world, calls));
    found.extend(ignored(world, calls));
    found.extend(cut_off(world, calls));
    found.extend(left_late(world).into_iter().map(Violation::LeftLate));
    if world.has_restores {
        found.extend(outdated(world, calls));
        found.extend(drained_before(world, calls, &runs));
    }
    if world.builds.are_named {
        found.extend(versions(calls));
        found.extend(take_ups(world, calls, None));
        found.extend(forgotten(world, calls));
        let each = (0..world.doors.len()).filter(|_| world.leaves);
        found.extend(each.filter_map(|daemon| take_ups(world, calls, Some(daemon))));
    }
    found
}

fn words(reply: &Reply) -> String {
    let status = reply.status.map_or(0, |status| status.as_u16());
    let end = if reply.whole { "whole" } else { "cut" };
    format!("status {status}, {} bytes, {end}", reply.body.len())
}

/// The whole body that a request is answered with.
fn expected(world: &World, sent: &Sent) -> String {
    let attempt = &sent.call.attempt;
    match sent.call.path.contains("/stream") {
        // All endpoints of a soak write events in the same way.
        true => (1..=EVENTS)
            .map(|number| event(&world.forms[0], attempt, number))
            .collect(),
        false => format!("{attempt} {}", sent.call.body.len()),
    }
}

fn mixed(world: &World, sent: &Sent) -> Option<Violation> {
    let reply = &sent.reply;
    if !reply.status?.is_success() {
        return None;
    }
    if world.builds.are_named && sent.call.path.contains("/stream") {
        return misplaced(sent);
    }
    let expected = expected(world, sent);
    let right = match reply.whole {
        true => reply.body == expected.as_bytes(),
        false => expected.as_bytes().starts_with(&reply.body),
    };
    (!right || !reply.is_signed()).then(|| Violation::Mixed {
        request: sent.call.attempt.clone(),
        answer: format!("{}: {:?}", words(reply), reply.body),
    })
}

fn repeated(sent: &Sent, ran: &[Run]) -> Option<Violation> {
    let request = sent.call.attempt.clone();
    if sent.reply.promises_not_run() && !ran.is_empty() {
        let status = sent.reply.status?.as_u16();
        return Some(Violation::Untrue { request, status });
    }
    let idempotent = PATHS.contains(&(sent.call.path.as_str(), true));
    let most = if idempotent { ATTEMPTS } else { 1 };
    let runs = ran.len();
    (runs > most).then_some(Violation::Repeated { request, runs })
}

fn leaked(sent: &Sent, ran: &[Run]) -> Option<Violation> {
    let wrong = |run: &Run| run.leaked || run.account.as_deref() != Some("account");
    ran.iter().any(wrong).then(|| Violation::Leaked {
        request: sent.call.attempt.clone(),
    })
}

/// Whether anything but planned work was going on, or had ended shortly before.
fn is_troubled(world: &World, from: Instant, to: Instant) -> bool {
    world.done.iter().any(|done| {
        let end = done.end() + TROUBLE;
        !done.fault.is_planned() && done.from <= to && end >= from
    })
}

fn lost(world: &World, sent: &Sent, ran: &[Run]) -> Option<Violation> {
    let reply = &sent.reply;
    let answered = reply.status.is_some() && reply.whole;
    // A request that crosses the end of a daemon's stop on a kept connection has not run.
    if answered || sent.is_left || ran.is_empty() || is_troubled(world, sent.from, sent.to) {
        return None;
    }
    Some(Violation::Lost {
        request: sent.call.attempt.clone(),
        daemon: sent.daemon,
        reply: words(reply),
    })
}

fn drained(world: &World, run: &Run) -> Option<Violation> {
    let at: Instant = run.at.into_std();
    let number: usize = run.endpoint.strip_prefix("e-")?.parse().ok()?;
    let leaving = world.done.iter().find(|done| match &done.fault {
        Fault::Drain(endpoint, _) => {
            let from = done.from + LEAVING;
            *endpoint == number && at > from && at < done.end()
        }
        _ => false,
    })?;
    // Another event may have listed it as ready meanwhile.
    let relisted = world.done.iter().any(|done| match &done.fault {
        Fault::Drain(endpoint, _)
        | Fault::Unlist(endpoint, _)
        | Fault::Foreign(endpoint, ..)
        | Fault::Restart(endpoint)
        | Fault::Warm(endpoint, _)
        | Fault::Leave(endpoint, _) => {
            let end = done.end();
            *endpoint == number && end > leaving.from && end < at
        }
        _ => false,
    });
    if relisted || is_troubled(world, leaving.from, at) {
        return None;
    }
    Some(Violation::Drained {
        request: run.attempt.clone(),
        endpoint: run.endpoint.clone(),
        late: at.duration_since(leaving.from).as_millis(),
    })
}

fn evacuated(world: &World, run: &Run) -> Option<Violation> {
    let at: Instant = run.at.into_std();
    let number: usize = run.endpoint.strip_prefix("e-")?.parse().ok()?;
    let drains = || {
        let drains = world.done.iter();
        drains.filter(|done| number % 2 == 1 && matches!(done.fault, Fault::DrainCentre(_)))
    };
    let drain = drains().find(|done| {
        let end = done.end();
        at > done.from + LEAVING && at < end
    })?;
    // Another one may have ended meanwhile.
    let is_restored = drains().any(|done| {
        let end = done.end();
        end > drain.from && end < at
    });
    if is_restored || is_troubled(world, drain.from, at) {
        return None;
    }
    Some(Violation::Evacuated {
        request: run.attempt.clone(),
        endpoint: run.endpoint.clone(),
        late: at.duration_since(drain.from).as_millis(),
    })
}

/// Endpoints that got more than they bear while they had to be spared.
fn flooded<'a>(world: &World, runs: impl Iterator<Item = &'a Run> + Clone) -> Vec<Violation> {
    let mut found = Vec::new();
    for done in &world.done {
        let Fault::Warm(endpoint, _) = done.fault else {
            continue;
        };
        let name = format!("e-{endpoint}");
        let known = done.from + LEAVING..done.end();
        let here = runs.clone().filter(|run| run.endpoint == name);
        let times = here.map(|run| run.at.into_std());
        let mut times: Vec<Instant> = times.filter(|at| known.contains(at)).collect();
        times.sort_unstable();
        let within = |from: &Instant| {
            let second = *from..*from + Duration::from_secs(1);
            times.iter().filter(|at| second.contains(at)).count()
        };
        let runs = times.iter().map(within).max().unwrap_or_default();
        if runs > SPARED && !is_troubled(world, done.from, known.end) {
            found.push(Violation::Flooded { endpoint, runs });
        }
    }
    found
}

/// Whether anything kept a daemon or an endpoint from being heard at a time, or before.
fn is_harmed(world: &World, at: Instant, before: Duration, harms: impl Fn(&Fault) -> bool) -> bool {
    world.done.iter().any(|done| {
        let end = done.end() + before;
        harms(&done.fault) && done.from <= at + SEEN && end >= at
    })
}

/// Runs of the request that ends endpoints, beyond those that are allowed.
fn crashed(world: &World, calls: &[Sent], runs: &HashMap<String, Vec<Run>>) -> Option<Violation> {
    let enough = if world.part.is_some() {
        ENOUGH_OF_PART
    } else {
        ENOUGH
    };
    let crashing = |sent: &&Sent| sent.call.attempt.starts_with(CRASHING_ID);
    let mut all: Vec<(Instant, usize, &Run)> = Vec::new();
    for sent in calls.iter().filter(crashing) {
        let ran = runs.get(&sent.call.attempt).into_iter().flatten();
        all.extend(ran.map(|run| (run.at.into_std(), sent.daemon, run)));
    }
    all.sort_by_key(|(at, ..)| *at);
    // Ends that a daemon saw: it wasn't harmed, nor was its way to the endpoint.
    let is_seen = |(at, daemon, run): &&(Instant, usize, &Run)| {
        let endpoint = run.endpoint.strip_prefix("e-")?.parse::<usize>().ok()?;
        let harms = |fault: &Fault| match fault {
            Fault::HarmEndpoint(harmed, ..) => *harmed == endpoint,
            fault => fault.harms_daemon(*daemon),
        };
        (!is_harmed(world, *at, SETTLE, harms)).then_some(())
    };
    let seen = all.iter().filter(|run| is_seen(run).is_some());
    let known = seen.map(|(at, ..)| *at).nth(enough - 1)? + CONTACT;
    let late = all.iter().filter(|(at, daemon, _)| {
        let harms = |fault: &Fault| fault.harms_daemon(*daemon);
        *at > known && !is_harmed(world, *at, CONTACT, harms) && !is_forgotten(world, known, *at)
    });
    let runs = late.count();
    (runs > SENT_MAX).then_some(Violation::Crashed { runs })
}

/// Whether all that daemons knew may be gone: each was ended since, and the platform, which would
/// have kept it, was out of reach.
fn is_forgotten(world: &World, known: Instant, at: Instant) -> bool {
    let since = |done: &&Done| done.from + TROUBLE >= known && done.from <= at;
    let ended = |daemon: usize| {
        let mut ends = world.done.iter().filter(since);
        ends.any(
            |done| matches!(done.fault, Fault::Stop(ended) | Fault::Kill(ended) | Fault::PowerOff(ended, _) if ended == daemon),
        )
    };
    let is_away = |done: &Done| matches!(done.fault, Fault::Store(..) | Fault::HarmStore(..));
    (0..world.doors.len()).all(ended) && world.done.iter().filter(since).any(is_away)
}

fn not_recovered(sent: &Sent) -> Option<Violation> {
    (!sent.reply.is_success()).then(|| Violation::NotRecovered {
        request: sent.call.attempt.clone(),
        daemon: sent.daemon,
        reply: words(&sent.reply),
    })
}
