//! Entries and owners of account limits, joined by links with a delay, in model time.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, DaemonId, Incarnation, RequestId};
use medlarrill_core::limits::{
    AccountHash, Action, AllocatorAction, AllocatorEvent, Daemons, EntryLimiter, Event, Limits,
    ShareAllocator,
};
use medlarrill_core::reason::Reason;
use medlarrill_core::wire::{Body, Frame, Grant, Usage};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Delay of a message, in milliseconds.
const DELAY: u64 = 1;
/// Bytes that say how long a frame is.
const FRAME_HEAD: u64 = 4;
/// Mean time that a request runs, in milliseconds.
const SERVICE: f64 = 4_000.0;

/// One account and the requests a second that each entry gets for it.
#[derive(Clone)]
pub struct Demand {
    pub account: AccountHash,
    pub limits: Limits,
    pub rates: Vec<f64>,
}

/// What became of one account's requests.
#[derive(Clone, Default)]
pub struct Outcome {
    pub flights: u32,
    pub most: u32,
    /// Times of admission.
    pub admitted: Vec<u64>,
    pub refused: HashMap<Reason, u64>,
    pub empty_after: u64,
    pub asked: u64,
    /// Longest time that a request was held.
    pub held: u64,
}

impl Outcome {
    /// Most requests admitted in any span.
    pub fn most_in(&self, span: u64) -> usize {
        let mut start = 0;
        let mut most = 0;
        for (index, at) in self.admitted.iter().enumerate() {
            while self.admitted[start] + span <= *at {
                start += 1;
            }
            most = most.max(index + 1 - start);
        }
        most
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Ask(usize, usize),
    End(usize, u64),
    Wake(usize),
    Deliver(usize, usize, u64),
}

enum Parcel {
    Usage(Usage),
    Grant(Grant),
}

struct Node {
    name: DaemonId,
    entry: EntryLimiter,
    ledger: ShareAllocator,
    woken: u64,
}

pub struct Fleet {
    nodes: Vec<Node>,
    names: HashMap<DaemonId, usize>,
    owners: HashMap<AccountHash, DaemonId>,
    demands: Vec<Demand>,
    limits: HashMap<AccountHash, Limits>,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    parcels: HashMap<u64, Parcel>,
    open: HashMap<u64, (usize, u64)>,
    number: u64,
    rng: Pcg32,
    /// Daemons that others take for gone.
    pub gone: BTreeSet<usize>,
    /// Whether owners answer at all.
    pub mute: bool,
    pub bytes: u64,
    pub frames: u64,
    pub outcomes: Vec<Outcome>,
}

fn owner(account: AccountHash, count: usize, gone: &BTreeSet<usize>) -> usize {
    let live = (0..count).filter(|node| !gone.contains(node));
    let weight = |node: &usize| xxh3_64_with_seed(&account.0.to_le_bytes(), *node as u64);
    live.max_by_key(weight).expect("a live daemon")
}

impl Fleet {
    pub fn new(size: usize, demands: Vec<Demand>, seed: u64) -> Self {
        let live = size as u32;
        let node = |index: usize| Node {
            name: format!("d{index}").parse().expect("a name"),
            entry: EntryLimiter::new(live, Pcg32::seed_from_u64(seed + index as u64), Millis(0)),
            ledger: ShareAllocator::new(live, Millis(0)),
            woken: 0,
        };
        let nodes: Vec<Node> = (0..size).map(node).collect();
        let mut fleet = Self {
            names: nodes
                .iter()
                .enumerate()
                .map(|(index, node)| (node.name.clone(), index))
                .collect(),
            nodes,
            owners: HashMap::new(),
            limits: demands
                .iter()
                .map(|demand| (demand.account, demand.limits))
                .collect(),
            outcomes: vec![Outcome::default(); demands.len()],
            demands,
            steps: BinaryHeap::new(),
            parcels: HashMap::new(),
            open: HashMap::new(),
            number: 0,
            rng: Pcg32::seed_from_u64(seed),
            gone: BTreeSet::new(),
            mute: false,
            bytes: 0,
            frames: 0,
        };
        fleet.place();
        for node in 0..size {
            for demand in 0..fleet.demands.len() {
                fleet.next_ask(node, demand, 0);
            }
        }
        fleet
    }

