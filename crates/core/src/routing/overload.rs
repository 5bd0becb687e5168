//! Admission to plain pools that are asked for more than they can run.
//!
//! An endpoint of a plain service runs some requests at once and queues a few
//! more, first come, first served. Where more arrive than it can run, a long
//! queue serves no more of them than a short one; it only makes all of them
//! late. How long a request takes there follows from Little's law: requests
//! in flight, divided by answers a second, both summed over the fleet.
//!
//! Each daemon takes a share of its requests and refuses the others at once.
//! The share moves slowly against the time that requests take ([`AdmissionControl`]):
//! what daemons know is some hundred milliseconds old, and a sharp bound would
//! have all of them refuse and take requests by turns.

use std::collections::HashMap;

use derive_more::Debug;

use crate::clock::Millis;
use crate::routing::endpoint::InstanceId;

/// Time over which answers are counted; an endpoint that slows down is noticed in about this.
const WINDOW: Millis = Millis(2000);
/// Time for which answers must have been counted before their pace is believed.
const LEARNT: Millis = Millis(1000);
/// Part of the target that requests may take before some are refused; leaves room for those
/// that take longer than the mean.
const GOAL: f64 = 0.5;
/// Share refused for each target's length beyond the goal; steeper, and queues swing between empty
/// and full.
const STEEP: f64 = 0.4;
/// Share by which refusals grow in a second for each target's length beyond the goal; what
/// is left by [`STEEP`] is made up for within some seconds.
const GROWTH: f64 = 0.3;
/// Largest excess that counts; bounds how much is refused on a wrong estimate.
const EXCESS_MAX: f64 = 1.0;
/// Smallest share that is taken, so that an estimate that is wrong is found out.
const TAKEN_MIN: f64 = 0.2;
/// Requests for each slot that may always wait: a service whose runs take most of the target
/// would otherwise be refused work that keeps it busy.
const QUEUE_MIN: f64 = 1.0;
/// Parts of the target after which a refused caller may come back: its time counts from the
/// first try, so that a second one soon after may still be in time.
const COME_BACK: (f64, f64) = (0.1, 0.3);
/// Longest time for which the share moves at once.
const STEP_MAX: Millis = Millis(1000);

/// Answers of one endpoint.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Count {
    /// Answers within the window, the old ones fading.
    answers: f64,
    at: Millis,
    since: Millis,
}

impl Count {
    fn answers(&self, now: Millis) -> f64 {
        self.answers * left(now.since(self.at))
    }

    /// Answers in a millisecond. What was counted in a short time is no whole window yet.
    fn pace(&self, now: Millis) -> f64 {
        let counted = 1.0 - left(now.since(self.since));
        self.answers(now) / (WINDOW.0 as f64 * counted)
    }
}

/// What is left of a count after a time.
fn left(age: Millis) -> f64 {
    (-age.as_secs_f64() / WINDOW.as_secs_f64()).exp()
}

/// Answers of all endpoints, of the whole fleet.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct ResponseRates {
    counts: HashMap<InstanceId, Count>,
}

impl ResponseRates {
    /// Counts answers that an endpoint gave.
    pub fn record(&mut self, id: &InstanceId, answers: u32, now: Millis) {
        if answers == 0 {
            return;
        }
        let count = self.counts.entry(id.clone()).or_insert(Count {
            answers: 0.0,
            at: now,
            since: now,
        });
        count.answers = count.answers(now) + f64::from(answers);
        count.at = now;
    }

    /// How long a request takes at an endpoint with a load, in milliseconds; none if its pace
    /// isn't known.
    pub fn response_time(&self, id: &InstanceId, load: f64, now: Millis) -> Option<f64> {
        let count = self.counts.get(id)?;
        let is_learnt = now.since(count.since) >= LEARNT && count.answers(now) >= 1.0;
        is_learnt.then(|| load / count.pace(now))
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, id: &InstanceId) {
        self.counts.remove(id);
    }
}

/// The share of requests that one daemon takes for one pool.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
pub struct AdmissionControl {
    /// Share refused beyond what the excess of the moment asks for.
    refused: f64,
    moved: Millis,
}

impl AdmissionControl {
    /// The share of requests to take, where requests take `time` milliseconds of a target.
    pub fn update(&mut self, time: f64, target: Millis, now: Millis) -> f64 {
        let excess = (time / target.0.max(1) as f64 - GOAL).clamp(-EXCESS_MAX, EXCESS_MAX);
        let step = now.since(self.moved).0.min(STEP_MAX.0);
        self.moved = now;
        let most = 1.0 - TAKEN_MIN;
        let refused = self.refused + GROWTH * excess * Millis(step).as_secs_f64();
        self.refused = refused.clamp(0.0, most);
        1.0 - (self.refused + STEEP * excess).clamp(0.0, most)
    }
}

/// Whether so many requests are at an endpoint that some may be refused.
pub fn may_refuse(load: f64, slots: u32) -> bool {
    load > f64::from(slots) * (1.0 + QUEUE_MIN)
}

/// When a refused caller may come back, for a draw between 0 and 1.
pub fn retry_after(target: Millis, draw: f64) -> Millis {
    let (least, most) = COME_BACK;
    Millis((target.0 as f64 * (least + (most - least) * draw)) as u64)
}
