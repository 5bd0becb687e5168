//! Losses and clearance of one possible cause.

use derive_more::Debug;

use super::evidence::{Evidence, Finding};
use super::{
    BASE_DURATION, DURATION_FACTOR, LOSS_THRESHOLD, RETENTION, SERVED_BASE_DURATION, SERVED_WINDOW,
    SHORT_RETENTION, TRIAL_FRACTION,
};
use crate::clock::Millis;
use crate::routing::fingerprint::Fingerprint;

/// Losses that are kept for one cause; further ones prove nothing more.
const LOSSES_MAX: usize = 16;
/// Time between two recorded responses that clear a cause of nothing.
const CLEARANCE_INTERVAL: Millis = Millis(10_000);

/// The evidence about one cause.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Suspect {
    /// Endpoints that were lost with it since it was last served.
    pub lost: Vec<Record>,
    /// Its last complete response, by when that began.
    served: Option<Record>,
}

/// A loss or a clearance, and where it was learned from.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct Record {
    pub finding: Finding,
    pub at: Millis,
    /// When this daemon learned of it.
    pub learned_at: Millis,
    /// Whether this daemon observed it itself.
    pub is_own: bool,
}

impl Suspect {
    /// When the last endpoint was lost; zero without any loss.
    pub fn last_loss(&self) -> Millis {
        let times = self.lost.iter().map(|loss| loss.at);
        times.max().unwrap_or_default()
    }

    /// Whether it was served shortly before the first loss that counts against it.
    pub fn was_served(&self) -> bool {
        let first = self.lost.iter().map(|loss| loss.at).min();
        let served = self.served.zip(first);
        served.is_some_and(|(response, first)| first < response.at + SERVED_WINDOW)
    }

    /// Until when it is quarantined, if it is to blame.
    pub fn quarantined_until(&self) -> Millis {
        self.last_loss() + self.duration()
    }

    /// From when on one request is tried, if it is to blame.
    pub fn tried_at(&self) -> Millis {
        let duration = self.duration();
        self.last_loss()
            + match self.was_served() {
                true => duration,
                false => Millis(duration.0 / TRIAL_FRACTION),
            }
    }

    fn duration(&self) -> Millis {
        let (base, further) = match self.was_served() {
            true => (SERVED_BASE_DURATION, self.retrials()),
            false => (
                BASE_DURATION,
                self.lost.len().saturating_sub(LOSS_THRESHOLD),
            ),
        };
        let further = u32::try_from(further).unwrap_or(u32::MAX);
        let factor = DURATION_FACTOR.saturating_pow(further);
        Millis(base.0.saturating_mul(factor)).min(RETENTION)
    }

    /// How often it was lost again after a pause as long as its first quarantine.
    fn retrials(&self) -> usize {
        let mut times: Vec<Millis> = self.lost.iter().map(|loss| loss.at).collect();
        times.sort_unstable();
        let pauses = times.windows(2).map(|pair| pair[1].since(pair[0]));
        pauses
            .filter(|pause| *pause >= SERVED_BASE_DURATION)
            .count()
    }

    /// The losses and the clearance.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.lost.iter().chain(&self.served)
    }

    /// Inserts a record; returns whether it is new.
    pub fn insert(&mut self, record: Record) -> bool {
        match record.finding {
            Finding::Lost(_) | Finding::LostLate(_) => self.add_loss(record),
            Finding::Served => self.add_clearance(record),
        }
    }

    fn add_loss(&mut self, record: Record) -> bool {
        // A response that began after a loss clears it; one that began before says nothing of what
        // happened since.
        if self.served.is_some_and(|response| record.at <= response.at) {
            return false;
        }
        let endpoint = record.finding.endpoint();
        let mut known = self.lost.iter_mut();
        if let Some(known) = known.find(|known| known.finding.endpoint() == endpoint) {
            let is_earlier_run = known.finding.is_late() && !record.finding.is_late();
            if is_earlier_run {
                *known = record;
            }
            return is_earlier_run;
        }
        if self.lost.len() >= LOSSES_MAX {
            return false;
        }
        self.lost.push(record);
        true
    }

    fn add_clearance(&mut self, record: Record) -> bool {
        let last = self.served.map(|known| known.at);
        if last.is_some_and(|last| record.at <= last) {
            return false;
        }
        let is_cleared = |loss: &Record| loss.at <= record.at;
        let clears = self.lost.iter().any(is_cleared);
        if !clears && last.is_some_and(|last| record.at < last + CLEARANCE_INTERVAL) {
            return false;
        }
        self.lost.retain(|loss| !is_cleared(loss));
        self.served = Some(record);
        true
    }

    /// Drops evidence that is too old to count; returns whether any is left.
    pub fn expire(&mut self, now: Millis) -> bool {
        let retention = match self.lost.len() {
            LOSS_THRESHOLD.. => RETENTION,
            _ => SHORT_RETENTION,
        };
        if now.since(self.last_loss()) >= retention {
            self.lost.clear();
        }
        self.lost.retain(|loss| now.since(loss.at) < RETENTION);
        // Without it, losses would count as those of a cause that was never served.
        let is_needed = !self.lost.is_empty();
        self.served = self
            .served
            .filter(|response| is_needed || now.since(response.at) < SERVED_WINDOW);
        self.records().next().is_some()
    }
}

impl Record {
    /// The record as it is sent to other daemons.
    pub const fn evidence(&self, fingerprint: Fingerprint, now: Millis) -> Evidence {
        Evidence {
            fingerprint,
            finding: self.finding,
            age: now.since(self.at),
        }
    }
}
