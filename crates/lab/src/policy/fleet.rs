//! The fleet's own policy: modelled daemons that call the core's placement and admission.
//!
//! Each daemon has its own view of the others, its own late view of loads, its own directory and homes. What a
//! real daemon does with sockets is a direct call here, with the same number of peer links counted.

mod daemon;
mod gossip;
mod members;
mod news;
mod request;

use medlarrill_core::admission::{Action, Ending, Event};
use medlarrill_core::clock::Millis;
use medlarrill_core::placement::EndpointState;
use medlarrill_core::reason::Reason;
use medlarrill_core::units::Tokens;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::daemon::FleetDaemon;
use super::Switches;
use super::engine::{Snapshot, Start};
use super::plant::Plant;

/// What is still to be done for a request.
enum Task {
    Place {
        job: u32,
        daemon: usize,
    },
    Offer {
        job: u32,
        daemon: usize,
        endpoint: usize,
    },
    Act {
        daemon: usize,
        endpoint: usize,
        action: Action,
    },
}

/// A change that a daemon learns of later.
struct Late {
    at: u64,
    news: News,
}

enum News {
    /// A daemon sees an endpoint in a new state.
    State {
        daemon: usize,
        endpoint: usize,
        state: EndpointState,
    },
    /// A daemon learns that another is live or not.
    Seen {
        daemon: usize,
        other: usize,
        live: bool,
    },
    Report {
        endpoint: usize,
        taken: u64,
        snapshot: Snapshot,
    },
    Evicted {
        endpoint: usize,
        chats: Vec<u64>,
    },
}

pub(super) struct Fleet {
    daemons: Vec<FleetDaemon>,
    late: Vec<Late>,
    tasks: Vec<Task>,
    rng: Pcg64Mcg,
    switches: Switches,
    /// When homes last differed.
    apart: u64,
    /// Daemons of each region that take callers' requests.
    entries: Vec<Vec<usize>>,
}

impl Fleet {
    pub(super) fn new(plant: &Plant, switches: Switches, seed: u64) -> Self {
        let size = &plant.size;
        let mut daemons: Vec<FleetDaemon> = Vec::new();
        for (centre, of) in size.centres.iter().enumerate() {
            for _ in 0..of.daemons {
                let number = daemons.len();
                daemons.push(FleetDaemon::new(number, centre, plant, seed));
            }
        }
        let mut fleet = Self {
            daemons,
            late: Vec::new(),
            tasks: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 1),
            switches,
            apart: 0,
            entries: Vec::new(),
        };
        fleet.list_entries(size.regions());
        for number in 0..fleet.daemons.len() {
            fleet.rebuild(plant, number, 0);
        }
        fleet
    }

    fn list_entries(&mut self, regions: usize) {
        let open = |region: usize| {
            let of = self.daemons.iter().filter(|d| d.open && d.region == region);
            of.map(|d| d.number).collect()
        };
        self.entries = (0..regions).map(open).collect();
    }

    /// A request arrives at some entry.
    pub(super) fn submit(&mut self, plant: &mut Plant, job: u32, now: u64) {
        let Some(known) = plant.jobs.get(&job) else {
            return;
        };
        let (chat, region) = (known.request.chat, usize::from(known.request.region));
        let entries = &self.entries[region];
        if entries.is_empty() {
            plant.refuse(job, Reason::NotReady, Millis(1000), now);
            return;
        }
        let entry = entries[self.rng.random_range(0..entries.len())];
        let directory = self.daemons[entry].directory_of(chat);
        let daemon = self.hop(plant, job, entry, directory);
        self.tasks.push(Task::Place { job, daemon });
        self.work(plant, now);
    }

    /// Crosses to another daemon, if it is another and answers.
    fn hop(&self, plant: &mut Plant, job: u32, from: usize, to: usize) -> usize {
        if from == to || !self.daemons[to].answers {
            return from;
        }
        if let Some(job) = plant.jobs.get_mut(&job) {
            job.hops += 1;
        }
        to
    }

    fn work(&mut self, plant: &mut Plant, now: u64) {
        while let Some(task) = self.tasks.pop() {
            match task {
                Task::Place { job, daemon } => self.place(plant, job, daemon, now),
                Task::Offer {
                    job,
                    daemon,
                    endpoint,
                } => {
                    self.offer(plant, job, daemon, endpoint, now);
                }
                Task::Act {
                    daemon,
                    endpoint,
                    action,
                } => {
                    self.act(plant, daemon, endpoint, action, now);
                }
            }
        }
    }

    pub(super) fn lost(&mut self, plant: &mut Plant, starts: &[Start], endpoint: usize, now: u64) {
        for start in starts {
            self.failed(plant, start.job, usize::from(start.home), endpoint, now);
            self.work(plant, now);
        }
    }

    pub(super) fn done(&mut self, plant: &mut Plant, start: &Start, endpoint: usize, now: u64) {
        let number = usize::from(start.home);
        let event = Event::Finished {
            id: plant.attempt(start.job, number),
            ending: Ending::Done,
        };
        plant.done(start, now);
        self.tell(plant, number, endpoint, event, now);
        self.work(plant, now);
    }

    /// Tells the homes how far their requests are.
    pub(super) fn progress(&mut self, plant: &mut Plant, endpoint: usize, now: u64) {
        let engine = &plant.engines[endpoint];
        let told: Vec<_> = engine
            .running()
            .iter()
            .map(|running| {
                let output = Tokens(engine.generated(running) as u64);
                (running.start, output)
            })
            .collect();
        for (start, output) in told {
            let number = usize::from(start.home);
            let id = plant.attempt(start.job, number);
            let event = Event::Progress { id, output };
            self.tell(plant, number, endpoint, event, now);
        }
        self.work(plant, now);
    }

    /// Time passes.
    pub(super) fn tick(&mut self, plant: &mut Plant, now: u64) {
        self.arrive(plant, now);
        for number in 0..self.daemons.len() {
            if !self.daemons[number].answers {
                continue;
            }
            self.gossip(plant, number, now);
            if now.is_multiple_of(100) {
                self.hand_over(number, now);
                self.refresh(plant, number, now);
            }
        }
    }

    /// Brings means to the homes and wakes those that wait.
    fn refresh(&mut self, plant: &mut Plant, number: usize, now: u64) {
        let mean = self.daemons[number].mean(now);
        let endpoints: Vec<_> = self.daemons[number].homes.keys().copied().collect();
        for endpoint in endpoints {
            self.tell(plant, number, endpoint, Event::Mean(mean), now);
        }
        self.work(plant, now);
        self.daemons[number].tidy();
    }

    /// Whether all live daemons have agreed on all homes for a while.
    pub(super) fn agreed(&mut self, now: u64) -> bool {
        let mut live = self.daemons.iter().filter(|daemon| daemon.open);
        let first = live.next().map(|daemon| &daemon.home_of);
        let same = live.all(|daemon| Some(&daemon.home_of) == first);
        if !same {
            self.apart = now;
        }
        now >= self.apart + super::world::SETTLE || self.apart == 0
    }

    /// Control bytes sent and received, per daemon and second.
    pub(super) fn take_control(&mut self) -> u64 {
        let taken = self
            .daemons
            .iter_mut()
            .map(|daemon| std::mem::take(&mut daemon.control));
        taken.sum()
    }
}
