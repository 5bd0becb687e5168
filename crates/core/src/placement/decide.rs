//! The decision: which endpoint a request goes to, and the home's last word.

use derive_more::Debug;
use rand::{Rng, RngExt};

use super::directory::{CacheHint, Place};
use super::load::{Distance, EndpointState, EndpointView, PoolView};
use crate::clock::Millis;
use crate::ids::{ChatHash, EndpointId};
use crate::reason::Reason;
use crate::units::Tokens;

/// Result of a placement; the reason is `NoEndpoint` or `PoolFull`.
pub type Result<T> = std::result::Result<T, Reason>;

/// Peer links that a request crosses at most.
pub const HOP_LIMIT: u32 = 2;

/// Least loaded endpoints among which one is picked.
const FEW: usize = 3;

/// Cached tokens that make a return worthwhile.
const WORTHWHILE: f64 = 64.0;

/// Chance that a prefix is cached still when its last event said so.
const AFTER_STORED: f64 = 0.95;

/// What is left of the chance when the last event said that it was evicted; events come with gaps.
const AFTER_EVICTED: f64 = 0.2;

/// A request to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlaceAsk<'a> {
    /// The chat, if it has one.
    pub chat: Option<ChatHash>,
    /// The chat's places, from the directory.
    pub places: &'a [Place],
    /// Estimated prompt.
    pub prompt: Tokens,
    /// Endpoints already tried.
    pub tried: &'a [EndpointId],
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Why {
    /// It served the chat last.
    Returned,
    /// It served the chat before that.
    SecondPlace,
    /// The chat's places are over the bound or take no work.
    Spilled,
    /// The chat has no places.
    New,
}

/// The endpoint chosen.
#[derive(Clone, PartialEq, Debug)]
pub struct Placement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Why it was chosen.
    pub why: Why,
    /// Prompt tokens expected to be cached there.
    pub cached: Tokens,
}

/// Chooses an endpoint for a request.
///
/// A chat returns to the place with the longest prefix likely to be cached that is under the bound. Else the
/// request goes to one of the few least loaded endpoints, the nearest first.
pub fn place(
    pool: &PoolView,
    ask: &PlaceAsk<'_>,
    now: Millis,
    rng: &mut impl Rng,
) -> Result<Placement> {
    let mean = pool.mean(now);
    if let Some(placement) = return_to(pool, ask, mean, now) {
        return Ok(placement);
    }
    let why = if ask.places.is_empty() {
        Why::New
    } else {
        Why::Spilled
    };
    let endpoint = least_loaded(pool, ask.tried, mean, now, rng)?;
    let cached = ask.places.iter().find(|place| place.endpoint == endpoint);
    let cached = cached.map_or(0.0, |place| cached_at(pool, place, ask.prompt, now));
    Ok(Placement {
        endpoint,
        why,
        cached: Tokens(cached as u64),
    })
}

/// A request at the home of the endpoint it was placed on.
#[derive(Clone, Copy, Debug)]
pub struct AdmitAsk<'a> {
    /// The endpoint.
    pub endpoint: &'a EndpointId,
    /// Peer links crossed so far.
    pub hops: u32,
    /// Endpoints already tried.
    pub tried: &'a [EndpointId],
}

/// The home's last word.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// The endpoint takes it now.
    Admit,
    /// Another endpoint takes it better.
    Pass(EndpointId),
    /// It waits at this home until the endpoint is under the bound again.
    Wait,
    /// No endpoint takes it.
    Refuse(Reason),
}

/// Decides at the home whether the endpoint takes a request.
///
/// With hops left it may be passed to any other endpoint, after the last hop only to one of the same home.
pub fn admit_under_bound(
    pool: &PoolView,
    ask: &AdmitAsk<'_>,
    now: Millis,
    rng: &mut impl Rng,
) -> Verdict {
    let mean = pool.mean(now);
    let limit = pool.bound * mean;
    let here = pool.get(ask.endpoint);
    let takes = here.is_some_and(EndpointView::takes_work);
    if takes && here.is_some_and(|here| here.estimate(mean, now) <= limit) {
        return Verdict::Admit;
    }
    let last = ask.hops >= HOP_LIMIT;
    let other = |other: &&EndpointView| {
        other.id != *ask.endpoint
            && other.takes_work()
            && !ask.tried.contains(&other.id)
            && (!last || other.is_own())
            && other.estimate(mean, now) <= limit
    };
    match pick_least(pool.endpoints().iter().filter(other), mean, now, rng) {
        Some(endpoint) => Verdict::Pass(endpoint.id.clone()),
        None if takes => Verdict::Wait,
        None => Verdict::Refuse(Reason::NoEndpoint),
    }
}

