//! State of a hub: the reports that it received, and the sums over them.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use derive_more::Debug;

use super::hot::DecayingCounts;
use super::members::DataCentreHash;
use super::message::{HotPrefix, PrefixMove, Report, ReportEntry, Subtotal, Wish};
use super::remote_hubs::RemoteHubs;
use super::sums::{OutcomeCounts, Version, VersionedSums};
use super::{MOVES_MAX, SILENCE_TIMEOUT};
use crate::clock::Millis;
use crate::routing::room::demand::{Demand, DemandTable, LastDemand};

/// Silence after which a daemon's requests no longer count at their endpoints: some longer than most
/// of them run.
const SILENT_LOAD_TIMEOUT: Millis = Millis(3000);

/// The parts of a daemon's last report that are needed until its next one.
#[derive(Clone)]
#[derive(Debug)]
pub struct ReceivedReport {
    at: Millis,
    /// Data centre of the reporter.
    pub centre: DataCentreHash,
    /// Whether the reporter considers this daemon its hub.
    pub is_full: bool,
    entries: Vec<ReportEntry>,
    /// The version of this daemon's sums that the reporter has reached.
    pub reached: Option<Version>,
    /// Whether the reporter asks for the sums.
    pub wants_sums: bool,
    /// Digest of the evidence that the reporter holds.
    pub digest: u64,
    /// What its callers ask of busy pools.
    pub demand: LastDemand,
}

impl ReceivedReport {
    /// Whether it is summed up for a data centre, or for the fleet.
    fn is_counted(&self, centre: Option<DataCentreHash>) -> bool {
        self.is_full && centre.is_none_or(|centre| self.centre == centre)
    }
}

/// A daemon's query for the live daemons.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct PeerQuery {
    /// Address of the daemon.
    pub from: SocketAddr,
    /// Its data centre.
    pub centre: DataCentreHash,
    /// Digest of the evidence that it holds.
    pub digest: u64,
}

/// Reports to a hub, and the sums over them.
#[derive(Clone)]
#[derive(Debug)]
pub struct Hub {
    /// The last report of each daemon.
    pub reports: HashMap<SocketAddr, ReceivedReport>,
    /// The last reports of daemons that have been silent for [`SILENCE_TIMEOUT`]. Endpoints still
    /// run the requests of one that stands still or is cut off.
    silent: HashMap<SocketAddr, ReceivedReport>,
    /// Queries for the live daemons that weren't answered yet.
    pub queries: Vec<PeerQuery>,
    /// Sums over the reports, for hubs of other data centres.
    pub local: VersionedSums,
    /// Sums over the fleet, for the reporters.
    pub fleet: VersionedSums,
    /// Sums received from hubs of other data centres.
    pub remote: RemoteHubs,
    /// What this daemon's own callers ask of busy pools.
    own_demand: LastDemand,
    /// What all of the reporters' callers ask, and those of the fleet, as summed up last.
    pub local_demand: Option<Demand>,
    pub fleet_demand: Option<Demand>,
    /// Requests with shared prefixes, as reported.
    pub prefixes: DecayingCounts,
    /// Shared prefixes that get much of the fleet's traffic.
    pub hot: Vec<HotPrefix>,
    /// Outcomes that this daemon hasn't applied to its own view yet.
    pub new_outcomes: HashMap<u32, OutcomeCounts>,
    /// Moved prefixes that this daemon hasn't applied to its own view yet.
    pub new_moves: Vec<PrefixMove>,
    /// Moved prefixes that weren't sent to reporters yet.
    pub fleet_moves: BTreeSet<PrefixMove>,
    /// Moved prefixes of this data centre that weren't sent to other data centres yet.
    pub local_moves: BTreeSet<PrefixMove>,
    /// When a heartbeat was last sent to reporters that ask another hub for sums.
    pub heartbeat_at: Option<Millis>,
    /// When the list of live daemons was last sent to reporters.
    pub peers_at: Option<Millis>,
    /// When demand was last sent to reporters, and to hubs of other data centres.
    pub demand_at: Option<Millis>,
    pub remote_demand_at: Option<Millis>,
    /// When that list was last sent to hubs of other data centres.
    pub remote_peers_at: Option<Millis>,
    /// When subtotals were last sent to those hubs.
    pub subtotals_at: Option<Millis>,
}

