//! Membership state machines connected by a simulated lossy network.
//!
//! A killed process refuses connections, a lost VM drops all messages, and a
//! paused process receives its messages when it resumes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{DaemonId, Incarnation};
use medlarrill_core::membership::{
    Action, Event, ListedVm, Member, Membership, Peer, Scope, State, Target,
};
use medlarrill_core::wire::{Body, EndpointLoad, Frame, Gossip, PoolLoad, name_hash};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time between two ticks of one daemon, in milliseconds.
const TICK: u64 = 100;
/// Length prefix of a frame, in bytes.
const PREFIX: u64 = 4;
/// Wall-clock time at the start of the simulation, in milliseconds.
const EPOCH: u64 = 1_800_000_000_000;

/// The actual state of a process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Health {
    Up,
    Paused,
    /// Its address refuses connections.
    Killed,
    /// Its address doesn't answer.
    Vanished,
}

/// Messages and bytes sent by one daemon.
#[derive(Clone, Copy, Default, Debug)]
pub struct Sent {
    pub messages: u64,
    /// Without loads and sums.
    pub bytes: u64,
    pub loads: u64,
}

pub struct Node {
    pub machine: Membership,
    pub health: Health,
    pub sent: Sent,
    pub seen: Vec<(Millis, Action)>,
    own: Member,
    inbox: Vec<Event>,
    next: u64,
    /// Time for which the monotonic clock was stopped, in milliseconds.
    missed: u64,
    /// Since when the whole VM has been stopped.
    stopped: Option<u64>,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub now: u64,
    /// Fraction of messages that are lost.
    pub loss: f64,
    /// Ordered pairs that can't send.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Maximum delay of a message, in milliseconds.
    pub delay: u64,
    pub keep: bool,
    rng: Pcg64Mcg,
    in_flight: BTreeMap<(u64, u64), (usize, Event)>,
    posted: u64,
    addresses: BTreeMap<SocketAddr, usize>,
    names: BTreeMap<DaemonId, usize>,
}

pub fn address(at: usize) -> SocketAddr {
    let ip = [10, 0, (at >> 8) as u8, at as u8];
    SocketAddr::from((ip, 7000))
}

pub fn listed(addresses: impl IntoIterator<Item = SocketAddr>) -> Event {
    let vms = addresses.into_iter().map(|address| ListedVm {
        address,
        leaving: false,
    });
    Event::VmList(vms.collect())
}

