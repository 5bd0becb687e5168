//! The decision: which endpoint a request goes to, and the home's last word.

use derive_more::Debug;
use rand::{Rng, RngExt};

use super::directory::{CacheHint, Place};
use super::load::{Distance, EndpointState, EndpointView, PoolView, prompt_work};
use crate::clock::Millis;
use crate::ids::{ChatHash, EndpointId};
use crate::reason::Reason;
use crate::units::Tokens;

/// Result of a placement; the reason is `NoEndpoint` or `PoolFull`.
pub type Result<T> = std::result::Result<T, Reason>;

/// Peer links that a request crosses at most.
pub const HOP_LIMIT: u32 = 2;

/// Least loaded endpoints among which one is picked.
const FEW: usize = 2;

/// Cached tokens that make a return worthwhile.
const WORTHWHILE: f64 = 64.0;

/// Work beyond the least that a returning chat bears, as a share of its prompt, where no endpoint has room.
const SAVED_SHARE: f64 = 1.0;

/// How sharply the chance that a prefix is cached falls around the age of what was evicted last.
const EVICTION_EDGE: i32 = 12;

/// Chance that a prefix is cached still when its last event said so.
const AFTER_STORED: f64 = 0.95;

/// What is left of the chance when the last event said that it was evicted; events come with gaps.
const AFTER_EVICTED: f64 = 0.2;

/// A request to be placed.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct PlacementRequest<'a> {
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

impl PlacementRequest<'_> {
    fn allows(&self, view: &EndpointView) -> bool {
        !self.tried.contains(&view.id) && (!self.own_only || view.is_own())
    }
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug)]
pub enum PlacementReason {
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
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct Placement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Why it was chosen.
    pub reason: PlacementReason,
    /// Prompt tokens expected to be cached there.
    pub cached: Tokens,
}

/// Chooses an endpoint for a request.
///
/// A chat returns to the place with the longest prefix likely to be cached. Own endpoints must have room under the
/// bound; of others the load known here is late, so their home decides. A new chat goes to its first-ranked endpoint
/// if that is under the mean, which saves a hop. Any other request goes to one of the few least loaded endpoints with
/// room, the nearest first. If none has room, a returning chat waits at its place, unless the work there exceeds the
/// least by more than the prompt.
pub fn place(
    pool: &PoolView,
    ask: &PlacementRequest<'_>,
    now: Millis,
    rng: &mut impl Rng,
) -> Result<Placement> {
    let sight = Sight::new(pool, now);
    if let Some(placement) = return_to(&sight, ask, &|view| sight.suits(view)) {
        return Ok(placement);
    }
    if ask.places.is_empty()
        && ask.tried.is_empty()
        && let Some(view) = first_light(&sight, ask)
    {
        return Ok(sent_to(&sight, ask, view));
    }
    if let Some(view) = least_open(&sight, ask, rng) {
        return Ok(sent_to(&sight, ask, view));
    }
    let least = least_busy(&sight, ask, rng).ok_or(Reason::NoEndpoint)?;
    let busy = sight.load(least) + SAVED_SHARE * prompt_work(ask.prompt).0 as f64;
    let bearable = |view: &EndpointView| sight.load(view) <= busy;
    let back = return_to(&sight, ask, &bearable);
    Ok(back.unwrap_or_else(|| sent_to(&sight, ask, least)))
}

/// Whether a home could give a request to another endpoint: any with room, or after the last hop one of its own.
pub fn can_forward(
    pool: &PoolView,
    ask: &PlacementRequest<'_>,
    here: &EndpointId,
    now: Millis,
) -> bool {
    let sight = Sight::new(pool, now);
    let other = |view: &EndpointView| {
        view.id != *here && view.takes_work() && ask.allows(view) && sight.open(view)
    };
    !ask.own_only || pool.endpoints().iter().any(other)
}

/// Whether a request had better wait for a cached prefix than go to an endpoint without it.
///
/// `behind` is the work that must go before the request runs here.
pub fn should_wait(behind: Tokens, cached: Tokens) -> bool {
    behind <= prompt_work(cached)
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
            1.0 / (1.0 + ratio.powi(EVICTION_EDGE))
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
        let mean = pool.mean(now).load;
        Self { pool, mean, now }
    }

    fn load(&self, view: &EndpointView) -> f64 {
        view.estimate(self.mean, self.now)
    }

    fn open(&self, view: &EndpointView) -> bool {
        view.has_room() && self.load(view) <= self.pool.bound * self.mean
    }

    /// Whether a returning chat is sent to an endpoint: the home of another's knows better, and has the last word.
    fn suits(&self, view: &EndpointView) -> bool {
        !view.is_own() || self.open(view)
    }

    fn cached(&self, place: &Place, prompt: Tokens) -> f64 {
        let view = self.pool.get(&place.endpoint);
        let age = view.and_then(|view| view.eviction_age);
        expected_cached(place, prompt, age, self.now)
    }
}

fn sent_to(sight: &Sight<'_>, ask: &PlacementRequest<'_>, view: &EndpointView) -> Placement {
    let reason = match ask.places {
        [] => PlacementReason::New,
        _ => PlacementReason::Spilled,
    };
    let known = ask.places.iter().find(|place| place.endpoint == view.id);
    let cached = known.map_or(0.0, |place| sight.cached(place, ask.prompt));
    Placement {
        endpoint: view.id.clone(),
        reason,
        cached: Tokens(cached as u64),
    }
}

/// The place that has most of the prompt cached, among those that `suits` finds fit.
fn return_to(
    sight: &Sight<'_>,
    ask: &PlacementRequest<'_>,
    suits: &dyn Fn(&EndpointView) -> bool,
) -> Option<Placement> {
    let mut best = None;
    let mut most = WORTHWHILE;
    for (number, place) in ask.places.iter().enumerate() {
        let Some(view) = sight.pool.get(&place.endpoint) else {
            continue;
        };
        // Only another's home may know better of an endpoint than the view here, and only while hops are left.
        let asks_home = view.state == EndpointState::Unknown && !view.is_own() && !ask.own_only;
        let takes = view.takes_work() || asks_home;
        let cached = sight.cached(place, ask.prompt);
        if !takes || !ask.allows(view) || cached <= most || !suits(view) {
            continue;
        }
        most = cached;
        let reason = match number {
            0 => PlacementReason::Returned,
            _ => PlacementReason::SecondPlace,
        };
        best = Some(Placement {
            endpoint: place.endpoint.clone(),
            reason,
            cached: Tokens(cached as u64),
        });
    }
    best
}

/// The chat's first-ranked endpoint, if it is under the mean.
fn first_light<'a>(sight: &Sight<'a>, ask: &PlacementRequest<'_>) -> Option<&'a EndpointView> {
    let first = sight.pool.get(sight.pool.first_ranked(ask.chat?)?)?;
    let light = sight.load(first) <= sight.mean;
    (light && first.takes_work() && ask.allows(first) && sight.open(first)).then_some(first)
}

/// One of the few least loaded of the nearest that have room.
fn least_open<'a>(
    sight: &Sight<'a>,
    ask: &PlacementRequest<'_>,
    rng: &mut impl Rng,
) -> Option<&'a EndpointView> {
    for distance in [
        Distance::SameDataCentre,
        Distance::SameRegion,
        Distance::OtherRegion,
    ] {
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
    ask: &PlacementRequest<'_>,
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
