//! One run: a policy, a scenario, a size.

use std::sync::Arc;

use medlarrill_core::clock::Millis;

use super::central::{Central, Rule};
use super::engine::Start;
use super::fleet::Fleet;
use super::measure::Measure;
use super::plant::{Names, Plant, Truth};
use super::scenario::{Event, Scenario, Timed};
use super::size::Size;
use super::trace::{Accounts, Trace};
use super::{Policy, Switches};

/// Longest wait before a request runs.
pub(super) const PATIENCE: Millis = Millis::from_secs(10);
/// Time after homes differed in which their work still shows, in milliseconds.
pub(super) const SETTLE: u64 = 15_000;
/// Between two reports of an engine, in milliseconds.
const REPORT: u64 = 1000;
/// Between two samples of all loads, in milliseconds.
const SAMPLE: u64 = 100;
/// Between two looks at how far requests are, in steps.
const PROGRESS_STEPS: u64 = 20;
/// Contract share of the largest institution.
const FULL_SHARE: f64 = 1000.0;

enum Router {
    Fleet(Box<Fleet>),
    Central(Box<Central>),
}

/// What one run is made of.
#[derive(Clone)]
pub(super) struct Setup {
    pub(super) size: Size,
    pub(super) scenario: Scenario,
    pub(super) policy: Policy,
    pub(super) trace: Arc<Trace>,
    pub(super) switches: Switches,
    pub(super) seed: u64,
}

struct World {
    plant: Plant,
    router: Router,
    events: std::vec::IntoIter<Timed>,
    pending: Option<Timed>,
}

/// Runs one setup to its end.
pub(super) fn run(setup: &Setup) -> Measure {
    let size = &setup.size;
    let from = size.warm * 1000;
    let until = from + size.measured * 1000;
    let measure = Measure::new(from, until, SAMPLE, setup.scenario.bursting);
    let names = Arc::new(names(size));
    let plant = Plant::new(size, names, setup.trace.clone(), measure);
    let central = |rule| Router::Central(Box::new(Central::new(rule, &plant, setup.seed)));
    let router = match setup.policy {
        Policy::Fleet => Router::Fleet(Box::new(Fleet::new(&plant, setup.switches, setup.seed))),
        Policy::RoundRobin => central(Rule::RoundRobin),
        Policy::LeastKnown => central(Rule::LeastKnown),
        Policy::Rendezvous => central(Rule::Rendezvous),
        Policy::Bounded => central(Rule::Bounded),
        Policy::AllKnowing => central(Rule::AllKnowing),
    };
    let mut world = World {
        plant,
        router,
        events: setup.scenario.events.clone().into_iter(),
        pending: None,
    };
    let mut now = 0;
    while now < until {
        world.step(now);
        now += size.step;
    }
    world.plant.measure
}

fn names(size: &Size) -> Names {
    let name = |kind: &str, n: usize| format!("{kind}{n:04}");
    let accounts = Accounts::new(size);
    let share = |n: usize| (accounts.institution_share(n) * FULL_SHARE).ceil() as u32;
    Names {
        endpoints: (0..size.endpoints())
            .map(|n| name("e", n).parse().expect("a short plain name"))
            .collect(),
        institutions: (0..size.institutions)
            .map(|n| name("i", n).parse().expect("a short plain name"))
            .collect(),
        accounts: (0..size.accounts)
            .map(|n| name("a", n).parse().expect("a short plain name"))
            .collect(),
        shares: (0..size.institutions).map(share).collect(),
    }
}

impl World {
    fn step(&mut self, now: u64) {
        while let Some(timed) = self.pending.take().or_else(|| self.events.next()) {
            if timed.at > now {
                self.pending = Some(timed);
                break;
            }
            self.happen(timed.event, now);
        }
        match &mut self.router {
            Router::Fleet(fleet) => fleet.tick(&mut self.plant, now),
            Router::Central(central) => central.tick(&mut self.plant, now),
        }
        for job in self.plant.arrivals(now) {
            match &mut self.router {
                Router::Fleet(fleet) => fleet.submit(&mut self.plant, job, now),
                Router::Central(central) => central.submit(&mut self.plant, job, now),
            }
        }
        self.run_engines(now);
        if now.is_multiple_of(SAMPLE) {
            self.sample(now);
        }
    }