impl Fleet {
    /// `size` daemons over `centres` data centres, four to a region, all starting now.
    pub fn new(size: usize, centres: usize, seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            now: 1000,
            loss: 0.0,
            cuts: BTreeSet::new(),
            delay: 5,
            keep: true,
            rng: Pcg64Mcg::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            posted: 0,
            addresses: BTreeMap::new(),
            names: BTreeMap::new(),
        };
        for at in 0..size {
            let own = fleet.member(at, centres);
            let node = fleet.start(own, vec![address(0), address(1)]);
            fleet.addresses.insert(node.own.address, at);
            fleet.names.insert(node.own.daemon.clone(), at);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn member(&mut self, at: usize, centres: usize) -> Member {
        let centre = at % centres;
        Member::new(
            format!("router-{at:03}").parse().unwrap(),
            Incarnation(self.rng.random()),
            address(at),
            format!("dc{centre}").parse().unwrap(),
            format!("r{}", centre / 4).parse().unwrap(),
        )
    }

    fn start(&mut self, own: Member, seeds: Vec<SocketAddr>) -> Node {
        let epoch = ((EPOCH + self.now) / 1000) as u32;
        let own = own.with_epoch(epoch);
        let seed = self.rng.random();
        Node {
            machine: Membership::new(own.clone(), seeds, seed, Millis(self.now)),
            health: Health::Up,
            sent: Sent::default(),
            seen: Vec::new(),
            own,
            inbox: Vec::new(),
            next: self.now + self.rng.random_range(0..TICK),
            missed: 0,
            stopped: None,
        }
    }

    /// Replaces the process by a new one of the same name.
    pub fn restart(&mut self, at: usize) {
        let mut own = self.nodes[at].own.clone();
        own.incarnation = Incarnation(self.rng.random());
        let sent = self.nodes[at].sent;
        self.nodes[at] = self.start(own, vec![address(0), address(1)]);
        self.nodes[at].sent = sent;
    }

    pub fn peer(&self, at: usize) -> Peer {
        let own = &self.nodes[at].own;
        Peer {
            daemon: own.daemon.clone(),
            incarnation: own.incarnation,
        }
    }

    pub fn set(&mut self, at: usize, health: Health) {
        self.nodes[at].health = health;
    }

    /// Stops the whole VM with its monotonic clock, so that only the wall clock shows the pause.
    pub fn suspend(&mut self, at: usize) {
        if self.nodes[at].health == Health::Up {
            self.nodes[at].health = Health::Paused;
            self.nodes[at].stopped = Some(self.now);
        }
    }

    pub fn resume(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.health = Health::Up;
        if let Some(since) = node.stopped.take() {
            node.missed += self.now - since;
        }
        for event in std::mem::take(&mut self.nodes[at].inbox) {
            self.give(at, event);
        }
    }

    /// Cuts all connections between two groups.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        for a in left {
            for b in right {
                self.cuts.insert((*a, *b));
                self.cuts.insert((*b, *a));
            }
        }
    }

    /// The monotonic clock of one daemon.
    pub fn clock(&self, at: usize) -> Millis {
        let node = &self.nodes[at];
        Millis(node.stopped.unwrap_or(self.now) - node.missed)
    }

    pub fn give(&mut self, at: usize, event: Event) {
        match self.nodes[at].health {
            Health::Up => {
                let now = self.clock(at);
                let actions = self.nodes[at].machine.handle(event, now);
                self.act(at, actions);
            }
            Health::Paused => self.nodes[at].inbox.push(event),
            Health::Killed | Health::Vanished => {}
        }
    }

    pub fn act(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(from, &to, message),
                other if self.keep => self.nodes[from].seen.push((Millis(self.now), other)),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &Target, message: Gossip) {
        self.count(from, &message);
        let named = to.daemon.as_ref().and_then(|name| self.names.get(name));
        let found = named.or_else(|| self.addresses.get(&to.address?));
        let Some(to) = found.copied() else {
            return;
        };
        let lost = self.cuts.contains(&(from, to)) || self.rng.random_bool(self.loss);
        if lost || self.nodes[to].health == Health::Vanished {
            return;
        }
        if self.nodes[to].health == Health::Killed {
            let refused = Event::Refused(self.nodes[to].own.address);
            return self.post(from, refused);
        }
        let from = self.peer(from);
        self.post(to, Event::Received { from, message });
    }

    fn post(&mut self, to: usize, event: Event) {
        let due = self.now + self.rng.random_range(1..=self.delay);
        self.posted += 1;
        self.in_flight.insert((due, self.posted), (to, event));
    }

    fn count(&mut self, from: usize, message: &Gossip) {
        let total = PREFIX + Frame::from(Body::Gossip(message.clone())).encoded_len() as u64;
        let mut bare = message.clone();
        bare.loads.clear();
        bare.sums.clear();
        bare.age = 0;
        let bare = PREFIX + Frame::from(Body::Gossip(bare)).encoded_len() as u64;
        let sent = &mut self.nodes[from].sent;
        sent.messages += 1;
        sent.bytes += bare;
        sent.loads += total - bare;
    }

    /// Runs for `span` milliseconds.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            self.deliver();
            self.tick();
        }
    }

    /// Runs until `done`, at most for `span` milliseconds; how long it took.
    pub fn until(&mut self, span: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now < start + span {
            if done(self) {
                return Some(self.now - start);
            }
            self.run(100);
        }
        done(self).then_some(self.now - start)
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, event) = entry.remove();
            self.give(to, event);
        }
    }

    fn tick(&mut self) {
        for at in 0..self.nodes.len() {
            let node = &mut self.nodes[at];
            if node.health != Health::Up || node.next > self.now {
                continue;
            }
            node.next = self.now + TICK;
            let wall = Millis(EPOCH + self.now);
            self.give(at, Event::Tick { wall });
        }
    }

    pub fn up(&self) -> Vec<usize> {
        let up = |at: &usize| self.nodes[*at].health == Health::Up;
        (0..self.nodes.len()).filter(up).collect()
    }

    /// The state of `of` according to `at`.
    pub fn state(&self, at: usize, of: usize) -> Option<State> {
        let member = self.nodes[at].machine.get(&self.nodes[of].own.daemon)?;
        let same = member.incarnation == self.nodes[of].own.incarnation;
        same.then(|| member.state())
    }

    /// Whether each running daemon considers exactly the running ones live.
    pub fn agreed(&self) -> bool {
        let up = self.up();
        let own: Vec<_> = up.iter().map(|at| self.peer(*at)).collect();
        up.iter().all(|at| {
            let live = self.nodes[*at].machine.eligible(&Scope::Fleet);
            let live = live.filter(|m| m.state() == State::Live);
            live.map(|m| (&m.daemon, m.incarnation))
                .eq(own.iter().map(|p| (&p.daemon, p.incarnation)))
        })
    }

    /// Whether no running daemon considers `of` eligible.
    pub fn removed(&self, of: usize) -> bool {
        let eligible = |at: &usize| {
            let scope = Scope::Fleet;
            let mut members = self.nodes[*at].machine.eligible(&scope);
            members.any(|m| m.incarnation == self.nodes[of].own.incarnation)
        };
        !self.up().iter().any(eligible)
    }

    pub fn reset_sent(&mut self) {
        for node in &mut self.nodes {
            node.sent = Sent::default();
        }
    }

    /// Mean and maximum bytes per second over all daemons since `reset_sent`, `span` milliseconds ago.
    pub fn rates(&self, span: u64, of: impl Fn(&Sent) -> u64) -> Rates {
        let rate = |node: &Node| of(&node.sent) as f64 * 1000.0 / span as f64;
        let rates: Vec<_> = self.nodes.iter().map(rate).collect();
        Rates {
            mean: rates.iter().sum::<f64>() / rates.len() as f64,
            most: rates.iter().copied().fold(0.0, f64::max),
        }
    }

    /// Gives every daemon the load of `endpoints` endpoints in `pools` pools, `least` of each pool named.
    pub fn set_loads(&mut self, pools: usize, endpoints: usize, least: usize) {
        for at in 0..self.nodes.len() {
            let now = self.clock(at);
            let pools = (0..pools).map(|pool| {
                let count = endpoints / pools + usize::from(pool < endpoints % pools);
                let least = (0..count.min(least)).map(|i| EndpointLoad {
                    endpoint: name_hash(&format!("engine-{at}-{pool}-{i}")),
                    load: 40_000 + i as u32,
                    room: true,
                });
                let least: Vec<_> = least.collect();
                let name = name_hash(&format!("pool-{pool}"));
                PoolLoad::new(name, 50_000 * count as u64, count as u32, &least)
            });
            let pools = pools.collect();
            self.nodes[at].machine.set_own_load(pools, now);
        }
    }
}

/// Bytes per second of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    pub mean: f64,
    pub most: f64,
}
