//! Quarantine of what crashes the endpoints that run it.
//!
//! A cause is a whole request, or a part of a prompt that many requests have
//! ([`Causes`](super::causes)). It takes down everything that runs beside it,
//! and its callers, who got no response, send it again: under new ids, to any
//! daemon, altered but for that part. Evidence is therefore keyed by cause, sent
//! to all daemons, and outlives the attempt. Each endpoint that was lost with a
//! cause counts against it once ([`Evidence`]); a complete response that began
//! after a loss clears each cause in its request of that loss. Which causes are
//! to blame is decided in [`blame`]; all daemons refuse requests with them for a
//! while. After that one daemon tries one request.

mod blame;
mod evidence;
mod hold;
mod platform_sync;
mod served;
mod survivors;
mod suspect;

use std::collections::{BTreeSet, HashMap};

use derive_more::Debug;

use crate::clock::Millis;
use crate::routing::fingerprint::Fingerprint;

use blame::{Blame, Class};
pub use evidence::{Evidence, Finding, Snapshot};
use hold::Hold;
pub use hold::Standing;
pub use platform_sync::{PlatformSync, Step, StoredRequest};
use served::ServedMemory;
use survivors::Survivors;
use suspect::{Record, Suspect};

/// Lost endpoints at which a cause is quarantined. With fewer, one that twice ran beside the actual
/// cause would be taken for it.
pub const LOSS_THRESHOLD: usize = 3;
/// The same for a cause that was served shortly before its first loss.
const SERVED_LOSS_THRESHOLD: usize = 5;
/// Time over which the losses of such a cause must extend: others with it would be served meanwhile.
const SERVED_SPAN: Millis = Millis(3000);
/// Time after the head of a complete response within which the first loss of its causes counts as
/// shortly after it.
const SERVED_WINDOW: Millis = Millis::from_secs(60);
/// Time since the last loss for which a cause is quarantined. After that it is tried once more: the
/// endpoints may have been fixed.
pub const BASE_DURATION: Millis = Millis::from_secs(600);
/// The same for a cause that was served shortly before: many requests have it, so that a mistake
/// must be found soon.
const SERVED_BASE_DURATION: Millis = Millis::from_secs(5);
/// One request in the fleet is tried after this part of a quarantine, since a cause may only have
/// run beside others.
const TRIAL_FRACTION: u64 = 20;
/// Factor by which each further loss lengthens the quarantine, so that a request is tried at most
/// three times a day.
pub const DURATION_FACTOR: u64 = 6;
/// Longest time for which a cause is quarantined, and for which its losses count.
pub const RETENTION: Millis = Millis::from_secs(86_400);
/// Time for which losses below the threshold count.
pub const SHORT_RETENTION: Millis = Millis::from_secs(3600);
/// Time since the head of a response after which its request isn't suspected first.
const LATE: Millis = Millis(1000);
/// Losses and clearances that are kept: some 20 KB of memory at 40 bytes each, and a datagram of
/// 9 KB at 17 bytes each. A lost endpoint leaves as many losses as it ran requests, times their
/// causes.
const RECORDS_MAX: usize = 512;
/// Time for which new evidence is sent repeatedly, since datagrams are lost.
const FRESH_PERIOD: Millis = Millis(1000);
/// Added to the daemon's clock in this module, so that events before its start have a time too.
const CLOCK_OFFSET: Millis = RETENTION;

/// A cause whose quarantine started or ended.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Change {
    /// Identifies the cause.
    pub fingerprint: Fingerprint,
    /// Whether it is quarantined from now on.
    pub is_quarantined: bool,
    /// Number of endpoints that were lost with it.
    pub lost: usize,
    /// Whether this daemon saw at least one of the losses.
    pub is_own: bool,
}

/// Evidence against causes, and the causes that are quarantined because of it.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    /// Causes to blame, those included whose quarantine is over.
    holds: Vec<Hold>,
    /// Causes that were quarantined at the last assessment, alone or with others.
    held: BTreeSet<Fingerprint>,
    served: ServedMemory,
    survivors: Survivors,
}

