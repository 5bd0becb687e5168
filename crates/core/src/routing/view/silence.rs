//! Endpoints that give no sign of life while they have requests of this daemon.

use derive_more::Debug;

use super::View;
use crate::clock::Millis;
use crate::routing::endpoint::InstanceId;
use crate::routing::runs::Silences;

/// The silence of an endpoint among the others of its pool.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct SeenSilence {
    /// Time since it gave a sign of life.
    pub lasted: Millis,
    /// The others with requests of this daemon, by whether they have been silent for half as long.
    pub others: Silences,
}

impl View {
    /// Time since an endpoint gave a sign of life, if it has requests of this daemon.
    pub fn silence_of(&self, id: &InstanceId, now: Millis) -> Option<Millis> {
        self.runs.silence(id, now)
    }

    /// The silence of an endpoint that has requests of this daemon.
    pub fn silence(&self, id: &InstanceId, now: Millis) -> Option<SeenSilence> {
        let lasted = self.runs.silence(id, now)?;
        let pool = &self.directory.get(id)?.pool;
        let is_other = |other: &InstanceId| {
            let listed = self.directory.get(other);
            other != id && listed.is_some_and(|endpoint| endpoint.pool == *pool)
        };
        let others = self.runs.silences(is_other, Millis(lasted.0 / 2), now);
        Some(SeenSilence { lasted, others })
    }
}
