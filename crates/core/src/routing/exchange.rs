//! What daemons tell each other of endpoints, through a few of them.
//!
//! Each daemon reports its own requests and their outcomes to the hubs: the
//! first two daemons by rendezvous hashing among those that it knows to live.
//! A hub adds the reports up and sends each reporter what the others have.
//! Any daemon that gets reports acts as a hub, so that daemons that disagree
//! on who lives still hear from someone. The cost is two small messages a
//! tick and daemon, whatever the size of the fleet.

mod hot;
mod hub;
mod message;
mod roles;

use std::collections::HashMap;
use std::net::SocketAddr;

use derive_more::Debug;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::routing::endpoint::InstanceId;

use hot::Counts;
pub use message::{Entry, Hot, Message, Moved, Peer, Report, Sent, Summary};
use roles::{Ranks, Role, holders};
pub use roles::{Strength, sources};

/// Daemons to which each reports.
const HUBS: usize = 2;
/// Silence after which a daemon counts as gone. Five ticks of the slow pace: a datagram or two
/// may be lost.
const SILENT: Millis = Millis(1300);
/// Silence after which a daemon is forgotten.
const FORGOTTEN: Millis = Millis::from_secs(10);
/// Between reports in a small fleet.
const TICK: Millis = Millis(100);
/// Between reports in a large fleet: a hub sends and receives four messages a second for each
/// daemon then, about 700 a second at 84 daemons.
const SLOW_TICK: Millis = Millis(250);
/// Fleet from which on ticks are slow.
const LARGE: usize = 16;
/// Between two reports to a seed, which join parts of the fleet that lost each other.
const SEED_PAUSE: Millis = Millis(2000);
/// Between two lists of daemons in summaries.
const LIST_PAUSE: Millis = Millis(500);
/// Daemons that are told of for each role in a large fleet, the first in rank: enough to replace
/// those that hold it, several times over. Lists of all took 18 KB a second and daemon at 300.
const TOLD: usize = 8;

/// Daemons of a large fleet that follow the platform: each change is read so often, instead of
/// once a daemon. Three, so that two may freeze or be cut off at once.
const WATCHERS: usize = 3;

/// Prefixes in one report or summary that went elsewhere than rank and age say. With a tick of
/// 250 ms these take 3 KB a second at most; the rest is read again where it goes next.
pub const MOVES: usize = 64;

/// Part of the daemons of the widest summary that another must sum up to count; hubs differ by
/// the reports that were lost or are on their way.
const WIDE: f64 = 0.8;
/// Time after which a summary that no other was as wide as counts no more: two slow ticks, and
/// as much again for datagrams that are late.
const WIDE_FOR: Millis = Millis(900);

/// A message and where it goes.
pub type Outgoing = (SocketAddr, Message);

/// One daemon's part in the exchange.
#[derive(Clone)]
#[derive(Debug)]
pub struct Exchange {
    me: SocketAddr,
    ranks: Ranks,
    seeds: Vec<SocketAddr>,
    /// Other daemons.
    seen: HashMap<SocketAddr, Seen>,
    reports: HashMap<SocketAddr, (Millis, Report)>,
    seeded: Option<Millis>,
    next_seed: usize,
    announced: Option<Millis>,
    listed: Option<Millis>,
    counts: Counts,
    /// Daemons in the widest summary of late, and when it came.
    widest: (u32, Millis),
    /// How many daemons live as a hub last told, and when.
    told: (usize, Millis),
}

/// What is known of another daemon.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
struct Seen {
    /// When it last showed life.
    at: Millis,
    /// Whether it had lost the platform then.
    cut_off: bool,
    ranks: Ranks,
}

/// What others have at one endpoint, and how their requests ended since the last tick.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Others {
    /// Requests in flight.
    pub in_flight: u32,
    /// Good answers.
    pub good: u32,
    /// Failed attempts.
    pub bad: u32,
}

/// What a daemon hears of the others.
#[derive(Clone, PartialEq, Default)]
#[derive(Debug)]
pub struct Heard {
    /// What they have at endpoints, by the endpoints' short ids.
    pub endpoints: HashMap<u32, Others>,
    /// Shared prefixes that get much of the fleet's traffic, by the short forms of their keys,
    /// and their shares of it.
    pub hot: HashMap<u32, f64>,
    /// Prefixes that went elsewhere than rank and age say.
    pub moved: Vec<Moved>,
}

