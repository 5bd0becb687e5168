//! Exchange of endpoint loads and outcomes between daemons, aggregated by hubs.
//!
//! In a large fleet each data centre has two hubs, the first two of its
//! daemons by rank. Each daemon reports its requests and their outcomes to
//! both, and asks one of them for the sums; the other one sends heartbeats, and
//! is asked if the first is silent or has reports of fewer daemons. Hubs send
//! subtotals of their data centre to the hubs of the others, so that little
//! traffic crosses between data centres. In a small fleet two hubs serve all.
//!
//! Any daemon that receives reports acts as a hub, so that daemons that
//! disagree on the live daemons still get sums. Only rows that are new to the
//! receiver are sent ([`VersionedSums`]).

mod brittle_pools;
mod evidence;
mod following;
mod hot;
mod hub;
mod hub_messages;
mod listing;
mod loss_news;
mod members;
mod message;
mod own_share;
mod remote_hubs;
mod report;
mod roles;
mod short;
mod sums;

use std::collections::HashMap;
use std::net::SocketAddr;

use derive_more::Debug;

use crate::clock::Millis;
use crate::routing::quarantine::{Evidence, Snapshot};
use crate::routing::room::demand::Demand;

use brittle_pools::BrittleRelay;
pub use brittle_pools::{BrittlePools, pool_key};
use evidence::EvidenceSync;
pub use evidence::Findings;
pub use following::Following;
use hot::shares;
use hub::Hub;
use loss_news::LossRelay;
pub use loss_news::{Loss, LossNews};
pub use members::DataCentreHash;
use members::Members;
pub use message::{
    HotPrefix, Message, Peer, Peers, PrefixCount, PrefixMove, PrefixTotals, Report, ReportEntry,
    Sender, Subtotal, Summary, Wish,
};
use own_share::OwnShare;
pub use roles::{LinkClass, sources};
use roles::{Ranks, preference_order};
pub use short::{short_id, short_key};
pub use sums::{Delta, OutcomeCounts, SumsCopy, Version, VersionedSums};

/// Number of hubs of a data centre, or of a small fleet.
const HUBS: usize = 2;
/// Silence after which a daemon counts as lost: ten reports, or four heartbeats of a hub. Some may
/// be lost, and a busy VM may be late. Daemons that replace two failed hubs have all reports one
/// second later.
const SILENCE_TIMEOUT: Millis = Millis(1000);
/// Silence after which a hub isn't asked for sums while another one sends messages: a heartbeat may
/// be lost.
const QUIET_TIMEOUT: Millis = Millis(600);
/// Time between reports. A load is known after half a tick at the daemon that reports it and half a
/// tick at each hub on the way; a hub of 59 daemons reads 590 reports a second.
pub const TICK: Millis = Millis(100);
/// Number of daemons at which each data centre has its own hubs, and some daemons follow the
/// platform for all.
pub const LARGE_FLEET: usize = 16;
/// Time between two reports to a seed, which rejoin the parts of a partitioned fleet.
const SEED_INTERVAL: Millis = Millis(2000);
/// Number of daemons that may ask the seeds within [`SEED_INTERVAL`]. In larger fleets each daemon
/// asks more rarely, so that the load of the seeds, which may be small VMs, doesn't grow with the
/// fleet; hubs, which are the first to find another part, always ask.
const SEED_ASKERS: usize = 100;
/// Time between two announcements of a hub to a seed, and to daemons that other parts of the fleet
/// may consider hubs. What a seed learns of another part expires after 2.1 s; by then a hub of this
/// part has asked it.
const ANNOUNCE_INTERVAL: Millis = Millis(1000);
/// Time between two heartbeats of a hub to daemons that ask another one for sums.
const HEARTBEAT_INTERVAL: Millis = Millis(250);
/// Time between two lists of live daemons in summaries.
const PEERS_INTERVAL: Millis = Millis(500);

/// Largest number of moved prefixes in one report or summary. Prefixes beyond it are processed
/// again by the endpoints to which they are sent next.
pub const MOVES_MAX: usize = 64;

/// Share of the daemons in the largest summary that another one must cover to be used; hubs differ
/// by reports that were lost or are in transit.
const COVERAGE_MIN: f64 = 0.8;
/// Time for which the largest summary is the reference: time for hubs to learn of each other, and
/// as much again for late datagrams.
const COVERAGE_WINDOW: Millis = Millis(900);

/// A message and its destination.
pub type Outgoing = (SocketAddr, Message);

/// State of one daemon in the exchange.
#[derive(Clone)]
#[derive(Debug)]
pub struct Exchange {
    members: Members,
    hub: Hub,
    /// State received from hubs.
    hubs: HashMap<SocketAddr, HubState>,
    own: OwnShare,
    evidence: EvidenceSync,
    brittle: BrittleRelay,
    losses: LossRelay,
    seeds: Vec<SocketAddr>,
    /// When a seed was last asked.
    seed_asked_at: Option<Millis>,
    next_seed: usize,
    /// When this daemon last announced itself as a hub.
    announced_at: Option<Millis>,
    /// Whether this daemon has lost its connection to the platform.
    cut_off: bool,
    /// Number of daemons in the largest recent summary, and when it was received.
    largest_summary: (u32, Millis),
    /// Number of live daemons as last reported by a hub, and when.
    reported_live: (usize, Millis),
}

