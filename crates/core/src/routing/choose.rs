//! Picks the endpoint for a request.
//!
//! A prompt goes to the endpoint that ranks first for its shared prefix by
//! rendezvous hashing, so that all daemons send it to the same endpoint without
//! coordination, even right after a start. While the load of that endpoint is
//! over the bound, the prompt goes to the next in rank, which fetches the cached
//! prefix from the first, or from an endpoint that is known to have been sent
//! the prefix since. Requests without a shared prefix go to a random endpoint,
//! weighted by load and with preference for the same data centre.

mod bound;
mod delay;
mod drawn;
mod lazy;

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
use crate::routing::work::cost::ReadingCost;
use crate::routing::work::outlook::Outlook;

pub use bound::LoadSum;
use bound::bound;
use drawn::by_load;
pub use lazy::{LazyPool, choose_lazily};

/// Load that a hot prefix may add to each of its endpoints, as a fraction of the pool's mean load.
/// With half of the mean, the load of the other prefixes still fits under the bound.
const HOT_LOAD: f64 = 0.5;
/// Shortest prefix worth a transfer between engines, in tokens; for shorter ones, setting up the
/// transfer takes as long as computing them again.
const MIN_FETCH_TOKENS: u64 = 400;

/// Time after which a newly listed endpoint holds the prefixes that it ranks first for: longer than
/// most intervals between uses of a prefix.
const SETTLE_TIME: Millis = Millis::from_secs(30);
/// Endpoints that were first listed within this time count as started together, as at the start of
/// a pool: none of them holds prefixes from before the others.
const JOIN_WINDOW: Millis = Millis::from_secs(5);

/// An endpoint that may be picked, or that takes no new work but may hold a cached prefix.
#[derive(Clone)]
#[derive(Debug)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Estimated number of its requests.
    pub load: f64,
    /// Age of the last report of other daemons' requests there; none if there was none.
    pub load_age: Option<Millis>,
    /// Its health.
    pub health: HealthStatus,
    /// Whether this request was sent there before.
    pub tried: bool,
    /// Whether its data centre is drained.
    pub drained: bool,
    /// What may be sent there.
    pub allowance: Allowance,
    /// How long it has been listed.
    pub age: Millis,
    /// Time since it was last sent the prompt's shared prefix, if known.
    pub prefix_age: Option<Millis>,
    /// What the request would find there.
    pub outlook: Outlook,
    /// Time to read what it may have cached of the prompt, in milliseconds; without a shared prefix,
    /// to read all of the prompt.
    pub reading: f64,
    /// Wait in milliseconds up to which the request stays where its prefix is cached.
    pub patience: f64,
}

impl Candidate {
    /// Whether it takes new work, even if its rate is limited.
    pub fn takes_work(&self) -> bool {
        !self.endpoint.leaving && !self.drained
    }

    /// Whether another endpoint can use what this one has cached: software versions differ in how
    /// they write it.
    fn fits(&self, other: &Self) -> bool {
        self.endpoint.build == other.endpoint.build
    }

    /// Whether it may be sent the request at all.
    fn is_open(&self) -> bool {
        self.takes_work() && !self.tried && self.allowance.is_open()
    }

    fn is_healthy(&self, may_probe: bool) -> bool {
        self.health == HealthStatus::Good || may_probe && self.health == HealthStatus::Trial
    }

    /// Whether it belongs to the best group of candidates.
    fn is_suitable(&self, shared: Option<&SharedPrefix>, may_probe: bool) -> bool {
        let accepts = || self.allowance.accepts(shared, is_worth_fetching);
        self.is_open() && self.is_healthy(may_probe) && accepts()
    }
}

/// Why an endpoint was picked.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display)]
pub enum ChoiceReason {
    /// It ranks first for the prompt.
    #[display("first-ranked")]
    First,
    /// Higher-ranked endpoints are over the bound or avoided.
    #[display("next-ranked")]
    Next,
    /// Picked at random, weighted by load.
    #[display("drawn")]
    Drawn,
}

/// The picked endpoint.
#[derive(Clone)]
#[derive(Debug)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Where the cached prefix of the prompt can be fetched from.
    pub source: Option<Arc<Endpoint>>,
    /// Why it was picked.
    pub reason: ChoiceReason,
    /// Its load when it was picked.
    pub load: f64,
    /// Age of the last report of other daemons' requests there; none if there was none.
    pub load_age: Option<Millis>,
    /// The load bound when it was picked.
    pub bound: f64,
    /// Whether the request is a probe of an avoided endpoint.
    pub probe: bool,
    /// What was allowed to be sent there when it was picked.
    pub allowance: Allowance,
    /// Whether the prompt goes to another endpoint than other daemons expect by rank and age.
    pub moved: bool,
    /// What the request was to find there.
    pub outlook: Outlook,
    /// What is to be read there for it.
    pub cost: ReadingCost,
}

