//! Keeps copies of the platform's objects: the configuration, the endpoints, the data centres that
//! are drained, and the daemons.
//!
//! Some daemons follow the platform itself ([`direct`]); the others follow
//! those ([`relay`]). Whatever the source, a change goes into the copy, from
//! there to whoever follows this daemon, and takes effect here.

mod client;
mod copies;
mod daemons;
mod direct;
mod effect;
mod quarantine;
pub mod relay;
mod unreadable;

use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::DataCentreId;
use medlarrill_net::now::now;
use tokio::net::TcpListener;

pub use self::copies::Copies;
pub use self::effect::{InForce, Sinks};
pub use self::unreadable::Unreadable;
use crate::metrics::Metrics;
use crate::peers::Roster;
use crate::placement::Placement;

/// Between two looks for objects that were missing for too long.
const SWEEP: Millis = Millis(100);

/// What the tasks of this room share.
#[derive(Clone)]
pub struct Store {
    /// The copies.
    pub copies: Arc<Copies>,
    /// Who lives, and who follows the platform.
    pub roster: Roster,
    /// Endpoints, and what is known against requests.
    pub placement: Arc<Placement>,
    /// Where this daemon runs.
    pub data_centre: DataCentreId,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
}

/// Keeps the copies up to date until the process ends.
pub async fn run(store: Store, platform: std::net::SocketAddr, listener: TcpListener) {
    let kinds = copies::KINDS.map(|kind| direct::follow(store.clone(), platform, kind));
    tokio::join!(
        futures_util::future::join_all(kinds),
        relay::serve(store.clone(), listener),
        relay::follow(store.clone()),
        quarantine::keep(store.clone(), platform),
        daemons::keep(store.clone(), platform),
        sweep(&store.copies),
    );
}

async fn sweep(copies: &Copies) {
    let mut ticks = tokio::time::interval(SWEEP.as_duration());
    loop {
        ticks.tick().await;
        copies.tick(now());
    }
}
