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

/// Work beyond the least that a returning chat bears, as a share of its prompt, where no endpoint has room.
const SAVED_SHARE: f64 = 1.0;

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
    /// Whether only endpoints of this home may be chosen, as after the last hop.
    pub own_only: bool,
}

impl PlaceAsk<'_> {
    fn allows(&self, view: &EndpointView) -> bool {
        !self.tried.contains(&view.id) && (!self.own_only || view.is_own())
    }
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
/// A chat returns to the place with the longest prefix likely to be cached that has room under the bound. Else the
/// request goes to one of the few least loaded endpoints with room, the nearest first. If none has room, a
/// returning chat waits at its place, unless the work there exceeds the least by more than its prefix saves.
pub fn place(
    pool: &PoolView,
    ask: &PlaceAsk<'_>,
    now: Millis,
    rng: &mut impl Rng,
) -> Result<Placement> {
    let sight = Sight::new(pool, now);
    if let Some(placement) = return_to(&sight, ask, &|view| sight.open(view)) {
        return Ok(placement);
    }
    if let Some(view) = least_open(&sight, ask, rng) {
        return Ok(sent_to(&sight, ask, view));
    }
    let least = least_busy(&sight, ask, rng).ok_or(Reason::NoEndpoint)?;
    let busy = sight.load(least) + SAVED_SHARE * ask.prompt.0 as f64;
    let bearable = |view: &EndpointView| sight.load(view) <= busy;
    let back = return_to(&sight, ask, &bearable);
    Ok(back.unwrap_or_else(|| sent_to(&sight, ask, least)))
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
    let sight = Sight::new(pool, now);
    let here = pool.get(ask.endpoint);
    let takes = here.is_some_and(EndpointView::takes_work);
    if takes && here.is_some_and(|here| sight.open(here)) {
        return Verdict::Admit;
    }
    let last = ask.hops >= HOP_LIMIT;
    let other = |other: &&EndpointView| {
        other.id != *ask.endpoint
            && other.takes_work()
            && !ask.tried.contains(&other.id)
            && (!last || other.is_own())
            && sight.open(other)
    };
    match pick_least(&sight, pool.endpoints().iter().filter(other), rng) {
        Some(endpoint) => Verdict::Pass(endpoint.id.clone()),
        None if takes => Verdict::Wait,
        None => Verdict::Refuse(Reason::NoEndpoint),
    }
}

/// Whether a home may send a waiting request to an endpoint now.
pub fn may_dispatch(pool: &PoolView, endpoint: &EndpointId, now: Millis) -> bool {
    let sight = Sight::new(pool, now);
    pool.get(endpoint)
        .is_some_and(|here| here.takes_work() && sight.open(here))
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

/// A pool at one moment.
struct Sight<'a> {
    pool: &'a PoolView,
    mean: f64,
    now: Millis,
}

impl<'a> Sight<'a> {
    fn new(pool: &'a PoolView, now: Millis) -> Self {
        let mean = pool.mean(now);
        Self { pool, mean, now }
    }

    fn load(&self, view: &EndpointView) -> f64 {
        view.estimate(self.mean, self.now)
    }

    fn open(&self, view: &EndpointView) -> bool {
        view.has_room() && self.load(view) <= self.pool.bound * self.mean
    }

    fn cached(&self, place: &Place, prompt: Tokens) -> f64 {
        let view = self.pool.get(&place.endpoint);
        let age = view.and_then(|view| view.eviction_age);
        expected_cached(place, prompt, age, self.now)
    }
}

fn sent_to(sight: &Sight<'_>, ask: &PlaceAsk<'_>, view: &EndpointView) -> Placement {
    let why = match ask.places {
        [] => Why::New,
        _ => Why::Spilled,
    };
    let known = ask.places.iter().find(|place| place.endpoint == view.id);
    let cached = known.map_or(0.0, |place| sight.cached(place, ask.prompt));
    Placement {
        endpoint: view.id.clone(),
        why,
        cached: Tokens(cached as u64),
    }
}

/// The place that has most of the prompt cached, among those that `suits` finds fit.
fn return_to(
    sight: &Sight<'_>,
    ask: &PlaceAsk<'_>,
    suits: &dyn Fn(&EndpointView) -> bool,
) -> Option<Placement> {
    let mut best = None;
    let mut most = WORTHWHILE;
    for (number, place) in ask.places.iter().enumerate() {
        let Some(view) = sight.pool.get(&place.endpoint) else {
            continue;
        };
        let takes = matches!(view.state, EndpointState::Ready | EndpointState::Unknown);
        let cached = sight.cached(place, ask.prompt);
        if !takes || !ask.allows(view) || cached <= most || !suits(view) {
            continue;
        }
        most = cached;
        let why = match number {
            0 => Why::Returned,
            _ => Why::SecondPlace,
        };
        best = Some(Placement {
            endpoint: place.endpoint.clone(),
            why,
            cached: Tokens(cached as u64),
        });
    }
    best
}

/// One of the few least loaded of the nearest that have room.
fn least_open<'a>(
    sight: &Sight<'a>,
    ask: &PlaceAsk<'_>,
    rng: &mut impl Rng,
) -> Option<&'a EndpointView> {
    for distance in [Distance::Centre, Distance::Region, Distance::Far] {
        let fits = |view: &&EndpointView| {
            view.distance == distance && view.takes_work() && ask.allows(view) && sight.open(view)
        };
        let found = pick_least(sight, sight.pool.endpoints().iter().filter(fits), rng);
        if found.is_some() {
            return found;
        }
    }
    None
}

/// One of the few least busy of all; those of unknown state only if there are no others.
fn least_busy<'a>(
    sight: &Sight<'a>,
    ask: &PlaceAsk<'_>,
    rng: &mut impl Rng,
) -> Option<&'a EndpointView> {
    for state in [EndpointState::Ready, EndpointState::Unknown] {
        let fits = |view: &&EndpointView| view.state == state && ask.allows(view);
        let found = pick_least(sight, sight.pool.endpoints().iter().filter(fits), rng);
        if found.is_some() {
            return found;
        }
    }
    None
}

struct Candidate<'a> {
    load: f64,
    view: &'a EndpointView,
}

fn pick_least<'a>(
    sight: &Sight<'_>,
    views: impl Iterator<Item = &'a EndpointView>,
    rng: &mut impl Rng,
) -> Option<&'a EndpointView> {
    let mut least: Vec<Candidate<'a>> = Vec::with_capacity(FEW + 1);
    for view in views {
        let load = sight.load(view);
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