impl Quarantine {
    /// Records that an endpoint, by its short id, was lost with a request that is one cause.
    pub fn record_loss(&mut self, cause: Fingerprint, endpoint: u32, now: Millis) -> Vec<Change> {
        self.record_losses(&[cause], endpoint, None, now)
    }

    /// Records that an endpoint was lost now with a request that has these causes; `began` is when
    /// the head of its response was received.
    pub fn record_losses(
        &mut self,
        causes: &[Fingerprint],
        endpoint: u32,
        began: Option<Millis>,
        now: Millis,
    ) -> Vec<Change> {
        self.record_losses_at(causes, endpoint, began, now, now)
    }

    /// The same if the endpoint was lost some time ago, at `lost_at`.
    pub fn record_losses_at(
        &mut self,
        causes: &[Fingerprint],
        endpoint: u32,
        began: Option<Millis>,
        lost_at: Millis,
        now: Millis,
    ) -> Vec<Change> {
        let finding = match began {
            Some(began) if lost_at.since(began) > LATE => Finding::LostLate(endpoint),
            _ => Finding::Lost(endpoint),
        };
        let (lost_at, now) = (lost_at + CLOCK_OFFSET, now + CLOCK_OFFSET);
        let mut is_new = false;
        for cause in causes {
            is_new |= self.insert_own(*cause, finding, lost_at, now);
            is_new |= self.insert_served(*cause, lost_at, now);
        }
        match is_new {
            true => self.reassess(now),
            false => Vec::new(),
        }
    }

    /// Records that a request that is one cause got a complete response now.
    pub fn record_served(&mut self, cause: Fingerprint, now: Millis) -> Vec<Change> {
        self.record_response(&[cause], now, now)
    }

    /// Records that a request with these causes got a complete response whose head was received at
    /// `began`.
    pub fn record_response(
        &mut self,
        causes: &[Fingerprint],
        began: Millis,
        now: Millis,
    ) -> Vec<Change> {
        let (began, now) = (began + CLOCK_OFFSET, now + CLOCK_OFFSET);
        let mut is_new = false;
        for cause in causes {
            self.served.record(*cause, began);
            if self.suspects.contains_key(cause) {
                is_new |= self.insert_own(*cause, Finding::Served, began, now);
            }
        }
        match is_new {
            true => self.reassess(now),
            false => Vec::new(),
        }
    }

    fn insert_own(
        &mut self,
        cause: Fingerprint,
        finding: Finding,
        at: Millis,
        now: Millis,
    ) -> bool {
        let record = Record {
            finding,
            at,
            learned_at: now,
            is_own: true,
        };
        self.insert(cause, record, now)
    }

    /// Inserts when this daemon last served a cause that was lost at a time, if that was after it or
    /// shortly before; returns whether that is new.
    fn insert_served(&mut self, cause: Fingerprint, lost_at: Millis, now: Millis) -> bool {
        let served = self.served.get(cause);
        let served = served.filter(|at| lost_at < *at + SERVED_WINDOW);
        served.is_some_and(|at| self.insert_own(cause, Finding::Served, at, now))
    }

