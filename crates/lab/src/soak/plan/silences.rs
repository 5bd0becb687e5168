//! Parties that stand still for a while and go on where they were, beside planned work.

use std::time::Duration;

use medlarrill_platform_standin::Outage;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::{CALM, Event, Fault, PAUSE_MS, Plan};

/// Time between events of streams, and for plain answers: silences fall within most of them.
const PACE: Duration = Duration::from_millis(60);
/// Budgets of retries: what was cut for want of one is only seen where there is little.
const SLACKS: [u32; 3] = [0, 8, 1000];

impl Plan {
    /// Draws a plan in which endpoints, daemons and the platform stand still, one, some or all of a
    /// kind at a time, and nothing that runs is ended by anybody.
    pub fn of_silences(rng: &mut Pcg32, length: Duration) -> Self {
        let mut plan = Self {
            events: Vec::new(),
            pace: Some(PACE),
            slack: SLACKS[rng.random_range(0..SLACKS.len())],
            has_limits: true,
            ..Self::new(rng, Duration::ZERO)
        };
        let mut at = CALM;
        while at < length {
            let lasts = Duration::from_millis(rng.random_range(300..3000));
            for fault in plan.draw_silences(rng, lasts) {
                plan.events.push(Event { at, fault });
            }
            at += Duration::from_millis(rng.random_range(0..2 * PAUSE_MS));
        }
        plan
    }

    /// Draws one silence or planned work; several of a kind at a time.
    fn draw_silences(&self, rng: &mut Pcg32, lasts: Duration) -> Vec<Fault> {
        let daemon = rng.random_range(0..self.daemons);
        let (daemons, endpoints) = (0..self.daemons, 0..self.endpoints);
        match rng.random_range(0..12) {
            0..3 => vec![Fault::Hush(rng.random_range(endpoints), lasts)],
            3 => endpoints.map(|each| Fault::Hush(each, lasts)).collect(),
            4 => {
                let some = endpoints.filter(|_| rng.random_bool(0.6));
                some.map(|each| Fault::Hush(each, lasts)).collect()
            }
            5 => vec![Fault::Freeze(daemon, lasts)],
            6 => daemons.map(|each| Fault::Freeze(each, lasts)).collect(),
            7 => vec![Fault::Store(Outage::Silent, lasts)],
            8 => vec![Fault::Stop(daemon)],
            9 => vec![Fault::Reload(daemon)],
            10 => vec![Fault::Drain(rng.random_range(endpoints), lasts)],
            _ => vec![Fault::Configure],
        }
    }
}
