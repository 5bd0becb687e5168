//! Where a request goes: rendezvous hashing, the chat directory, the load view and the decision.
//!
//! Three daemons take part in one placement, and often they are one and the same.
//!
//! - The entry hashes institution and chat with [`chat_hash`], takes the chat's first-ranked endpoint of the pool
//!   ([`PoolView::first_ranked`]) and sends the request to that endpoint's home ([`Fleet::home_of`]). This daemon is the
//!   chat's directory daemon. Every entry finds it by hash alone.
//! - The directory daemon looks the chat up in its [`Directory`], calls [`place()`], notes the work sent
//!   ([`PoolView::note_sent`]) and records the place. If the chosen endpoint's home is another daemon, it passes
//!   the request on.
//! - The home counts its endpoints' work exactly ([`PoolView::set_own_load`]) and has the last word with
//!   [`admit_under_bound`]: it admits, passes on while hops are left, or lets the request wait in its queue. It tells
//!   the directory daemon only when it passed the request on or found its cached prefix gone.
//!
//! A daemon that is not the home by its own view serves all the same once [`HOP_LIMIT`] hops are used.
//!
//! Loads come from [`PoolView`]: exact for the endpoints that this daemon is home of, from gossip for others (sums
//! of each daemon, and its few least loaded endpoints). All times are points on the holder's own clock; what is
//! heard from others is given as the holder's time less its age.

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