/// Whether a home may send a waiting request to an endpoint now.
pub fn may_dispatch(pool: &PoolView, endpoint: &EndpointId, now: Millis) -> bool {
    let mean = pool.mean(now);
    let under = |here: &EndpointView| here.estimate(mean, now) <= pool.bound * mean;
    pool.get(endpoint)
        .is_some_and(|here| here.takes_work() && under(here))
}

/// Prompt tokens expected to be cached at a place, given the age of what its endpoint evicted last.
pub fn expected_cached(
    place: &Place,
    prompt: Tokens,
    eviction_age: Option<Millis>,
    now: Millis,
) -> f64 {
    let age = now.since(place.served).as_secs_f64();
    let by_age = match eviction_age {
        Some(evicted) if evicted > Millis::ZERO => {
            let ratio = age / evicted.as_secs_f64();
            1.0 / (1.0 + ratio.powi(4))
        }
        Some(_) => 0.0,
        None => 1.0,
    };
    let chance = match place.hint {
        Some(CacheHint::Stored) => by_age.max(AFTER_STORED * by_age.sqrt()),
        Some(CacheHint::Evicted) => by_age * AFTER_EVICTED,
        None => by_age,
    };
    place.prefix.min(prompt).0 as f64 * chance
}

fn cached_at(pool: &PoolView, place: &Place, prompt: Tokens, now: Millis) -> f64 {
    let age = pool.get(&place.endpoint).and_then(|view| view.eviction_age);
    expected_cached(place, prompt, age, now)
}

fn return_to(pool: &PoolView, ask: &PlaceAsk<'_>, mean: f64, now: Millis) -> Option<Placement> {
    let limit = pool.bound * mean;
    let mut best: Option<Placement> = None;
    let mut most = WORTHWHILE;
    for (number, place) in ask.places.iter().enumerate() {
        let Some(view) = pool.get(&place.endpoint) else {
            continue;
        };
        let open = matches!(view.state, EndpointState::Ready | EndpointState::Unknown);
        let cached = cached_at(pool, place, ask.prompt, now);
        let under = view.estimate(mean, now) <= limit;
        if !open || !under || cached <= most || ask.tried.contains(&place.endpoint) {
            continue;
        }
        most = cached;
        best = Some(Placement {
            endpoint: place.endpoint.clone(),
            why: if number == 0 {
                Why::Returned
            } else {
                Why::SecondPlace
            },
            cached: Tokens(cached as u64),
        });
    }
    best
}

/// One of the few least loaded: the nearest that are under the bound, else the least loaded of all.
fn least_loaded(
    pool: &PoolView,
    tried: &[EndpointId],
    mean: f64,
    now: Millis,
    rng: &mut impl Rng,
) -> Result<EndpointId> {
    let limit = pool.bound * mean;
    let of_state = |state: EndpointState| {
        let open = move |view: &&EndpointView| view.state == state && !tried.contains(&view.id);
        pool.endpoints().iter().filter(open)
    };
    for distance in [Distance::Centre, Distance::Region, Distance::Far] {
        let near = |view: &&EndpointView| view.distance == distance;
        let under = |view: &&EndpointView| view.estimate(mean, now) <= limit;
        let candidates = of_state(EndpointState::Ready).filter(near).filter(under);
        if let Some(view) = pick_least(candidates, mean, now, rng) {
            return Ok(view.id.clone());
        }
    }
    let ready = pick_least(of_state(EndpointState::Ready), mean, now, rng);
    let any = ready.or_else(|| pick_least(of_state(EndpointState::Unknown), mean, now, rng));
    any.map(|view| view.id.clone()).ok_or(Reason::NoEndpoint)
}

struct Candidate<'a> {
    load: f64,
    view: &'a EndpointView,
}

fn pick_least<'a>(
    views: impl Iterator<Item = &'a EndpointView>,
    mean: f64,
    now: Millis,
    rng: &mut impl Rng,
) -> Option<&'a EndpointView> {
    let mut least: Vec<Candidate<'a>> = Vec::with_capacity(FEW + 1);
    for view in views {
        let load = view.estimate(mean, now);
        let at = least.partition_point(|other| other.load <= load);
        if at < FEW {
            least.insert(at, Candidate { load, view });
            least.truncate(FEW);
        }
    }
    if least.is_empty() {
        return None;
    }
    let at = rng.random_range(0..least.len());
    least.get(at).map(|candidate| candidate.view)
}
