//! Losses and clearance of one request.

use derive_more::Debug;

use super::evidence::{Evidence, Finding};
use super::{
    BASE_DURATION, CLEARANCE, DURATION_FACTOR, LOSS_THRESHOLD, RETENTION, SHORT_RETENTION,
};
use crate::clock::Millis;
use crate::routing::fingerprint::Fingerprint;

/// Losses that are kept for one request; further ones prove nothing more.
const LOSSES_MAX: usize = 16;
/// Time between two recorded clearances of the same request.
const CLEARANCE_INTERVAL: Millis = Millis::from_secs(10);

/// The evidence about one request.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Suspect {
    /// Endpoints that were lost with it.
    pub lost: Vec<Record>,
    /// Its last complete response.
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

    /// Until when it is quarantined, if it is to blame.
    pub fn quarantined_until(&self) -> Millis {
        let further = self.lost.len().saturating_sub(LOSS_THRESHOLD);
        let further = u32::try_from(further).unwrap_or(u32::MAX);
        let duration = Millis(
            BASE_DURATION
                .0
                .saturating_mul(DURATION_FACTOR.saturating_pow(further)),
        );
        self.last_loss() + duration.min(RETENTION)
    }

    /// The losses and the clearance.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.lost.iter().chain(&self.served)
    }

    /// Whether a complete response clears it of a loss at this time.
    fn is_cleared(&self, at: Millis) -> bool {
        let until = self.served.map(|response| response.at + CLEARANCE);
        until.is_some_and(|until| at < until)
    }

    /// Inserts a record; returns whether it is new.
    pub fn insert(&mut self, record: Record) -> bool {
        match record.finding {
            Finding::Lost(_) => self.add_loss(record),
            Finding::Served => self.add_clearance(record),
        }
    }

    fn add_loss(&mut self, record: Record) -> bool {
        let is_known = self
            .lost
            .iter()
            .any(|known| known.finding == record.finding);
        if is_known || self.lost.len() >= LOSSES_MAX || self.is_cleared(record.at) {
            return false;
        }
        self.lost.push(record);
        true
    }

    fn add_clearance(&mut self, record: Record) -> bool {
        let last = self.served.map(|known| known.at);
        if last.is_some_and(|last| record.at < last + CLEARANCE_INTERVAL) {
            return false;
        }
        self.served = Some(record);
        let cleared = std::mem::take(&mut self.lost);
        let later = cleared.into_iter().filter(|loss| !self.is_cleared(loss.at));
        self.lost = later.collect();
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
        self.served = self
            .served
            .filter(|response| now.since(response.at) < CLEARANCE);
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