    /// Merges evidence of other daemons. A cause that was served here is recorded as such, which is
    /// then sent to them.
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
            if received.finding != Finding::Served {
                is_new |= self.insert_served(received.fingerprint, record.at, now);
            }
        }
        match is_new {
            true => self.reassess(now),
            false => Vec::new(),
        }
    }

    /// Records that an endpoint, by its short id, that was taken for lost is the same process as
    /// before: it crashed with nothing. What ends by that shows at the next [`Self::expire`].
    pub fn record_survivor(&mut self, endpoint: u32, now: Millis) {
        self.survivors.record(endpoint, now + CLOCK_OFFSET);
        let is_refuted = |loss: &mut Record| loss.finding.endpoint() == Some(endpoint);
        let suspects = self.suspects.values_mut();
        let refuted = suspects.map(|suspect| suspect.lost.extract_if(.., is_refuted).count());
        if refuted.sum::<usize>() > 0 {
            self.assess();
        }
    }

    /// Inserts a record; returns whether it is new.
    fn insert(&mut self, cause: Fingerprint, record: Record, now: Millis) -> bool {
        let is_refuted = self.survivors.refute(&record);
        if is_refuted || now.since(record.at) >= RETENTION {
            return false;
        }
        if !self.suspects.contains_key(&cause) {
            self.evict();
        }
        self.suspects.entry(cause).or_default().insert(record)
    }

    /// Drops causes with the fewest losses, the oldest first, until another record fits.
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

    /// Drops evidence that is too old; returns the causes whose quarantine ended or started.
    pub fn expire(&mut self, now: Millis) -> Vec<Change> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let now = now + CLOCK_OFFSET;
        self.suspects.retain(|_, suspect| suspect.expire(now));
        self.reassess(now)
    }

    /// Time left until a request that is one cause may be sent again; `None` if it may be sent now.
    pub fn remaining(&self, cause: Fingerprint, now: Millis) -> Option<Millis> {
        self.remaining_of(&[cause], now)
    }

    /// Time left until a request that has these causes may be sent; `None` if it may be sent now.
    pub fn remaining_of(&self, causes: &[Fingerprint], now: Millis) -> Option<Millis> {
        let left = self.hold(causes)?.until.since(now + CLOCK_OFFSET);
        (left > Millis::ZERO).then_some(left)
    }

    /// What the quarantine that ends last means for a request that has these causes.
    pub fn standing(&self, causes: &[Fingerprint], now: Millis) -> Option<Standing> {
        let hold = self.hold(causes)?;
        Some(hold.standing(now + CLOCK_OFFSET))
    }

    /// The quarantine of these causes that ends last.
    fn hold(&self, causes: &[Fingerprint]) -> Option<&Hold> {
        let holds = self.holds.iter().filter(|hold| hold.applies_to(causes));
        holds.max_by_key(|hold| hold.until)
    }

    /// Whether any cause is to blame.
    pub const fn has_holds(&self) -> bool {
        !self.holds.is_empty()
    }

    /// Whether a request with these causes is a likely cause of at least two losses, and no other
    /// cause explains them better.
    pub fn is_prime_suspect(&self, causes: &[Fingerprint]) -> bool {
        let lost =
            |cause: &Fingerprint| self.suspects.get(cause).map_or(0, |known| known.lost.len());
        causes.iter().any(|cause| lost(cause) > 1) && self.blame(2).is_prime(causes)
    }

    fn blame(&self, least: usize) -> Blame {
        let suspects = self.suspects.iter();
        Blame::new(suspects.map(|(cause, suspect)| (*cause, suspect)), least)
    }

    /// Recomputes which causes are quarantined; returns the changes.
    fn reassess(&mut self, now: Millis) -> Vec<Change> {
        self.assess();
        let holds = self.holds.iter().filter(|hold| hold.until > now);
        let held = holds.flat_map(|hold| &hold.causes).copied().collect();
        let before = std::mem::replace(&mut self.held, held);
        let ended = before.difference(&self.held);
        let ended = ended.map(|cause| self.change(*cause, false));
        let begun = self.held.difference(&before);
        let begun = begun.map(|cause| self.change(*cause, true));
        ended.chain(begun).collect()
    }

    /// Recomputes which causes are to blame.
    fn assess(&mut self) {
        let classes = self.blame(LOSS_THRESHOLD).classes();
        let hold = |class: Class| {
            let known = class
                .causes
                .iter()
                .filter_map(|cause| self.suspects.get(cause));
            let longest = known.max_by_key(|suspect| suspect.quarantined_until())?;
            Some(Hold {
                trial_at: longest.tried_at(),
                until: longest.quarantined_until(),
                causes: class.causes,
            })
        };
        let holds = classes.into_iter().filter_map(hold);
        self.holds = holds.collect();
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

    /// Number of causes that are quarantined by themselves.
    pub fn count(&self) -> usize {
        self.holds
            .iter()
            .filter(|hold| hold.causes.len() == 1)
            .count()
    }

    /// Number of causes with losses that count against them.
    pub fn suspects(&self) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|suspect| !suspect.lost.is_empty()).count()
    }

    /// The evidence about one cause, as it is sent to other daemons.
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
