//! Losses of all daemons, after endpoints of a new software version have taken the place of others.

use std::time::Duration;

use medlarrill_platform_standin::Form;
use rand::RngExt;
use rand::seq::SliceRandom;
use rand_pcg::Pcg32;

use super::{CALM, Event, Fault, Plan, millis};

/// Software version of the first endpoints, and of those that are released one after the other.
const FIRST: &str = "v1";
/// See [`FIRST`].
const RELEASED: [&str; 4] = ["v2", "v3", "v4", "v5"];
/// Time from a release until the endpoints before leave.
const LEAVING_MS: std::ops::Range<u64> = 300..2000;
/// Time from then until the daemons are lost.
const LOSS_MS: std::ops::Range<u64> = 0..4000;
/// Time for which they are.
const AWAY_MS: std::ops::Range<u64> = 300..2600;
/// Time from their return until they are lost once more.
const AGAIN_MS: std::ops::Range<u64> = 500..2500;
/// Time from their return until the next release, in which callers take up their streams.
const BETWEEN_MS: std::ops::Range<u64> = 4000..5000;
/// Fewest endpoints of a software version.
const SERVING: usize = 2;

impl Plan {
    /// Draws a plan of releases, each with a loss of all daemons, or of all but one that stands still.
    pub fn of_losses(rng: &mut Pcg32, length: Duration) -> Self {
        let endpoints = rng.random_range(8..=12);
        let form = Form {
            build: Some(FIRST),
            ..Form::DEFAULT
        };
        let mut plan = Self {
            events: Vec::new(),
            daemons: rng.random_range(3..=6),
            endpoints,
            forms: vec![form; endpoints],
            builds: true,
            leaves: true,
            losses: true,
            pace: Some(millis(rng, 50..130)),
            ..Self::new(rng, Duration::ZERO)
        };
        let (mut old, mut free): (Vec<usize>, Vec<usize>) =
            (0..endpoints).partition(|endpoint| endpoint % 2 == 0);
        plan.add_ends(Duration::ZERO, &free);
        let mut at = CALM;
        for build in RELEASED {
            if at >= length {
                break;
            }
            free.shuffle(rng);
            let new: Vec<usize> = free
                .drain(..rng.random_range(SERVING..=free.len()))
                .collect();
            let events = new.iter().map(|endpoint| Event {
                at,
                fault: Fault::Replace(*endpoint, build),
            });
            plan.events.extend(events);
            at += millis(rng, LEAVING_MS);
            // Both versions go on to serve in a quarter of the releases.
            let stay = if rng.random_bool(0.25) { SERVING } else { 0 };
            let left = old.split_off(stay.min(old.len()));
            plan.add_ends(at, &left);
            free.extend(left);
            old.extend(new);
            at = plan.add_losses(rng, at) + millis(rng, BETWEEN_MS);
        }
        plan
    }

    fn add_ends(&mut self, at: Duration, endpoints: &[usize]) {
        let events = endpoints.iter().map(|endpoint| Event {
            at,
            fault: Fault::End(*endpoint),
        });
        self.events.extend(events);
    }

    /// Adds a loss, or two in a row; returns when the daemons are back.
    fn add_losses(&mut self, rng: &mut Pcg32, left: Duration) -> Duration {
        let mut at = left + millis(rng, LOSS_MS);
        let count = if rng.random_bool(0.3) { 2 } else { 1 };
        for number in 0..count {
            if number > 0 {
                at += millis(rng, AGAIN_MS);
            }
            let away = millis(rng, AWAY_MS);
            let still = rng
                .random_bool(0.2)
                .then(|| rng.random_range(0..self.daemons));
            let events = (0..self.daemons).map(|daemon| Event {
                at,
                fault: match still == Some(daemon) {
                    true => Fault::Freeze(daemon, away),
                    false => Fault::PowerOff(daemon, away),
                },
            });
            self.events.extend(events);
            at += away;
        }
        at
    }
}
