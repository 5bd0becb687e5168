//! A store that is restored from copies of its own, beside planned work, cuts and frozen daemons.

use std::time::Duration;

use medlarrill_platform_standin::Watches;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::{CALM, Event, Fault, PAUSE_MS, Plan, harm};

/// Most restorations in series.
const SERIES_MAX: usize = 3;

impl Plan {
    /// Draws a plan in which the store goes back, once to three times in series, and versions and
    /// leaving endpoints are confirmed all the while.
    pub fn of_restores(rng: &mut Pcg32, length: Duration) -> Self {
        let mut plan = Self {
            events: Vec::new(),
            births: true,
            restores: true,
            ..Self::new(rng, Duration::ZERO)
        };
        let mut at = CALM;
        while at < length {
            plan.add_series(rng, at);
            at += Duration::from_millis(rng.random_range(2000..6000));
        }
        let mut at = CALM;
        while at < length {
            let fault = plan.draw_beside_restores(rng);
            plan.events.push(Event { at, fault });
            at += Duration::from_millis(rng.random_range(0..PAUSE_MS));
        }
        plan
    }

    fn add_series(&mut self, rng: &mut Pcg32, from: Duration) {
        let mut at = from;
        for _ in 0..rng.random_range(1..=SERIES_MAX) {
            let age = Duration::from_millis(rng.random_range(100..6000));
            let away = match rng.random_bool(0.2) {
                true => Duration::ZERO,
                false => Duration::from_millis(rng.random_range(50..2000)),
            };
            let watches = match rng.random_bool(0.5) {
                true => Watches::Cut,
                false => Watches::Go,
            };
            let fault = Fault::Restore(age, away, watches);
            self.events.push(Event { at, fault });
            at += away + Duration::from_millis(rng.random_range(50..1500));
        }
    }

    fn draw_beside_restores(&self, rng: &mut Pcg32) -> Fault {
        let daemon = rng.random_range(0..self.daemons);
        let length = Duration::from_millis(rng.random_range(300..3000));
        match rng.random_range(0..12) {
            0 => Fault::Stop(daemon),
            1 => Fault::Kill(daemon),
            2 => Fault::Freeze(daemon, length),
            3 => Fault::Reload(daemon),
            4 => Fault::HarmStore(daemon, harm(rng), length),
            // One endpoint always takes work.
            5..8 => Fault::Drain(rng.random_range(1..self.endpoints), 2 * length + length),
            _ => Fault::Configure,
        }
    }
}
