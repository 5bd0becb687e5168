//! Picks the endpoint of a request.
//!
//! A prompt goes where its shared parts rank first by rendezvous hashing, so
//! that all daemons send it to the same place without a word, also right after
//! a start. It passes on to the next in rank while the load there is over the
//! bound, and takes the cached parts along from the first, or from whoever is
//! known to have got them since. Requests without shared parts go to an endpoint
//! drawn by load, mostly of the same data centre.

use std::sync::Arc;

use derive_more::{Debug, Display};
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::clock::Millis;
use crate::ids::DataCentreId;
use crate::placement::Node;
use crate::routing::ablation::{Mechanism, is_on};
use crate::routing::endpoint::Endpoint;
use crate::routing::health::HealthStatus;
use crate::routing::request::SharedPrefix;
use crate::routing::slow_start::Allowance;

/// Load bound, as a multiple of the pool's mean. Lies below what endpoints may be given at most,
/// since loads are known with a lag.
const BOUND: f64 = 1.5;
/// The same against the mean of all endpoints, those in drained data centres included: these have
/// next to no load and yet count in the multiple of the mean that endpoints may be given.
const BOUND_OF_ALL: f64 = 1.75;
/// Load allowed beyond the bound, in requests; lets a nearly idle pool keep its places.
const GRAIN: f64 = 2.0;
/// Bound where the mechanism is switched off: more requests than any endpoint has.
const UNBOUNDED: f64 = 1e9;
/// Times that an idle endpoint of the same data centre is picked as often as one elsewhere. Not
/// many, since a full queue costs more time than the longer way.
const NEAR: f64 = 6.0;
/// Part of its slots by which an idle endpoint counts as busy. Loads are known late, many times as
/// long as a run takes: sharper draws flood the least loaded endpoint, more even ones give too much
/// to slow endpoints.
const IDLE: f64 = 0.6;
/// Load that one hot prefix may bring to each of its places, against the mean load of the pool.
/// With half of the mean, what the others bring fits beside it under the bound.
const HOT_LOAD: f64 = 0.5;
/// Shortest prefix worth a transfer between engines, in tokens; below, the transfer's set-up takes
/// as long as reading them again.
const FETCH_MIN: u64 = 400;

/// Time after which an endpoint that joined holds the prefixes that it ranks first for: longer than
/// most pauses of prefixes in use.
const SETTLED: Millis = Millis::from_secs(30);
/// Endpoints that joined together, as at the start of a pool, within this time: none of them
/// held anything before the others.
const COHORT: Millis = Millis::from_secs(5);

/// An endpoint that may be picked, or takes no new work but may hold cached parts.
#[derive(Clone)]
#[derive(Debug)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Requests that it has, estimated.
    pub load: f64,
    /// How old the part of the load is that others brought, if it was ever heard of.
    pub load_age: Option<Millis>,
    /// How it stands.
    pub health: HealthStatus,
    /// Whether this request was sent there before.
    pub tried: bool,
    /// Whether its data centre is drained.
    pub drained: bool,
    /// What may be sent there.
    pub allowance: Allowance,
    /// How long it has been listed.
    pub age: Millis,
    /// Time since it was sent the prompt's shared parts, as far as that is known.
    pub prefix_age: Option<Millis>,
}

impl Candidate {
    /// Whether it takes new work, be it little.
    pub fn takes_work(&self) -> bool {
        !self.endpoint.leaving && !self.drained
    }
}

/// ChoiceReason an endpoint was picked.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display)]
pub enum ChoiceReason {
    /// First in rank for the prompt.
    #[display("first-ranked")]
    First,
    /// Further in rank, those before being over the bound or avoided.
    #[display("next-ranked")]
    Next,
    /// Drawn by load.
    #[display("drawn")]
    Drawn,
}

/// The picked endpoint.
#[derive(Clone)]
#[derive(Debug)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Where cached parts of the prompt can be fetched from.
    pub source: Option<Arc<Endpoint>>,
    /// ChoiceReason it was picked.
    pub reason: ChoiceReason,
    /// Its load when picked.
    pub load: f64,
    /// How old the part of the load is that others brought, if it was ever heard of.
    pub load_age: Option<Millis>,
    /// Load up to which it would have been given more.
    pub bound: f64,
    /// Whether it was picked on trial.
    pub probe: bool,
    /// What could be sent there when it was picked.
    pub allowance: Allowance,
    /// Whether other daemons can't tell by rank and age that the prompt goes here.
    pub moved: bool,
}

