//! Requests that end the endpoints that run them.
//!
//! Such a request takes down all that runs beside it, and its caller, who got
//! no answer, sends it again: under a new id, to any daemon. So what is known
//! against a request is kept by what it asks for ([`Fingerprint`]), told to all
//! daemons, and outlives the attempt. Each endpoint that was lost with a
//! request counts against it once ([`Evidence`]); after some, no daemon sends
//! it anywhere for a while.
//!
//! Of the requests that are lost with an endpoint all but one only ran beside
//! the one to blame. Whoever shares a loss with a request that lost more
//! endpoints isn't blamed for it, and whoever was answered whole is cleared.

mod blame;
mod evidence;
mod keeper;
mod suspect;

use std::collections::HashMap;

use derive_more::Debug;

use crate::clock::Millis;
use crate::routing::fingerprint::Fingerprint;

use blame::Blame;
pub use evidence::{Evidence, Finding, Snapshot};
pub use keeper::{PlatformSync, StoredRequest, Step};
use suspect::{Row, Suspect};

/// Endpoints that a request may end before it is quarantined. With fewer, a request that ran
/// beside others twice would be taken for the cause.
pub const LOSS_THRESHOLD: usize = 3;
/// Time since the last loss for which a request is quarantined. After that it is tried once more:
/// the endpoints may have been mended.
pub const BASE_DURATION: Millis = Millis::from_secs(600);
/// How many times longer each further loss holds a request, so that it is tried three times a day
/// at the most.
pub const DURATION_FACTOR: u64 = 6;
/// Longest time for which a request is held, and for which its losses count.
pub const RETENTION: Millis = Millis::from_secs(86_400);
/// Time for which losses count that aren't enough.
pub const SHORT_RETENTION: Millis = Millis::from_secs(3600);
/// Time for which a whole answer clears a request of all losses, before and after: content that
/// is asked for often runs at endpoints that end for other reasons.
const CLEARED: Millis = Millis::from_secs(60);
/// Losses and clearances that are kept; at 40 bytes each some 20 KB, on the way at 16 a datagram
/// of 8 KB. An endpoint that ends leaves as many losses as it ran requests, one to some dozens.
const ROWS: usize = 512;
/// Requests that were served and are remembered.
const SERVED: usize = 4096;
/// Time for which what was learnt is told again, since datagrams are lost.
const FRESH: Millis = Millis(1000);
/// Added to the daemon's clock in here, so that what happened before its start has a time, too.
const SHIFT: Millis = RETENTION;

/// A request that is quarantined from now on, or no more.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Change {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it is quarantined.
    pub is_quarantined: bool,
    /// Endpoints that were lost with it.
    pub lost: usize,
    /// Whether this daemon itself lost it.
    pub is_own: bool,
}

/// All evidence, and who is quarantined by it.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    /// Until when requests are quarantined.
    held: HashMap<Fingerprint, Millis>,
    /// When requests were last served here.
    served: HashMap<Fingerprint, Millis>,
}

impl Quarantine {
    /// Notes that an endpoint, by its short id, was lost with a request.
    pub fn record_loss(&mut self, fingerprint: Fingerprint, endpoint: u32, now: Millis) -> Vec<Change> {
        let now = now + SHIFT;
        let served = self.served.get(&fingerprint);
        let finding = match served.filter(|at| now.since(**at) < CLEARED) {
            Some(_) => Finding::Served,
            None => Finding::Lost(endpoint),
        };
        self.note(fingerprint, finding, now)
    }

    /// Notes that a request was answered whole.
    pub fn record_served(&mut self, fingerprint: Fingerprint, now: Millis) -> Vec<Change> {
        let now = now + SHIFT;
        if self.served.len() >= SERVED && !self.served.contains_key(&fingerprint) {
            self.served.retain(|_, at| now.since(*at) < CLEARED);
            if self.served.len() >= SERVED {
                self.served.clear();
            }
        }
        self.served.insert(fingerprint, now);
        if !self.suspects.contains_key(&fingerprint) {
            return Vec::new();
        }
        self.note(fingerprint, Finding::Served, now)
    }

    fn note(&mut self, fingerprint: Fingerprint, finding: Finding, now: Millis) -> Vec<Change> {
        let row = Row {
            finding,
            at: now,
            learnt: now,
            is_own: true,
        };
        match self.take(fingerprint, row, now) {
            true => self.judge(now),
            false => Vec::new(),
        }
    }

