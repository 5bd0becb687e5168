//! Load of endpoints and mean load of pools, as one daemon estimates them.
//!
//! Load is estimated work in flight, in generated tokens; prompt tokens count less, see
//! [`PROMPT_TOKENS_PER_OUTPUT`]. It is exact for the endpoints that the daemon is home of. For
//! others it comes late, by gossip, and the daemon adds the work that it has sent there since. The
//! mean is computed from the daemons' sums. The load of a sum that is not renewed decays, which
//! lowers the mean and so tightens the load bound.

mod view;

use std::collections::BTreeMap;

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::{EndpointId, PoolId};
use crate::units::Tokens;

pub use view::PoolView;

/// Prompt tokens that cost an engine as much as one generated token.
///
/// In one step an engine computes many tokens of a prompt, but generates only one token of each
/// request.
pub const PROMPT_TOKENS_PER_OUTPUT: u64 = 12;

/// The work of computing uncached prompt tokens, in generated tokens.
pub fn prompt_work(uncached: Tokens) -> Tokens {
    Tokens(uncached.0.div_ceil(PROMPT_TOKENS_PER_OUTPUT))
}

/// The work of a request, in generated tokens: its uncached prompt and the expected output.
pub fn estimated_work(uncached: Tokens, output: Tokens) -> Tokens {
    prompt_work(uncached) + output
}

/// Distance of an endpoint from this daemon; nearer ones are preferred unless the chat has a prefix
/// cached.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug)]
pub enum Distance {
    /// In this daemon's data centre.
    SameDataCentre,
    /// In another data centre of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Whether an endpoint takes new work, as far as this daemon knows.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug)]
pub enum EndpointState {
    /// The endpoint takes new work.
    Ready,
    /// The endpoint is leaving and takes no new work.
    Leaving,
    /// An operator drains the endpoint, so it takes no new work.
    Drained,
    /// The state is not known or out of date; the endpoint's home may know it.
    Unknown,
}

/// Exact load of an endpoint, as counted by its home.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Occupancy {
    /// Work in flight, in generated tokens.
    pub load: Tokens,
    /// Work queued at the home, in generated tokens.
    pub waiting: Tokens,
    /// Whether one more request would run without queueing.
    pub room: bool,
}

/// A daemon's sum over the endpoints of one pool that it is home of and that take work.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct PoolSum {
    /// Work in flight, in generated tokens.
    pub load: Tokens,
    /// Number of endpoints in the sum.
    pub endpoints: u32,
    /// When the sum was taken, on this daemon's clock.
    pub as_of: Millis,
}

/// The mean load of a pool's endpoints that take work, as one daemon estimates it.
#[derive(Clone, Copy, PartialEq, Default)]
#[derive(Debug)]
pub struct PoolMean {
    /// Work in flight per endpoint, in generated tokens; the load of stale sums decays.
    pub load: f64,
    /// Number of endpoints in the mean.
    pub endpoints: u32,
}

/// One endpoint's load, as its home reports it to other daemons.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct EndpointLoad {
    /// The endpoint's name.
    pub endpoint: EndpointId,
    /// Work in flight and queued, in generated tokens.
    pub load: Tokens,
    /// Whether one more request would run without queueing.
    pub room: bool,
    /// When the load was measured, on this daemon's clock.
    pub as_of: Millis,
}

/// State and load of one endpoint, as far as this daemon knows.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct EndpointView {
    /// The endpoint's name.
    pub id: EndpointId,
    /// Distance from this daemon.
    pub distance: Distance,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Age of the prefix that its cache evicted last, if it has evicted any.
    pub eviction_age: Option<Millis>,
    /// Share of new chats, relative to the weights of the other endpoints.
    weight: f64,
    /// Seed of its rendezvous score.
    seed: u64,
    /// Whether this daemon is its home.
    own: bool,
    load: Tokens,
    waiting: Tokens,
    room: bool,
    as_of: Option<Millis>,
    /// Work sent by this daemon since `sent_since`, and in the period before that.
    sent: Tokens,
    sent_before: Tokens,
    sent_since: Millis,
}

/// Loads of all pools, as one daemon estimates them.
#[derive(Clone, PartialEq, Default)]
#[derive(Debug)]
pub struct LoadView {
    /// Pools by name.
    pub pools: BTreeMap<PoolId, PoolView>,
}

impl LoadView {
    /// A view without pools.
    pub fn new() -> Self {
        Self::default()
    }

    /// The pool of this name.
    pub fn pool(&self, pool: &PoolId) -> Option<&PoolView> {
        self.pools.get(pool)
    }

    /// Mutable access to the pool of this name.
    pub fn pool_mut(&mut self, pool: &PoolId) -> Option<&mut PoolView> {
        self.pools.get_mut(pool)
    }
}
