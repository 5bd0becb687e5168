//! Notices that endpoints send in their responses: that they are leaving, or
//! that they want no requests for some time.
//!
//! A notice is newer than the endpoint's entry in the platform's list, so that
//! no entry overrides it. It belongs to the process that sent the response,
//! whichever process has the address later. That process may be newer than the
//! listed instance: if the list then shows a later instance, its start time
//! shows whether that one sent the response. A notice ends when its time is
//! over, when the endpoint restarts, or some time after its entry was removed.

use std::collections::HashMap;

use derive_more::Debug;
use foldhash::fast::RandomState;

use crate::clock::Millis;
use crate::ids::EndpointId;
use crate::retry::MAX_PAUSE;
use crate::routing::endpoint::InstanceId;

/// How long notices of an endpoint that is no longer listed are kept. The same process may be
/// listed again, since entries expire in an outage of the platform.
const RETENTION: Millis = Millis::from_secs(600);

/// What one response says about the availability of its endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Notice {
    /// Whether it will stop, and takes no new work.
    pub leaving: bool,
    /// For how long it wants no requests from this daemon; zero if it accepts them.
    pub pause: Millis,
}

impl Notice {
    /// Whether it neither announces leaving nor asks for a pause.
    pub const fn is_empty(self) -> bool {
        !self.leaving && self.pause.0 == 0
    }
}

/// The last notice of one endpoint.
#[derive(Clone)]
#[derive(Debug)]
struct Record {
    /// The instance that was listed when the notice was received.
    id: InstanceId,
    leaving: bool,
    /// The end of its pause.
    until: Millis,
    /// When the last notice was received.
    received: Millis,
    /// When the request that it answers was sent, in milliseconds since the Unix epoch.
    sent_at: Millis,
}

impl Record {
    /// Whether a listed instance is the one that sent the notice.
    fn is_of(&self, id: &InstanceId) -> bool {
        answered_by(id, &self.id, self.sent_at)
    }
}

/// Whether the instance that is listed now answered a request that was sent at `sent_at`, in
/// milliseconds since the Unix epoch, while `sent_to` was listed. The time of the response doesn't
/// show this: a daemon may read it long after the process ended.
pub fn answered_by(listed: &InstanceId, sent_to: &InstanceId, sent_at: Millis) -> bool {
    if listed == sent_to {
        return true;
    }
    let was_running = |started: u64| started <= sent_at.0;
    match (sent_to.started, listed.started) {
        (Some(before), Some(started)) => started > before && was_running(started.0),
        (None, Some(started)) => was_running(started.0),
        (_, None) => false,
    }
}

/// The last notices of all endpoints.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Notices {
    records: HashMap<EndpointId, Record, RandomState>,
    /// When the last pause ends.
    until: Millis,
}

impl Notices {
    /// Records the notice of an endpoint, currently listed as instance `id`, in the response to a
    /// request that was sent at `sent_at` (milliseconds since the Unix epoch); returns whether it
    /// changes anything.
    pub fn record(
        &mut self,
        id: &InstanceId,
        notice: Notice,
        now: Millis,
        sent_at: Millis,
    ) -> bool {
        if notice.is_empty() {
            return false;
        }
        let known = self.records.get(&id.endpoint);
        let known = known.filter(|known| known.is_of(id));
        let (was_leaving, before) =
            known.map_or((false, Millis::ZERO), |known| (known.leaving, known.until));
        let until = now + notice.pause.min(MAX_PAUSE);
        let record = Record {
            id: id.clone(),
            leaving: notice.leaving || was_leaving,
            // Each response asks for its own pause; a shorter one doesn't end a longer one.
            until: before.max(until),
            received: now,
            sent_at,
        };
        self.until = self.until.max(until);
        self.records.insert(id.endpoint.clone(), record);
        notice.leaving && !was_leaving || until > now && before <= now
    }

    /// Sets the instance that the platform lists; drops a notice of an earlier one.
    pub fn set_listed(&mut self, id: &InstanceId) {
        let Some(record) = self.records.get_mut(&id.endpoint) else {
            return;
        };
        match record.is_of(id) {
            true => record.id = id.clone(),
            false => {
                self.records.remove(&id.endpoint);
            }
        }
    }

    /// Whether an instance announced that it is leaving.
    pub fn is_leaving(&self, id: &InstanceId) -> bool {
        let record = self.records.get(&id.endpoint);
        record.is_some_and(|record| record.leaving && record.id == *id)
    }

    /// Whether any endpoint may have a pause now.
    pub fn has_pauses(&self, now: Millis) -> bool {
        now < self.until
    }

    /// For how long an instance still wants no requests; zero if it accepts them.
    pub fn pause(&self, id: &InstanceId, now: Millis) -> Millis {
        let record = self.records.get(&id.endpoint);
        let current = record.filter(|record| record.id == *id);
        current.map_or(Millis::ZERO, |record| record.until.since(now))
    }

    /// Number of endpoints that want no requests now.
    pub fn pauses(&self, now: Millis) -> usize {
        let records = self.records.values();
        records.filter(|record| now < record.until).count()
    }

    /// Removes unlisted endpoints whose last notice is older than the retention time.
    pub fn prune(&mut self, is_listed: impl Fn(&EndpointId) -> bool, now: Millis) {
        let is_recent = |record: &Record| now.since(record.received) < RETENTION;
        self.records
            .retain(|name, record| is_listed(name) || is_recent(record));
    }
}
