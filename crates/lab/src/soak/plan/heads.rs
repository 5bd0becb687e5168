//! Endpoints whose answers break off in their heads, beside planned work and lost daemons.

use std::time::Duration;

use medlarrill_platform_standin::Behaviour;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::{CALM, Event, Fault, PAUSE_MS, Plan};

impl Plan {
    /// Draws a plan in which heads break off, at one endpoint or at all.
    pub fn of_heads(rng: &mut Pcg32, length: Duration) -> Self {
        let mut plan = Self {
            events: Vec::new(),
            ..Self::new(rng, Duration::ZERO)
        };
        let mut at = CALM;
        while at < length {
            plan.add_heads(rng, at);
            at += Duration::from_millis(rng.random_range(0..2 * PAUSE_MS));
        }
        plan
    }

    fn add_heads(&mut self, rng: &mut Pcg32, at: Duration) {
        let lasts = Duration::from_millis(rng.random_range(300..2500));
        let behaviour = Behaviour {
            heads: rng.random_range(0.1..1.0),
            ..Behaviour::default()
        };
        let heads = |endpoint| Fault::Behave(endpoint, Box::new(behaviour), lasts);
        let faults = match rng.random_range(0..8) {
            0..5 => vec![heads(rng.random_range(0..self.endpoints))],
            5 => (0..self.endpoints).map(heads).collect(),
            6 => vec![Fault::Kill(rng.random_range(0..self.daemons))],
            _ => vec![Fault::Configure],
        };
        let events = faults.into_iter().map(|fault| Event { at, fault });
        self.events.extend(events);
    }
}
