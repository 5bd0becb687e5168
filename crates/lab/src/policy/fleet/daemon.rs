//! One modelled daemon.

use std::collections::{BTreeMap, VecDeque};

use medlarrill_core::admission::{Home, Mean, Settings, State};
use medlarrill_core::clock::Millis;
use medlarrill_core::config::{Pool, PoolKind};
use medlarrill_core::ids::{ChatHash, DaemonId, DataCentreId, EndpointId, RegionId};
use medlarrill_core::placement::{
    Daemon, Directory, Distance, EndpointState, Fleet, Occupancy, Place, PlacementReason, PoolView,
};
use medlarrill_core::units::Tokens;
use rand::{RngExt, SeedableRng};
use rand_pcg::{Pcg32, Pcg64Mcg};

use crate::policy::plant::Plant;
use crate::policy::size::Size;

/// Chats in one directory.
const CHATS: usize = 40_000;
/// The load bound.
const BOUND: f64 = 1.25;

pub(super) struct FleetDaemon {
    pub(super) number: usize,
    pub(super) centre: usize,
    pub(super) region: usize,
    /// Whether the platform's balancer sends it callers.
    pub(super) open: bool,
    /// Whether the process runs.
    pub(super) answers: bool,
    /// Which others it holds to be live.
    pub(super) seen: Vec<bool>,
    pub(super) home_of: Vec<usize>,
    pub(super) pool: PoolView,
    pub(super) directory: Directory,
    pub(super) homes: BTreeMap<usize, Home>,
    /// Chats to hand over, and not before when.
    pub(super) plan: VecDeque<ChatHash>,
    pub(super) plan_at: Option<u64>,
    /// First round of its heartbeats.
    pub(super) phase: u64,
    pub(super) control: u64,
    pub(super) rng: Pcg64Mcg,
}

pub(super) fn daemon_id(number: usize) -> DaemonId {
    format!("d{number:03}").parse().expect("a short plain name")
}

pub(super) fn centre_id(number: usize) -> DataCentreId {
    format!("c{number:02}").parse().expect("a short plain name")
}

fn region_id(number: usize) -> RegionId {
    format!("r{number}").parse().expect("a short plain name")
}

/// The number in an endpoint's name.
pub(super) fn number_of(id: &EndpointId) -> usize {
    id.as_str()[1..].parse().expect("names end in their number")
}

pub(super) fn name_of(why: PlacementReason) -> &'static str {
    match why {
        PlacementReason::Returned => "returned",
        PlacementReason::SecondPlace => "second-place",
        PlacementReason::Spilled => "spilled",
        PlacementReason::New => "new",
    }
}

/// The data centre of each endpoint, by number.
fn centre_of(size: &Size, endpoint: usize) -> usize {
    let mut left = endpoint;
    for (number, centre) in size.centres.iter().enumerate() {
        if left < centre.endpoints {
            return number;
        }
        left -= centre.endpoints;
    }
    0
}

