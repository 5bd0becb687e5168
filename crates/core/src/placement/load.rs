//! What a daemon knows of the endpoints' load and of each pool's mean.
//!
//! Load is estimated work in flight, in generated tokens; prompt tokens count less, see [`PROMPT_TOKENS_PER_OUTPUT`]. It is exact for the endpoints that the daemon is home of. For others
//! it comes late, by gossip, and the daemon adds what it has itself sent there since. The mean is made of the
//! daemons' sums. A sum that is not renewed fades, which lowers the mean and so tightens the bound.

mod view;

use std::collections::BTreeMap;

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::{EndpointId, PoolId};
use crate::units::Tokens;

pub use view::PoolView;

/// Prompt tokens that cost an engine as much as one generated token.
///
/// Engines compute prompts many tokens at a step and generate one token of each request at a step.
pub const PROMPT_TOKENS_PER_OUTPUT: u64 = 12;

/// The work of computing a prompt, in generated tokens.
pub fn prompt_work(uncached: Tokens) -> Tokens {
    Tokens(uncached.0.div_ceil(PROMPT_TOKENS_PER_OUTPUT))
}

/// The work of a request: what must be computed of the prompt, and what is expected to be generated.
pub fn estimated_work(uncached: Tokens, output: Tokens) -> Tokens {
    prompt_work(uncached) + output
}

/// How far an endpoint is; nearer ones are preferred for new and spilled work.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug)]
pub enum Distance {
    /// The same data centre.
    SameDataCentre,
    /// The same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

/// Whether an endpoint takes new work, as far as is known here.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug)]
pub enum EndpointState {
    /// It does.
    Ready,
    /// It is leaving.
    Leaving,
    /// An operator has asked it to take none.
    Drained,
    /// Nothing fresh is known; its home may know more.
    Unknown,
}

/// What a home counts at one of its endpoints.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Occupancy {
    /// Work in flight.
    pub load: Tokens,
    /// Work that waits at the home.
    pub waiting: Tokens,
    /// Whether one more request would run at once.
    pub room: bool,
}

/// A daemon's sum over the endpoints of one pool that it is home of and that take work.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct PoolSum {
    /// Work in flight.
    pub load: Tokens,
    /// Endpoints.
    pub endpoints: u32,
    /// When it was true.
    pub as_of: Millis,
}

/// The mean load of a pool's endpoints that take work, as a daemon knows it.
#[derive(Clone, Copy, PartialEq, Default)]
#[derive(Debug)]
pub struct PoolMean {
    /// Work in flight per endpoint, in tokens; stale sums are faded.
    pub load: f64,
    /// Endpoints that it is taken over.
    pub endpoints: u32,
}

/// One endpoint's load as told to others.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Work in flight and waiting.
    pub load: Tokens,
    /// Whether one more request would run at once.
    pub room: bool,
    /// When it was true.
    pub as_of: Millis,
}

/// What is known of one endpoint.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct EndpointView {
    /// The endpoint.
    pub id: EndpointId,
    /// How far it is.
    pub distance: Distance,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Age of what its cache evicted last, if it has evicted any.
    pub eviction_age: Option<Millis>,
    /// Share of new chats, against others.
    weight: f64,
    /// Of its rendezvous score.
    seed: u64,
    /// Whether this daemon is its home.
    own: bool,
    load: Tokens,
    waiting: Tokens,
    room: bool,
    as_of: Option<Millis>,
    /// Sent by this daemon since `mark`, and in the span before.
    sent: Tokens,
    sent_before: Tokens,
    mark: Millis,
}

/// All pools.
#[derive(Clone, PartialEq, Default)]
#[derive(Debug)]
pub struct LoadView {
    /// By name.
    pub pools: BTreeMap<PoolId, PoolView>,
}

impl LoadView {
    /// A view without pools.
    pub fn new() -> Self {
        Self::default()
    }

    /// One pool.
    pub fn pool(&self, pool: &PoolId) -> Option<&PoolView> {
        self.pools.get(pool)
    }

    /// One pool, to change.
    pub fn pool_mut(&mut self, pool: &PoolId) -> Option<&mut PoolView> {
        self.pools.get_mut(pool)
    }
}
