//! What endpoints said of themselves in answers, against what reached them afterwards.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use derive_more::Debug;
use medlarrill_platform_standin::Run;

use super::super::plan::Fault;
use super::super::traffic::Sent;
use super::super::world::World;
use super::{SETTLE, Violation};

/// A pause that an endpoint asks for.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// As the endpoint says it, in seconds.
    pub text: &'static str,
    /// The same.
    length: Duration,
}

/// The pause of these soaks.
pub const PAUSE: Pause = Pause {
    text: "1.5",
    length: Duration::from_millis(1500),
};
/// Time in which requests may still be under way when a pause is asked for.
const ON_THE_WAY: Duration = Duration::from_millis(500);
/// Requests of a daemon that may reach an endpoint in a pause.
const ALLOWED: usize = 2;

/// Runs of each request.
type Runs = HashMap<String, Vec<Run>>;

/// A time in which an endpoint said something of itself.
struct Spell {
    endpoint: usize,
    from: Instant,
    to: Instant,
}

/// A request that reached the endpoint of a spell.
struct Arrived<'a> {
    at: Instant,
    sent: &'a Sent,
    /// Whether this endpoint's answer is the one that the caller got.
    answered: bool,
    /// Whether the endpoint refused it.
    refused: bool,
}

impl Spell {
    fn all(world: &World, says: impl Fn(&Fault) -> Option<usize>) -> Vec<Self> {
        let spells = world.done.iter().filter_map(|done| {
            Some(Self {
                endpoint: says(&done.fault)?,
                from: done.from,
                to: done.end(),
            })
        });
        spells.collect()
    }

    fn contains(&self, at: Instant) -> bool {
        (self.from..self.to).contains(&at)
    }

    /// Requests that reached the endpoint, also after the spell.
    fn arrivals<'a>(&self, world: &World, calls: &'a [Sent], runs: &Runs) -> Vec<Arrived<'a>> {
        let pairs = calls.iter().map(|sent| (sent.call.attempt.as_str(), sent));
        let known: HashMap<&str, &Sent> = pairs.collect();
        let name = format!("e-{}", self.endpoint);
        let arrivals = world.arrivals(self.endpoint).into_iter();
        let arrived = arrivals.filter_map(|arrival| {
            let sent = known.get(arrival.attempt.as_str())?;
            let ran = || runs.get(&arrival.attempt).into_iter().flatten();
            let last = ran().max_by_key(|run| run.at);
            let is_last = last.is_some_and(|run| run.endpoint == name);
            Some(Arrived {
                at: arrival.at.into_std(),
                sent,
                answered: is_last && sent.reply.is_success(),
                refused: !ran().any(|run| run.endpoint == name),
            })
        });
        arrived.collect()
    }
}

/// Whether a fault of a kind lasted or began in a time.
fn is_between(world: &World, from: Instant, to: Instant, kind: impl Fn(&Fault) -> bool) -> bool {
    world.done.iter().any(|done| {
        let end = done.end() + SETTLE;
        kind(&done.fault) && done.from <= to && end >= from
    })
}

/// Whether another process may have the endpoint's id.
fn is_followed(world: &World, endpoint: usize, from: Instant, to: Instant) -> bool {
    is_between(world, from, to, |fault| match fault {
        Fault::Restart(again) | Fault::Crash(again) => *again == endpoint,
        _ => false,
    })
}

/// Requests that reached endpoints after their daemon had passed on that these leave.
pub fn left(world: &World, calls: &[Sent], runs: &Runs) -> Vec<Violation> {
    let mut found = Vec::new();
    let leaves = |fault: &Fault| match fault {
        Fault::Leave(endpoint, _) => Some(*endpoint),
        _ => None,
    };
    let spells = Spell::all(world, leaves);
    for spell in &spells {
        let endpoint = spell.endpoint;
        // Another process has its id from the end of another spell on.
        let next = |at: Instant| {
            let mut others = spells.iter().filter(|other| other.from != spell.from);
            others.any(|other| other.endpoint == endpoint && (spell.from..at).contains(&other.to))
        };
        let mut arrivals = spell.arrivals(world, calls, runs);
        arrivals.retain(|arrived| spell.contains(arrived.at));
        for daemon in 0..world.doors.len() {
            let of_daemon = || arrivals.iter().filter(|a| a.sent.daemon == daemon);
            let passed_on = of_daemon().filter(|arrived| arrived.answered);
            let Some(heard) = passed_on.map(|arrived| arrived.sent.to).min() else {
                continue;
            };
            let is_late = |arrived: &&Arrived<'_>| {
                let at = arrived.at;
                let has_forgotten = world.has_started(daemon, heard, at);
                let is_followed = is_followed(world, endpoint, spell.from, at) || next(at);
                arrived.sent.from > heard && !has_forgotten && !is_followed
            };
            found.extend(of_daemon().filter(is_late).map(|late| Violation::Heard {
                request: late.sent.call.attempt.clone(),
                endpoint,
                late: late.at.duration_since(heard).as_millis(),
            }));
        }
    }
    found
}

/// Daemons whose requests reached endpoints in the pauses that these had asked them for.
pub fn paused(world: &World, calls: &[Sent], runs: &Runs) -> Vec<Violation> {
    let mut found = Vec::new();
    let pauses = |fault: &Fault| match fault {
        Fault::Pause(endpoint, _) => Some(*endpoint),
        _ => None,
    };
    for spell in Spell::all(world, pauses) {
        let endpoint = spell.endpoint;
        let arrivals = spell.arrivals(world, calls, runs);
        let refused = arrivals
            .iter()
            .filter(|a| a.refused && spell.contains(a.at));
        for Arrived { at, sent, .. } in refused {
            let daemon = sent.daemon;
            let pause = *at + ON_THE_WAY..*at + PAUSE.length;
            let is_within = |a: &&Arrived<'_>| a.sent.daemon == daemon && pause.contains(&a.at);
            let requests = arrivals.iter().filter(is_within).count();
            let is_harmed = is_between(world, *at, pause.end, |fault| match fault {
                Fault::HarmEndpoint(harmed, ..) => *harmed == endpoint,
                fault => fault.harms_daemon(daemon),
            });
            let has_forgotten = world.has_started(daemon, *at, pause.end);
            let is_followed = is_followed(world, endpoint, *at, pause.end);
            if requests > ALLOWED && !is_harmed && !has_forgotten && !is_followed {
                found.push(Violation::Unpaused {
                    endpoint,
                    daemon,
                    requests,
                });
            }
        }
    }
    found
}