impl FleetDaemon {
    pub(super) fn new(number: usize, centre: usize, plant: &Plant, seed: u64) -> Self {
        let size = &plant.size;
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (number as u64 + 2) << 8);
        let region = size.centres[centre].region;
        let mut daemon = Self {
            number,
            centre,
            region,
            open: true,
            answers: true,
            seen: vec![true; size.daemons()],
            home_of: vec![0; size.endpoints()],
            pool: PoolView::new(BOUND),
            directory: Directory::new(CHATS),
            homes: BTreeMap::new(),
            plan: VecDeque::new(),
            plan_at: None,
            phase: rng.random_range(0..1000),
            control: 0,
            rng,
        };
        for (endpoint, name) in plant.names.endpoints.iter().enumerate() {
            let at = centre_of(size, endpoint);
            let distance = match () {
                () if at == centre => Distance::SameDataCentre,
                () if size.centres[at].region == region => Distance::SameRegion,
                () => Distance::OtherRegion,
            };
            daemon.pool.set_endpoint(name, distance);
            daemon.pool.set_state(name, EndpointState::Ready);
        }
        daemon
    }

    /// Works out the home of each endpoint from the daemons seen.
    pub(super) fn find_homes(&mut self, size: &Size, plant: &Plant) {
        let mut daemons = Vec::new();
        let mut number = 0;
        for (centre, of) in size.centres.iter().enumerate() {
            for _ in 0..of.daemons {
                if self.seen[number] {
                    daemons.push(Daemon {
                        id: daemon_id(number),
                        data_centre: centre_id(centre),
                        region: region_id(of.region),
                    });
                }
                number += 1;
            }
        }
        let fleet = Fleet::new(daemons);
        for (endpoint, name) in plant.names.endpoints.iter().enumerate() {
            let centre = centre_of(size, endpoint);
            let region = region_id(size.centres[centre].region);
            let home = fleet.home_of(name, &centre_id(centre), Some(&region));
            let number = home.and_then(|home| home.as_str()[1..].parse().ok());
            self.home_of[endpoint] = number.unwrap_or(self.number);
        }
    }

    /// The daemon that keeps a chat's directory entry.
    pub(super) fn directory_of(&self, chat: u64) -> usize {
        let first = self.pool.first_ranked(ChatHash(chat));
        first.map_or(self.number, |first| self.home_of[number_of(first)])
    }

    pub(super) fn record(&mut self, chat: u64, endpoint: &EndpointId, prefix: u64, now: u64) {
        let place = Place {
            endpoint: endpoint.clone(),
            prefix: Tokens(prefix),
            served: Millis(now),
            hint: None,
        };
        self.directory.record(ChatHash(chat), &place);
    }

    /// The home of an endpoint, begun if need be.
    pub(super) fn home(&mut self, endpoint: usize, plant: &Plant, now: u64) -> &mut Home {
        let state = self.pool.get(&plant.names.endpoints[endpoint]);
        let ready = state.is_some_and(|view| view.takes_work());
        let rng = &mut self.rng;
        self.homes.entry(endpoint).or_insert_with(|| {
            let slots = plant.size.engine.slots;
            let pool = Pool {
                slots,
                queue: slots * 4,
                load_bound: BOUND,
                ..Pool::new(PoolKind::Model)
            };
            let seed = Pcg32::seed_from_u64(rng.random());
            let mut home = Home::new(Settings::new(&pool), seed, Millis(now));
            if !ready {
                use medlarrill_core::admission::Event;
                home.handle(Event::State(State::Leaving), Millis(now));
            }
            home
        })
    }

    /// Whether the endpoint takes work by the home's own evidence.
    pub(super) fn takes(&mut self, endpoint: usize, plant: &Plant, now: u64) -> bool {
        self.home(endpoint, plant, now).state() == State::Ready
    }

    /// Brings what a home counts into the load view.
    pub(super) fn sync(&mut self, endpoint: usize, plant: &Plant, now: u64) {
        if self.home_of[endpoint] != self.number {
            return;
        }
        let Some(home) = self.homes.get(&endpoint) else {
            return;
        };
        let now = Millis(now);
        let load = home.load(now);
        let free = home.in_flight() < home.slots() && load <= home.limit(now);
        let counted = Occupancy {
            load,
            waiting: home.queued_work(),
            room: free && home.queued() == 0,
        };
        self.pool
            .set_own_load(&plant.names.endpoints[endpoint], counted, now);
    }

    /// Work that must go before a home can dispatch one more request.
    pub(super) fn behind(&self, endpoint: usize, now: u64) -> Tokens {
        let Some(home) = self.homes.get(&endpoint) else {
            return Tokens(0);
        };
        let (load, limit) = (home.load(Millis(now)), home.limit(Millis(now)));
        home.queued_work() + Tokens(load.0.saturating_sub(limit.0))
    }

    pub(super) fn mean(&self, now: u64) -> Mean {
        let mean = self.pool.mean(Millis(now));
        Mean {
            as_of: Millis(now),
            load: Tokens(mean.load as u64),
            endpoints: mean.endpoints,
        }
    }

    /// Drops former homes that have nothing left.
    pub(super) fn tidy(&mut self) {
        let (home_of, number) = (&self.home_of, self.number);
        self.homes.retain(|endpoint, home| {
            home_of[*endpoint] == number || home.in_flight() > 0 || home.queued() > 0
        });
    }
}