impl Others {
    /// Forgets outcomes.
    const fn clear_outcomes(&mut self) {
        self.good = 0;
        self.bad = 0;
    }
}

/// Short form of a prefix's key in messages.
pub const fn short_key(key: u64) -> u32 {
    (key >> u32::BITS) as u32
}

/// Short form of an endpoint's instance in messages: what is told of one instance doesn't count
/// for the next one.
pub fn short_id(id: &InstanceId) -> u32 {
    let born = id.born.map_or(0, |born| born.0);
    // The upper half of a 64-bit hash; among 4,500 endpoints two share one with odds of 1 in 400.
    short_key(xxh3_64_with_seed(id.endpoint.as_str().as_bytes(), born))
}

impl Exchange {
    /// The part of the daemon that is reached at `me`.
    pub fn new(me: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self {
            me,
            ranks: Ranks::new(me, Strength::default()),
            seeds: seeds.into_iter().filter(|seed| *seed != me).collect(),
            seen: HashMap::new(),
            reports: HashMap::new(),
            seeded: None,
            next_seed: 0,
            announced: None,
            listed: None,
            counts: Counts::default(),
            widest: (0, Millis::ZERO),
            told: (0, Millis::ZERO),
        }
    }

    /// Sets how strong this daemon's VM is.
    pub fn with_strength(self, strength: Strength) -> Self {
        Self {
            ranks: Ranks::new(self.me, strength),
            ..self
        }
    }

    /// Daemons that live, this one included.
    pub fn live(&self, now: Millis) -> usize {
        let (told, at) = self.told;
        let seen = 1 + self.others(now).count();
        match now.since(at) < SILENT {
            true => seen.max(told),
            false => seen,
        }
    }

    /// Pause until the next tick.
    pub fn pause(&self, now: Millis) -> Millis {
        match self.live(now) >= LARGE {
            true => SLOW_TICK,
            false => TICK,
        }
    }

    /// The hubs, first in rank first; this daemon may be one.
    pub fn hubs(&self, now: Millis) -> Vec<SocketAddr> {
        let own = (self.me, self.ranks);
        let others = self.others(now).map(ranked);
        holders(others.chain([own]), Role::Hub, HUBS)
    }

    /// The daemons that follow the platform for all: in a small fleet each does.
    ///
    /// Daemons that have lost the platform aren't chosen, unless all have. One that was turned
    /// away at its start knows nothing that could be followed: where the platform turned away six
    /// of nine, following such a one cost 0.3 s of the 1.0 s to their first configuration.
    pub fn watchers(&self, cut_off: bool, now: Millis) -> Vec<SocketAddr> {
        let own = (self.me, self.ranks);
        if self.live(now) < LARGE {
            let address = |(address, _): (SocketAddr, Seen)| address;
            let mut chosen: Vec<SocketAddr> = self.reachers(now).map(address).collect();
            if chosen.is_empty() {
                chosen.extend(self.others(now).map(address));
            }
            chosen.push(self.me);
            return chosen;
        }
        let own_reach = (!cut_off).then_some(own);
        let chosen = holders(
            self.reachers(now).map(ranked).chain(own_reach),
            Role::Watcher,
            WATCHERS,
        );
        if !chosen.is_empty() {
            return chosen;
        }
        let all = self.others(now).map(ranked).chain([own]);
        holders(all, Role::Watcher, WATCHERS)
    }

    /// The other daemons that reach the platform.
    fn reachers(&self, now: Millis) -> impl Iterator<Item = (SocketAddr, Seen)> {
        self.others(now).filter(|(_, seen)| !seen.cut_off)
    }

    fn others(&self, now: Millis) -> impl Iterator<Item = (SocketAddr, Seen)> {
        let live = move |(_, seen): &(&SocketAddr, &Seen)| now.since(seen.at) < SILENT;
        self.seen
            .iter()
            .filter(live)
            .map(|(address, seen)| (*address, *seen))
    }