/// State received from one hub.
#[derive(Clone, Default)]
#[derive(Debug)]
struct HubState {
    /// Time of the last summary.
    at: Millis,
    sums: SumsCopy,
    /// Number of daemons that report to it.
    reporters: u32,
    hot: HashMap<u32, f64>,
    /// Digest of the evidence that it holds.
    digest: u64,
}

/// Requests of the other daemons at one endpoint, and their outcomes since the last update.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct PeerCounts {
    /// Requests in flight.
    pub in_flight: u32,
    /// Successful attempts.
    pub good: u32,
    /// Failed attempts.
    pub bad: u32,
    /// Prompt tokens that are still to be read, in units of 256.
    pub reading: u32,
}

/// An update on the other daemons.
#[derive(Clone, PartialEq, Default)]
#[derive(Debug)]
pub struct PeerUpdate {
    /// Their requests at endpoints, by the endpoints' short ids.
    pub endpoints: HashMap<u32, PeerCounts>,
    /// Shared prefixes that get much of the fleet's traffic, by the short forms of their keys, and
    /// their shares of it, 0 to 1.
    pub hot: HashMap<u32, f64>,
    /// Prefixes sent elsewhere than to the endpoint that rank and age give.
    pub moved: Vec<PrefixMove>,
    /// What callers of all daemons, this one included, ask of busy pools.
    pub demand: Option<Demand>,
}

impl Exchange {
    /// The state of a daemon with the address `me` that knows only the seeds.
    pub fn new(me: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self {
            members: Members::new(me),
            hub: Hub::new(0),
            hubs: HashMap::new(),
            own: OwnShare::default(),
            evidence: EvidenceSync::default(),
            brittle: BrittleRelay::default(),
            losses: LossRelay::new(me, 0),
            seeds: seeds.into_iter().filter(|seed| *seed != me).collect(),
            seed_asked_at: None,
            next_seed: 0,
            announced_at: None,
            cut_off: false,
            largest_summary: (0, Millis::ZERO),
            reported_live: (0, Millis::ZERO),
        }
    }

    /// Sets the link class of this daemon's VM.
    pub fn with_link_class(mut self, link_class: LinkClass) -> Self {
        self.members.ranks = Ranks::new(self.members.me, link_class);
        self
    }

    /// Sets this daemon's data centre.
    pub const fn with_data_centre(mut self, centre: DataCentreHash) -> Self {
        self.members.centre = centre;
        self
    }

    /// Sets the epoch, which distinguishes this daemon's sums from those of its earlier and later
    /// starts.
    pub fn with_epoch(self, epoch: u32) -> Self {
        Self {
            hub: Hub::new(epoch),
            losses: LossRelay::new(self.members.me, epoch),
            ..self
        }
    }

    /// Number of live daemons, this one included.
    pub fn live_count(&self, now: Millis) -> usize {
        let (reported, at) = self.reported_live;
        let known = 1 + self.members.live_others(now).count();
        match now.since(at) < SILENCE_TIMEOUT {
            true => known.max(reported),
            false => known,
        }
    }

    /// The live daemons that this one knows, itself included.
    pub fn live_daemons(&self, now: Millis) -> Vec<SocketAddr> {
        let others = self.members.live_others(now).map(|(address, _)| address);
        others.chain([self.members.me]).collect()
    }

