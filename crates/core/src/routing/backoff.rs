//! Exponential backoff between failed calls to the platform.

use crate::clock::Millis;

/// Upper bound of the first pause.
const FIRST_PAUSE: Millis = Millis(200);
/// Longest pause; limits how late changes are noticed after an outage.
const MAX_PAUSE: Millis = Millis(800);
/// Largest number of times that the first pause is doubled.
const MAX_DOUBLINGS: u32 = 4;

/// Pause after consecutive failed calls, with jitter from a random number `draw` between 0 and 1.
///
/// A daemon without any data yet doesn't back off further, since it refuses all its callers until
/// it has some: it waits 150 ms on average instead of 600. An unavailable platform doesn't respond
/// or refuses at once, so that two calls in that time cost less than a refused caller.
pub fn pause(failures: u32, has_data: bool, draw: f64) -> Millis {
    let doublings = match has_data {
        true => failures.saturating_sub(1).min(MAX_DOUBLINGS),
        false => 0,
    };
    let longest = (FIRST_PAUSE.0 << doublings).min(MAX_PAUSE.0) as f64;
    Millis((longest * (1.0 + draw) / 2.0) as u64)
}
