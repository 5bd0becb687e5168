//! What a hub holds: reports, and what it adds up from them.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use derive_more::Debug;

use super::board::{OutcomeCounts, VersionedSums, Version};
use super::centres::Centres;
use super::hot::Counts;
use super::members::DataCentreHash;
use super::message::{ReportEntry, Hot, PrefixMove, Report, Subtotal, Wish};
use super::{MOVES, SILENT};
use crate::clock::Millis;

/// A report, as far as it is needed until the next.
#[derive(Clone)]
#[derive(Debug)]
pub struct Received {
    at: Millis,
    /// The reporter's data centre.
    pub centre: DataCentreHash,
    /// Whether the reporter takes this daemon for its hub.
    is_full: bool,
    entries: Vec<ReportEntry>,
    /// What it has reached of this daemon's sums.
    pub reached: Option<Version>,
    /// Whether it asks for the sums.
    pub wants_sums: bool,
    /// Digest of the evidence that it holds.
    pub digest: u64,
}

/// A daemon that asked who lives.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct Asked {
    /// Where it is reached.
    pub by: SocketAddr,
    /// Its data centre.
    pub centre: DataCentreHash,
    /// Digest of the evidence that it holds.
    pub digest: u64,
}

/// What a hub sums up.
#[derive(Clone)]
#[derive(Debug)]
pub struct Hub {
    /// The last report of each daemon.
    pub reports: HashMap<SocketAddr, Received>,
    /// Who asked who lives.
    pub asked: Vec<Asked>,
    /// Sums over the reports, for hubs of other data centres.
    pub local: VersionedSums,
    /// Sums over the fleet, for the reporters.
    pub fleet: VersionedSums,
    /// What other data centres tell.
    pub centres: Centres,
    /// Requests with shared prefixes, as reported.
    pub counts: Counts,
    /// Shared prefixes that get much of the fleet's traffic.
    pub hot: Vec<Hot>,
    /// Answers that this daemon itself hasn't heard of.
    pub news: HashMap<u32, OutcomeCounts>,
    /// Moved prefixes that this daemon itself hasn't heard of.
    pub unheard: Vec<PrefixMove>,
    /// Moved prefixes that reporters haven't been told of.
    pub moved: BTreeSet<PrefixMove>,
    /// Moved prefixes of this data centre that others haven't been told of.
    pub moved_here: BTreeSet<PrefixMove>,
    /// When those that ask another hub last got a sign of life.
    pub beat: Option<Millis>,
    /// When reporters were last told who lives.
    pub listed: Option<Millis>,
    /// When hubs of other data centres were.
    pub listed_far: Option<Millis>,
    /// When those were last told sums.
    pub told: Option<Millis>,
}

impl Hub {
    /// Nothing was reported yet.
    pub fn new(epoch: u32) -> Self {
        Self {
            reports: HashMap::new(),
            asked: Vec::new(),
            local: VersionedSums::new(epoch),
            fleet: VersionedSums::new(epoch),
            centres: Centres::default(),
            counts: Counts::default(),
            hot: Vec::new(),
            news: HashMap::new(),
            unheard: Vec::new(),
            moved: BTreeSet::new(),
            moved_here: BTreeSet::new(),
            beat: None,
            listed: None,
            listed_far: None,
            told: None,
        }
    }

    /// Forgets daemons that are silent.
    pub fn forget(&mut self, now: Millis) {
        self.reports
            .retain(|_, report| now.since(report.at) < SILENT);
        self.centres.forget(now);
    }

    /// Takes a report; `counts` says whether the reporter's requests are summed up here.
    pub fn report(&mut self, from: SocketAddr, report: &Report, counts: bool, now: Millis) {
        let centre = DataCentreHash(report.centre);
        let wish = Wish::try_from(report.wish).unwrap_or(Wish::Life);
        let is_full = wish != Wish::Peers;
        if is_full && counts {
            self.count(report, false);
        }
        let received = Received {
            at: now,
            centre,
            is_full,
            entries: report.entries.clone(),
            reached: report.reached,
            wants_sums: wish == Wish::Sums,
            digest: report.digest,
        };
        self.reports.insert(from, received);
        if !is_full {
            self.asked.push(Asked {
                by: from,
                centre,
                digest: report.digest,
            });
        }
    }

    /// Counts what a report tells once.
    pub fn count(&mut self, report: &Report, is_own: bool) {
        for entry in &report.entries {
            let answers = entry.answers();
            self.local.count(entry.endpoint, answers);
            self.count_fleet(entry.endpoint, answers, is_own);
        }
        self.counts.add(&report.sent);
        note(&mut self.moved_here, &report.moved);
        self.note_moved(&report.moved, is_own);
    }

    fn count_fleet(&mut self, endpoint: u32, answers: OutcomeCounts, is_own: bool) {
        self.fleet.count(endpoint, answers);
        if !is_own && answers != OutcomeCounts::default() {
            self.news.entry(endpoint).or_default().add(answers);
        }
    }

    fn note_moved(&mut self, moved: &[PrefixMove], is_own: bool) {
        note(&mut self.moved, moved);
        if !is_own && self.unheard.len() < MOVES {
            self.unheard.extend_from_slice(moved);
        }
    }

    /// Takes what a hub of another data centre tells.
    pub fn take(&mut self, from: SocketAddr, subtotal: &Subtotal, now: Millis) {
        for (endpoint, answers) in self.centres.take(from, subtotal, now) {
            self.count_fleet(endpoint, answers, false);
        }
        self.note_moved(&subtotal.moved, false);
    }

    /// Reports that count here: in a large fleet those of the same data centre, since the others
    /// are summed up in theirs.
    pub fn counted(&self, centre: Option<DataCentreHash>) -> impl Iterator<Item = &Received> {
        let counts = move |report: &&Received| {
            report.is_full && centre.is_none_or(|centre| report.centre == centre)
        };
        self.reports.values().filter(counts)
    }

    /// Requests in flight of the reporters.
    pub fn loads(&self, centre: Option<DataCentreHash>) -> HashMap<u32, u32> {
        let mut loads = HashMap::new();
        for report in self.counted(centre) {
            add(&mut loads, loads_of(&report.entries));
        }
        loads
    }

    /// Adds what other data centres have.
    pub fn add_centres(&self, loads: &mut HashMap<u32, u32>) {
        for (_, told) in self.centres.chosen() {
            add(loads, told.copy.loads());
        }
    }
}

/// Adds requests in flight by endpoint.
pub fn add(loads: &mut HashMap<u32, u32>, others: impl Iterator<Item = (u32, u32)>) {
    for (endpoint, in_flight) in others {
        let load = loads.entry(endpoint).or_default();
        *load = load.saturating_add(in_flight);
    }
}

/// A report's endpoints and its requests in flight there.
pub fn loads_of(entries: &[ReportEntry]) -> impl Iterator<Item = (u32, u32)> {
    entries
        .iter()
        .map(|entry| (entry.endpoint, entry.in_flight))
}

/// Notes prefixes, no more than one message takes.
fn note(known: &mut BTreeSet<PrefixMove>, moved: &[PrefixMove]) {
    let room = MOVES.saturating_sub(known.len());
    known.extend(moved.iter().take(room));
}