impl Hub {
    /// A hub without any reports; `epoch` distinguishes the daemon's restarts.
    pub fn new(epoch: u32) -> Self {
        Self {
            reports: HashMap::new(),
            silent: HashMap::new(),
            queries: Vec::new(),
            local: VersionedSums::new(epoch),
            fleet: VersionedSums::new(epoch),
            remote: RemoteHubs::default(),
            own_demand: LastDemand::default(),
            local_demand: None,
            fleet_demand: None,
            prefixes: DecayingCounts::default(),
            hot: Vec::new(),
            new_outcomes: HashMap::new(),
            new_moves: Vec::new(),
            fleet_moves: BTreeSet::new(),
            local_moves: BTreeSet::new(),
            heartbeat_at: None,
            peers_at: None,
            demand_at: None,
            remote_demand_at: None,
            remote_peers_at: None,
            subtotals_at: None,
        }
    }

    /// Removes daemons that have been silent for [`SILENCE_TIMEOUT`]; their loads stay until
    /// [`SILENT_LOAD_TIMEOUT`].
    pub fn expire(&mut self, now: Millis) {
        let is_silent = |report: &ReceivedReport| now.since(report.at) >= SILENCE_TIMEOUT;
        let silent = self.reports.extract_if(|_, report| is_silent(report));
        self.silent.extend(silent);
        self.silent
            .retain(|_, report| now.since(report.at) < SILENT_LOAD_TIMEOUT);
        self.remote.expire(now);
    }

    /// Applies a report; `is_counted` says whether the reporter's requests are summed up here.
    pub fn receive(&mut self, from: SocketAddr, report: &Report, is_counted: bool, now: Millis) {
        let centre = DataCentreHash(report.centre);
        let wish = Wish::try_from(report.wish).unwrap_or(Wish::Heartbeat);
        let is_full = wish != Wish::Peers;
        if is_full && is_counted {
            self.count(report, false);
        }
        let before = self.reports.remove(&from);
        let mut demand = before.map(|before| before.demand).unwrap_or_default();
        demand.update(report.demand.as_ref(), now);
        let received = ReceivedReport {
            at: now,
            centre,
            is_full,
            entries: report.entries.clone(),
            reached: report.reached,
            wants_sums: wish == Wish::Sums,
            digest: report.digest,
            demand,
        };
        self.silent.remove(&from);
        self.reports.insert(from, received);
        if !is_full {
            self.queries.push(PeerQuery {
                from,
                centre,
                digest: report.digest,
            });
        }
    }

    /// Counts the outcomes and prefixes of a report, each of which is reported once.
    pub fn count(&mut self, report: &Report, is_own: bool) {
        for entry in &report.entries {
            let outcomes = entry.outcomes();
            self.local.count(entry.endpoint, outcomes);
            self.count_fleet(entry.endpoint, outcomes, is_own);
        }
        self.prefixes.add(&report.sent);
        add_moves(&mut self.local_moves, &report.moved);
        self.record_moves(&report.moved, is_own);
    }

    fn count_fleet(&mut self, endpoint: u32, outcomes: OutcomeCounts, is_own: bool) {
        self.fleet.count(endpoint, outcomes);
        if !is_own && outcomes != OutcomeCounts::default() {
            self.new_outcomes.entry(endpoint).or_default().add(outcomes);
        }
    }

    fn record_moves(&mut self, moved: &[PrefixMove], is_own: bool) {
        add_moves(&mut self.fleet_moves, moved);
        if !is_own && self.new_moves.len() < MOVES_MAX {
            self.new_moves.extend_from_slice(moved);
        }
    }