    /// The other live daemons that this one knows; first those of its own data centre, then those
    /// elsewhere.
    pub fn live_by_distance(&self, now: Millis) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let (near, far): (Vec<_>, Vec<_>) = self
            .members
            .live_others(now)
            .partition(|(_, member)| member.centre == self.members.centre);
        let addresses = |daemons: Vec<(SocketAddr, _)>| daemons.into_iter().map(|d| d.0).collect();
        (addresses(near), addresses(far))
    }

    /// The other daemons that were heard of lately, also if they are silent by now.
    pub fn recent_others(&self, now: Millis) -> impl Iterator<Item = SocketAddr> {
        self.members.recent_others(now)
    }

    /// Number of other daemons that aren't removed yet.
    pub fn known_count(&self) -> usize {
        self.members.known_count()
    }

    fn is_large(&self, now: Millis) -> bool {
        self.live_count(now) >= LARGE_FLEET
    }

    /// The hubs of this daemon in rank order; it may be one itself.
    pub fn hubs(&self, now: Millis) -> Vec<SocketAddr> {
        self.members.hubs_of(self.hub_scope(now), now)
    }

    /// The hub that is asked for sums. Daemons are spread over the hubs; a hub that is silent, or
    /// has reports of far fewer daemons than the other, is skipped.
    fn sums_source(&self, now: Millis) -> Option<SocketAddr> {
        let me = self.members.me;
        let hubs = preference_order(me, self.hubs(now));
        let reporters = |hub: &SocketAddr| match *hub == me {
            true => Some(self.reporter_count(now)),
            false => {
                let state = self.hubs.get(hub)?;
                (now.since(state.at) < QUIET_TIMEOUT).then_some(state.reporters)
            }
        };
        let most = hubs.iter().filter_map(reporters).max().unwrap_or_default();
        let has_coverage = |hub: &&SocketAddr| {
            reporters(hub).is_some_and(|count| f64::from(count) >= COVERAGE_MIN * f64::from(most))
        };
        hubs.iter().find(has_coverage).or(hubs.first()).copied()
    }

    /// Sets the evidence against requests that this daemon holds.
    pub fn set_evidence(&mut self, held: Snapshot) {
        self.evidence.set_held(held);
    }

    /// Returns the evidence received from other daemons since the last call.
    pub fn take_evidence(&mut self) -> Vec<Evidence> {
        self.evidence.take_received()
    }

    /// Returns what other daemons told of brittle pools since the last call.
    pub fn take_brittle_pools(&mut self, now: Millis) -> Option<BrittlePools> {
        self.brittle.take_heard(now)
    }

    /// Returns the messages that are due: this daemon's reports, and as a hub sums of the reports
    /// that it received. `own` is this daemon's report.
    pub fn tick(&mut self, own: Report, now: Millis) -> Vec<Outgoing> {
        self.members.expire(now);
        self.hub.expire(now);
        self.evidence.expire(now);
        self.brittle.expire(now);
        self.losses.expire(now);
        self.brittle.report(own.brittle.as_ref(), now);
        self.hubs
            .retain(|_, state| now.since(state.at) < SILENCE_TIMEOUT);
        self.cut_off = own.cut_off;
        self.own.record(&own, now);
        let mut out = self.publish_sums(&own, now);
        out.extend(self.reports(own, now));
        out
    }

    /// Whether sums over so many daemons are used. A hub that was just chosen has received only a
    /// few reports.
    fn has_coverage(&mut self, daemons: u32, now: Millis) -> bool {
        let (most, at) = self.largest_summary;
        let is_old = now.since(at) >= COVERAGE_WINDOW;
        if is_old || daemons >= most {
            self.largest_summary = (daemons, now);
        }
        is_old || f64::from(daemons) >= COVERAGE_MIN * f64::from(most)
    }

    /// Processes a message; returns the update on the other daemons if it is a summary with usable
    /// sums.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: Message,
        now: Millis,
    ) -> Option<PeerUpdate> {
        self.losses.receive(&message, now);
        let Sender {
            link_class,
            centre,
            cut_off,
            findings,
        } = message.sender()?;
        self.evidence.receive(findings);
        self.members
            .record_contact(from, link_class, centre, cut_off, now);
        match message {
            Message::Report(report) => {
                self.brittle.report(report.brittle.as_ref(), now);
                let is_counted = self.hub_scope(now).is_none_or(|scope| scope == centre);
                self.hub.receive(from, &report, is_counted, now);
                None
            }
            Message::Summary(summary) => self.receive_summary(from, &summary, now),
            Message::Subtotal(subtotal) => {
                self.brittle.subtotal(subtotal.brittle.as_ref(), now);
                self.record_peers(subtotal.peers.as_ref(), now);
                self.hub.receive_subtotal(from, &subtotal, now);
                None
            }
            Message::Losses(_) => None,
        }
    }

    fn record_peers(&mut self, peers: Option<&Peers>, now: Millis) {
        for peer in peers.iter().flat_map(|peers| peers.all()) {
            self.members.record_indirect(&peer, now);
        }
    }

    fn receive_summary(
        &mut self,
        from: SocketAddr,
        summary: &Summary,
        now: Millis,
    ) -> Option<PeerUpdate> {
        self.brittle.summary(summary.brittle.as_ref(), now);
        self.record_peers(summary.peers.as_ref(), now);
        let state = self.hubs.entry(from).or_default();
        state.at = now;
        state.reporters = summary.reporters;
        state.digest = summary.digest;
        let is_source = self.sums_source(now) == Some(from);
        if is_source {
            self.reported_live = (summary.live as usize, now);
        }
        let state = self.hubs.entry(from).or_default();
        let delta = summary.delta.as_ref()?;
        if summary.peers.is_some() {
            state.hot = shares(&summary.hot);
        }
        let new_outcomes = state.sums.apply(delta)?;
        if !is_source || !self.has_coverage(summary.daemons, now) {
            return None;
        }
        let state = self.hubs.get(&from)?;
        let update = self.own.subtract_from(&state.sums, new_outcomes);
        Some(PeerUpdate {
            hot: state.hot.clone(),
            moved: summary.moved.clone(),
            demand: summary.demand.clone(),
            ..update
        })
    }
}

/// Whether an interval has passed since `last`; if so, sets `last` to now.
fn is_due(last: &mut Option<Millis>, interval: Millis, now: Millis) -> bool {
    if last.is_some_and(|at| now.since(at) < interval) {
        return false;
    }
    *last = Some(now);
    true
}
