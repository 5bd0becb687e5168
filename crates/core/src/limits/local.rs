//! One account in use at one entry.

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
use super::{EASY_TIMES, Limits, RENEWAL, to_wire};

/// Requests of one account that are held at once.
const HELD_MAX: usize = 64;
/// Change of use that is worth a report, as a divisor of the use, beside a constant.
const CHANGE_DIVISOR: u32 = 4;
/// Change of requests in flight that is worth a report.
const CHANGE_FLIGHTS: u32 = 2;
/// Change of rate that is worth a report, in hundredths.
const CHANGE_RATE: u32 = 100;
/// Share from which the regular report is soon enough, however many others wait.
const CLOSE_SHARE: u32 = 8;
/// Of so many requests that are admitted without asking, one is reported in a large fleet.
const SAMPLE: u32 = 8;
/// Time over which the offered rate is taken.
const RATE_SPAN: Millis = Millis::from_secs(5);
/// Time without use after which an account's share is given back.
const IDLE: Millis = Millis::from_secs(10);
/// Time after which to come back when the concurrency is used up.
const AFTER_BUSY: Millis = Millis(500);
/// Shortest time after which to come back.
const AFTER_MIN: Millis = Millis(100);

/// A request that waits for the owner's answer.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Held {
    pub(super) id: AttemptId,
    pub(super) since: Millis,
    /// Number of the message that asked for it; `None` until it is sent.
    pub(super) asked: Option<u64>,
}

/// One account in use here.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Local {
    pub(super) limits: Limits,
    pub(super) owner: Option<DaemonId>,
    pub(super) share: Share,
    pub(super) offered: Meter,
    pub(super) flights: u32,
    pub(super) held: VecDeque<Held>,
    /// Until when there is no more to be had.
    pub(super) dry: Millis,
    /// How closely the owner watches.
    pub(super) watch: Watch,
    /// The use that a request found, to be reported as a sample.
    sample: Option<Use>,
    /// Requests that the samples stand for.
    samples: u32,
    /// Last time something was in flight or asked.
    pub(super) used: Millis,
    /// When and with what use it was last reported.
    sent: Option<Sent>,
}

/// What was reported last.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Sent {
    at: Millis,
    used: Use,
}

/// An account's use at one entry.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub(super) struct Use {
    flights: u32,
    /// In hundredths a second.
    rate: u32,
}

/// One account's line of a report.
pub(super) struct Row {
    pub(super) flights: u32,
    pub(super) rate: u32,
    pub(super) share: u32,
    pub(super) need: u32,
    pub(super) samples: u32,
}

impl Local {
    pub(super) fn new(limits: Limits, owner: Option<DaemonId>, now: Millis) -> Self {
        Self {
            limits,
            owner,
            share: Share::new(now),
            offered: Meter::new(RATE_SPAN, now),
            flights: 0,
            held: VecDeque::new(),
            dry: now,
            watch: Watch::Normal,
            sample: None,
            samples: 0,
            used: now,
            sent: None,
        }
    }

    pub(super) fn fits(&self, live: u32, now: Millis) -> bool {
        let most = self.share.concurrency_now(self.limits, live, now);
        self.flights < most && self.share.has_token()
    }

    /// Whether the end of each request is worth a report.
    pub(super) fn is_close(&self) -> bool {
        self.watch == Watch::Immediate && self.share.concurrency < CLOSE_SHARE
    }

    /// Whether no more requests are held.
    pub(super) fn is_crowded(&self) -> bool {
        self.held.len() >= HELD_MAX
    }

    /// Holds a request until the owner has answered.
    pub(super) fn hold(&mut self, id: AttemptId, now: Millis) {
        self.held.push_back(Held {
            id,
            since: now,
            asked: None,
        });
    }

    pub(super) fn admit(&mut self) {
        self.flights += 1;
        self.share.take();
    }

    /// Draws whether a request that is admitted without asking is reported as a sample.
    pub(super) fn draw(&mut self, now: Millis, rng: &mut Pcg32) {
        if rng.random_ratio(1, SAMPLE) {
            self.sample = Some(self.found(1, now));
            self.samples += SAMPLE;
        }
    }

    pub(super) fn refuse(&self, id: AttemptId, live: u32, now: Millis, rng: &mut Pcg32) -> Action {
        let most = self.share.concurrency_now(self.limits, live, now);
        let (reason, wait) = if self.flights >= most {
            (Reason::AccountConcurrency, AFTER_BUSY)
        } else {
            let wait = self.share.next_token(self.limits, live, now);
            (Reason::AccountRate, wait)
        };
        let wait = wait.max(AFTER_MIN).max(self.dry.since(now));
        let after = wait + Millis(rng.random_range(0..=wait.0));
        Action::Refuse { id, reason, after }
    }

    /// Whether there is something to report on time.
    pub(super) fn changed(&self, now: Millis) -> bool {
        let Some(sent) = &self.sent else {
            return true;
        };
        let due = now.since(sent.at) >= self.longer(RENEWAL);
        if due || self.sample.is_some() || self.is_idle(now) {
            return true;
        }
        let rate = to_wire(self.offered.rate(now));
        let granted = to_wire(self.share.rate);
        moved(sent.used.flights, self.flights, CHANGE_FLIGHTS)
            && unfit(self.flights, self.share.concurrency)
            || moved(sent.used.rate, rate, CHANGE_RATE) && unfit(rate, granted)
    }

    /// Has the account reported as if for the first time.
    pub(super) fn report_anew(&mut self) {
        self.sent = None;
    }

    pub(super) fn is_idle(&self, now: Millis) -> bool {
        self.flights == 0 && self.held.is_empty() && now.since(self.used) >= self.longer(IDLE)
    }

    /// A span, or a multiple of it while little of the account is used.
    pub(super) fn longer(&self, span: Millis) -> Millis {
        match self.watch {
            Watch::Sampled => Millis(span.0 * EASY_TIMES),
            _ => span,
        }
    }

    pub(super) fn row(&mut self, number: u64, now: Millis) -> Row {
        for held in &mut self.held {
            held.asked.get_or_insert(number);
        }
        let idle = self.is_idle(now);
        let present = self.found(self.held.len(), now);
        let sample = self.sample.take();
        // Where shares are strict, the owner has to know all that is in flight.
        let sample = sample.filter(|_| self.watch == Watch::Sampled);
        let used = sample.unwrap_or(present);
        self.sent = Some(Sent { at: now, used });
        Row {
            flights: used.flights,
            rate: if idle { 0 } else { used.rate },
            share: if idle { 0 } else { self.share.concurrency },
            need: u32::try_from(self.held.len()).unwrap_or(u32::MAX),
            samples: std::mem::take(&mut self.samples),
        }
    }

    /// The use as it was before the last requests came. Requests that come at random see
    /// the mean of it, so that the sum over all entries is right whatever makes them report.
    fn found(&self, last: usize, now: Millis) -> Use {
        Use {
            flights: self.flights,
            rate: to_wire(self.offered.rate_before(last, now)),
        }
    }
}

/// Whether use differs enough from what was reported.
fn moved(then: u32, now: u32, least: u32) -> bool {
    now.abs_diff(then) > least + then / CHANGE_DIVISOR
}

/// Whether a share is nearly used up, or mostly unused.
fn unfit(used: u32, share: u32) -> bool {
    let quarter = share / 4;
    used < quarter || used > share - quarter
}
