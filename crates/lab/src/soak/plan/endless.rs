//! Endpoints that write bytes without end in place of answers, or end under kept connections, beside
//! planned work and lost daemons.

use std::time::Duration;

use medlarrill_platform_standin::{Behaviour, Endless, Flow};
use rand::RngExt;
use rand_pcg::Pcg32;

use super::{CALM, Event, Fault, PAUSE_MS, Plan};

/// What can't become an answer, and passes nothing on.
const FORMS: [Endless; 6] = [
    Endless::HeadLines,
    Endless::HeadLine,
    Endless::Interim,
    Endless::ChunkSize,
    Endless::ChunkSpaces,
    Endless::Extension,
];

impl Plan {
    /// Draws a plan of endless bytes.
    pub fn of_endless(rng: &mut Pcg32, length: Duration) -> Self {
        let mut plan = Self {
            events: Vec::new(),
            ..Self::new(rng, Duration::ZERO)
        };
        let mut at = CALM;
        while at < length {
            let fault = plan.draw_endless(rng);
            plan.events.push(Event { at, fault });
            at += Duration::from_millis(rng.random_range(0..2 * PAUSE_MS));
        }
        plan
    }

    fn draw_endless(&self, rng: &mut Pcg32) -> Fault {
        let endpoint = rng.random_range(0..self.endpoints);
        let daemon = rng.random_range(0..self.daemons);
        match rng.random_range(0..8) {
            0..4 => {
                let what = FORMS[rng.random_range(0..FORMS.len())];
                let lasts = Duration::from_millis(rng.random_range(300..3000));
                let behaviour = Behaviour {
                    flow: Some(Flow::new(what)),
                    ..Behaviour::default()
                };
                Fault::Behave(endpoint, Box::new(behaviour), lasts)
            }
            4 | 5 => Fault::Restart(endpoint),
            6 => Fault::Kill(daemon),
            _ => Fault::Configure,
        }
    }
}
