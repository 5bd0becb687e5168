//! What daemons tell each other of endpoints, through a few of them.
//!
//! In a large fleet each data centre has two hubs, the first two of its
//! daemons by rank. Each daemon reports its requests and their outcomes to
//! both, and asks one of them for the sums; the other shows that it lives, and
//! is asked when the first is silent or hears from fewer. Hubs tell the hubs of
//! other data centres what theirs has together, so that few bytes cross. In a
//! small fleet two hubs serve all.
//!
//! Any daemon that gets reports acts as a hub, so that daemons that disagree
//! on who lives still hear from someone. Sums are told as rows that are news
//! to their listener ([`board`]).

mod board;
mod centres;
mod evidence;
mod hot;
mod hub;
mod members;
mod message;
mod own;
mod report;
mod roles;
mod short;
mod tell;

use std::collections::HashMap;
use std::net::SocketAddr;

use derive_more::Debug;

use crate::clock::Millis;
use crate::routing::quarantine::{Evidence, Snapshot};

pub use board::{OutcomeCounts, VersionedSums, SumsCopy, Delta, Version};
pub use evidence::Findings;
use evidence::Spread;
use hot::shares;
use hub::Hub;
pub use members::DataCentreHash;
use members::{Members, ranked};
pub use message::{
    ReportEntry, Hot, Message, PrefixMove, Peer, Peers, Prefixes, Report, Sender, PrefixCount, Subtotal, Summary,
    Wish,
};
use own::Own;
use roles::{Ranks, Role, first_for, holders};
pub use roles::{LinkClass, sources};
pub use short::{short_id, short_key};

/// Hubs of a data centre, or of a small fleet.
const HUBS: usize = 2;
/// Silence after which a daemon counts as gone. Ten reports, four signs of life of a hub: some may
/// be lost, and a busy VM may be late. Who replaces two hubs that died knows all again one second
/// later.
const SILENT: Millis = Millis(1000);
/// Silence after which a hub isn't asked for sums while another one speaks: a beat may be lost.
const QUIET: Millis = Millis(600);
/// Between reports. A load is known after half a tick at the daemon that brings it and half a tick
/// at each hub on the way; a hub of 59 daemons reads 590 reports a second.
pub const TICK: Millis = Millis(100);
/// Fleet from which on data centres have hubs of their own, and some daemons follow the platform
/// for all.
const LARGE: usize = 16;
/// Between two reports to a seed, which join parts of the fleet that lost each other.
const SEED_PAUSE: Millis = Millis(2000);
/// Between two words of a hub to a seed, and to daemons that may be taken for hubs elsewhere. What
/// a seed learns of another part lapses after 2.1 s; a hub of this part has asked it by then.
const SHOW_PAUSE: Millis = Millis(1000);
/// Between two signs of life of a hub to those that ask another one.
const BEAT: Millis = Millis(250);
/// Between two lists of daemons in summaries.
const LIST_PAUSE: Millis = Millis(500);

/// Daemons of a large fleet that follow the platform: each change is read so often, instead of
/// once a daemon. Three, so that two may freeze or be cut off at once.
const WATCHERS: usize = 3;
/// Daemons whose copies one follows, so that one that freezes or is cut off delays nothing.
const SOURCES: usize = 2;

/// Prefixes in one report or summary that went elsewhere than rank and age say; the rest is read
/// again where it goes next.
pub const MOVES: usize = 64;

/// Part of the daemons of the widest summary that another must sum up to count; hubs differ by
/// the reports that were lost or are on their way.
const WIDE: f64 = 0.8;
/// Time after which a summary that no other was as wide as counts no more: time for hubs to hear
/// of each other, and as much again for datagrams that are late.
const WIDE_FOR: Millis = Millis(900);

/// A message and where it goes.
pub type Outgoing = (SocketAddr, Message);

/// One daemon's part in the exchange.
#[derive(Clone)]
#[derive(Debug)]
pub struct Exchange {
    members: Members,
    hub: Hub,
    /// What hubs told this daemon.
    hubs: HashMap<SocketAddr, Told>,
    own: Own,
    evidence: Spread,
    seeds: Vec<SocketAddr>,
    seeded: Option<Millis>,
    next_seed: usize,
    announced: Option<Millis>,
    /// Whether this daemon has lost the platform.
    cut_off: bool,
    /// Daemons in the widest summary of late, and when it came.
    widest: (u32, Millis),
    /// How many daemons live as a hub last told, and when.
    told: (usize, Millis),
}

/// What one hub told this daemon.
#[derive(Clone, Default)]
#[derive(Debug)]
struct Told {
    at: Millis,
    sums: SumsCopy,
    /// How many daemons report to it.
    gathered: u32,
    hot: HashMap<u32, f64>,
    /// Digest of the evidence that it holds.
    digest: u64,
}

