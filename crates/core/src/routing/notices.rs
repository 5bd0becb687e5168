//! What endpoints say of themselves in their answers: that they leave, or that
//! they want no requests for a time.
//!
//! Such a notice is newer than what the platform's list says, and no entry
//! undoes it. It belongs to the process that answered, whoever has the address
//! later. That process may have started after the one that is listed: whether a
//! start that the list tells later is the one that spoke follows from its time.
//! A notice ends with its time, with a new start of the endpoint, or some time
//! after its entry is gone.

use std::collections::HashMap;

use derive_more::Debug;
use foldhash::fast::RandomState;

use crate::clock::Millis;
use crate::ids::EndpointId;
use crate::retry::LONGEST_PAUSE;
use crate::routing::endpoint::InstanceId;

/// For how long an endpoint that isn't listed any more may come back as the same process, as it
/// does where entries lapse in an outage of the platform.
const KEPT: Millis = Millis::from_secs(600);

/// What one answer says of the endpoint that gave it.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Notice {
    /// Whether it will stop, and takes no new work.
    pub leaving: bool,
    /// For how long it wants no requests from this daemon.
    pub pause: Millis,
}

impl Notice {
    /// Whether it says anything.
    pub const fn is_empty(self) -> bool {
        !self.leaving && self.pause.0 == 0
    }
}

/// What is known of one endpoint by its own word.
#[derive(Clone)]
#[derive(Debug)]
struct Record {
    /// The instance that was listed when it was heard.
    id: InstanceId,
    leaving: bool,
    /// The end of its pause.
    until: Millis,
    /// When it was last heard.
    heard: Millis,
    /// When the request was handed over that it answered, since the Unix epoch.
    handed: Millis,
}

impl Record {
    /// Whether a listed instance is the one that spoke.
    fn is_of(&self, id: &InstanceId) -> bool {
        answered_by(id, &self.id, self.handed)
    }
}

/// Whether a listed instance gave the answer to a request that was handed over at a time since the
/// Unix epoch, while another instance was listed, or the same. The time of the answer doesn't tell:
/// a daemon may read it long after the process ended.
pub fn answered_by(listed: &InstanceId, asked: &InstanceId, handed: Millis) -> bool {
    if listed == asked {
        return true;
    }
    let had_begun = |born: u64| born <= handed.0;
    match (asked.started, listed.started) {
        (Some(before), Some(born)) => born > before && had_begun(born.0),
        (None, Some(born)) => had_begun(born.0),
        (_, None) => false,
    }
}

/// What is known of all endpoints by their own word.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Notices {
    records: HashMap<EndpointId, Record, RandomState>,
    /// The end of all pauses.
    until: Millis,
}

impl Notices {
    /// Takes the notice of an endpoint, known as this instance, in the answer to a request that was
    /// handed over at a time since the Unix epoch; says whether it is news.
    pub fn record(&mut self, id: &InstanceId, notice: Notice, now: Millis, handed: Millis) -> bool {
        if notice.is_empty() {
            return false;
        }
        let known = self.records.get(&id.endpoint);
        let known = known.filter(|known| known.is_of(id));
        let (was_leaving, before) =
            known.map_or((false, Millis::ZERO), |known| (known.leaving, known.until));
        let until = now + notice.pause.min(LONGEST_PAUSE);
        let record = Record {
            id: id.clone(),
            leaving: notice.leaving || was_leaving,
            // Each answer asks for a time of its own; a shorter one ends none.
            until: before.max(until),
            heard: now,
            handed,
        };
        self.until = self.until.max(until);
        self.records.insert(id.endpoint.clone(), record);
        notice.leaving && !was_leaving || until > now && before <= now
    }

    /// Takes an instance that the platform lists: what an earlier one said ends.
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

    /// Whether an instance said that it leaves.
    pub fn is_leaving(&self, id: &InstanceId) -> bool {
        let record = self.records.get(&id.endpoint);
        record.is_some_and(|record| record.leaving && record.id == *id)
    }

    /// Whether any endpoint may want no requests now.
    pub fn has_pauses(&self, now: Millis) -> bool {
        now < self.until
    }

    /// For how long an instance wants no more requests.
    pub fn pause(&self, id: &InstanceId, now: Millis) -> Millis {
        let record = self.records.get(&id.endpoint);
        let until = record.filter(|record| record.id == *id);
        until.map_or(Millis::ZERO, |record| record.until.since(now))
    }

    /// Endpoints that want no requests now.
    pub fn pauses(&self, now: Millis) -> usize {
        let records = self.records.values();
        records.filter(|record| now < record.until).count()
    }

    /// Forgets endpoints that aren't listed any more.
    pub fn prune(&mut self, is_listed: impl Fn(&EndpointId) -> bool, now: Millis) {
        let is_recent = |record: &Record| now.since(record.heard) < KEPT;
        self.records
            .retain(|name, record| is_listed(name) || is_recent(record));
    }
}
