//! Which instance of an endpoint an entry speaks of.
//!
//! The platform may carry out a write seconds after it was sent, so that the
//! last word of an instance that crashed may follow the first one of the
//! instance after it. Anyone may write entries, too: where endpoints tell when
//! they started, an entry that doesn't isn't an endpoint's.

use std::collections::HashMap;

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::EndpointId;
use crate::routing::endpoint::{StartTime, InstanceId};

/// Time after the last word of an instance in which an entry of an earlier start is taken for a
/// late write. Writes were seen to take effect up to 6 s late; endpoints write about each second,
/// so that one whose clock was set back before it started again is known after this.
const LATE: Millis = Millis::from_secs(8);

/// What an entry stands for.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum EntryKind {
    /// The endpoint as it is now.
    Current,
    /// An instance that is gone.
    Late,
    /// No endpoint: it doesn't say when it started, and endpoints do.
    Foreign,
}

/// The instances that were heard of last.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct InstanceTracker {
    /// Whether any endpoint told when it started.
    told: bool,
    last: HashMap<EndpointId, (StartTime, Millis)>,
}

impl InstanceTracker {
    /// Judges an entry.
    pub fn classify(&mut self, id: &InstanceId, now: Millis) -> EntryKind {
        let Some(born) = id.started else {
            return match self.told {
                true => EntryKind::Foreign,
                false => EntryKind::Current,
            };
        };
        self.told = true;
        match self.last.get_mut(&id.endpoint) {
            Some((last, at)) if born < *last && now.since(*at) < LATE => return EntryKind::Late,
            Some(known) => *known = (born, now),
            None => self.join(id.endpoint.clone(), born, now),
        }
        EntryKind::Current
    }

    /// Whether endpoints tell when they started.
    pub const fn has_start_times(&self) -> bool {
        self.told
    }

    /// Notes an endpoint that wasn't known, and forgets those that were silent for long.
    fn join(&mut self, endpoint: EndpointId, born: StartTime, now: Millis) {
        self.last.retain(|_, (_, at)| now.since(*at) < LATE);
        self.last.insert(endpoint, (born, now));
    }
}