    fn run_engines(&mut self, now: u64) {
        let step = self.plant.size.step;
        let turn = now / step;
        for endpoint in 0..self.plant.engines.len() {
            for start in self.plant.engines[endpoint].step(step, now) {
                self.done(&start, endpoint, now);
            }
            if (turn + endpoint as u64).is_multiple_of(PROGRESS_STEPS) {
                self.progress(endpoint, now);
            }
            if (now + step * endpoint as u64).is_multiple_of(REPORT) {
                self.report(endpoint, now);
            }
        }
    }

    fn done(&mut self, start: &Start, endpoint: usize, now: u64) {
        match &mut self.router {
            Router::Fleet(fleet) => fleet.done(&mut self.plant, start, endpoint, now),
            Router::Central(central) => central.done(&mut self.plant, start, endpoint, now),
        }
    }

    fn progress(&mut self, endpoint: usize, now: u64) {
        match &mut self.router {
            Router::Fleet(fleet) => fleet.progress(&mut self.plant, endpoint, now),
            Router::Central(central) => central.progress(&mut self.plant, endpoint, now),
        }
    }

    fn report(&mut self, endpoint: usize, now: u64) {
        match &mut self.router {
            Router::Fleet(fleet) => fleet.report(&mut self.plant, endpoint, now),
            Router::Central(central) => central.report(&mut self.plant, endpoint),
        }
    }

    fn sample(&mut self, now: u64) {
        let agreed = match &mut self.router {
            Router::Fleet(fleet) => {
                let bytes = fleet.take_control();
                if self.plant.measure.is_on(now) {
                    self.plant.measure.control += bytes;
                }
                fleet.agreed(now)
            }
            Router::Central(_) => true,
        };
        self.plant.sample(agreed, now);
    }

    fn happen(&mut self, event: Event, now: u64) {
        match event {
            Event::Join(endpoint) => {
                self.plant.engines[endpoint].crash(true);
                self.turn(endpoint, Truth::Ready, now);
            }
            Event::Up(endpoint) => self.turn(endpoint, Truth::Ready, now),
            Event::Leave(endpoint) => self.turn(endpoint, Truth::Leaving, now),
            Event::Down(endpoint) => {
                let lost = self.plant.engines[endpoint].crash(false);
                self.turn(endpoint, Truth::Down, now);
                match &mut self.router {
                    Router::Fleet(f) => f.lost(&mut self.plant, &lost, endpoint, now),
                    Router::Central(c) => c.lost(&mut self.plant, &lost, endpoint, now),
                }
            }
            Event::Stop(_) | Event::Start(_) | Event::Disagree | Event::Agree => {
                self.daemons(event, now);
            }
            Event::OutageBegins | Event::OutageEnds => {}
        }
    }

    fn turn(&mut self, endpoint: usize, truth: Truth, now: u64) {
        self.plant.truth[endpoint] = truth;
        match &mut self.router {
            Router::Fleet(fleet) => fleet.endpoint_changed(endpoint, truth, now),
            Router::Central(central) => central.endpoint_changed(endpoint, truth, now),
        }
    }

    fn daemons(&mut self, event: Event, now: u64) {
        let Router::Fleet(fleet) = &mut self.router else {
            return;
        };
        match event {
            Event::Stop(daemon) => fleet.stop(&mut self.plant, daemon, now),
            Event::Start(daemon) => fleet.restart(&mut self.plant, daemon, now),
            Event::Disagree => fleet.disagree(&mut self.plant, true, now),
            _ => fleet.disagree(&mut self.plant, false, now),
        }
    }
}
