//! Quarantine of requests that crash the endpoints that run them.
//!
//! Such a request takes down everything that runs beside it, and its caller,
//! who got no response, sends it again: under a new id, to any daemon. Evidence
//! is therefore keyed by what a request asks for ([`Fingerprint`]), sent to all
//! daemons, and outlives the attempt. Each endpoint that was lost with a
//! request counts against it once ([`Evidence`]); at [`LOSS_THRESHOLD`] losses
//! all daemons stop sending it for a while.
//!
//! Of the requests that are lost with an endpoint, all but one merely ran
//! beside the one to blame. A loss isn't blamed on a request if another one
//! lost there has lost more endpoints, and a complete response clears a request.

mod blame;
mod evidence;
mod platform_sync;
mod suspect;

use std::collections::HashMap;

use derive_more::Debug;

use crate::clock::Millis;
use crate::routing::fingerprint::Fingerprint;

use blame::Blame;
pub use evidence::{Evidence, Finding, Snapshot};
pub use platform_sync::{PlatformSync, Step, StoredRequest};
use suspect::{Record, Suspect};

/// Lost endpoints at which a request is quarantined. With fewer, a request that twice ran beside
/// the cause would be taken for it.
pub const LOSS_THRESHOLD: usize = 3;
/// Time since the last loss for which a request is quarantined. After that it is tried once more:
/// the endpoints may have been fixed.
pub const BASE_DURATION: Millis = Millis::from_secs(600);
/// Factor by which each further loss lengthens the quarantine, so that a request is tried at most
/// three times a day.
pub const DURATION_FACTOR: u64 = 6;
/// Longest time for which a request is quarantined, and for which its losses count.
pub const RETENTION: Millis = Millis::from_secs(86_400);
/// Time for which losses below the threshold count.
pub const SHORT_RETENTION: Millis = Millis::from_secs(3600);
/// A complete response clears a request of all earlier losses, and of those in this time after it:
/// content that is requested often also runs at endpoints that fail for other reasons.
const CLEARANCE: Millis = Millis::from_secs(60);
/// Losses and clearances that are kept: some 20 KB of memory at 40 bytes each, and a datagram of
/// 8 KB at 16 bytes each. A lost endpoint leaves as many losses as it ran requests, one to some
/// dozens.
const RECORDS_MAX: usize = 512;
/// Served requests that are remembered.
const SERVED_MAX: usize = 4096;
/// Time for which new evidence is sent repeatedly, since datagrams are lost.
const FRESH_PERIOD: Millis = Millis(1000);
/// Added to the daemon's clock in this module, so that events before its start have a time too.
const CLOCK_OFFSET: Millis = RETENTION;

/// A request whose quarantine started or ended.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Change {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Whether it is quarantined from now on.
    pub is_quarantined: bool,
    /// Number of endpoints that were lost with it.
    pub lost: usize,
    /// Whether this daemon saw at least one of the losses.
    pub is_own: bool,
}

/// Evidence against requests, and the requests that are quarantined because of it.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    /// Quarantined requests, and until when they are.
    quarantined: HashMap<Fingerprint, Millis>,
    /// When this daemon last got a complete response to a request.
    served: HashMap<Fingerprint, Millis>,
}

impl Quarantine {
    /// Records that an endpoint, by its short id, was lost with a request.
    pub fn record_loss(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: u32,
        now: Millis,
    ) -> Vec<Change> {
        let now = now + CLOCK_OFFSET;
        let served = self.served.get(&fingerprint);
        let finding = match served.filter(|at| now.since(**at) < CLEARANCE) {
            Some(_) => Finding::Served,
            None => Finding::Lost(endpoint),
        };
        self.record(fingerprint, finding, now)
    }

    /// Records that a request got a complete response.
    pub fn record_served(&mut self, fingerprint: Fingerprint, now: Millis) -> Vec<Change> {
        let now = now + CLOCK_OFFSET;
        if self.served.len() >= SERVED_MAX && !self.served.contains_key(&fingerprint) {
            self.served.retain(|_, at| now.since(*at) < CLEARANCE);
            if self.served.len() >= SERVED_MAX {
                self.served.clear();
            }
        }
        self.served.insert(fingerprint, now);
        if !self.suspects.contains_key(&fingerprint) {
            return Vec::new();
        }
        self.record(fingerprint, Finding::Served, now)
    }

    fn record(&mut self, fingerprint: Fingerprint, finding: Finding, now: Millis) -> Vec<Change> {
        let record = Record {
            finding,
            at: now,
            learned_at: now,
            is_own: true,
        };
        match self.insert(fingerprint, record, now) {
            true => self.reassess(now),
            false => Vec::new(),
        }
    }

