//! Decides which instance of an endpoint a listed entry belongs to.
//!
//! The platform may apply a write seconds after it was sent, so that the last
//! entry of a crashed instance may arrive after the first entry of its
//! successor. Besides, anyone may write entries: where endpoints give their
//! start time, an entry without one wasn't written by an endpoint.

use std::collections::HashMap;

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::EndpointId;
use crate::routing::endpoint::{InstanceId, StartTime};

/// Time after the last entry of an instance in which an entry with an earlier start time counts as
/// a late write. Writes were seen to take effect up to 6 s late. An entry that is still listed after
/// this time is of an endpoint whose clock was set back before it started again.
pub const LATE_WRITE: Millis = Millis::from_secs(8);

/// Number of records up to which old ones aren't removed.
const MIN_RECORDS: usize = 64;

/// What a listed entry refers to.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum EntryKind {
    /// The endpoint as it is now.
    Current,
    /// An instance that has been replaced by a later one.
    Late,
    /// No endpoint: it has no start time although endpoints give theirs.
    Foreign,
}

/// The latest start time seen of each endpoint.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct InstanceTracker {
    /// Whether any entry so far had a start time.
    has_start_times: bool,
    /// Latest start time of each endpoint, and when its last entry arrived.
    latest: HashMap<EndpointId, (StartTime, Millis)>,
    /// Number of records that remained when old ones were last removed.
    retained: usize,
}

impl InstanceTracker {
    /// Classifies an entry and records its start time.
    pub fn classify(&mut self, id: &InstanceId, now: Millis) -> EntryKind {
        let Some(started) = id.started else {
            return match self.has_start_times {
                true => EntryKind::Foreign,
                false => EntryKind::Current,
            };
        };
        self.has_start_times = true;
        match self.latest.get_mut(&id.endpoint) {
            Some((latest, at)) if started < *latest && now.since(*at) < LATE_WRITE => {
                return EntryKind::Late;
            }
            Some(known) => *known = (started, now),
            None => self.insert(id.endpoint.clone(), started, now),
        }
        EntryKind::Current
    }

    /// Whether endpoints give their start time.
    pub const fn has_start_times(&self) -> bool {
        self.has_start_times
    }

    /// Adds an unknown endpoint. Removes those without a recent entry whenever the number of records
    /// has doubled: with each insertion, a list would take time by the square of its length.
    fn insert(&mut self, endpoint: EndpointId, started: StartTime, now: Millis) {
        if self.latest.len() >= 2 * self.retained.max(MIN_RECORDS) {
            self.latest.retain(|_, (_, at)| now.since(*at) < LATE_WRITE);
            self.retained = self.latest.len();
        }
        self.latest.insert(endpoint, (started, now));
    }
}
