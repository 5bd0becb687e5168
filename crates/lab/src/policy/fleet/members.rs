//! Who is live, who is home, and what moves when that changes.

use medlarrill_core::admission::{Event, State};
use medlarrill_core::placement::EndpointState;
use rand::RngExt;

use super::daemon::{FleetDaemon, daemon_id};
use super::{Fleet, Late, News};
use crate::policy::plant::{Plant, Truth};

/// Time after a change of daemons before directory entries move, in milliseconds.
const CALM: u64 = 2000;
/// Directory entries that one daemon hands over in a tenth of a second, and their size.
const BATCH: usize = 10;
const ENTRY_BYTES: u64 = 40;
/// Delays with which daemons learn of others that stop or start, in milliseconds.
const NEWS: std::ops::Range<u64> = 100..1000;
/// Delays with which homes, and others, learn of an endpoint's state, in milliseconds.
const HOME_NEWS: std::ops::Range<u64> = 100..600;
const OTHER_NEWS: std::ops::Range<u64> = 500..2000;
/// Share of the others that a daemon misses in a disagreement.
const MISSED: f64 = 0.25;

impl Fleet {
    /// Works out the homes anew and moves what has to move.
    pub(super) fn rebuild(&mut self, plant: &Plant, number: usize, now: u64) {
        let daemon = &mut self.daemons[number];
        let before = daemon.home_of.clone();
        daemon.find_homes(&plant.size, plant);
        daemon.plan_at = Some(now + if daemon.open { CALM } else { 0 });
        let after = daemon.home_of.clone();
        let first = now == 0;
        for (endpoint, (old, new)) in before.iter().zip(&after).enumerate() {
            if (old != new || first) && *new == number {
                self.take_home(plant, number, endpoint, now);
            } else if old != new && *old == number {
                let name = &plant.names.endpoints[endpoint];
                self.daemons[number].pool.release_own(name);
                self.tell(plant, number, endpoint, Event::State(State::Moved), now);
            }
        }
    }

    fn take_home(&mut self, plant: &Plant, number: usize, endpoint: usize, now: u64) {
        let name = &plant.names.endpoints[endpoint];
        let view = self.daemons[number].pool.get(name);
        let state = home_state(view.map_or(EndpointState::Unknown, |view| view.state));
        self.tell(plant, number, endpoint, Event::State(state), now);
    }

    /// A daemon learns that another is live or not.
    pub(super) fn see(
        &mut self,
        plant: &mut Plant,
        number: usize,
        other: usize,
        live: bool,
        now: u64,
    ) {
        if !self.daemons[number].answers || self.daemons[number].seen[other] == live {
            return;
        }
        self.daemons[number].seen[other] = live;
        if !live {
            self.daemons[number].pool.remove_daemon(&daemon_id(other));
        }
        self.rebuild(plant, number, now);
        self.work(plant, now);
    }

    /// A daemon learns of an endpoint's state.
    pub(super) fn see_state(
        &mut self,
        plant: &Plant,
        number: usize,
        endpoint: usize,
        state: EndpointState,
        now: u64,
    ) {
        let name = &plant.names.endpoints[endpoint];
        let daemon = &mut self.daemons[number];
        daemon.pool.set_state(name, state);
        if daemon.homes.contains_key(&endpoint) && daemon.home_of[endpoint] == number {
            self.tell(
                plant,
                number,
                endpoint,
                Event::State(home_state(state)),
                now,
            );
        }
    }

    /// An endpoint's state changes in truth; daemons learn of it each in its time.
    pub(in crate::policy) fn endpoint_changed(&mut self, endpoint: usize, truth: Truth, now: u64) {
        let state = match truth {
            Truth::Ready => EndpointState::Ready,
            Truth::Leaving => EndpointState::Leaving,
            Truth::Down => EndpointState::Unknown,
        };
        for daemon in 0..self.daemons.len() {
            let home = self.daemons[daemon].home_of[endpoint] == daemon;
            let delay = self
                .rng
                .random_range(if home { HOME_NEWS } else { OTHER_NEWS });
            let news = News::State {
                daemon,
                endpoint,
                state,
            };
            let at = now + if now == 0 { 0 } else { delay };
            self.late.push(Late { at, news });
        }
    }

    pub(in crate::policy) fn stop(&mut self, plant: &mut Plant, number: usize, now: u64) {
        self.daemons[number].open = false;
        self.daemons[number].seen[number] = false;
        self.list_entries(plant.size.regions());
        self.spread(number, false, now);
        self.rebuild(plant, number, now);
        self.work(plant, now);
    }

    /// A daemon starts with nothing but the list of others and their states.
    pub(in crate::policy) fn restart(&mut self, plant: &mut Plant, number: usize, now: u64) {
        let centre = self.daemons[number].centre;
        let mut new = FleetDaemon::new(number, centre, plant, now ^ 77);
        new.control = self.daemons[number].control;
        for other in 0..self.daemons.len() {
            new.seen[other] = self.daemons[other].open || other == number;
        }
        for endpoint in 0..plant.truth.len() {
            if !plant.ready(endpoint) {
                let name = &plant.names.endpoints[endpoint];
                new.pool.set_state(name, EndpointState::Unknown);
            }
        }
        self.daemons[number] = new;
        self.list_entries(plant.size.regions());
        self.spread(number, true, now);
        self.rebuild(plant, number, now);
        self.work(plant, now);
    }

    fn spread(&mut self, other: usize, live: bool, now: u64) {
        for daemon in 0..self.daemons.len() {
            if daemon != other {
                let at = now + self.rng.random_range(NEWS);
                let news = News::Seen {
                    daemon,
                    other,
                    live,
                };
                self.late.push(Late { at, news });
            }
        }
    }

    /// Each daemon misses some others at once; or sees all live ones again, each in its time.
    pub(in crate::policy) fn disagree(&mut self, plant: &mut Plant, begins: bool, now: u64) {
        for number in 0..self.daemons.len() {
            for other in 0..self.daemons.len() {
                if other == number || !self.daemons[other].open {
                    continue;
                }
                let missed = begins && self.rng.random::<f64>() < MISSED;
                let live = !missed;
                let at = now + self.rng.random_range(NEWS);
                let news = News::Seen {
                    daemon: number,
                    other,
                    live,
                };
                self.late.push(Late { at, news });
            }
        }
        self.work(plant, now);
    }

    /// Hands directory entries over to those that now keep them.
    pub(super) fn hand_over(&mut self, number: usize, now: u64) {
        if let Some(at) = self.daemons[number].plan_at
            && now >= at
        {
            let daemon = &mut self.daemons[number];
            daemon.plan_at = None;
            let moved =
                |chat: &medlarrill_core::ids::ChatHash| daemon.directory_of(chat.0) != number;
            let plan = daemon.directory.recent().into_iter().filter(moved);
            daemon.plan = plan.collect();
        }
        let daemon = &mut self.daemons[number];
        if daemon.plan.is_empty() {
            return;
        }
        let mut plan = std::mem::take(&mut daemon.plan);
        let batch = daemon.directory.export(&mut plan, BATCH);
        daemon.plan = plan;
        for entry in batch {
            let to = self.daemons[number].directory_of(entry.chat.0);
            self.daemons[number].control += ENTRY_BYTES;
            self.daemons[to].control += ENTRY_BYTES;
            self.daemons[to].directory.import(vec![entry]);
        }
    }
}

const fn home_state(state: EndpointState) -> State {
    match state {
        EndpointState::Ready => State::Ready,
        EndpointState::Leaving | EndpointState::Drained => State::Leaving,
        EndpointState::Unknown => State::Unreachable,
    }
}
