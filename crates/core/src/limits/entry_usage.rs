//! One entry's use of one account, as its owner knows it.

use derive_more::Debug;

use crate::clock::Millis;
use crate::wire::Watch;

use super::{AccountHash, GRANT_EXPIRY, LOW_USE_FACTOR};

/// Age from which any report renews a grant.
const RENEWAL_AGE: Millis = Millis::from_secs(5);
/// Time from the expiry of its grant after which an entry that hasn't reported is removed.
const EXPIRY_MARGIN: Millis = Millis::from_secs(5);

/// One entry's use of an account; rates are in hundredths of a request a second.
#[derive(Clone, Default)]
#[derive(Debug)]
pub(super) struct EntryUsage {
    /// Requests in flight, as reported.
    pub(super) in_flight: u32,
    /// Requests that the entry holds until its next grant, as reported.
    pub(super) held_requests: u32,
    /// Rate at which requests arrive at the entry, as reported.
    pub(super) offered_rate: u32,
    /// When the entry last reported.
    pub(super) last_report: Millis,
    /// When the owner last reduced the share without a request for it.
    pub(super) last_reduction: Millis,
    /// Number of the last grant that reduced the share without a request for it.
    pub(super) reducing_grant: u64,
    /// Highest number of a grant that the entry has confirmed.
    seen_grant: u64,
    /// The last grant to the entry.
    pub(super) last_grant: LastGrant,
    /// Share that the entry holds, as reported.
    reported_share: u32,
    /// Highest concurrency that the entry may hold, given the grants that it hasn't confirmed.
    held_share: u32,
    /// Highest rate that the entry may hold, given the grants that it hasn't confirmed.
    held_rate: u32,
}

/// What the last grant contained.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
pub(super) struct LastGrant {
    pub(super) number: u64,
    /// Number of the grant before it.
    previous: u64,
    pub(super) watch: Watch,
    pub(super) sent: Millis,
    pub(super) share: u32,
    pub(super) rate: u32,
}

/// One entry's report of one account.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub(super) struct Report {
    /// Highest number of a grant that the entry has received.
    pub(super) seen_grant: u64,
    pub(super) share: u32,
    pub(super) in_flight: u32,
    pub(super) held_requests: u32,
    pub(super) offered_rate: u32,
    /// Estimate, from samples, of the requests admitted without asking the owner.
    pub(super) samples: u32,
}

/// What an entry is granted of one account; `backoff` is in milliseconds.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct GrantRow {
    pub(super) account: AccountHash,
    pub(super) share: u32,
    pub(super) rate: u32,
    pub(super) tokens: u32,
    pub(super) backoff: u32,
    pub(super) watch: Watch,
}

/// Sums over all entries that use an account.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
pub(super) struct Sums {
    /// Requests in flight.
    pub(super) in_flight: u64,
    /// Requests in flight and held.
    pub(super) demand: u64,
    /// Concurrency that entries may hold.
    pub(super) held_concurrency: u64,
    /// Rate at which requests arrive.
    pub(super) offered_rate: u64,
    /// Rate that entries may hold.
    pub(super) held_rate: u64,
}

impl EntryUsage {
    /// Updates the usage from a report.
    pub(super) fn apply_report(&mut self, report: Report, now: Millis) {
        self.last_report = now;
        self.in_flight = report.in_flight;
        self.held_requests = report.held_requests;
        self.offered_rate = report.offered_rate;
        self.reported_share = report.share;
        self.seen_grant = report.seen_grant;
        if self.last_grant.number == 0 {
            // A former owner's grant stays valid until it is replaced.
            self.held_share = report.share;
        } else if report.seen_grant >= self.last_grant.number {
            self.held_share = self.last_grant.share;
            self.held_rate = self.last_grant.rate;
        } else if report.seen_grant >= self.last_grant.previous {
            self.held_share = self.last_grant.share.max(report.share);
        }
    }

    /// Records a grant as sent; the entry may use the previous one until it has confirmed this one.
    pub(super) fn record_grant(&mut self, number: u64, row: &GrantRow, now: Millis) {
        self.held_share = self.held_share.max(row.share);
        self.held_rate = self.held_rate.max(row.rate);
        self.last_grant = LastGrant {
            number,
            previous: self.last_grant.number,
            watch: row.watch,
            sent: now,
            share: row.share,
            rate: row.rate,
        };
    }

    /// Concurrency that the entry may hold now.
    pub(super) fn held_concurrency(&self) -> u32 {
        self.held_share.max(self.in_flight)
    }

    /// Rate that the entry may hold now.
    pub(super) fn held_rate(&self) -> u32 {
        self.held_rate
    }

    /// Concurrency that the entry could use now.
    pub(super) fn demand(&self) -> u32 {
        self.in_flight.saturating_add(self.held_requests)
    }

    /// Whether a grant should be sent: because it is requested, due, or differs enough from the
    /// last.
    pub(super) fn needs_grant(&self, row: &GrantRow, now: Millis) -> bool {
        let last = &self.last_grant;
        if self.held_requests > 0
            || row.watch != last.watch
            || now.since(last.sent) >= self.renewal_age()
        {
            return true;
        }
        if row.watch == Watch::Sampled {
            return self.demand() >= last.share || self.offered_rate >= last.rate;
        }
        let is_near = |last: u32, new: u32| new >= last / 2 && new <= last + last / 4;
        !is_near(last.share, row.share) || !is_near(last.rate, row.rate)
    }

    /// Age from which any report renews the grant.
    fn renewal_age(&self) -> Millis {
        match self.last_grant.watch {
            Watch::Sampled => Millis(RENEWAL_AGE.0 * LOW_USE_FACTOR),
            _ => RENEWAL_AGE,
        }
    }

    /// Whether the entry hasn't reported for so long that its grant has expired.
    pub(super) fn is_expired(&self, now: Millis) -> bool {
        let age = match self.last_grant.watch {
            Watch::Sampled => Millis(GRANT_EXPIRY.0 * LOW_USE_FACTOR),
            _ => GRANT_EXPIRY,
        };
        now.since(self.last_report) >= age + EXPIRY_MARGIN
    }

    /// Whether a reduction of the share is not yet confirmed.
    pub(super) fn is_reducing(&self) -> bool {
        self.reducing_grant > self.seen_grant
    }

    /// Whether the entry neither uses nor holds anything of the account.
    pub(super) fn is_unused(&self) -> bool {
        self.demand() == 0 && self.offered_rate == 0 && self.reported_share == 0
    }
}

impl Sums {
    /// Adds an entry's usage.
    pub(super) fn add(&mut self, entry: &EntryUsage) {
        self.in_flight += u64::from(entry.in_flight);
        self.demand += u64::from(entry.demand());
        self.held_concurrency += u64::from(entry.held_concurrency());
        self.offered_rate += u64::from(entry.offered_rate);
        self.held_rate += u64::from(entry.held_rate());
    }

    /// Subtracts an entry's usage.
    pub(super) fn sub(&mut self, entry: &EntryUsage) {
        self.in_flight -= u64::from(entry.in_flight);
        self.demand -= u64::from(entry.demand());
        self.held_concurrency -= u64::from(entry.held_concurrency());
        self.offered_rate -= u64::from(entry.offered_rate);
        self.held_rate -= u64::from(entry.held_rate());
    }
}
