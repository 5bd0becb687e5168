//! Software versions of endpoints, for streams that go on elsewhere.

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::PoolId;
use medlarrill_core::routing::endpoint::{Build, InstanceId};
use medlarrill_core::routing::streams::history::{BuildEvidence, RecentBuild};
use medlarrill_core::routing::streams::lookup::Place;

use super::Placement;

impl Placement {
    /// Marks this daemon as one of a fleet that starts for the first time.
    pub fn set_first_start(&self) {
        self.lock().set_first_start();
    }

    /// Records that a connection to an instance was lost, so that another process may have taken its
    /// id.
    pub fn doubt(&self, id: &InstanceId, now: Millis) {
        self.lock().doubt(id, now);
        self.untold.notify_one();
    }

    /// Whether another process may have taken an instance's id.
    pub fn is_in_doubt(&self, id: &InstanceId, now: Millis) -> bool {
        self.lock().is_in_doubt(id, now)
    }

    /// Ends the doubt about an instance.
    pub fn trust(&self, id: &InstanceId) {
        self.lock().trust(id);
    }

    /// Records software versions that the platform kept.
    pub fn record_kept(&self, kept: &[RecentBuild], now: Millis) {
        self.lock().record_kept(kept, now);
    }

    /// Records that entries of endpoints may have come and gone unseen.
    pub fn record_gap(&self, now: Millis) {
        self.lock().record_gap(now);
    }

    /// Earliest time of an archive that tells what this daemon has missed; none before the first list.
    pub fn archive_from(&self) -> Option<Millis> {
        self.lock().archive_from()
    }

    /// Whether this daemon has followed the list since before the lists of others were read that are
    /// fresh.
    pub fn joins_others(&self, now: Millis) -> bool {
        self.lock().joins_others(now)
    }

    /// The places in some pools at which streams may have begun that still live.
    pub fn stream_places<'a>(
        &self,
        pools: impl Iterator<Item = &'a PoolId>,
        now: Millis,
    ) -> Vec<Place> {
        self.lock().stream_places(pools, now)
    }

    /// Whether an endpoint of this pool and software version takes new work.
    pub fn is_served(&self, place: &Place) -> bool {
        self.lock().is_served(place)
    }

    /// Whether streams may have begun at several software versions of one pool.
    pub fn has_several_builds(&self, now: Millis) -> bool {
        self.lock().has_several_builds(now)
    }

    /// Time since a software version was listed, if it is new.
    pub fn new_for(&self, pool: &PoolId, build: &Build, now: Millis) -> Option<Millis> {
        self.lock().new_for(pool, build, now)
    }

    /// What the list says of the software versions at which streams may have begun.
    pub fn build_evidence(&self, now: Millis) -> BuildEvidence {
        self.lock().build_evidence(now)
    }

    /// Number of endpoints that aren't leaving, by pool and software version.
    pub fn build_counts(&self, now: Millis) -> Vec<(Place, usize)> {
        self.lock().build_counts(now)
    }
}