/// Picks an endpoint for a request; none if no candidate is usable.
///
/// `share` is the prefix's share of the pool's traffic if it is known to be large, otherwise 0.
/// `local` is this daemon's data centre. With `may_probe`, the request may be sent to an avoided
/// endpoint as a probe.
pub fn choose(
    candidates: &[Candidate],
    shared: Option<&SharedPrefix>,
    share: f64,
    local: &DataCentreId,
    may_probe: bool,
    rng: &mut Pcg32,
) -> Option<Choice> {
    let ranked: Vec<Ranked<'_>> = candidates.iter().map(|c| Ranked::new(c, shared)).collect();
    let usable = usable(&ranked, shared, may_probe);
    let bound = bound(candidates);
    let choice = match shared {
        Some(prefix) => {
            let ready = candidates.iter().filter(|c| c.takes_work()).count();
            let spread = spread(share, ready);
            by_rank(&ranked, &usable, prefix, bound, spread, rng)
        }
        None => by_load(&usable, local, rng),
    };
    choice.map(|choice| Choice { bound, ..choice })
}

/// A candidate with its rank for the prefix.
#[derive(Clone, Copy)]
struct Ranked<'a> {
    candidate: &'a Candidate,
    /// The candidate with the highest value ranks first.
    rank: u64,
}

impl<'a> Ranked<'a> {
    fn new(candidate: &'a Candidate, shared: Option<&SharedPrefix>) -> Self {
        let node = || Node::new((), candidate.endpoint.id.endpoint.as_str());
        let rank = shared.map_or(0, |prefix| node().rank(prefix.key));
        Self { candidate, rank }
    }
}

/// The candidate that ranks first.
fn first<'a>(ranked: impl Iterator<Item = Ranked<'a>>) -> Option<&'a Candidate> {
    let first = ranked.reduce(|first, next| match next.rank > first.rank {
        true => next,
        false => first,
    });
    first.map(|first| first.candidate)
}

/// The best group of candidates that isn't empty. An endpoint that was tried isn't tried again: it
/// is full or failing, and a second attempt there would use up a retry that other requests need.
fn usable<'a>(
    ranked: &[Ranked<'a>],
    shared: Option<&SharedPrefix>,
    may_probe: bool,
) -> Vec<Ranked<'a>> {
    let is_healthy = |c: &Candidate| c.is_open() && c.is_healthy(may_probe);
    let groups: [&dyn Fn(&Candidate) -> bool; 4] = [
        &|c| c.is_suitable(shared, may_probe),
        &is_healthy,
        &|c| c.is_open() && c.health != HealthStatus::Down,
        &Candidate::is_open,
    ];
    let pick = |group: &dyn Fn(&Candidate) -> bool| -> Vec<Ranked<'a>> {
        let all = ranked.iter().copied();
        all.filter(|r| group(r.candidate)).collect()
    };
    groups
        .into_iter()
        .map(pick)
        .find(|group| !group.is_empty())
        .unwrap_or_default()
}

/// Picks an endpoint for a prefix: one of the first `spread` in rank under the bound, or the least
/// loaded one if all are over it.
fn by_rank(
    all: &[Ranked<'_>],
    usable: &[Ranked<'_>],
    prefix: &SharedPrefix,
    bound: f64,
    spread: usize,
    rng: &mut Pcg32,
) -> Option<Choice> {
    let under = delay::prefer_prompt(usable, |usable| first_under_bound(usable, bound, spread));
    let least_loaded = || {
        let order = |a: &&Ranked<'_>, b: &&Ranked<'_>| {
            let by_load = a.candidate.load.total_cmp(&b.candidate.load);
            by_load.then(b.rank.cmp(&a.rank))
        };
        usable.iter().min_by(order).map(|r| r.candidate)
    };
    let picked = draw_under_bound(&under, bound, rng).or_else(least_loaded)?;
    let places = Places {
        first: first(usable.iter().copied()),
        holder: holder(all),
        others: all.iter().map(|r| r.candidate).collect(),
    };
    Some(places.choice(picked, prefix))
}

/// Picks one of the endpoints under the bound, the more often the more load it may get.
fn draw_under_bound<'a>(
    under: &[&'a Candidate],
    bound: f64,
    rng: &mut Pcg32,
) -> Option<&'a Candidate> {
    draw(under, |c| bound - c.load + 1.0, rng)
}

/// Endpoints that matter for a prefix besides the picked one.
struct Places<'a> {
    /// The first in rank of those that may be picked.
    first: Option<&'a Candidate>,
    /// The one that most likely holds the prefix, by rank and age.
    holder: Option<&'a Candidate>,
    /// All that may have been sent the prefix.
    others: Vec<&'a Candidate>,
}

