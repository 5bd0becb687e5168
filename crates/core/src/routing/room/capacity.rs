//! Estimates how many requests a pool can run in time.

use crate::clock::Millis;

/// Queue to hold, in responses of the pool within a part of the target. Leaves a margin for
/// requests that take longer than the mean, and work for endpoints until daemons hear of a change.
const SETPOINT: f64 = 0.45;
/// Queue to hold at least, in requests per slot, so that no slot runs dry.
const MIN_QUEUE: f64 = 1.25;
/// Time in which an error of the queue is corrected: twice the age of the counts. There is no
/// integral part: those of many daemons drift apart, and all but one then admit too little.
const CORRECTION_TIME: Millis = Millis(600);
/// Largest parts of the response rate by which it is raised and lowered. A queue that is too long
/// makes requests late at once, one that is too short only when endpoints run dry.
const MAX_RAISE: f64 = 0.3;
const MAX_LOWER: f64 = 0.7;

/// Requests per second to admit to a pool with a response rate per second and so many requests in
/// flight.
pub fn capacity(responses: f64, load: f64, slots: f64, target: Millis) -> f64 {
    let least = least(slots, target);
    let base = responses.max(least);
    let queue = (base * target.as_secs_f64() * SETPOINT).max(slots * MIN_QUEUE);
    let correction = (queue - load) / CORRECTION_TIME.as_secs_f64();
    (base + correction.clamp(-MAX_LOWER * base, MAX_RAISE * base)).max(least)
}

/// Requests per second that are run in time if each takes the whole target: what is certain of a
/// pool of which nothing else is known.
pub fn least(slots: f64, target: Millis) -> f64 {
    slots / target.as_secs_f64().max(0.001)
}
