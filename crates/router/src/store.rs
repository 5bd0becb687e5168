//! Keeps local copies of the platform's objects: the configuration, the endpoints, the drained data
//! centres, and the daemons.
//!
//! Watchers read the platform's store themselves ([`direct`]); other daemons copy from
//! them ([`relay`]). Whatever its source, a change is applied to the local copy,
//! takes effect in this daemon, and is sent to the daemons that follow it.

mod apply;
mod changes;
pub mod client;
mod copies;
pub mod counted;
mod daemons;
mod direct;
pub mod eras;
mod quarantine;
pub mod relay;
mod unreadable;

use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::DataCentreId;
use medlarrill_net::now::now;

pub use self::apply::{ActiveConfig, ChangeApplier};
pub use self::copies::Copies;
pub use self::unreadable::UnreadableReporter;
use crate::metrics::Metrics;
use crate::peers::Roster;
use crate::placement::Placement;

/// Interval between sweeps that remove objects which were missing for too long.
const SWEEP_INTERVAL: Millis = Millis(100);

/// State that the tasks of this module share.
#[derive(Clone)]
pub struct StoreContext {
    /// Local copies of the objects.
    pub copies: Arc<Copies>,
    /// Live daemons and their roles.
    pub roster: Roster,
    /// Routing state.
    pub placement: Arc<Placement>,
    /// Data centre of this daemon.
    pub data_centre: DataCentreId,
    /// Metrics of the daemon.
    pub metrics: Arc<Metrics>,
    /// Whether the complete fleet starts for the first time.
    pub first_start: bool,
}

/// Keeps the copies up to date until the process ends.
pub async fn run(store: StoreContext, platform: std::net::SocketAddr) {
    let kinds = copies::KINDS.map(|kind| direct::follow(store.clone(), platform, kind));
    tokio::join!(
        futures_util::future::join_all(kinds),
        relay::follow(store.clone()),
        relay::learn_at_start(store.clone()),
        quarantine::sync(store.clone(), platform),
        daemons::sync(store.clone(), platform),
        sweep(&store.copies),
    );
}

async fn sweep(copies: &Copies) {
    let mut ticks = tokio::time::interval(SWEEP_INTERVAL.as_duration());
    loop {
        ticks.tick().await;
        copies.tick(now());
    }
}
