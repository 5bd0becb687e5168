//! Endpoints that lose requests: connections to them end before a byte of an answer.
//!
//! Such an end says more than an answer with a failure: the process is gone, or
//! falls over. Two of them, or what two daemons saw, take the endpoint out for
//! requests that may run only once, until one that may be repeated was answered
//! there. What a daemon tells that loses several endpoints at once says more of
//! its own paths than of them, and isn't believed alone.

mod record;

use std::collections::HashMap;

use derive_more::Debug;
use foldhash::fast::RandomState;

use crate::clock::Millis;
use crate::routing::reach::LOSS_WINDOW;
use record::Record;

/// What this daemon itself saw, in place of the key of another daemon.
pub const OWN: u32 = 0;

/// Endpoints that a daemon may lose within [`LOSS_WINDOW`] and be believed.
const BELIEVED_MAX: usize = 2;
/// Time for which a daemon that lost more isn't believed alone.
const DISTRUST: Millis = Millis(1000);
/// Time after which an endpoint without losses is forgotten.
const FORGET: Millis = Millis::from_secs(10);
/// Endpoints that are remembered at most.
const MAX_RECORDS: usize = 4096;
/// Interval between two trials of the fleet at an endpoint that is out.
const FLEET_TRIAL_INTERVAL: Millis = Millis(100);
/// Shortest interval between two trials of one daemon.
const MIN_TRIAL_INTERVAL: Millis = Millis(250);

/// What a daemon saw of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, prost::Enumeration)]
pub enum Sign {
    /// A connection ended without a byte of the answer to a request.
    Lost = 0,
    /// No connection could be made.
    Refused = 1,
    /// It answered a request that was sent after the last loss.
    Answered = 2,
    /// All losses that the daemon told were its own fault.
    Withdrawn = 3,
    /// A connection ended while the endpoint had a request.
    Cut = 4,
}

/// Whether an endpoint went out, or came back.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Change {
    /// It gets no request that may run only once.
    Out {
        /// Requests that were lost there.
        lost: usize,
        /// Daemons that told so, this one included.
        daemons: usize,
    },
    /// It gets all requests again.
    Back,
}

/// Endpoints that a daemon lost lately.
#[derive(Clone, Default)]
#[derive(Debug)]
struct Reporter {
    recent: Vec<(u32, Millis)>,
    doubted_until: Millis,
}

impl Reporter {
    /// Adds an endpoint; returns whether the daemon has lost so many that it isn't believed.
    fn add(&mut self, endpoint: u32, at: Millis) -> bool {
        self.recent
            .retain(|(known, then)| *known != endpoint && at.since(*then) < LOSS_WINDOW);
        self.recent.push((endpoint, at));
        self.recent.len() > BELIEVED_MAX
    }
}

/// Endpoints that lose requests, by their short ids, as one daemon knows them.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Losses {
    records: HashMap<u32, Record, RandomState>,
    reporters: HashMap<u32, Reporter, RandomState>,
}

impl Losses {
    /// Whether no endpoint is suspected.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Applies what a daemon saw at a time; returns whether that is new, and what it changes.
    pub fn record(
        &mut self,
        reporter: u32,
        endpoint: u32,
        sign: Sign,
        at: Millis,
        now: Millis,
    ) -> (bool, Option<Change>) {
        match sign {
            Sign::Lost | Sign::Refused => self.record_loss(reporter, endpoint, sign, at, now),
            Sign::Answered => (self.record_answer(endpoint, at, at), None),
            Sign::Withdrawn => {
                self.withdraw(reporter, now);
                (true, None)
            }
            // Only tells that another process may take the endpoint's id.
            Sign::Cut => (true, None),
        }
    }

    fn record_loss(
        &mut self,
        reporter: u32,
        endpoint: u32,
        sign: Sign,
        at: Millis,
        now: Millis,
    ) -> (bool, Option<Change>) {
        let is_full = self.records.len() >= MAX_RECORDS && !self.records.contains_key(&endpoint);
        let told = self.reporters.entry(reporter).or_default();
        if is_full {
            return (false, None);
        }
        if told.add(endpoint, at) {
            told.doubted_until = at + DISTRUST;
            let records = self.records.values_mut();
            records.for_each(|record| record.doubt(reporter, now));
        }
        let is_doubtful = at < told.doubted_until;
        let record = self.records.entry(endpoint).or_default();
        record.add((reporter, is_doubtful), sign, at, now)
    }

    /// Records an answer to a request that was sent at a time; returns whether it is the first since
    /// the endpoint went out.
    pub fn record_answer(&mut self, endpoint: u32, sent: Millis, at: Millis) -> bool {
        let record = self.records.get_mut(&endpoint);
        record.is_some_and(|record| record.answer(sent, at))
    }

    /// Drops what a daemon told of losses; endpoints that were out by that alone are used again.
    pub fn withdraw(&mut self, reporter: u32, now: Millis) {
        for record in self.records.values_mut() {
            record.withdraw(reporter, now);
        }
    }

    /// Whether an endpoint is out, and if so, whether it is due for a trial with a request that may
    /// be repeated; `daemons` share the trials.
    pub fn out(&self, endpoint: u32, daemons: u32, now: Millis) -> Option<bool> {
        let record = self.records.get(&endpoint)?;
        let interval = trial_interval(daemons);
        record
            .is_out(now)
            .then(|| now.since(record.last_trial) >= interval)
    }

    /// Puts off the first trial of an endpoint that went out by a share of the interval between
    /// two, so that not all daemons try it at once.
    pub fn stagger(&mut self, endpoint: u32, daemons: u32, share: f64, now: Millis) {
        let wait = Millis((trial_interval(daemons).0 as f64 * share) as u64);
        if let Some(record) = self.records.get_mut(&endpoint) {
            record.last_trial = now + wait - trial_interval(daemons);
        }
    }

    /// Records that an endpoint is sent a trial.
    pub fn record_trial(&mut self, endpoint: u32, now: Millis) {
        if let Some(record) = self.records.get_mut(&endpoint) {
            record.last_trial = now;
        }
    }

    /// Whether another daemon lost an endpoint that is out, too.
    pub fn is_lost_to_others(&self, endpoint: u32, now: Millis) -> bool {
        let record = self.records.get(&endpoint);
        record.is_some_and(|record| record.is_out(now) && record.is_seen_by_others())
    }

    /// Endpoints that are out.
    pub fn all_out(&self, now: Millis) -> impl Iterator<Item = u32> {
        let out = self.records.iter();
        let out = out.filter(move |(_, record)| record.is_out(now));
        out.map(|(endpoint, _)| *endpoint)
    }

    /// Endpoints that came back since the last call. Forgets those without losses.
    pub fn review(&mut self, now: Millis) -> Vec<u32> {
        self.reporters.retain(|_, told| {
            let last = told.recent.last().map_or(Millis::ZERO, |(_, at)| *at);
            now < told.doubted_until || now.since(last) < LOSS_WINDOW
        });
        let back = self.records.iter_mut();
        let back = back.filter_map(|(endpoint, record)| record.take_back(now).then_some(*endpoint));
        let back = back.collect();
        self.records
            .retain(|_, record| now.since(record.last_loss) < FORGET);
        back
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, endpoint: u32) {
        self.records.remove(&endpoint);
    }
}

fn trial_interval(daemons: u32) -> Millis {
    MIN_TRIAL_INTERVAL.max(Millis(FLEET_TRIAL_INTERVAL.0 * u64::from(daemons)))
}