/// From whom a daemon learns what the platform says.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Following {
    /// The daemons that follow the platform for all, first in rank first.
    pub watchers: Vec<SocketAddr>,
    /// The daemons whose copies of its objects this one follows while it doesn't itself.
    pub sources: Vec<SocketAddr>,
    /// Whether this daemon is a hub.
    pub is_hub: bool,
    /// Whether this daemon leaves the platform to others: in a large fleet all do but hubs and
    /// watchers.
    pub is_indirect: bool,
}

/// What others have at one endpoint, and how their requests ended since the last tick.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct PeerCounts {
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
pub struct PeerUpdate {
    /// What they have at endpoints, by the endpoints' short ids.
    pub endpoints: HashMap<u32, PeerCounts>,
    /// Shared prefixes that get much of the fleet's traffic, by the short forms of their keys,
    /// and their shares of it.
    pub hot: HashMap<u32, f64>,
    /// Prefixes that went elsewhere than rank and age say.
    pub moved: Vec<PrefixMove>,
}

impl Exchange {
    /// The part of the daemon that is reached at `me`.
    pub fn new(me: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self {
            members: Members::new(me),
            hub: Hub::new(0),
            hubs: HashMap::new(),
            own: Own::default(),
            evidence: Spread::default(),
            seeds: seeds.into_iter().filter(|seed| *seed != me).collect(),
            seeded: None,
            next_seed: 0,
            announced: None,
            cut_off: false,
            widest: (0, Millis::ZERO),
            told: (0, Millis::ZERO),
        }
    }

    /// Sets how strong this daemon's VM is.
    pub fn with_link_class(mut self, link_class: LinkClass) -> Self {
        self.members.ranks = Ranks::new(self.members.me, link_class);
        self
    }

    /// Sets this daemon's data centre.
    pub const fn with_data_centre(mut self, centre: DataCentreHash) -> Self {
        self.members.centre = centre;
        self
    }

    /// Sets what tells this daemon's sums from those of its earlier and later starts.
    pub fn with_epoch(self, epoch: u32) -> Self {
        Self {
            hub: Hub::new(epoch),
            ..self
        }
    }

    /// Daemons that live, this one included.
    pub fn live_count(&self, now: Millis) -> usize {
        let (told, at) = self.told;
        let seen = 1 + self.members.others(now).count();
        match now.since(at) < SILENT {
            true => seen.max(told),
            false => seen,
        }
    }

    /// Daemons that live, as far as this one knows them, itself among them.
    pub fn live_daemons(&self, now: Millis) -> Vec<SocketAddr> {
        let others = self.members.others(now).map(|(address, _)| address);
        others.chain([self.members.me]).collect()
    }

    fn is_large(&self, now: Millis) -> bool {
        self.live_count(now) >= LARGE
    }

    /// The hubs of this daemon, first in rank first; it may be one itself.
    pub fn hubs(&self, now: Millis) -> Vec<SocketAddr> {
        self.members.hubs_of(self.area(now), now)
    }

    /// The hub that is asked for sums. Daemons are spread over the hubs; one that hears from many
    /// fewer daemons than its fellow, or is silent, is passed over.
    fn source(&self, now: Millis) -> Option<SocketAddr> {
        let me = self.members.me;
        let hubs = first_for(me, self.hubs(now));
        let gathered = |hub: &SocketAddr| match *hub == me {
            true => Some(self.gathered_from(now)),
            false => {
                let told = self.hubs.get(hub)?;
                (now.since(told.at) < QUIET).then_some(told.gathered)
            }
        };
        let most = hubs.iter().filter_map(gathered).max().unwrap_or_default();
        let is_wide = |hub: &&SocketAddr| {
            gathered(hub).is_some_and(|count| f64::from(count) >= WIDE * f64::from(most))
        };
        hubs.iter().find(is_wide).or(hubs.first()).copied()
    }

    /// The daemons that follow the platform for all: in a small fleet each does.
    ///
    /// Daemons that have lost the platform aren't chosen, unless all have. One that was turned
    /// away at its start knows nothing that could be followed: where the platform turned away six
    /// of nine, following such a one cost 0.3 s of the 1.0 s to their first configuration.
    pub fn watchers(&self, cut_off: bool, now: Millis) -> Vec<SocketAddr> {
        let members = &self.members;
        let own = (members.me, members.ranks);
        if !self.is_large(now) {
            let address = |(address, _): (SocketAddr, _)| address;
            let mut chosen: Vec<SocketAddr> = members.reachers(now).map(address).collect();
            if chosen.is_empty() {
                chosen.extend(members.others(now).map(address));
            }
            chosen.push(members.me);
            return chosen;
        }
        let own_reach = (!cut_off).then_some(own);
        let reach = members.reachers(now).map(ranked).chain(own_reach);
        let chosen = holders(reach, Role::Watcher, WATCHERS);
        if !chosen.is_empty() {
            return chosen;
        }
        let all = members.others(now).map(ranked).chain([own]);
        holders(all, Role::Watcher, WATCHERS)
    }

