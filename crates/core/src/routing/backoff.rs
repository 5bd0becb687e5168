//! Pauses between calls to the platform that failed.

use crate::clock::Millis;

/// Longest first pause after a failed call.
const FIRST: Millis = Millis(200);
/// Longest pause; bounds how late changes are seen after an outage.
const LONGEST: Millis = Millis(800);
/// How often the first pause doubles at the most.
const DOUBLINGS: u32 = 4;

/// Pause after some calls failed one after the other, for a draw between 0 and 1.
///
/// A daemon that knows nothing yet keeps to the first pause, since it refuses all its callers
/// until it does: 150 ms in the mean instead of 600, while a platform that is away answers
/// nothing or refuses at once. Two calls in that time cost less than a refused caller.
pub fn pause(failures: u32, knows: bool, draw: f64) -> Millis {
    let doublings = match knows {
        true => failures.saturating_sub(1).min(DOUBLINGS),
        false => 0,
    };
    let most = (FIRST.0 << doublings).min(LONGEST.0) as f64;
    Millis((most * (1.0 + draw) / 2.0) as u64)
}