/// Picks an endpoint for a request that has shared prompt parts, or none.
///
/// `share` is the prefix's share of the pool's traffic, as far as it is known to be large.
/// `trial` says whether the request may be spent on an endpoint that is avoided.
pub fn choose(
    candidates: &[Candidate],
    shared: Option<&SharedPrefix>,
    share: f64,
    near: &DataCentreId,
    trial: bool,
    rng: &mut Pcg32,
) -> Option<Choice> {
    let ranked: Vec<Ranked<'_>> = candidates.iter().map(|c| Ranked::new(c, shared)).collect();
    let usable = usable(&ranked, shared, trial);
    let bound = bound(candidates);
    let choice = match shared {
        Some(prefix) => {
            let ready = candidates.iter().filter(|c| c.takes_work()).count();
            let places = places(share, ready);
            by_rank(&ranked, &usable, prefix, bound, places, rng)
        }
        None => by_load(&usable, near, rng),
    };
    choice.map(|choice| Choice { bound, ..choice })
}

/// A candidate and its rank for a prefix.
#[derive(Clone, Copy)]
struct Ranked<'a> {
    candidate: &'a Candidate,
    /// The highest is first.
    rank: u64,
}

impl<'a> Ranked<'a> {
    fn new(candidate: &'a Candidate, shared: Option<&SharedPrefix>) -> Self {
        let node = || Node::new((), candidate.endpoint.id.endpoint.as_str());
        let rank = shared.map_or(0, |prefix| node().rank(prefix.key));
        Self { candidate, rank }
    }
}

/// The first in rank.
fn first<'a>(ranked: impl Iterator<Item = Ranked<'a>>) -> Option<&'a Candidate> {
    let first = ranked.reduce(|first, next| match next.rank > first.rank {
        true => next,
        false => first,
    });
    first.map(|first| first.candidate)
}

/// The best group of candidates that isn't empty. One that was tried isn't tried again: it is
/// full or failing, and a second answer would cost a repeat that others need.
fn usable<'a>(
    ranked: &[Ranked<'a>],
    shared: Option<&SharedPrefix>,
    trial: bool,
) -> Vec<Ranked<'a>> {
    let is_well =
        |c: &Candidate| c.health == HealthStatus::Good || trial && c.health == HealthStatus::Trial;
    let groups: [&dyn Fn(&Candidate) -> bool; 4] = [
        &|c| is_well(c) && c.allowance.accepts(shared, is_worth_fetching),
        &is_well,
        &|c| c.health != HealthStatus::Down,
        &|_| true,
    ];
    let open = |c: &Candidate| c.takes_work() && !c.tried && c.allowance.is_open();
    let pick = |group: &dyn Fn(&Candidate) -> bool| -> Vec<Ranked<'a>> {
        let all = ranked.iter().copied();
        all.filter(|r| open(r.candidate) && group(r.candidate))
            .collect()
    };
    groups
        .into_iter()
        .map(pick)
        .find(|group| !group.is_empty())
        .unwrap_or_default()
}

fn by_rank(
    all: &[Ranked<'_>],
    usable: &[Ranked<'_>],
    prefix: &SharedPrefix,
    bound: f64,
    places: usize,
    rng: &mut Pcg32,
) -> Option<Choice> {
    let open = open_places(usable, bound, places);
    let least = || {
        let order = |a: &&Ranked<'_>, b: &&Ranked<'_>| {
            let by_load = a.candidate.load.total_cmp(&b.candidate.load);
            by_load.then(b.rank.cmp(&a.rank))
        };
        usable.iter().min_by(order).map(|least| least.candidate)
    };
    let room = |c: &Candidate| bound - c.load + 1.0;
    let picked = draw(&open, room, rng).or_else(least)?;
    let is_first = first(usable.iter().copied()).is_some_and(|first| std::ptr::eq(first, picked));
    let reason = match is_first {
        true => ChoiceReason::First,
        false => ChoiceReason::Next,
    };
    let holder = holder(all);
    let moved = !holder.is_some_and(|holder| std::ptr::eq(holder, picked));
    let source = match is_worth_fetching(prefix) && is_on(Mechanism::Fetch) {
        true if moved => other_holder(all, picked).or(holder),
        true if picked.prefix_age.is_none() => other_holder(all, picked),
        _ => None,
    };
    Some(Choice {
        source: source.map(|source| Arc::clone(&source.endpoint)),
        moved,
        ..choice(picked, reason)
    })
}

/// The first in rank that are under the bound, as many as a prefix has places.
fn open_places<'a>(usable: &[Ranked<'a>], bound: f64, places: usize) -> Vec<&'a Candidate> {
    let under = usable.iter().copied().filter(|r| r.candidate.load <= bound);
    if places == 1 {
        return first(under).into_iter().collect();
    }
    let mut under: Vec<Ranked<'a>> = under.collect();
    under.sort_by_key(|r| std::cmp::Reverse(r.rank));
    under.truncate(places);
    under.into_iter().map(|r| r.candidate).collect()
}

