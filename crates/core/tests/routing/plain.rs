//! Plain pools over many daemons that know each other's requests with a delay: how long
//! requests take.

use std::collections::VecDeque;
use std::sync::Arc;

use googletest::prelude::*;
use medlarrill_core::routing::choose::{Candidate, choose};
use medlarrill_core::routing::endpoint::Endpoint;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::support::{candidate, endpoint};

const SLOTS: u32 = 6;
/// Mean time of a run, in milliseconds.
const WORK: f64 = 60.0;
const TARGET: u64 = 280;

/// A request at an endpoint.
#[derive(Clone, Copy)]
struct Job {
    asked: u64,
    daemon: usize,
    end: u64,
}

/// One endpoint's requests.
#[derive(Clone, Default)]
struct Place {
    queue: VecDeque<Job>,
    running: Vec<Job>,
}

impl Place {
    fn load(&self) -> f64 {
        (self.queue.len() + self.running.len()) as f64
    }
}

/// How a fleet looks.
#[derive(Clone, Copy)]
struct Fleet {
    daemons: usize,
    endpoints: usize,
    /// Requests a second.
    rate: f64,
    /// How old loads are, at the least and at most.
    lag: (usize, usize),
}

struct World {
    rng: Pcg32,
    fleet: Fleet,
    listed: Vec<Arc<Endpoint>>,
    places: Vec<Place>,
    /// Loads of all endpoints, by time.
    history: Vec<Vec<f64>>,
    /// Requests of each daemon at each endpoint.
    own: Vec<Vec<f64>>,
    took: Vec<u64>,
}

impl World {
    fn new(fleet: Fleet) -> Self {
        let listed = |number: usize| {
            Arc::new(Endpoint {
                slots: SLOTS,
                ..endpoint(&format!("e{number}"))
            })
        };
        Self {
            rng: Pcg32::seed_from_u64(11),
            fleet,
            listed: (0..fleet.endpoints).map(listed).collect(),
            places: vec![Place::default(); fleet.endpoints],
            history: Vec::new(),
            own: vec![vec![0.0; fleet.endpoints]; fleet.daemons],
            took: Vec::new(),
        }
    }

    /// Plays a minute; returns the share of requests that took less than the target.
    fn play(mut self) -> f64 {
        for now in 0..60_000 {
            self.run(now);
            if self.rng.random::<f64>() < self.fleet.rate / 1000.0 {
                self.arrive(now);
            }
            let loads = self.places.iter().map(Place::load).collect();
            self.history.push(loads);
        }
        let in_time = self.took.iter().filter(|took| **took <= TARGET).count();
        in_time as f64 / self.took.len() as f64
    }

    fn run(&mut self, now: u64) {
        for (number, place) in self.places.iter_mut().enumerate() {
            place.running.retain(|job| {
                if job.end <= now {
                    self.own[job.daemon][number] -= 1.0;
                    self.took.push(now - job.asked);
                }
                job.end > now
            });
            while place.running.len() < SLOTS as usize
                && let Some(job) = place.queue.pop_front()
            {
                let work = WORK * self.rng.random_range(0.5..1.5);
                let end = now + work as u64;
                place.running.push(Job { end, ..job });
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        let daemon = self.rng.random_range(0..self.fleet.daemons);
        let lag = self.rng.random_range(self.fleet.lag.0..self.fleet.lag.1);
        let told = self.history.len().checked_sub(lag);
        let known = |number: usize| {
            let own = self.own[daemon][number];
            told.map_or(0.0, |at| self.history[at][number]).max(own)
        };
        let seen = |(number, endpoint): (usize, &Arc<Endpoint>)| Candidate {
            endpoint: Arc::clone(endpoint),
            ..candidate("e", known(number))
        };
        let all: Vec<Candidate> = self.listed.iter().enumerate().map(seen).collect();
        let near = "near".parse().expect("a name");
        let choice = choose(&all, None, 0.0, &near, false, &mut self.rng).expect("a choice");
        let same = |endpoint: &Arc<Endpoint>| endpoint.id == choice.endpoint.id;
        let number = self.listed.iter().position(same).expect("known");
        self.own[daemon][number] += 1.0;
        let job = Job {
            asked: now,
            daemon,
            end: 0,
        };
        self.places[number].queue.push_back(job);
    }
}

#[gtest]
fn many_daemons_with_old_loads_dont_all_fill_the_same_endpoint() {
    let large = |endpoints, rate| Fleet {
        daemons: 75,
        endpoints,
        rate,
        lag: (100, 700),
    };
    for (e, r) in [
        (2, 120.0),
        (2, 165.0),
        (3, 165.0),
        (3, 210.0),
        (5, 210.0),
        (5, 300.0),
    ] {
        println!("large {e} {r}: {}", World::new(large(e, r)).play());
    }
    let small = |endpoints, rate| Fleet {
        daemons: 7,
        endpoints,
        rate,
        lag: (30, 250),
    };
    for (e, r) in [(2, 60.0), (3, 60.0), (3, 120.0), (3, 200.0)] {
        println!("small {e} {r}: {}", World::new(small(e, r)).play());
    }
}
