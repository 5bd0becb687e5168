//! Chooses the endpoint of a request, and whether its home should forward or queue it.

use derive_more::Debug;
use rand::{Rng, RngExt};

use super::directory::{CacheHint, Place};
use super::load::{Distance, EndpointState, EndpointView, PoolView, prompt_work};
use crate::clock::Millis;
use crate::ids::{ChatHash, EndpointId};
use crate::reason::Reason;
use crate::units::Tokens;

/// Result of a placement; the error is `NoEndpoint` when no endpoint may take the request.
pub type Result<T> = std::result::Result<T, Reason>;

/// Largest number of peer links that a request crosses.
pub const HOP_LIMIT: u32 = 2;

/// Number of least loaded endpoints among which one is picked at random.
const CANDIDATES: usize = 2;

/// Cached tokens that must be exceeded for a chat to return to a place.
const MIN_CACHED: f64 = 64.0;

/// Largest excess over the least loaded endpoint's load at which a chat still returns to its place
/// when no endpoint has room, as a multiple of its prompt's work.
const MAX_EXCESS: f64 = 1.0;

/// Exponent of the curve by which the chance that a prefix is cached falls around the age of the
/// last eviction.
const EVICTION_STEEPNESS: i32 = 12;

/// Chance that a prefix is still cached after a stored event, before its age is taken into account.
const STORED_CHANCE: f64 = 0.95;

/// Factor on the chance by age after an evicted event; not zero, as some events are missing.
const EVICTED_FACTOR: f64 = 0.2;

/// A request to place.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct PlacementRequest<'a> {
    /// The chat, if it has one.
    pub chat: Option<ChatHash>,
    /// The chat's places from the directory, most recent first.
    pub places: &'a [Place],
    /// Estimated length of the prompt.
    pub prompt: Tokens,
    /// Endpoints already tried, which are excluded.
    pub tried: &'a [EndpointId],
    /// Whether only endpoints that this daemon is home of may be chosen, as after the last hop.
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
    /// The endpoint served the chat last.
    Returned,
    /// The endpoint served the chat before the last one did.
    SecondPlace,
    /// The chat's places are over the bound, take no work or have too little cached.
    Spilled,
    /// The chat has no places.
    New,
}

/// The chosen endpoint.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct Placement {
    /// The endpoint that gets the request.
    pub endpoint: EndpointId,
    /// Why it was chosen.
    pub reason: PlacementReason,
    /// Prompt tokens expected to be cached at the endpoint.
    pub cached: Tokens,
}

/// Chooses an endpoint for a request.
///
/// A chat returns to the place with the longest prefix expected to be cached. Own endpoints must
/// have room under the bound; the load known here of other homes' endpoints is out of date, so
/// their home decides. A new chat goes to its first-ranked endpoint if that is not loaded above the
/// mean, which saves a hop. Any other request goes to one of the few least loaded endpoints with
/// room, the nearest first. If none has room, a returning chat waits at its place, unless the load
/// there exceeds the least loaded endpoint's by more than the work of the prompt.
pub fn place(
    pool: &PoolView,
    request: &PlacementRequest<'_>,
    now: Millis,
    rng: &mut impl Rng,
) -> Result<Placement> {
    let snapshot = PoolSnapshot::new(pool, now);
    if let Some(placement) = best_cached(&snapshot, request, &|view| snapshot.accepts_return(view))
    {
        return Ok(placement);
    }
    if request.places.is_empty()
        && request.tried.is_empty()
        && let Some(view) = first_ranked_below_mean(&snapshot, request)
    {
        return Ok(placement_at(&snapshot, request, view));
    }
    if let Some(view) = nearest_with_room(&snapshot, request, rng) {
        return Ok(placement_at(&snapshot, request, view));
    }
    let least = least_loaded(&snapshot, request, rng).ok_or(Reason::NoEndpoint)?;
    let max_load = snapshot.load(least) + MAX_EXCESS * prompt_work(request.prompt).0 as f64;
    let within_excess = |view: &EndpointView| snapshot.load(view) <= max_load;
    let cached = best_cached(&snapshot, request, &within_excess);
    Ok(cached.unwrap_or_else(|| placement_at(&snapshot, request, least)))
}

/// Whether a home may forward a request: always while hops are left, after the last hop if another
/// of its own endpoints has room.
pub fn can_forward(
    pool: &PoolView,
    request: &PlacementRequest<'_>,
    here: &EndpointId,
    now: Millis,
) -> bool {
    let snapshot = PoolSnapshot::new(pool, now);
    let other = |view: &EndpointView| {
        view.id != *here
            && view.takes_work()
            && request.allows(view)
            && snapshot.has_room_under_bound(view)
    };
    !request.own_only || pool.endpoints().iter().any(other)
}

/// Whether waiting for a cached prefix costs no more work than computing it elsewhere.
///
/// `ahead` is the work that must finish before the request runs here.
pub fn should_wait(ahead: Tokens, cached: Tokens) -> bool {
    ahead <= prompt_work(cached)
}

/// Expected number of prompt tokens cached at a place, given the age of what its endpoint evicted
/// last.
pub fn expected_cached(
    place: &Place,
    prompt: Tokens,
    eviction_age: Option<Millis>,
    now: Millis,
) -> f64 {
    let age = now.since(place.served).as_secs_f64();
    let age_chance = match eviction_age {
        Some(evicted) if evicted > Millis::ZERO => {
            let ratio = age / evicted.as_secs_f64();
            1.0 / (1.0 + ratio.powi(EVICTION_STEEPNESS))
        }
        Some(_) => 0.0,
        None => 1.0,
    };
    let chance = match place.hint {
        Some(CacheHint::Stored) => age_chance.max(STORED_CHANCE * age_chance.sqrt()),
        Some(CacheHint::Evicted) => age_chance * EVICTED_FACTOR,
        None => age_chance,
    };
    place.prefix.min(prompt).0 as f64 * chance
}

