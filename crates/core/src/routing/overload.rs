//! Admission control for overloaded pools of plain services.
//!
//! An endpoint of a plain service runs some requests concurrently and queues a
//! few more, first come, first served. If more arrive than it can run, a long
//! queue doesn't raise the throughput; it only makes all requests late. By
//! Little's law, the response time is the number of requests in flight divided
//! by the response rate, both summed over the fleet.
//!
//! Each daemon admits a share of its requests and refuses the others at once. A
//! proportional-integral controller ([`AdmissionControl`]) changes the share
//! slowly with the response time: the daemons' data is some hundred
//! milliseconds old, and with a hard limit all of them would oscillate between
//! refusing and admitting requests.

use std::collections::HashMap;

use derive_more::Debug;

use crate::clock::Millis;
use crate::routing::endpoint::InstanceId;

/// Time over which responses are counted; a slower endpoint is noticed within about this time.
const WINDOW: Millis = Millis(2000);
/// Time for which responses must have been counted before their rate is used.
const MIN_SAMPLE_TIME: Millis = Millis(1000);
/// Setpoint of the response time, as a fraction of the target; leaves a margin for requests that
/// take longer than the mean.
const SETPOINT: f64 = 0.5;
/// Proportional gain: share refused for each multiple of the target beyond the setpoint. With a
/// higher gain, queues oscillate between empty and full.
const PROPORTIONAL_GAIN: f64 = 0.4;
/// Integral gain: growth of the refused share per second, for each multiple of the target beyond
/// the setpoint. Removes the error left by [`PROPORTIONAL_GAIN`] within some seconds.
const INTEGRAL_GAIN: f64 = 0.3;
/// Largest error that is used; limits how much is refused because of a wrong estimate.
const MAX_ERROR: f64 = 1.0;
/// Smallest share that is admitted, so that a wrong estimate gets corrected.
const MIN_ADMITTED: f64 = 0.2;
/// Requests per slot that may always be queued: a service whose requests run for most of the target
/// time would otherwise be refused the requests that keep it busy.
const MIN_QUEUE: f64 = 1.0;
/// Range of the time after which a refused caller may retry, as fractions of the target. The target
/// counts from its first attempt, so that an early retry may still be in time.
const RETRY_AFTER: (f64, f64) = (0.1, 0.3);
/// Longest time step of the integral part.
const MAX_STEP: Millis = Millis(1000);

/// Responses of one endpoint.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct ResponseCount {
    /// Exponentially decaying number of responses, as of `at`.
    responses: f64,
    at: Millis,
    since: Millis,
}

impl ResponseCount {
    fn responses(&self, now: Millis) -> f64 {
        self.responses * decay(now.since(self.at))
    }

    /// Responses per millisecond; corrected for counts that don't cover the complete window yet.
    fn rate(&self, now: Millis) -> f64 {
        let counted = 1.0 - decay(now.since(self.since));
        self.responses(now) / (WINDOW.0 as f64 * counted)
    }
}

/// Fraction of a count that remains after a time.
fn decay(age: Millis) -> f64 {
    (-age.as_secs_f64() / WINDOW.as_secs_f64()).exp()
}

/// Response rates of all endpoints, for the requests of all daemons.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct ResponseRates {
    counts: HashMap<InstanceId, ResponseCount>,
}

impl ResponseRates {
    /// Counts responses of an endpoint.
    pub fn record(&mut self, id: &InstanceId, responses: u32, now: Millis) {
        if responses == 0 {
            return;
        }
        let count = self.counts.entry(id.clone()).or_insert(ResponseCount {
            responses: 0.0,
            at: now,
            since: now,
        });
        count.responses = count.responses(now) + f64::from(responses);
        count.at = now;
    }

    /// Expected response time of an endpoint with a load, in milliseconds; none if its response
    /// rate isn't known.
    pub fn response_time(&self, id: &InstanceId, load: f64, now: Millis) -> Option<f64> {
        let count = self.counts.get(id)?;
        let is_known = now.since(count.since) >= MIN_SAMPLE_TIME && count.responses(now) >= 1.0;
        is_known.then(|| load / count.rate(now))
    }

    /// Removes an endpoint.
    pub fn forget(&mut self, id: &InstanceId) {
        self.counts.remove(id);
    }
}

/// Controls the share of its requests to one pool that a daemon admits.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
pub struct AdmissionControl {
    /// Integral part of the refused share.
    refused: f64,
    updated: Millis,
}

impl AdmissionControl {
    /// Updates the controller with a response time in milliseconds; returns the share of requests
    /// to admit, 0 to 1.
    pub fn update(&mut self, response_time: f64, target: Millis, now: Millis) -> f64 {
        let error =
            (response_time / target.0.max(1) as f64 - SETPOINT).clamp(-MAX_ERROR, MAX_ERROR);
        let step = now.since(self.updated).0.min(MAX_STEP.0);
        self.updated = now;
        let max_refused = 1.0 - MIN_ADMITTED;
        let refused = self.refused + INTEGRAL_GAIN * error * Millis(step).as_secs_f64();
        self.refused = refused.clamp(0.0, max_refused);
        1.0 - (self.refused + PROPORTIONAL_GAIN * error).clamp(0.0, max_refused)
    }
}

/// Whether an endpoint has so many requests that some may be refused.
pub fn may_refuse(load: f64, slots: u32) -> bool {
    load > f64::from(slots) * (1.0 + MIN_QUEUE)
}

/// Time after which a refused caller may retry, with jitter from a random number `draw` between
/// 0 and 1.
pub fn retry_after(target: Millis, draw: f64) -> Millis {
    let (min, max) = RETRY_AFTER;
    Millis((target.0 as f64 * (min + (max - min) * draw)) as u64)
}