    /// Sets the rate at which each entry gets an account's requests.
    pub fn set_rates(&mut self, demand: usize, rates: Vec<f64>, now: u64) {
        let old = std::mem::replace(&mut self.demands[demand].rates, rates);
        for (node, rate) in old.iter().enumerate() {
            if *rate == 0.0 {
                self.next_ask(node, demand, now);
            }
        }
    }

    /// Takes one daemon out and tells the others, or brings it back.
    pub fn set_gone(&mut self, node: usize, gone: bool, now: u64) {
        if gone {
            self.gone.insert(node)
        } else {
            self.gone.remove(&node)
        };
        self.place();
        let live = (self.nodes.len() - self.gone.len()) as u32;
        let name = self.nodes[node].name.clone();
        for other in 0..self.nodes.len() {
            self.tell_daemons(other, Daemons::live(live), now);
            let ledger = &mut self.nodes[other].ledger;
            ledger.handle(
                AllocatorEvent::DaemonLost(name.clone()),
                Millis(now),
                |_| None,
            );
        }
    }

    /// Has all daemons lose others that were with them, and haven't left.
    pub fn lose(&mut self, lost: u32, now: u64) {
        let live = self.nodes.len() as u32;
        let daemons = Daemons { live, lost };
        for node in 0..self.nodes.len() {
            self.tell_daemons(node, daemons, now);
        }
    }

    fn tell_daemons(&mut self, node: usize, daemons: Daemons, now: u64) {
        self.tell(node, Event::Members(daemons), now);
        let ledger = &mut self.nodes[node].ledger;
        ledger.handle(AllocatorEvent::Members(daemons), Millis(now), |_| None);
    }

    /// The daemon that owns an account.
    pub fn owner_of(&self, demand: usize) -> usize {
        self.names[&self.owners[&self.demands[demand].account]]
    }

    /// Accounts that any entry or owner still holds something of.
    pub fn accounts_held(&self) -> usize {
        let held = |node: &Node| node.entry.len() + node.ledger.len();
        self.nodes.iter().map(held).sum()
    }

    fn place(&mut self) {
        for Demand { account, .. } in &self.demands {
            let node = owner(*account, self.nodes.len(), &self.gone);
            self.owners.insert(*account, self.nodes[node].name.clone());
        }
    }

    pub fn run(&mut self, until: u64) {
        while self.steps.peek().is_some_and(|step| step.0.0 <= until) {
            let Some(Reverse((now, _, step))) = self.steps.pop() else {
                return;
            };
            match step {
                Step::Ask(node, demand) => self.ask(node, demand, now),
                Step::End(node, request) => {
                    let (demand, _) = self.open[&request];
                    self.outcomes[demand].flights -= 1;
                    self.tell(
                        node,
                        Event::Release {
                            id: attempt(request),
                        },
                        now,
                    );
                }
                Step::Wake(node) => {
                    self.nodes[node].woken = 0;
                    self.tell(node, Event::Tick, now);
                }
                Step::Deliver(from, to, parcel) => self.deliver(from, to, parcel, now),
            }
        }
    }

    fn push(&mut self, at: u64, step: Step) {
        self.number += 1;
        self.steps.push(Reverse((at, self.number, step)));
    }

    fn exp(&mut self, mean: f64) -> u64 {
        (-mean * (1.0 - self.rng.random::<f64>()).ln()).ceil() as u64
    }

    fn next_ask(&mut self, node: usize, demand: usize, now: u64) {
        let rate = self.demands[demand].rates[node];
        if rate > 0.0 {
            let gap = self.exp(1000.0 / rate);
            self.push(now + gap, Step::Ask(node, demand));
        }
    }

