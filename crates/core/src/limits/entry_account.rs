//! One account at one entry: its share, its use and its held requests.

use std::collections::VecDeque;

use derive_more::Debug;
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::clock::Millis;
use crate::ids::{AttemptId, DaemonId};
use crate::reason::Reason;
use crate::wire::Watch;

use super::event::Action;
use super::meter::Meter;
use super::share::Share;
use super::{LOW_USE_FACTOR, Limits, RENEWAL, rate_to_wire};

/// Largest number of held requests of one account.
const MAX_HELD: usize = 64;
/// A change of use is reported if it exceeds the reported use divided by this, plus a constant.
const CHANGE_DIVISOR: u32 = 4;
/// The constant for requests in flight; see [`CHANGE_DIVISOR`].
const MIN_IN_FLIGHT_CHANGE: u32 = 2;
/// The constant for the rate, in hundredths of a request a second; see [`CHANGE_DIVISOR`].
const MIN_RATE_CHANGE: u32 = 100;
/// Share from which the end of a request waits for the regular report, even if other entries wait
/// for shares.
const SMALL_SHARE: u32 = 8;
/// Requests per sample: in a large fleet, one in this many of the requests admitted without asking,
/// picked at random, is reported.
const SAMPLE_RATIO: u32 = 8;
/// Time constant of the offered rate.
const RATE_TIME_CONSTANT: Millis = Millis::from_secs(5);
/// Time without use after which an account's share is given back to the owner.
const IDLE_TIMEOUT: Millis = Millis::from_secs(10);
/// Time after which a caller may retry when the concurrency is used up.
const RETRY_AFTER_BUSY: Millis = Millis(500);
/// Shortest time after which a caller may retry.
const MIN_RETRY_AFTER: Millis = Millis(100);

/// A request that is held until the owner answers.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct HeldRequest {
    pub(super) id: AttemptId,
    pub(super) since: Millis,
    /// Number of the usage message that asked for it; `None` until that is sent.
    pub(super) asked: Option<u64>,
}

/// One account in use at this entry.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct EntryAccount {
    pub(super) limits: Limits,
    pub(super) owner: Option<DaemonId>,
    pub(super) share: Share,
    pub(super) offered_rate: Meter,
    pub(super) in_flight: u32,
    pub(super) held: VecDeque<HeldRequest>,
    /// Until when the owner has no more to grant.
    pub(super) exhausted_until: Millis,
    /// How closely the owner watches the use.
    pub(super) watch: Watch,
    /// The use just before a sampled request, to report in place of the present use.
    sample: Option<AccountUse>,
    /// Number of requests that the samples represent.
    sampled_requests: u32,
    /// When a request last arrived or ended.
    pub(super) last_used: Millis,
    /// The last report to the owner; `None` before the first.
    last_report: Option<LastReport>,
}

/// Time and content of a report.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct LastReport {
    at: Millis,
    reported: AccountUse,
}

/// An account's use at one entry.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub(super) struct AccountUse {
    in_flight: u32,
    /// In hundredths of a request a second.
    rate: u32,
}

/// One account's row of a usage message.
pub(super) struct UsageRow {
    pub(super) in_flight: u32,
    pub(super) rate: u32,
    pub(super) share: u32,
    pub(super) held_requests: u32,
    pub(super) samples: u32,
}

impl EntryAccount {
    pub(super) fn new(limits: Limits, owner: Option<DaemonId>, now: Millis) -> Self {
        Self {
            limits,
            owner,
            share: Share::new(now),
            offered_rate: Meter::new(RATE_TIME_CONSTANT, now),
            in_flight: 0,
            held: VecDeque::new(),
            exhausted_until: now,
            watch: Watch::Normal,
            sample: None,
            sampled_requests: 0,
            last_used: now,
            last_report: None,
        }
    }

    pub(super) fn fits(&self, daemons: u32, now: Millis) -> bool {
        let limit = self.share.current_concurrency(self.limits, daemons, now);
        self.in_flight < limit && self.share.has_token()
    }

    /// Whether the end of each request is reported at once.
    pub(super) fn reports_each_end(&self) -> bool {
        self.watch == Watch::Immediate && self.share.concurrency < SMALL_SHARE
    }

    /// Whether the largest number of requests is held.
    pub(super) fn is_hold_full(&self) -> bool {
        self.held.len() >= MAX_HELD
    }

