//! What is known of one request.

use derive_more::Debug;

use super::evidence::{Evidence, Finding};
use super::{CLEARED, SHORT_RETENTION, LOSS_THRESHOLD, DURATION_FACTOR, BASE_DURATION, RETENTION};
use crate::clock::Millis;
use crate::routing::fingerprint::Fingerprint;

/// Losses of one request that are kept: more prove nothing more.
const LOSSES: usize = 16;
/// Between two words on the same request that it was served.
const TOLD_AGAIN: Millis = Millis::from_secs(10);

/// What is known of one request.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Suspect {
    /// Endpoints that were lost with it.
    pub lost: Vec<Row>,
    /// The last time that it was answered whole.
    served: Option<Row>,
}

/// A loss or a clearance, and how it came to be known.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct Row {
    pub finding: Finding,
    pub at: Millis,
    /// When this daemon came to know it.
    pub learnt: Millis,
    /// Whether it found it itself.
    pub is_own: bool,
}

impl Suspect {
    /// When the last endpoint was lost.
    pub fn last_loss(&self) -> Millis {
        let times = self.lost.iter().map(|row| row.at);
        times.max().unwrap_or_default()
    }

    /// Until when it is held, if it is to blame.
    pub fn held_until(&self) -> Millis {
        let further = self.lost.len().saturating_sub(LOSS_THRESHOLD);
        let further = u32::try_from(further).unwrap_or(u32::MAX);
        let hold = Millis(BASE_DURATION.0.saturating_mul(DURATION_FACTOR.saturating_pow(further)));
        self.last_loss() + hold.min(RETENTION)
    }

    /// Losses and the clearance.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.lost.iter().chain(&self.served)
    }

    /// Whether a whole answer clears it of a loss at this time.
    fn is_cleared(&self, at: Millis) -> bool {
        let until = self.served.map(|row| row.at + CLEARED);
        until.is_some_and(|until| at < until)
    }

    /// Takes a finding; says whether it is news.
    pub fn take(&mut self, row: Row) -> bool {
        match row.finding {
            Finding::Lost(_) => self.lose(row),
            Finding::Served => self.clear(row),
        }
    }

    fn lose(&mut self, row: Row) -> bool {
        let is_known = self.lost.iter().any(|known| known.finding == row.finding);
        if is_known || self.lost.len() >= LOSSES || self.is_cleared(row.at) {
            return false;
        }
        self.lost.push(row);
        true
    }

    fn clear(&mut self, row: Row) -> bool {
        let last = self.served.map(|known| known.at);
        if last.is_some_and(|last| row.at < last + TOLD_AGAIN) {
            return false;
        }
        self.served = Some(row);
        let cleared = std::mem::take(&mut self.lost);
        let later = cleared.into_iter().filter(|loss| !self.is_cleared(loss.at));
        self.lost = later.collect();
        true
    }

    /// Drops what is too old to count; says whether anything is left.
    pub fn forget(&mut self, now: Millis) -> bool {
        let longest = match self.lost.len() {
            LOSS_THRESHOLD.. => RETENTION,
            _ => SHORT_RETENTION,
        };
        if now.since(self.last_loss()) >= longest {
            self.lost.clear();
        }
        self.lost.retain(|row| now.since(row.at) < RETENTION);
        self.served = self.served.filter(|row| now.since(row.at) < CLEARED);
        self.rows().next().is_some()
    }
}

impl Row {
    /// As others are told it.
    pub const fn evidence(&self, fingerprint: Fingerprint, now: Millis) -> Evidence {
        Evidence {
            fingerprint,
            finding: self.finding,
            age: now.since(self.at),
        }
    }
}