    /// What is due: this daemon's report, and summaries of the reports it got.
    pub fn tick(&mut self, own: Report, now: Millis) -> Vec<Outgoing> {
        self.seen.retain(|_, seen| now.since(seen.at) < FORGOTTEN);
        self.reports.retain(|_, (at, _)| now.since(*at) < SILENT);
        let mut out = self.summaries(&own, now);
        let mut targets = self.hubs(now);
        targets.retain(|hub| *hub != self.me);
        targets.extend(self.due_seed(now));
        targets.extend(self.due_announcement(now));
        targets.sort_unstable();
        targets.dedup();
        let mut own = own;
        own.strength = self.ranks.strength().0;
        let report = |hub| (hub, Message::Report(own.clone()));
        out.extend(targets.into_iter().map(report));
        // Outcomes are told once.
        for (_, report) in self.reports.values_mut() {
            report.clear_outcomes();
        }
        out
    }

    /// A seed that is to be asked now.
    fn due_seed(&mut self, now: Millis) -> Option<SocketAddr> {
        let alone = self.live(now) == 1;
        let waited = self.seeded.is_none_or(|at| now.since(at) >= SEED_PAUSE);
        if self.seeds.is_empty() || !alone && !waited {
            return None;
        }
        self.seeded = Some(now);
        self.next_seed = (self.next_seed + 1) % self.seeds.len();
        self.seeds.get(self.next_seed).copied()
    }

    /// What a daemon says, if it is a hub that most others report to. Each hub tells outcomes, and
    /// those of the first count.
    fn heard_from(&mut self, from: SocketAddr, summary: &Summary, now: Millis) -> Option<Heard> {
        let hubs = self.hubs(now);
        if !self.is_wide(hubs.contains(&from), summary.daemons, now) {
            return None;
        }
        let mut heard = summary.heard();
        if hubs.first() != Some(&from) {
            let others = heard.endpoints.values_mut();
            others.for_each(Others::clear_outcomes);
        }
        Some(heard)
    }

    /// Whether a summary of so many daemons counts. A seed sums up the few reports that it got of
    /// late, and so does a hub that was chosen just now.
    fn is_wide(&mut self, is_hub: bool, daemons: u32, now: Millis) -> bool {
        let (most, at) = self.widest;
        let is_old = now.since(at) >= WIDE_FOR;
        if is_old || is_hub && daemons >= most {
            self.widest = (daemons, now);
        }
        is_old || is_hub && f64::from(daemons) >= WIDE * f64::from(most)
    }

    /// Takes a message; returns what others have, if it is a summary that says it.
    pub fn receive(&mut self, from: SocketAddr, message: Message, now: Millis) -> Option<Heard> {
        let cut_off = match &message {
            Message::Report(report) => report.cut_off,
            Message::Summary(_) => self.seen.get(&from).is_some_and(|seen| seen.cut_off),
        };
        let strength = match &message {
            Message::Report(report) => report.strength,
            Message::Summary(summary) => summary.strength,
        };
        let ranks = self.ranks_of(from, Strength(strength));
        self.seen.insert(
            from,
            Seen {
                at: now,
                cut_off,
                ranks,
            },
        );
        match message {
            Message::Report(mut report) => {
                // Outcomes of a report that wasn't summed up yet aren't lost.
                if let Some((_, earlier)) = self.reports.remove(&from) {
                    report.keep_outcomes(&earlier);
                }
                self.reports.insert(from, (now, report));
                None
            }
            Message::Summary(summary) => {
                for peer in &summary.peers {
                    self.hear(peer, now);
                }
                if self.hubs(now).contains(&from) {
                    self.told = (summary.live as usize, now);
                }
                self.heard_from(from, &summary, now)
            }
        }
    }

    fn ranks_of(&self, address: SocketAddr, strength: Strength) -> Ranks {
        let known = self.seen.get(&address).map(|seen| seen.ranks);
        let same = known.filter(|ranks| ranks.strength() == strength);
        same.unwrap_or_else(|| Ranks::new(address, strength))
    }

    /// Takes word that a daemon showed life some time ago.
    fn hear(&mut self, peer: &Peer, now: Millis) {
        let Some(address) = peer.address() else {
            return;
        };
        if address == self.me {
            return;
        }
        let heard = Seen {
            at: now - peer.age(),
            cut_off: peer.cut_off,
            ranks: self.ranks_of(address, Strength(peer.strength)),
        };
        let seen = self.seen.entry(address).or_insert(heard);
        if heard.at > seen.at {
            *seen = heard;
        }
    }
}

const fn ranked((address, seen): (SocketAddr, Seen)) -> (SocketAddr, Ranks) {
    (address, seen.ranks)
}
