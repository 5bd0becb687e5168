//! Chooses the endpoint of a request: rendezvous hashing, the chat directory, the load view and the
//! choice itself.
//!
//! Up to three daemons take part in one placement; often one daemon has all three roles.
//!
//! - The entry hashes institution and chat with [`chat_hash`], takes the chat's first-ranked
//!   endpoint of the pool ([`PoolView::first_ranked`]) and sends the request to that endpoint's
//!   home ([`Fleet::home_of`]). This daemon is the chat's directory daemon. Every entry finds it by
//!   hashing alone.
//! - The directory daemon looks the chat up in its [`Directory`], calls [`place()`], adds the work
//!   to the endpoint's estimated load ([`PoolView::note_sent`]) and records the place. If the
//!   chosen endpoint's home is another daemon, it forwards the request there.
//! - The home counts its endpoints' work exactly ([`PoolView::set_own_load`]) and makes the final
//!   decision: it admits the request, forwards it while hops are left, or queues it. It reports to
//!   the directory daemon only when it forwarded the request or no longer had the prefix cached.
//!
//! Once [`HOP_LIMIT`] hops are used, a daemon serves a request even if it does not consider itself
//! the home.
//!
//! Loads come from [`PoolView`]: exact for the endpoints that this daemon is home of, from gossip
//! for others (sums of each daemon, and its few least loaded endpoints). All times are on this
//! daemon's own clock; the time of a received value is the local time of receipt less the value's
//! age.

mod decide;
mod directory;
mod fleet;
mod load;
mod rendezvous;

pub use decide::{
    HOP_LIMIT, Placement, PlacementReason, PlacementRequest, Result, can_forward, expected_cached,
    place, should_wait,
};
pub use directory::{CacheHint, ChatPlaces, Directory, MAX_PLACES, Place};
pub use fleet::{Daemon, Fleet};
pub use load::{
    Distance, EndpointLoad, EndpointState, EndpointView, LoadView, Occupancy,
    PROMPT_TOKENS_PER_OUTPUT, PoolMean, PoolSum, PoolView, estimated_work, prompt_work,
};
pub use rendezvous::{Group, Node, chat_hash, key_of};