    /// Whom this daemon follows. In a large fleet hubs follow the watchers and the others their
    /// hubs, so that a change crosses to a data centre as often as that has hubs, not daemons.
    pub fn following(&self, cut_off: bool, now: Millis) -> Following {
        let me = self.members.me;
        let watchers = self.watchers(cut_off, now);
        let hubs = self.hubs(now);
        let is_hub = hubs.contains(&me);
        let has_hubs = self.is_large(now) && !is_hub;
        let mut chosen = if has_hubs { hubs } else { Vec::new() };
        chosen.extend(sources(me, &watchers, SOURCES));
        chosen.truncate(SOURCES);
        Following {
            is_hub,
            is_indirect: has_hubs && !watchers.contains(&me),
            sources: chosen,
            watchers,
        }
    }

    /// Sets the evidence against requests that this daemon holds.
    pub fn set_evidence(&mut self, held: Snapshot) {
        self.evidence.hold(held);
    }

    /// Evidence that other daemons told since this was last asked.
    pub fn take_evidence(&mut self) -> Vec<Evidence> {
        self.evidence.learnt()
    }

    /// What is due: this daemon's report, and sums of the reports it got.
    pub fn tick(&mut self, own: Report, now: Millis) -> Vec<Outgoing> {
        self.members.forget(now);
        self.hub.forget(now);
        self.evidence.forget(now);
        self.hubs.retain(|_, told| now.since(told.at) < SILENT);
        self.cut_off = own.cut_off;
        self.own.note(&own, now);
        let mut out = self.tell(&own, now);
        out.extend(self.reports(own, now));
        out
    }

    /// Whether sums of so many daemons count. A hub that was chosen just now sums up the few
    /// reports that it got by then.
    fn is_wide(&mut self, daemons: u32, now: Millis) -> bool {
        let (most, at) = self.widest;
        let is_old = now.since(at) >= WIDE_FOR;
        if is_old || daemons >= most {
            self.widest = (daemons, now);
        }
        is_old || f64::from(daemons) >= WIDE * f64::from(most)
    }

    /// Takes a message; returns what others have, if it is a summary that says it.
    pub fn receive(&mut self, from: SocketAddr, message: Message, now: Millis) -> Option<PeerUpdate> {
        let Sender {
            link_class,
            centre,
            cut_off,
            findings,
        } = message.sender();
        self.evidence.take(findings);
        self.members.hear(from, link_class, centre, cut_off, now);
        match message {
            Message::Report(report) => {
                let counts = self.area(now).is_none_or(|area| area == centre);
                self.hub.report(from, &report, counts, now);
                None
            }
            Message::Summary(summary) => self.take_summary(from, &summary, now),
            Message::Subtotal(subtotal) => {
                self.hear_of(subtotal.peers.as_ref(), now);
                self.hub.take(from, &subtotal, now);
                None
            }
        }
    }

    fn hear_of(&mut self, peers: Option<&Peers>, now: Millis) {
        for peer in peers.iter().flat_map(|peers| peers.all()) {
            self.members.hear_of(&peer, now);
        }
    }

    fn take_summary(&mut self, from: SocketAddr, summary: &Summary, now: Millis) -> Option<PeerUpdate> {
        self.hear_of(summary.peers.as_ref(), now);
        let told = self.hubs.entry(from).or_default();
        told.at = now;
        told.gathered = summary.gathered;
        told.digest = summary.digest;
        let is_source = self.source(now) == Some(from);
        if is_source {
            self.told = (summary.live as usize, now);
        }
        let told = self.hubs.entry(from).or_default();
        let delta = summary.delta.as_ref()?;
        if summary.peers.is_some() {
            told.hot = shares(&summary.hot);
        }
        let news = told.sums.take(delta)?;
        if !is_source || !self.is_wide(summary.daemons, now) {
            return None;
        }
        let told = self.hubs.get(&from)?;
        let heard = self.own.others(&told.sums, news);
        Some(PeerUpdate {
            hot: told.hot.clone(),
            moved: summary.moved.clone(),
            ..heard
        })
    }
}

/// Whether a pause has passed; notes that it has.
fn is_due(last: &mut Option<Millis>, pause: Millis, now: Millis) -> bool {
    if last.is_some_and(|at| now.since(at) < pause) {
        return false;
    }
    *last = Some(now);
    true
}
