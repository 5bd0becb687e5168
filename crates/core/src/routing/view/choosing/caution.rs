//! Software versions and endpoints that a request avoids.

use crate::clock::Millis;
use crate::ids::PoolId;
use crate::routing::endpoint::Build;
use crate::routing::plan::RetryPlan;
use crate::routing::view::View;

/// Share of a pool's endpoints up to which those of new software versions wait for their first
/// stream.
const MAX_PAUSED: f64 = 0.25;

/// Software versions and endpoints that a request avoids.
#[derive(Clone, Copy, Default)]
pub(super) struct Caution<'a> {
    /// Software versions to which it isn't sent whatever else there is.
    pub(super) refused: &'a [Build],
    /// Software versions at which streams don't begin yet.
    pub(super) paused: &'a [Build],
    /// Whether endpoints are avoided whose software version is in doubt.
    pub(super) avoids_doubts: bool,
}

impl View {
    /// The software versions at which a stream isn't begun yet. Those that have served for longer
    /// take their requests meanwhile, unless few of their endpoints are left.
    pub(super) fn paused_builds(&self, pool: &PoolId, plan: &RetryPlan, now: Millis) -> Vec<Build> {
        if !plan.begins_resumable() {
            return Vec::new();
        }
        let new = self.directory.builds().new_builds(pool, now);
        let Some(listed) = self.directory.get_pool(pool).filter(|_| !new.is_empty()) else {
            return Vec::new();
        };
        let staying = listed.staying();
        let paused: usize = new.iter().map(|build| listed.staying_of(build)).sum();
        match paused as f64 <= MAX_PAUSED * staying as f64 {
            true => new,
            false => Vec::new(),
        }
    }
}