    /// Holds a request until the owner has answered.
    pub(super) fn hold(&mut self, id: AttemptId, now: Millis) {
        self.held.push_back(HeldRequest {
            id,
            since: now,
            asked: None,
        });
    }

    pub(super) fn admit(&mut self) {
        self.in_flight += 1;
        self.share.take_token();
    }

    /// Samples a request that is admitted without asking, with a chance of one in [`SAMPLE_RATIO`].
    pub(super) fn maybe_sample(&mut self, now: Millis, rng: &mut Pcg32) {
        if rng.random_ratio(1, SAMPLE_RATIO) {
            self.sample = Some(self.use_before(1, now));
            self.sampled_requests += SAMPLE_RATIO;
        }
    }

    pub(super) fn refuse(
        &self,
        id: AttemptId,
        daemons: u32,
        now: Millis,
        rng: &mut Pcg32,
    ) -> Action {
        let limit = self.share.current_concurrency(self.limits, daemons, now);
        let (reason, wait) = if self.in_flight >= limit {
            (Reason::AccountConcurrency, RETRY_AFTER_BUSY)
        } else {
            let wait = self.share.time_to_token(self.limits, daemons, now);
            (Reason::AccountRate, wait)
        };
        let wait = wait
            .max(MIN_RETRY_AFTER)
            .max(self.exhausted_until.since(now));
        let retry_after = wait + Millis(rng.random_range(0..=wait.0));
        Action::Refuse {
            id,
            reason,
            retry_after,
        }
    }

    /// Whether the regular report should include the account.
    pub(super) fn needs_report(&self, now: Millis) -> bool {
        let Some(last) = &self.last_report else {
            return true;
        };
        let due = now.since(last.at) >= self.extended(RENEWAL);
        if due || self.sample.is_some() || self.is_idle(now) {
            return true;
        }
        let rate = rate_to_wire(self.offered_rate.rate(now));
        let granted = rate_to_wire(self.share.rate);
        differs(
            last.reported.in_flight,
            self.in_flight,
            MIN_IN_FLIGHT_CHANGE,
        ) && needs_resize(self.in_flight, self.share.concurrency)
            || differs(last.reported.rate, rate, MIN_RATE_CHANGE) && needs_resize(rate, granted)
    }

    /// Makes the next regular report include the account.
    pub(super) fn reset_report(&mut self) {
        self.last_report = None;
    }

    pub(super) fn is_idle(&self, now: Millis) -> bool {
        self.in_flight == 0
            && self.held.is_empty()
            && now.since(self.last_used) >= self.extended(IDLE_TIMEOUT)
    }

    /// The span, multiplied by [`LOW_USE_FACTOR`] while little of the account is used.
    pub(super) fn extended(&self, span: Millis) -> Millis {
        match self.watch {
            Watch::Sampled => Millis(span.0 * LOW_USE_FACTOR),
            _ => span,
        }
    }

    pub(super) fn usage_row(&mut self, number: u64, now: Millis) -> UsageRow {
        for held in &mut self.held {
            held.asked.get_or_insert(number);
        }
        let idle = self.is_idle(now);
        let present = self.use_before(self.held.len(), now);
        let sample = self.sample.take();
        // Unless utilisation is low, the owner must know all requests in flight.
        let sample = sample.filter(|_| self.watch == Watch::Sampled);
        let reported = sample.unwrap_or(present);
        self.last_report = Some(LastReport { at: now, reported });
        UsageRow {
            in_flight: reported.in_flight,
            rate: if idle { 0 } else { reported.rate },
            share: if idle { 0 } else { self.share.concurrency },
            held_requests: u32::try_from(self.held.len()).unwrap_or(u32::MAX),
            samples: std::mem::take(&mut self.sampled_requests),
        }
    }

    /// The use just before the last requests arrived. Requests that arrive at random see the mean
    /// use on average, so the sum over all entries is unbiased, whatever makes them report.
    fn use_before(&self, last: usize, now: Millis) -> AccountUse {
        AccountUse {
            in_flight: self.in_flight,
            rate: rate_to_wire(self.offered_rate.rate_before(last, now)),
        }
    }
}

/// Whether the use differs enough from the reported use.
fn differs(before: u32, now: u32, min_change: u32) -> bool {
    now.abs_diff(before) > min_change + before / CHANGE_DIVISOR
}

/// Whether a share is nearly used up or mostly unused: over three quarters or under one quarter.
fn needs_resize(used: u32, share: u32) -> bool {
    let quarter = share / 4;
    used < quarter || used > share - quarter
}