    /// Applies a subtotal from a hub of another data centre.
    pub fn receive_subtotal(&mut self, from: SocketAddr, subtotal: &Subtotal, now: Millis) {
        for (endpoint, outcomes) in self.remote.apply(from, subtotal, now) {
            self.count_fleet(endpoint, outcomes, false);
        }
        self.record_moves(&subtotal.moved, false);
    }

    /// Reports that are summed up here: in a large fleet only those of the same data centre, since
    /// each data centre has its own hubs.
    pub fn counted_reports(
        &self,
        centre: Option<DataCentreHash>,
    ) -> impl Iterator<Item = &ReceivedReport> {
        let reports = self.reports.values();
        reports.filter(move |report| report.is_counted(centre))
    }

    /// Requests in flight of the reporters by endpoint.
    pub fn loads(&self, centre: Option<DataCentreHash>) -> HashMap<u32, u32> {
        let mut loads = HashMap::new();
        let silent = self.silent.values();
        let silent = silent.filter(|report| report.is_counted(centre));
        for report in self.counted_reports(centre).chain(silent) {
            add_loads(&mut loads, loads_of(&report.entries));
        }
        loads
    }

    /// Sums up what callers ask of busy pools, those of this daemon included.
    pub fn sum_demand(
        &mut self,
        own: Option<&Demand>,
        centre: Option<DataCentreHash>,
        now: Millis,
    ) {
        self.own_demand.update(own, now);
        let mut table = DemandTable::default();
        table.add(self.own_demand.current(now));
        for report in self.counted_reports(centre) {
            table.add(report.demand.current(now));
        }
        self.local_demand = table.clone().message();
        if centre.is_some() {
            for (_, remote) in self.remote.chosen() {
                table.add(remote.demand.current(now));
            }
        }
        self.fleet_demand = table.message();
    }

    /// Reading of the reporters by endpoint, where there is any.
    pub fn reading(&self, centre: Option<DataCentreHash>) -> HashMap<u32, u32> {
        let mut reading = HashMap::new();
        for report in self.counted_reports(centre) {
            add_loads(&mut reading, reading_of(&report.entries));
        }
        reading
    }

    /// Adds the reading of other data centres.
    pub fn add_remote_reading(&self, reading: &mut HashMap<u32, u32>) {
        for (_, remote) in self.remote.chosen() {
            add_loads(reading, remote.copy.reading());
        }
    }

    /// Adds the requests in flight of other data centres.
    pub fn add_remote(&self, loads: &mut HashMap<u32, u32>) {
        for (_, remote) in self.remote.chosen() {
            add_loads(loads, remote.copy.loads());
        }
    }
}

/// Adds requests in flight, or reading, by endpoint.
pub fn add_loads(loads: &mut HashMap<u32, u32>, others: impl Iterator<Item = (u32, u32)>) {
    for (endpoint, in_flight) in others {
        let load = loads.entry(endpoint).or_default();
        *load = load.saturating_add(in_flight);
    }
}

/// Endpoints of a report, and its requests in flight there.
pub fn loads_of(entries: &[ReportEntry]) -> impl Iterator<Item = (u32, u32)> {
    entries
        .iter()
        .map(|entry| (entry.endpoint, entry.in_flight))
}

/// Endpoints of a report at which prompts are read, and how much.
pub fn reading_of(entries: &[ReportEntry]) -> impl Iterator<Item = (u32, u32)> {
    let reading = entries.iter().filter(|entry| entry.reading > 0);
    reading.map(|entry| (entry.endpoint, entry.reading))
}

/// Adds moved prefixes, up to the limit for one message.
fn add_moves(known: &mut BTreeSet<PrefixMove>, moved: &[PrefixMove]) {
    let remaining = MOVES_MAX.saturating_sub(known.len());
    known.extend(moved.iter().take(remaining));
}