/// A pool and its mean load at one time.
struct PoolSnapshot<'a> {
    pool: &'a PoolView,
    mean: f64,
    now: Millis,
}

impl<'a> PoolSnapshot<'a> {
    fn new(pool: &'a PoolView, now: Millis) -> Self {
        let mean = pool.mean(now).load;
        Self { pool, mean, now }
    }

    fn load(&self, view: &EndpointView) -> f64 {
        view.estimate(self.mean, self.now)
    }

    fn has_room_under_bound(&self, view: &EndpointView) -> bool {
        view.has_room() && self.load(view) <= self.pool.bound * self.mean
    }

    /// Whether a returning chat may be sent to an endpoint: the home of a remote endpoint decides
    /// itself.
    fn accepts_return(&self, view: &EndpointView) -> bool {
        !view.is_own() || self.has_room_under_bound(view)
    }

    fn cached(&self, place: &Place, prompt: Tokens) -> f64 {
        let view = self.pool.get(&place.endpoint);
        let age = view.and_then(|view| view.eviction_age);
        expected_cached(place, prompt, age, self.now)
    }
}

fn placement_at(
    snapshot: &PoolSnapshot<'_>,
    request: &PlacementRequest<'_>,
    view: &EndpointView,
) -> Placement {
    let reason = match request.places {
        [] => PlacementReason::New,
        _ => PlacementReason::Spilled,
    };
    let known = request
        .places
        .iter()
        .find(|place| place.endpoint == view.id);
    let cached = known.map_or(0.0, |place| snapshot.cached(place, request.prompt));
    Placement {
        endpoint: view.id.clone(),
        reason,
        cached: Tokens(cached as u64),
    }
}

/// The place that has most of the prompt cached, among those that `accepts_return` allows.
fn best_cached(
    snapshot: &PoolSnapshot<'_>,
    request: &PlacementRequest<'_>,
    accepts_return: &dyn Fn(&EndpointView) -> bool,
) -> Option<Placement> {
    let mut best = None;
    let mut most_cached = MIN_CACHED;
    for (index, place) in request.places.iter().enumerate() {
        let Some(view) = snapshot.pool.get(&place.endpoint) else {
            continue;
        };
        // The home of a remote endpoint may know its state, and can be asked only while hops are
        // left.
        let home_decides =
            view.state == EndpointState::Unknown && !view.is_own() && !request.own_only;
        let takes_work = view.takes_work() || home_decides;
        let cached = snapshot.cached(place, request.prompt);
        if !takes_work || !request.allows(view) || cached <= most_cached || !accepts_return(view) {
            continue;
        }
        most_cached = cached;
        let reason = match index {
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

/// The chat's first-ranked endpoint, if it has room and is not loaded above the mean.
fn first_ranked_below_mean<'a>(
    snapshot: &PoolSnapshot<'a>,
    request: &PlacementRequest<'_>,
) -> Option<&'a EndpointView> {
    let first = snapshot
        .pool
        .get(snapshot.pool.first_ranked(request.chat?)?)?;
    let below_mean = snapshot.load(first) <= snapshot.mean;
    (below_mean
        && first.takes_work()
        && request.allows(first)
        && snapshot.has_room_under_bound(first))
    .then_some(first)
}

/// One of the least loaded endpoints of the nearest distance at which any has room.
fn nearest_with_room<'a>(
    snapshot: &PoolSnapshot<'a>,
    request: &PlacementRequest<'_>,
    rng: &mut impl Rng,
) -> Option<&'a EndpointView> {
    for distance in [
        Distance::SameDataCentre,
        Distance::SameRegion,
        Distance::OtherRegion,
    ] {
        let eligible = |view: &&EndpointView| {
            view.distance == distance
                && view.takes_work()
                && request.allows(view)
                && snapshot.has_room_under_bound(view)
        };
        let found = pick_least_loaded(
            snapshot,
            snapshot.pool.endpoints().iter().filter(eligible),
            rng,
        );
        if found.is_some() {
            return found;
        }
    }
    None
}

/// One of the least loaded of all endpoints; those in an unknown state only if no other is ready.
fn least_loaded<'a>(
    snapshot: &PoolSnapshot<'a>,
    request: &PlacementRequest<'_>,
    rng: &mut impl Rng,
) -> Option<&'a EndpointView> {
    for state in [EndpointState::Ready, EndpointState::Unknown] {
        let eligible = |view: &&EndpointView| view.state == state && request.allows(view);
        let found = pick_least_loaded(
            snapshot,
            snapshot.pool.endpoints().iter().filter(eligible),
            rng,
        );
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

fn pick_least_loaded<'a>(
    snapshot: &PoolSnapshot<'_>,
    views: impl Iterator<Item = &'a EndpointView>,
    rng: &mut impl Rng,
) -> Option<&'a EndpointView> {
    let mut least: Vec<Candidate<'a>> = Vec::with_capacity(CANDIDATES + 1);
    for view in views {
        let load = snapshot.load(view);
        let index = least.partition_point(|other| other.load <= load);
        if index < CANDIDATES {
            least.insert(index, Candidate { load, view });
            least.truncate(CANDIDATES);
        }
    }
    if least.is_empty() {
        return None;
    }
    let index = rng.random_range(0..least.len());
    least.get(index).map(|candidate| candidate.view)
}
