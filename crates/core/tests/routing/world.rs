//! A fleet over some data centres in model time, its daemons telling each other what they have.
//!
//! Daemons tick at their own times; datagrams take a millisecond, and one more between data
//! centres.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use medlarrill_core::clock::Millis;
use medlarrill_core::routing::exchange::{
    DataCentreHash, Exchange, Message, Outgoing, PeerUpdate, Report, ReportEntry, TICK,
};
use medlarrill_core::routing::quarantine::Quarantine;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Requests begun or ended by one daemon in a second.
const CHANGES: f64 = 11.0;
/// Requests that one daemon has in flight.
const FLIGHTS: usize = 7;
/// An endpoint that no daemon uses but for a probe.
const PROBE: u32 = 1 << 20;

pub struct Daemon {
    pub exchange: Exchange,
    pub quarantine: Quarantine,
    pub data_centre: usize,
    pub due: u64,
    flights: Vec<u32>,
    /// Outcomes since the last report, at the probed endpoint.
    pub failures: u32,
    heard: PeerUpdate,
    /// Failed attempts heard of.
    pub peer_failures: u32,
    /// When it wakes, where it is frozen; its clock stands still till then.
    pub frozen: Option<u64>,
    /// For how long it was frozen.
    pub clock_lag: u64,
    pub sent: usize,
    pub received: usize,
}

/// A fleet over some data centres.
pub struct World {
    pub daemons: Vec<Daemon>,
    data_centres: usize,
    endpoints: u32,
    pub now: u64,
    mail: BTreeMap<u64, Vec<(usize, usize, Vec<u8>)>>,
    /// Daemons that are gone.
    pub lost: Vec<usize>,
    /// Whether datagrams pass.
    pub delivers: Box<dyn Fn(usize, usize) -> bool>,
    /// Bytes between data centres.
    pub remote_bytes: usize,
    rng: Pcg32,
}

pub fn address(number: usize) -> SocketAddr {
    ([10, 0, 0, 1], number as u16 + 1).into()
}

impl World {
    pub fn new(daemons: usize, data_centres: usize, endpoints: u32) -> Self {
        let mut rng = Pcg32::seed_from_u64(11);
        let mut daemon = |number| {
            let due = 1000 + rng.random_range(0..300);
            Daemon::new(number, data_centres, due)
        };
        Self {
            daemons: (0..daemons).map(&mut daemon).collect(),
            data_centres,
            endpoints,
            now: 1000,
            mail: BTreeMap::new(),
            lost: Vec::new(),
            delivers: Box::new(|_, _| true),
            remote_bytes: 0,
            rng: Pcg32::seed_from_u64(5),
        }
    }

    /// Starts a lost daemon again, which knows nothing of before.
    pub fn restart(&mut self, number: usize) {
        self.lost.retain(|lost| *lost != number);
        let started = Daemon::new(number, self.data_centres, self.now);
        let epoch = self.now as u32;
        self.daemons[number] = Daemon {
            exchange: started.exchange.with_epoch(epoch),
            ..started
        };
    }

    pub fn run(&mut self, length: u64) {
        for _ in 0..length {
            self.now += 1;
            self.deliver();
            self.change();
            for number in 0..self.daemons.len() {
                if !self.lost.contains(&number) {
                    self.step(number);
                }
            }
        }
    }

    fn change(&mut self) {
        let per_ms = CHANGES * self.daemons.len() as f64 / 1000.0;
        let whole = per_ms.floor() + f64::from(u8::from(self.rng.random::<f64>() < per_ms.fract()));
        for _ in 0..whole as usize {
            let number = self.rng.random_range(0..self.daemons.len());
            let endpoint = self.rng.random_range(0..self.endpoints);
            let flights = &mut self.daemons[number].flights;
            if flights.len() >= FLIGHTS {
                flights.remove(0);
            }
            flights.push(endpoint);
        }
    }

    fn deliver(&mut self) {
        for (from, to, bytes) in self.mail.remove(&self.now).unwrap_or_default() {
            let now = Millis(self.now - self.daemons[to].clock_lag);
            let daemon = &mut self.daemons[to];
            if self.lost.contains(&to) {
                continue;
            }
            if let Some(wakes) = daemon.frozen {
                // Waits in the socket.
                self.mail
                    .entry(wakes.max(self.now + 1))
                    .or_default()
                    .push((from, to, bytes));
                continue;
            }
            daemon.received += bytes.len();
            let message = Message::decode(&bytes).expect("a datagram").expect("known");
            if let Some(heard) = daemon.exchange.receive(address(from), message, now) {
                daemon.hear(heard);
            }
            let learnt = daemon.exchange.take_evidence();
            daemon.quarantine.merge(&learnt, now);
            let answers = daemon.exchange.replies(now);
            self.send(to, answers);
        }
    }

    fn step(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        if let Some(wakes) = daemon.frozen {
            if wakes > self.now {
                daemon.clock_lag += 1;
                return;
            }
            daemon.frozen = None;
        }
        if daemon.due > self.now {
            return;
        }
        let now = Millis(self.now - daemon.clock_lag);
        if daemon.exchange.has_reports()
            && let Some(heard) = daemon.exchange.hub_update(now)
        {
            daemon.hear(heard);
        }
        let report = daemon.report();
        daemon
            .exchange
            .set_evidence(daemon.quarantine.snapshot(now));
        let out = daemon.exchange.tick(report, now);
        daemon.due = self.now + TICK.0;
        self.send(number, out);
    }

