//! Endpoints of several software versions.

use std::time::Duration;

use medlarrill_platform_standin::{Behaviour, Form};
use medlarrill_testkit::proxy::Harm;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::{CALM, Event, Fault, PAUSE_MS, Plan, outage};

/// Software versions of endpoints; the last one serves only after a replacement.
const BUILDS: [&str; 3] = ["v1", "v2", "v3"];

/// Longest time in which endpoints are replaced while all daemons are down.
const RELEASE_MS: u64 = 300;

impl Plan {
    /// Draws a plan in which endpoints of several software versions are replaced, streams break off,
    /// and daemons end, one or all at once.
    pub fn of_builds(rng: &mut Pcg32, length: Duration) -> Self {
        let mut plan = Self {
            events: Vec::new(),
            daemons: rng.random_range(3..=6),
            builds: true,
            ..Self::new(rng, Duration::ZERO)
        };
        plan.endpoints = rng.random_range(4..=8);
        plan.forms = vec![Form::DEFAULT; plan.endpoints];
        for form in &mut plan.forms {
            form.build = Some(BUILDS[rng.random_range(0..2)]);
        }
        let mut at = CALM;
        while at < length {
            plan.draw_build_fault(rng, at);
            at += Duration::from_millis(rng.random_range(0..2 * PAUSE_MS));
        }
        plan
    }

    fn draw_build_fault(&mut self, rng: &mut Pcg32, at: Duration) {
        let daemon = rng.random_range(0..self.daemons);
        let endpoint = rng.random_range(0..self.endpoints);
        let lasts = Duration::from_millis(rng.random_range(300..2500));
        let cuts = Behaviour {
            cuts: rng.random_range(0.2..1.0),
            ..Behaviour::default()
        };
        let fault = match rng.random_range(0..18) {
            0..4 => Fault::Replace(endpoint, BUILDS[rng.random_range(0..BUILDS.len())]),
            4..9 => Fault::Behave(endpoint, Box::new(cuts), lasts),
            9 | 10 => Fault::Kill(daemon),
            11 => Fault::Stop(daemon),
            12 => Fault::Freeze(daemon, lasts),
            13 => Fault::HarmEndpoint(endpoint, Harm::Reset, lasts),
            14 => Fault::Store(outage(rng), lasts),
            _ => {
                let all = (0..self.daemons).map(Fault::Kill);
                self.events.extend(all.map(|fault| Event { at, fault }));
                self.draw_release(rng, at);
                return;
            }
        };
        self.events.push(Event { at, fault });
    }

    /// Draws endpoints that are replaced by one software version within moments: all of them, some or
    /// none.
    fn draw_release(&mut self, rng: &mut Pcg32, at: Duration) {
        let build = BUILDS[rng.random_range(0..BUILDS.len())];
        let share = [0.0, 0.5, 1.0][rng.random_range(0..3)];
        for endpoint in 0..self.endpoints {
            if rng.random_bool(share) {
                let at = at + Duration::from_millis(rng.random_range(0..RELEASE_MS));
                let fault = Fault::Replace(endpoint, build);
                self.events.push(Event { at, fault });
            }
        }
    }
}