/// Whether a prefix is long enough for a transfer between engines.
pub const fn is_worth_fetching(prefix: &SharedPrefix) -> bool {
    prefix.tokens.0 >= FETCH_MIN
}

/// The endpoint that was sent the prompt's shared parts last, other than this one.
fn other_holder<'a>(all: &[Ranked<'a>], picked: &Candidate) -> Option<&'a Candidate> {
    let candidates = all.iter().map(|r| r.candidate);
    let reachable = candidates.filter(|c| c.health != HealthStatus::Down && !c.tried);
    let others = reachable.filter(|c| !std::ptr::eq(*c, picked) && c.prefix_age.is_some());
    others.min_by_key(|c| c.prefix_age)
}

/// Places among which a prefix with a share of the pool's traffic is spread.
fn places(share: f64, endpoints: usize) -> usize {
    if !is_on(Mechanism::HotSpread) {
        return 1;
    }
    let places = (share * endpoints as f64 / HOT_LOAD).ceil();
    (places as usize).clamp(1, endpoints.max(1))
}

/// Where a prefix was read before, most likely: the first in rank that has been there for a
/// while, or as long as any other, be it leaving.
fn holder<'a>(all: &[Ranked<'a>]) -> Option<&'a Candidate> {
    let oldest = all.iter().map(|r| r.candidate.age).max()?;
    let settled = |c: &Candidate| {
        !is_on(Mechanism::Settled) || c.age >= SETTLED || oldest.since(c.age) <= COHORT
    };
    let reachable = |c: &Candidate| c.health != HealthStatus::Down;
    let holders = all.iter().copied();
    first(holders.filter(|r| reachable(r.candidate) && settled(r.candidate)))
}

/// One of some endpoints without cached parts to go by, drawn by how little each has to do.
fn by_load(usable: &[Ranked<'_>], near: &DataCentreId, rng: &mut Pcg32) -> Option<Choice> {
    let weight = |c: &Candidate| {
        let busy = c.load / f64::from(c.endpoint.slots.max(1));
        let way = match c.endpoint.data_centre == *near && is_on(Mechanism::Near) {
            true => NEAR,
            false => 1.0,
        };
        way / (busy + IDLE).powi(2)
    };
    let usable: Vec<&Candidate> = usable.iter().map(|r| r.candidate).collect();
    let picked = draw(&usable, weight, rng)?;
    Some(choice(picked, ChoiceReason::Drawn))
}

/// One of some endpoints, drawn by their weights, so that daemons that see the same loads don't
/// all fill the same one.
fn draw<'a>(
    open: &[&'a Candidate],
    weight: impl Fn(&Candidate) -> f64,
    rng: &mut Pcg32,
) -> Option<&'a Candidate> {
    let total: f64 = open.iter().map(|c| weight(c)).sum();
    let mut left = rng.random::<f64>() * total;
    let drawn = open.iter().find(|c| {
        left -= weight(c);
        left < 0.0
    });
    drawn.or(open.first()).copied()
}

fn choice(picked: &Candidate, reason: ChoiceReason) -> Choice {
    Choice {
        endpoint: Arc::clone(&picked.endpoint),
        source: None,
        reason,
        load: picked.load,
        load_age: picked.load_age,
        bound: 0.0,
        probe: picked.health == HealthStatus::Trial,
        allowance: picked.allowance,
        moved: false,
    }
}

/// Load up to which an endpoint is given more.
fn bound(candidates: &[Candidate]) -> f64 {
    if !is_on(Mechanism::Bound) {
        return UNBOUNDED;
    }
    let staying = candidates.iter().filter(|c| !c.endpoint.leaving);
    let open = mean_load(staying.clone().filter(|c| !c.drained));
    let all = mean_load(staying);
    (BOUND * open).min(BOUND_OF_ALL * all) + GRAIN
}

fn mean_load<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> f64 {
    let add = |(sum, count), c: &Candidate| (sum + c.load, count + 1_u32);
    let (sum, count) = candidates.fold((0.0, 0), add);
    sum / f64::from(count.max(1))
}