    /// Merges evidence of other daemons. A request that was served here is recorded as cleared,
    /// which is then sent to them.
    pub fn merge(&mut self, evidence: &[Evidence], now: Millis) -> Vec<Change> {
        let now = now + CLOCK_OFFSET;
        let mut is_new = false;
        for received in evidence {
            let record = Record {
                finding: received.finding,
                at: now - received.age,
                learned_at: now,
                is_own: false,
            };
            is_new |= self.insert(received.fingerprint, record, now);
            let served = self.served.get(&received.fingerprint).copied();
            if let Some(at) = served {
                let cleared = Record {
                    finding: Finding::Served,
                    at,
                    is_own: true,
                    ..record
                };
                is_new |= self.insert(received.fingerprint, cleared, now);
            }
        }
        match is_new {
            true => self.reassess(now),
            false => Vec::new(),
        }
    }

    /// Inserts a record; returns whether it is new.
    fn insert(&mut self, fingerprint: Fingerprint, record: Record, now: Millis) -> bool {
        let retention = match record.finding {
            Finding::Lost(_) => RETENTION,
            Finding::Served => CLEARANCE,
        };
        if now.since(record.at) >= retention {
            return false;
        }
        if !self.suspects.contains_key(&fingerprint) {
            self.evict();
        }
        self.suspects.entry(fingerprint).or_default().insert(record)
    }

    /// Drops requests with the fewest losses, the oldest first, until another record fits.
    fn evict(&mut self) {
        let count = |suspects: &HashMap<_, Suspect>| {
            let records = suspects.values().map(|suspect| suspect.records().count());
            records.sum::<usize>()
        };
        while count(&self.suspects) >= RECORDS_MAX {
            let least = self.suspects.iter().min_by_key(|(fingerprint, suspect)| {
                (suspect.lost.len(), suspect.last_loss(), **fingerprint)
            });
            let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.suspects.remove(&fingerprint);
        }
    }

    /// Drops evidence that is too old; returns the requests whose quarantine ended or started.
    pub fn expire(&mut self, now: Millis) -> Vec<Change> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let now = now + CLOCK_OFFSET;
        self.suspects.retain(|_, suspect| suspect.expire(now));
        self.reassess(now)
    }

    /// Time left until a quarantined request may be sent again; `None` if it may be sent now.
    pub fn remaining(&self, fingerprint: Fingerprint, now: Millis) -> Option<Millis> {
        let until = self.quarantined.get(&fingerprint)?;
        let left = until.since(now + CLOCK_OFFSET);
        (left > Millis::ZERO).then_some(left)
    }

    /// Recomputes which requests are quarantined; returns the changes.
    fn reassess(&mut self, now: Millis) -> Vec<Change> {
        let blame = Blame::new(self.suspects.iter().map(|(fingerprint, suspect)| {
            let endpoints = suspect
                .lost
                .iter()
                .filter_map(|loss| loss.finding.endpoint());
            (*fingerprint, endpoints.collect())
        }));
        let until = Suspect::quarantined_until;
        let blamed = self.suspects.iter();
        let blamed = blamed.filter(|(fingerprint, suspect)| {
            until(suspect) > now && blame.is_to_blame(**fingerprint)
        });
        let quarantined = blamed.map(|(fingerprint, suspect)| (*fingerprint, until(suspect)));
        let before = std::mem::replace(&mut self.quarantined, quarantined.collect());
        let ended = before
            .keys()
            .filter(|known| !self.quarantined.contains_key(known));
        let begun = self
            .quarantined
            .keys()
            .filter(|known| !before.contains_key(known));
        let ended = ended.map(|fingerprint| self.change(*fingerprint, false));
        let begun = begun.map(|fingerprint| self.change(*fingerprint, true));
        ended.chain(begun).collect()
    }

    fn change(&self, fingerprint: Fingerprint, is_quarantined: bool) -> Change {
        let lost = self.suspects.get(&fingerprint).map(|known| &known.lost);
        Change {
            fingerprint,
            is_quarantined,
            lost: lost.map_or(0, Vec::len),
            is_own: lost.is_some_and(|lost| lost.iter().any(|loss| loss.is_own)),
        }
    }

    /// How many requests are quarantined.
    pub fn count(&self) -> usize {
        self.quarantined.len()
    }

    /// The evidence about one request, as it is sent to other daemons.
    pub fn evidence(&self, fingerprint: Fingerprint, now: Millis) -> Vec<Evidence> {
        let now = now + CLOCK_OFFSET;
        let records = self.suspects.get(&fingerprint).into_iter();
        let records = records.flat_map(Suspect::records);
        records
            .map(|record| record.evidence(fingerprint, now))
            .collect()
    }

    /// The evidence for other daemons: all of it, what is new, and its digest.
    pub fn snapshot(&self, now: Millis) -> Snapshot {
        let now = now + CLOCK_OFFSET;
        let mut snapshot = Snapshot::default();
        for (fingerprint, suspect) in &self.suspects {
            for record in suspect.records() {
                let evidence = record.evidence(*fingerprint, now);
                snapshot.digest ^= evidence.digest();
                snapshot.all.push(evidence);
                if now.since(record.learned_at) >= FRESH_PERIOD {
                    continue;
                }
                snapshot.fresh.push(evidence);
                if record.is_own {
                    snapshot.own.push(evidence);
                }
            }
        }
        snapshot
    }
}