    fn send(&mut self, number: usize, out: Vec<Outgoing>) {
        for (to, message) in out {
            let to = usize::from(to.port()) - 1;
            let bytes = message.encode().to_vec();
            let is_far = self.daemons[to].data_centre != self.daemons[number].data_centre;
            self.daemons[number].sent += bytes.len();
            if is_far {
                self.remote_bytes += bytes.len();
            }
            if (self.delivers)(number, to) && !self.lost.contains(&to) {
                let at = self.now + 1 + u64::from(is_far);
                self.mail.entry(at).or_default().push((number, to, bytes));
            }
        }
    }

    pub fn live(&self) -> impl Iterator<Item = usize> {
        (0..self.daemons.len()).filter(|number| !self.lost.contains(number))
    }

    /// Share of what the others have at all endpoints that a daemon has wrong.
    pub fn load_error(&self, number: usize) -> f64 {
        let known = |endpoint: u32| {
            let others = self.daemons[number].heard.endpoints.get(&endpoint);
            others.map_or(0, |others| others.in_flight)
        };
        let mut counts: HashMap<u32, u32> = HashMap::new();
        for other in self.live().filter(|other| *other != number) {
            for flight in &self.daemons[other].flights {
                *counts.entry(*flight).or_default() += 1;
            }
        }
        let all: u32 = counts.values().sum();
        let off = |endpoint: u32| {
            let have = counts.get(&endpoint).copied().unwrap_or_default();
            have.abs_diff(known(endpoint))
        };
        let off: u32 = (0..self.endpoints).map(off).sum();
        f64::from(off) / f64::from(all.max(1))
    }

    /// The largest share that any daemon has wrong.
    pub fn max_load_error(&self) -> f64 {
        self.live()
            .map(|number| self.load_error(number))
            .fold(0.0, f64::max)
    }

    /// Times until daemons know of a request, over some requests.
    pub fn propagation_times(&mut self, probes: u32) -> Vec<u64> {
        let mut ages = Vec::new();
        for probe in 0..probes {
            let wait = self.rng.random_range(0..400);
            self.run(wait);
            let endpoint = PROBE + probe;
            let origin = self.rng.random_range(0..self.daemons.len());
            let start = self.now;
            let mut waiting: Vec<usize> = self.live().filter(|n| *n != origin).collect();
            while !waiting.is_empty() && self.now < start + 3000 {
                // It stays among the requests in flight, however many begin after it.
                let flights = &mut self.daemons[origin].flights;
                flights.retain(|flight| *flight != endpoint);
                flights.push(endpoint);
                self.run(1);
                let age = self.now - start;
                waiting.retain(|number| {
                    let others = self.daemons[*number].heard.endpoints.get(&endpoint);
                    let knows = others.is_some_and(|others| others.in_flight > 0);
                    if knows {
                        ages.push(age);
                    }
                    !knows
                });
            }
            ages.extend(waiting.iter().map(|_| 3000));
            self.daemons[origin]
                .flights
                .retain(|flight| *flight != endpoint);
        }
        ages.sort_unstable();
        ages
    }

    pub fn count_bytes(&mut self) {
        self.remote_bytes = 0;
        for daemon in &mut self.daemons {
            (daemon.sent, daemon.received) = (0, 0);
        }
    }
}

impl Daemon {
    fn new(number: usize, data_centres: usize, due: u64) -> Self {
        let seeds = vec![address(0), address(1), address(2)];
        let data_centre = number % data_centres;
        let exchange = Exchange::new(address(number), seeds);
        Self {
            exchange: exchange
                .with_data_centre(DataCentreHash(data_centre as u32 + 1))
                .with_epoch(number as u32),
            quarantine: Quarantine::default(),
            data_centre,
            due,
            flights: Vec::new(),
            failures: 0,
            heard: PeerUpdate::default(),
            peer_failures: 0,
            frozen: None,
            clock_lag: 0,
            sent: 0,
            received: 0,
        }
    }

    fn report(&mut self) -> Report {
        let mut counts: BTreeMap<u32, u32> = BTreeMap::new();
        for flight in &self.flights {
            *counts.entry(*flight).or_default() += 1;
        }
        let entry = |(endpoint, in_flight)| ReportEntry {
            endpoint,
            in_flight,
            good: 0,
            bad: 0,
        };
        let mut entries: Vec<ReportEntry> = counts.into_iter().map(entry).collect();
        let bad = std::mem::take(&mut self.failures);
        if bad > 0 {
            entries.push(ReportEntry {
                endpoint: PROBE,
                in_flight: 0,
                good: 0,
                bad,
            });
        }
        Report {
            entries,
            ..Report::default()
        }
    }

    fn hear(&mut self, heard: PeerUpdate) {
        self.peer_failures += heard
            .endpoints
            .values()
            .map(|others| others.bad)
            .sum::<u32>();
        self.heard = heard;
    }
}
