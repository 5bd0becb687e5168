//! Requests that share a part of their prompts and end endpoints.

use std::time::Duration;

use medlarrill_platform_standin::Crash;
use medlarrill_testkit::proxy::Harm;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::super::traffic::BAD_PARTS;
use super::{CALM, Event, Fault, PAUSE_MS, Plan, outage};

/// Time without faults of other kinds at the end, in which sound requests are judged.
const JUDGED: Duration = Duration::from_secs(4);

impl Plan {
    /// Draws a plan in which a part of prompts ends endpoints in some way, while daemons end and the
    /// platform fails now and then.
    pub fn of_parts(rng: &mut Pcg32, length: Duration) -> Self {
        let mut plan = Self {
            events: Vec::new(),
            daemons: rng.random_range(3..=6),
            births: true,
            ..Self::new(rng, Duration::ZERO)
        };
        plan.endpoints = rng.random_range(5..=9);
        plan.forms.resize(plan.endpoints, plan.forms[0]);
        let paths = ["/plain/x", "/stream/x", "/stream-once/x"];
        plan.crashing = Some(paths[rng.random_range(0..paths.len())]);
        let millis = rng.random_range(0..100);
        plan.part = Some(Crash {
            after: rng
                .random_bool(0.8)
                .then_some(Duration::from_millis(millis)),
            events: rng.random_range(0..3),
            is_silent: rng.random_bool(0.3),
            ..Crash::of(BAD_PARTS)
        });
        let mut at = CALM;
        while at + JUDGED < length {
            let fault = plan.draw_fault_beside_part(rng);
            plan.events.push(Event { at, fault });
            at += Duration::from_millis(rng.random_range(0..6 * PAUSE_MS));
        }
        plan
    }

    fn draw_fault_beside_part(&self, rng: &mut Pcg32) -> Fault {
        let daemon = rng.random_range(0..self.daemons);
        let lasts = Duration::from_millis(rng.random_range(300..2500));
        match rng.random_range(0..6) {
            0 => Fault::Kill(daemon),
            1 => Fault::Stop(daemon),
            2 => Fault::Freeze(daemon, lasts),
            3 => Fault::Store(outage(rng), lasts),
            4 => Fault::HarmStore(daemon, Harm::Silence, lasts),
            _ => Fault::Configure,
        }
    }
}