    /// Takes what other daemons know. Where a request was served here, they are told.
    pub fn merge(&mut self, evidence: &[Evidence], now: Millis) -> Vec<Change> {
        let now = now + SHIFT;
        let mut is_news = false;
        for heard in evidence {
            let row = Row {
                finding: heard.finding,
                at: now - heard.age,
                learnt: now,
                is_own: false,
            };
            is_news |= self.take(heard.fingerprint, row, now);
            let served = self.served.get(&heard.fingerprint).copied();
            if let Some(at) = served {
                let cleared = Row {
                    finding: Finding::Served,
                    at,
                    is_own: true,
                    ..row
                };
                is_news |= self.take(heard.fingerprint, cleared, now);
            }
        }
        match is_news {
            true => self.judge(now),
            false => Vec::new(),
        }
    }

    /// Takes a row; says whether it is news.
    fn take(&mut self, fingerprint: Fingerprint, row: Row, now: Millis) -> bool {
        let longest = match row.finding {
            Finding::Lost(_) => RETENTION,
            Finding::Served => CLEARED,
        };
        if now.since(row.at) >= longest {
            return false;
        }
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room();
        }
        self.suspects.entry(fingerprint).or_default().take(row)
    }

    /// Drops the request with the least against it, the oldest of several, while there are too
    /// many rows.
    fn make_room(&mut self) {
        let count = |suspects: &HashMap<_, Suspect>| {
            let rows = suspects.values().map(|suspect| suspect.rows().count());
            rows.sum::<usize>()
        };
        while count(&self.suspects) >= ROWS {
            let least = self.suspects.iter().min_by_key(|(fingerprint, suspect)| {
                (suspect.lost.len(), suspect.last_loss(), **fingerprint)
            });
            let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.suspects.remove(&fingerprint);
        }
    }

    /// Drops what is too old; returns what that changes.
    pub fn expire(&mut self, now: Millis) -> Vec<Change> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let now = now + SHIFT;
        self.suspects.retain(|_, suspect| suspect.forget(now));
        self.judge(now)
    }

    /// How long a request isn't sent to any endpoint; none if it may be.
    pub fn remaining(&self, fingerprint: Fingerprint, now: Millis) -> Option<Millis> {
        let until = self.held.get(&fingerprint)?;
        let left = until.since(now + SHIFT);
        (left > Millis::ZERO).then_some(left)
    }

    /// Works out who is quarantined.
    fn judge(&mut self, now: Millis) -> Vec<Change> {
        let blame = Blame::new(self.suspects.iter().map(|(fingerprint, suspect)| {
            let endpoints = suspect.lost.iter().filter_map(|row| row.finding.endpoint());
            (*fingerprint, endpoints.collect())
        }));
        let until = Suspect::held_until;
        let blamed = self.suspects.iter();
        let blamed = blamed.filter(|(fingerprint, suspect)| {
            until(suspect) > now && blame.is_to_blame(**fingerprint)
        });
        let held = blamed.map(|(fingerprint, suspect)| (*fingerprint, until(suspect)));
        let before = std::mem::replace(&mut self.held, held.collect());
        let ended = before.keys().filter(|known| !self.held.contains_key(known));
        let begun = self.held.keys().filter(|known| !before.contains_key(known));
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
            is_own: lost.is_some_and(|lost| lost.iter().any(|row| row.is_own)),
        }
    }

    /// How many requests are quarantined.
    pub fn count(&self) -> usize {
        self.held.len()
    }

    /// What is known of one request, as other daemons are told it.
    pub fn evidence(&self, fingerprint: Fingerprint, now: Millis) -> Vec<Evidence> {
        let now = now + SHIFT;
        let rows = self.suspects.get(&fingerprint).into_iter();
        let rows = rows.flat_map(Suspect::rows);
        rows.map(|row| row.evidence(fingerprint, now)).collect()
    }

    /// What other daemons are to know.
    pub fn snapshot(&self, now: Millis) -> Snapshot {
        let now = now + SHIFT;
        let mut snapshot = Snapshot::default();
        for (fingerprint, suspect) in &self.suspects {
            for row in suspect.rows() {
                let evidence = row.evidence(*fingerprint, now);
                snapshot.digest ^= evidence.digest();
                snapshot.all.push(evidence);
                if now.since(row.learnt) >= FRESH {
                    continue;
                }
                snapshot.fresh.push(evidence);
                if row.is_own {
                    snapshot.own.push(evidence);
                }
            }
        }
        snapshot
    }
}
