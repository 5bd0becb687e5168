//! Software versions of endpoints, for streams that go on elsewhere.

use super::View;
use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::ablation::{Mechanism, is_on};
use crate::routing::endpoint::{Build, InstanceId};
use crate::routing::exchange;
use crate::routing::losses::{OWN, Sign};
use crate::routing::streams::history::{BuildEvidence, RecentBuild};
use crate::routing::streams::lookup::Place;

impl View {
    /// Records that this daemon lost a connection to an instance, so that another process, maybe of
    /// another software version, may have taken its id; to be told to the others. Where endpoints
    /// give no start times, each process has an id of its own.
    pub fn doubt(&mut self, id: &InstanceId, now: Millis) {
        if id.started.is_none() || !self.directory.is_listed(id) {
            return;
        }
        let short = exchange::short_id(id);
        if self.doubts.record(OWN, short, now) && is_on(Mechanism::LossNews) {
            self.untold.push((short, Sign::Cut, now));
            self.has_told_losses = true;
        }
    }

    /// Whether another process may have taken an instance's id: a stream goes on there only if the
    /// process tells that it is the one that is listed.
    pub fn is_in_doubt(&self, id: &InstanceId, now: Millis) -> bool {
        self.doubts.contain(id, now)
    }

    /// Ends this daemon's own doubt about an instance.
    pub fn trust(&mut self, id: &InstanceId) {
        self.doubts.trust(id);
    }

    /// Marks this daemon as one of a fleet that starts for the first time, so that no stream has
    /// begun before.
    pub const fn set_first_start(&mut self) {
        self.directory.builds_mut().set_first();
    }

    /// Records software versions that the platform kept.
    pub fn record_kept(&mut self, kept: &[RecentBuild], now: Millis) {
        self.directory.builds_mut().record_kept(kept, now);
    }

    /// Records that entries of endpoints may have come and gone unseen.
    pub const fn record_gap(&mut self, now: Millis) {
        self.directory.builds_mut().record_gap(now);
    }

    /// Earliest time of an archive that tells what this daemon has missed; none before the first list.
    pub fn archive_from(&self) -> Option<Millis> {
        self.directory.builds().archive_from()
    }

    /// Whether this daemon has followed the list since before the lists of others were read that are
    /// fresh.
    pub fn joins_others(&self, now: Millis) -> bool {
        self.directory.builds().joins_others(now)
    }

    /// The places in some pools at which streams may have begun that still live.
    pub fn stream_places<'a>(
        &self,
        pools: impl Iterator<Item = &'a PoolId>,
        now: Millis,
    ) -> Vec<Place> {
        let builds = |pool| self.directory.builds().recent(pool, now);
        let places = pools.flat_map(|pool| {
            builds(pool).map(|build| Place {
                pool: pool.clone(),
                build: build.clone(),
            })
        });
        places.collect()
    }

    /// Whether an endpoint of this software version takes new work.
    pub fn is_served(&self, place: &Place) -> bool {
        let pool = self.directory.get_pool(&place.pool);
        pool.is_some_and(|pool| {
            let mut endpoints = pool.endpoints();
            endpoints.any(|endpoint| endpoint.build == place.build && self.takes_work(endpoint))
        })
    }

    /// Whether streams may have begun at several software versions of one pool.
    pub fn has_several_builds(&self, now: Millis) -> bool {
        self.directory.builds().has_several(now)
    }

    /// Time since a software version was listed, if it is new.
    pub fn new_for(&self, pool: &PoolId, build: &Build, now: Millis) -> Option<Millis> {
        self.directory.builds().new_for(pool, build, now)
    }

    /// What the list says of the software versions at which streams may have begun.
    pub fn build_evidence(&self, now: Millis) -> BuildEvidence {
        self.directory.builds().evidence(now)
    }

    /// Number of endpoints that aren't leaving, by pool and software version.
    pub fn build_counts(&self, now: Millis) -> Vec<(Place, usize)> {
        let builds = self.directory.builds().all(now);
        let count = |(pool, build): (&PoolId, &_)| {
            let place = Place {
                pool: pool.clone(),
                build: Clone::clone(build),
            };
            let listed = self.directory.get_pool(pool);
            (place, listed.map_or(0, |pool| pool.staying_of(build)))
        };
        builds.map(count).collect()
    }
}
