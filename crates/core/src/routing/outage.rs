//! When callers return to a daemon that knows no configuration yet.
//!
//! Answers the load of all callers after all daemons have lost power while the
//! platform's store doesn't answer: no daemon can serve before the store
//! returns, at a time that nobody knows. Most callers return only once, so that
//! an early return is lost. A daemon that can't reach the store therefore sends
//! them away for as long as they heed; one that can has the configuration
//! within some hundred milliseconds.

use crate::clock::Millis;

/// Range of the wait, as fractions of the time that the caller has left. Callers heed no more than a
/// third; those that were refused together return apart.
const WAIT: (f64, f64) = (0.25, 0.32);

/// Time after the start of a daemon at which it has a configuration even in a large fleet that starts
/// together, if the store answers.
const LISTING_TIME: Millis = Millis(1500);

/// Time after which a caller may return, for a random number `draw` between 0 and 1; none if it is
/// best off with an early return. `is_cut_off` says whether the daemon's calls to the store failed,
/// `age` is the time since its start, and `left` the time for which the caller waits.
pub fn retry_after(
    is_cut_off: bool,
    age: Millis,
    left: Option<Millis>,
    draw: f64,
) -> Option<Millis> {
    let left = left.filter(|_| is_cut_off || age >= LISTING_TIME)?;
    let (min, max) = WAIT;
    Some(Millis((left.0 as f64 * (min + (max - min) * draw)) as u64))
}