impl Places<'_> {
    fn choice(&self, picked: &Candidate, prefix: &SharedPrefix) -> Choice {
        let is = |other: Option<&Candidate>| {
            other.is_some_and(|other| Arc::ptr_eq(&other.endpoint, &picked.endpoint))
        };
        let reason = match is(self.first) {
            true => ChoiceReason::First,
            false => ChoiceReason::Next,
        };
        let moved = !is(self.holder);
        let holder = self.holder.filter(|holder| holder.fits(picked));
        let source = match is_worth_fetching(prefix) && is_on(Mechanism::Fetch) {
            true if moved => other_holder(&self.others, picked).or(holder),
            true if picked.prefix_age.is_none() => other_holder(&self.others, picked),
            _ => None,
        };
        Choice {
            source: source.map(|source| Arc::clone(&source.endpoint)),
            moved,
            ..choice(picked, reason)
        }
    }
}

/// The first `count` candidates in rank whose load is under the bound.
fn first_under_bound<'a>(usable: &[Ranked<'a>], bound: f64, count: usize) -> Vec<&'a Candidate> {
    let under = usable.iter().copied().filter(|r| r.candidate.load <= bound);
    if count == 1 {
        return first(under).into_iter().collect();
    }
    let mut under: Vec<Ranked<'a>> = under.collect();
    under.sort_by_key(|r| std::cmp::Reverse(r.rank));
    under.truncate(count);
    under.into_iter().map(|r| r.candidate).collect()
}

/// Whether a prefix is long enough for a transfer between engines.
pub const fn is_worth_fetching(prefix: &SharedPrefix) -> bool {
    prefix.tokens.0 >= MIN_FETCH_TOKENS
}

/// The endpoint that was most recently sent the prompt's shared prefix, other than `picked`.
fn other_holder<'a>(all: &[&'a Candidate], picked: &Candidate) -> Option<&'a Candidate> {
    let candidates = all.iter().copied();
    let reachable = candidates.filter(|c| c.health != HealthStatus::Down && !c.tried);
    let reachable = reachable.filter(|c| c.fits(picked));
    let others =
        reachable.filter(|c| !Arc::ptr_eq(&c.endpoint, &picked.endpoint) && c.prefix_age.is_some());
    others.min_by_key(|c| c.prefix_age)
}

/// Number of endpoints over which a prefix is spread, by its share of the pool's traffic.
fn spread(share: f64, endpoints: usize) -> usize {
    if !is_on(Mechanism::HotSpread) {
        return 1;
    }
    let count = (share * endpoints as f64 / HOT_LOAD).ceil();
    (count as usize).clamp(1, endpoints.max(1))
}

/// The endpoint that most likely holds a prefix: the first in rank that has been listed for some
/// time, or about as long as any other, even if it is leaving.
fn holder<'a>(all: &[Ranked<'a>]) -> Option<&'a Candidate> {
    let oldest = all.iter().map(|r| r.candidate.age).max()?;
    let ranked = all.iter().copied();
    first(ranked.filter(|r| may_hold(r.candidate, oldest)))
}

/// Whether an endpoint is taken to hold the prefixes that it ranks first for; `oldest` is the
/// longest time that an endpoint of its pool has been listed.
fn may_hold(candidate: &Candidate, oldest: Millis) -> bool {
    let is_settled = !is_on(Mechanism::Settled)
        || candidate.age >= SETTLE_TIME
        || oldest.since(candidate.age) <= JOIN_WINDOW;
    candidate.health != HealthStatus::Down && is_settled
}

/// Picks one of some endpoints at random by weight, so that daemons that see the same loads don't
/// all pick the same one.
fn draw<'a>(
    candidates: &[&'a Candidate],
    weight: impl Fn(&Candidate) -> f64,
    rng: &mut Pcg32,
) -> Option<&'a Candidate> {
    let total: f64 = candidates.iter().map(|c| weight(c)).sum();
    let mut remaining = rng.random::<f64>() * total;
    let drawn = candidates.iter().find(|c| {
        remaining -= weight(c);
        remaining < 0.0
    });
    drawn.or(candidates.first()).copied()
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
        outlook: picked.outlook,
        cost: ReadingCost::default(),
    }
}
