//! One entry's use of one account, as its owner knows it.

use derive_more::Debug;

use crate::clock::Millis;
use crate::wire::Watch;

use super::{AccountHash, EASY_TIMES, EXPIRY};

/// Age from which a grant is renewed with any report.
const RENEWED: Millis = Millis::from_secs(5);
/// Time after which an entry that hasn't reported is forgotten, beyond its grant.
const EXPIRY_MARGIN: Millis = Millis::from_secs(5);

/// One entry's line in the book; rates are in hundredths a second.
#[derive(Clone, Default)]
#[derive(Debug)]
pub(super) struct Line {
    /// Requests in flight, as reported.
    pub(super) flights: u32,
    /// Requests held there, as reported.
    pub(super) need: u32,
    /// Rate offered, as reported.
    pub(super) rate: u32,
    /// When it reported last.
    pub(super) reported: Millis,
    /// When its share was last reduced unasked.
    pub(super) reduced: Millis,
    /// Number of the last grant that reduced its share unasked.
    pub(super) reducing: u64,
    /// Highest number of a grant that it is known to have taken in.
    seen: u64,
    /// What was granted last, and the grant's number.
    pub(super) last: Last,
    /// Share that it reported to hold.
    kept: u32,
    /// Most concurrency that the entry may believe it holds.
    share: u32,
    /// Highest rate that the entry may believe it holds.
    granted: u32,
}

/// What was granted last.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
pub(super) struct Last {
    pub(super) number: u64,
    /// Number of the grant before.
    before: u64,
    pub(super) watch: Watch,
    pub(super) at: Millis,
    pub(super) share: u32,
    pub(super) rate: u32,
}

/// One entry's report of one account.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub(super) struct Report {
    /// Highest number of a grant that the entry has taken in.
    pub(super) seen: u64,
    pub(super) share: u32,
    pub(super) flights: u32,
    pub(super) need: u32,
    pub(super) rate: u32,
    /// Requests admitted without asking, by samples.
    pub(super) samples: u32,
}

/// What an entry is granted of one account.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Row {
    pub(super) account: AccountHash,
    pub(super) share: u32,
    pub(super) rate: u32,
    pub(super) tokens: u32,
    pub(super) dry: u32,
    pub(super) watch: Watch,
}

/// Sums over all lines of a book.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
pub(super) struct Sums {
    /// Requests in flight.
    pub(super) flights: u64,
    /// Concurrency wanted.
    pub(super) want: u64,
    /// Concurrency that entries may hold.
    pub(super) held: u64,
    /// Rate offered.
    pub(super) rate: u64,
    /// Rate that entries may hold.
    pub(super) granted: u64,
}

impl Line {
    /// Takes in a report.
    pub(super) fn report(&mut self, report: Report, now: Millis) {
        self.reported = now;
        self.flights = report.flights;
        self.need = report.need;
        self.rate = report.rate;
        self.kept = report.share;
        self.seen = report.seen;
        if self.last.number == 0 {
            // A former owner's grant is honoured until it is replaced.
            self.share = report.share;
        } else if report.seen >= self.last.number {
            self.share = self.last.share;
            self.granted = self.last.rate;
        } else if report.seen >= self.last.before {
            self.share = self.last.share.max(report.share);
        }
    }

    /// Notes a grant as it was sent; the former one holds until this one was seen.
    pub(super) fn sent(&mut self, number: u64, row: &Row, now: Millis) {
        self.share = self.share.max(row.share);
        self.granted = self.granted.max(row.rate);
        self.last = Last {
            number,
            before: self.last.number,
            watch: row.watch,
            at: now,
            share: row.share,
            rate: row.rate,
        };
    }

    /// Concurrency that the entry may hold now.
    pub(super) fn held(&self) -> u32 {
        self.share.max(self.flights)
    }

    /// Rate that the entry may hold now.
    pub(super) fn granted(&self) -> u32 {
        self.granted
    }

    /// Concurrency that it has use for.
    pub(super) fn want(&self) -> u32 {
        self.flights.saturating_add(self.need)
    }

    /// Whether a grant is worth sending: asked for, due, or rather different.
    pub(super) fn needs(&self, row: &Row, now: Millis) -> bool {
        let last = &self.last;
        if self.need > 0 || row.watch != last.watch || now.since(last.at) >= self.renewed() {
            return true;
        }
        if row.watch == Watch::Sampled {
            return self.want() >= last.share || self.rate >= last.rate;
        }
        let near = |last: u32, new: u32| new >= last / 2 && new <= last + last / 4;
        !near(last.share, row.share) || !near(last.rate, row.rate)
    }

    /// Age from which its grant is renewed with any report.
    fn renewed(&self) -> Millis {
        match self.last.watch {
            Watch::Sampled => Millis(RENEWED.0 * EASY_TIMES),
            _ => RENEWED,
        }
    }

    /// Whether it hasn't reported for so long that its grant has run out.
    pub(super) fn is_expired(&self, now: Millis) -> bool {
        let age = match self.last.watch {
            Watch::Sampled => Millis(EXPIRY.0 * EASY_TIMES),
            _ => EXPIRY,
        };
        now.since(self.reported) >= age + EXPIRY_MARGIN
    }

    /// Whether a reduction of its share is not yet confirmed.
    pub(super) fn is_reducing(&self) -> bool {
        self.reducing > self.seen
    }

    /// Whether the entry makes no use of the account.
    pub(super) fn is_unused(&self) -> bool {
        self.want() == 0 && self.rate == 0 && self.kept == 0
    }
}

impl Sums {
    /// Adds a line.
    pub(super) fn add(&mut self, line: &Line) {
        self.flights += u64::from(line.flights);
        self.want += u64::from(line.want());
        self.held += u64::from(line.held());
        self.rate += u64::from(line.rate);
        self.granted += u64::from(line.granted());
    }

    /// Takes a line away.
    pub(super) fn sub(&mut self, line: &Line) {
        self.flights -= u64::from(line.flights);
        self.want -= u64::from(line.want());
        self.held -= u64::from(line.held());
        self.rate -= u64::from(line.rate);
        self.granted -= u64::from(line.granted());
    }
}
