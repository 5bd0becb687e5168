//! Releases of software versions, beside a daemon that is out of step.

use std::time::Duration;

use medlarrill_platform_standin::{Behaviour, Form};
use medlarrill_testkit::proxy::Harm;
use rand::RngExt;
use rand::seq::SliceRandom;
use rand_pcg::Pcg32;

use super::{CALM, Event, Fault, Plan, millis};

/// Software version of the first endpoints, and of those that are released one after the other.
const FIRST: &str = "v1";
/// See [`FIRST`].
const RELEASED: [&str; 4] = ["v2", "v3", "v4", "v5"];
/// Time between releases.
const BETWEEN_MS: std::ops::Range<u64> = 2800..4500;
/// Time from a release until endpoints leave.
const LEAVING_MS: std::ops::Range<u64> = 300..2700;
/// Longest time by which a daemon is out of step before a release.
const AHEAD_MS: u64 = 1500;
/// Time after the earliest one at which a daemon is out of step only just before a release.
const JUST_AHEAD_MS: u64 = 1000;

impl Plan {
    /// Draws a plan in which endpoints of new software versions join, one, some or most of the pool at
    /// once, and the new or the old ones leave; around that a daemon stands still, loses the platform
    /// or hears nothing of the others.
    pub fn of_releases(rng: &mut Pcg32, length: Duration) -> Self {
        let daemons = rng.random_range(3..=6);
        let endpoints = rng.random_range(8..=14);
        let form = Form {
            build: Some(FIRST),
            ..Form::DEFAULT
        };
        let mut plan = Self {
            events: Vec::new(),
            daemons,
            endpoints,
            forms: vec![form; endpoints],
            builds: true,
            leaves: true,
            apart: rng.random_bool(0.8).then(|| rng.random_range(0..daemons)),
            pace: Some(Duration::from_millis(rng.random_range(50..130))),
            ..Self::new(rng, Duration::ZERO)
        };
        let mut served = vec![Some(FIRST); endpoints];
        for endpoint in rng.random_range(2..endpoints)..endpoints {
            plan.add_end(Duration::ZERO, endpoint, &mut served);
        }
        let mut at = CALM + Duration::from_millis(AHEAD_MS);
        for build in RELEASED {
            if at < length {
                plan.add_release(rng, at, build, &mut served);
                plan.add_out_of_step(rng, at);
            }
            at += Duration::from_millis(rng.random_range(BETWEEN_MS));
        }
        plan
    }

    fn add_end(&mut self, at: Duration, endpoint: usize, served: &mut [Option<&str>]) {
        served[endpoint] = None;
        let fault = Fault::End(endpoint);
        self.events.push(Event { at, fault });
    }

    /// Adds endpoints of a new version, where none serves if possible; the others leave, or the new
    /// ones, or none.
    fn add_release(
        &mut self,
        rng: &mut Pcg32,
        at: Duration,
        build: &'static str,
        served: &mut [Option<&'static str>],
    ) {
        let free = (0..self.endpoints).filter(|endpoint| served[*endpoint].is_none());
        let mut places: Vec<usize> = free.collect();
        if places.is_empty() {
            places = (1..self.endpoints).collect();
        }
        places.shuffle(rng);
        let counts = [1, places.len() / 2, places.len(), places.len()];
        places.truncate(counts[rng.random_range(0..counts.len())].max(1));
        for endpoint in &places {
            served[*endpoint] = Some(build);
            let fault = Fault::Replace(*endpoint, build);
            self.events.push(Event { at, fault });
        }
        let leave_old = match rng.random_range(0..4) {
            0 => false,
            1 => return,
            _ => true,
        };
        let at = at + millis(rng, LEAVING_MS);
        for endpoint in 0..self.endpoints {
            if served[endpoint].is_some() && leave_old != places.contains(&endpoint) {
                self.add_end(at, endpoint, served);
            }
        }
    }

    /// Has a daemon stand still, lose the platform or both around a release, and streams break off.
    fn add_out_of_step(&mut self, rng: &mut Pcg32, release: Duration) {
        let from = release.saturating_sub(Duration::from_millis(AHEAD_MS));
        let any = rng.random_range(0..self.daemons);
        let daemon = self.apart.filter(|_| rng.random_bool(0.8)).unwrap_or(any);
        let kind = rng.random_range(0..4);
        if kind != 0 {
            let fault = Fault::HarmStore(daemon, lost(rng), millis(rng, 1000..4000));
            let earliest = if rng.random_bool(0.3) {
                0
            } else {
                JUST_AHEAD_MS
            };
            let at = from + millis(rng, earliest..AHEAD_MS + 200);
            self.events.push(Event { at, fault });
        }
        if kind < 2 {
            let fault = Fault::Freeze(daemon, millis(rng, 300..2000));
            let at = from + millis(rng, 500..AHEAD_MS + 500);
            self.events.push(Event { at, fault });
        }
        let cuts = Behaviour {
            cuts: rng.random_range(0.2..1.0),
            ..Behaviour::default()
        };
        let endpoint = rng.random_range(0..self.endpoints);
        let fault = Fault::Behave(endpoint, Box::new(cuts), millis(rng, 300..2500));
        let at = from + millis(rng, 0..2 * AHEAD_MS);
        self.events.push(Event { at, fault });
    }
}

/// Draws how a path to the platform is lost.
fn lost(rng: &mut Pcg32) -> Harm {
    let harms = [
        Harm::Silence,
        Harm::CutThere,
        Harm::CutBack,
        Harm::Reset,
        Harm::Hold,
    ];
    harms[rng.random_range(0..harms.len())]
}
