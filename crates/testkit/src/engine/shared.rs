//! The state of one engine and the loops that drive it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use medlarrill_core::clock::Millis;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::batch::Batch;
use super::events::Events;
use super::load::{Load, Reports};
use super::order::Orders;
use super::settings::{Faults, Settings};
use crate::http::Switch;
use crate::{Readiness, lock, wall};

/// Load reports taken within one lag.
const REPORTS: u64 = 4;
/// Shortest time between load reports.
const SHORTEST_REPORT: Millis = Millis(5);
/// Shortest step.
const SHORTEST_STEP: Millis = Millis(1);

/// What changes in an engine.
pub(super) struct State {
    pub(super) faults: Faults,
    pub(super) batch: Batch,
    pub(super) events: Events,
    pub(super) orders: Orders,
    pub(super) reports: Reports,
}

/// All of one engine.
pub(super) struct Shared {
    pub(super) settings: Settings,
    pub(super) state: Mutex<State>,
    pub(super) switch: Switch,
    /// Changes with every step.
    steps: watch::Sender<u64>,
    /// Wakes the steps when there is work.
    work: Notify,
}

impl Shared {
    pub(super) fn new(settings: Settings) -> Self {
        let state = State {
            faults: Faults::default(),
            batch: Batch::new(&settings),
            events: Events::new(&settings),
            orders: Orders::new(&settings.model, settings.fencing),
            reports: Reports::new(settings.load_lag),
        };
        Self {
            settings,
            state: Mutex::new(state),
            switch: Switch::default(),
            steps: watch::Sender::new(0),
            work: Notify::new(),
        }
    }

    /// The engine's wall clock.
    pub(super) fn now(&self) -> Millis {
        Millis(wall().0.saturating_add_signed(self.settings.clock_ahead))
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        self.switch.set(faults.plan());
        lock(&self.state).faults = faults;
    }

    /// Wakes the steps after a change of the batch.
    pub(super) fn wake(&self) {
        self.work.notify_one();
        self.steps.send_modify(|steps| *steps += 1);
    }

    /// Sees each step after this call.
    pub(super) fn steps(&self) -> watch::Receiver<u64> {
        self.steps.subscribe()
    }

    /// The load as it is now.
    pub(super) fn load(&self, state: &State) -> Load {
        Load {
            as_of: self.now().0,
            running: state.batch.running() as u64,
            waiting: state.batch.waiting() as u64,
            tokens: state.batch.work(),
            slots: self.settings.slots as u64,
            state: state.readiness(),
            cache: state.batch.cache.load(),
        }
    }

    fn step(&self) {
        let now = self.now();
        let mut state = lock(&self.state);
        if !state.faults.frozen {
            let stored = state.batch.step(now);
            for stored in stored {
                state.events.record(stored, now);
            }
        }
        state.batch.sweep(now);
        drop(state);
        self.steps.send_modify(|steps| *steps += 1);
    }

    fn report(&self) {
        let mut state = lock(&self.state);
        let load = self.load(&state);
        state.reports.record(load);
    }

    fn step_time(&self) -> Duration {
        let slowness = u64::from(lock(&self.state).faults.slowness.max(1));
        let step = self.settings.step.max(SHORTEST_STEP);
        Millis(step.0.saturating_mul(slowness)).as_duration()
    }
}

impl State {
    pub(super) const fn readiness(&self) -> Readiness {
        if self.faults.leaving {
            Readiness::Leaving
        } else {
            Readiness::Ready
        }
    }
}

/// Makes steps while a request is held.
pub(super) async fn run_steps(shared: Arc<Shared>) {
    let mut next = Instant::now();
    loop {
        if lock(&shared.state).batch.is_empty() {
            shared.work.notified().await;
        }
        // A step that comes late doesn't hurry the next one.
        next = Instant::now().max(next + shared.step_time());
        tokio::time::sleep_until(next).await;
        shared.step();
    }
}

/// Takes load reports.
pub(super) async fn run_reports(shared: Arc<Shared>) {
    let lag = shared.settings.load_lag;
    let pause = Millis(lag.0 / REPORTS).max(SHORTEST_REPORT);
    loop {
        shared.report();
        tokio::time::sleep(pause.as_duration()).await;
    }
}