    fn ask(&mut self, node: usize, demand: usize, now: u64) {
        self.next_ask(node, demand, now);
        if self.gone.contains(&node) {
            return;
        }
        self.number += 1;
        self.open.insert(self.number, (demand, now));
        self.outcomes[demand].asked += 1;
        let Demand {
            account, limits, ..
        } = self.demands[demand].clone();
        self.tell(
            node,
            Event::Acquire {
                id: attempt(self.number),
                account,
                limits,
            },
            now,
        );
    }

    fn tell(&mut self, node: usize, event: Event, now: u64) {
        let owners = &self.owners;
        let owner_of = |account| owners.get(&account).cloned();
        let actions = self.nodes[node].entry.handle(event, Millis(now), owner_of);
        for action in actions {
            self.act(node, action, now);
        }
        let wake = self.nodes[node].entry.wake().map_or(0, |at| at.0);
        assert!(
            wake == 0 || wake > now,
            "the entry wants to be woken for what it has done"
        );
        let woken = self.nodes[node].woken;
        if wake > 0 && (woken == 0 || wake < woken) {
            self.nodes[node].woken = wake;
            self.push(wake, Step::Wake(node));
        }
    }

    fn act(&mut self, node: usize, action: Action, now: u64) {
        match action {
            Action::Admit { id } => {
                let request = id.request.0 as u64;
                let (demand, since) = self.open[&request];
                let outcome = &mut self.outcomes[demand];
                outcome.flights += 1;
                outcome.most = outcome.most.max(outcome.flights);
                outcome.admitted.push(now);
                outcome.held = outcome.held.max(now - since);
                let service = self.exp(SERVICE);
                self.push(now + service, Step::End(node, request));
            }
            Action::Refuse {
                id,
                reason,
                retry_after: after,
            } => {
                let (demand, since) = self.open[&(id.request.0 as u64)];
                let outcome = &mut self.outcomes[demand];
                *outcome.refused.entry(reason).or_default() += 1;
                outcome.empty_after += u64::from(after == Millis::ZERO);
                outcome.held = outcome.held.max(now - since);
            }
            Action::Send { to, usage } => {
                let to = self.names[&to];
                let frame = Frame::from(Body::Usage(usage.clone()));
                self.post(node, to, frame, Parcel::Usage(usage), now);
            }
        }
    }

    fn post(&mut self, from: usize, to: usize, frame: Frame, parcel: Parcel, now: u64) {
        if from != to {
            self.bytes += frame.encoded_len() as u64 + FRAME_HEAD;
            self.frames += 1;
        }
        self.number += 1;
        self.parcels.insert(self.number, parcel);
        let delay = if from == to { 0 } else { DELAY };
        self.push(now + delay, Step::Deliver(from, to, self.number));
    }

    fn deliver(&mut self, from: usize, to: usize, parcel: u64, now: u64) {
        let Some(parcel) = self.parcels.remove(&parcel) else {
            return;
        };
        if self.gone.contains(&to) || self.gone.contains(&from) {
            return;
        }
        let from_name = self.nodes[from].name.clone();
        match parcel {
            Parcel::Grant(grant) => self.tell(
                to,
                Event::Grant {
                    from: from_name,
                    grant,
                },
                now,
            ),
            Parcel::Usage(_) if self.mute => {}
            Parcel::Usage(usage) => {
                let limits = &self.limits;
                let limits_of = |account| limits.get(&account).copied();
                let event = AllocatorEvent::Usage {
                    from: from_name,
                    usage,
                };
                let actions = self.nodes[to].ledger.handle(event, Millis(now), limits_of);
                for AllocatorAction { to: entry, grant } in actions {
                    let frame = Frame::from(Body::Grant(grant.clone()));
                    let entry = self.names[&entry];
                    self.post(to, entry, frame, Parcel::Grant(grant), now);
                }
            }
        }
    }
}

fn attempt(request: u64) -> AttemptId {
    AttemptId {
        request: RequestId(request.into()),
        number: 0,
        sender: Incarnation(1),
    }
}
