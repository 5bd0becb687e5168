//! The part of the exchange that a hub has: it adds reports up and tells the sums.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use derive_more::Debug;

use super::board::{Answers, Board, Version};
use super::centres::Centres;
use super::hot::Counts;
use super::members::{Centre, TOLD, ranked};
use super::message::{Entry, Hot, Message, Moved, Peers, Report, Subtotal, Summary, Wish};
use super::roles::{Role, holders};
use super::{BEAT, Exchange, Heard, LIST_PAUSE, MOVES, Others, Outgoing, SHOW_PAUSE, SILENT};
use crate::clock::Millis;

/// Between two words to the hubs of other data centres. Each of these has two, and both are told
/// by both, so that one that is lost costs a tick.
const SUBTOTAL_PAUSE: Millis = Millis(200);

/// A report, as far as it is needed until the next.
#[derive(Clone)]
#[derive(Debug)]
pub struct Received {
    at: Millis,
    centre: Centre,
    /// Whether the reporter takes this daemon for its hub.
    is_full: bool,
    entries: Vec<Entry>,
    reached: Option<Version>,
    /// Whether it asks for the sums.
    wants_sums: bool,
}

/// What a hub sums up.
#[derive(Clone)]
#[derive(Debug)]
pub struct Hub {
    reports: HashMap<SocketAddr, Received>,
    /// Who asked who lives, and in which data centre they are.
    asked: Vec<(SocketAddr, Centre)>,
    /// Sums over the reports, for hubs of other data centres.
    local: Board,
    /// Sums over the fleet, for the reporters.
    fleet: Board,
    /// What other data centres tell.
    pub(super) centres: Centres,
    counts: Counts,
    hot: Vec<Hot>,
    /// Answers that this daemon itself hasn't heard of.
    news: HashMap<u32, Answers>,
    /// Moved prefixes that this daemon itself hasn't heard of.
    unheard: Vec<Moved>,
    /// Moved prefixes that reporters haven't been told of.
    moved: BTreeSet<Moved>,
    /// Moved prefixes of this data centre that others haven't been told of.
    moved_here: BTreeSet<Moved>,
    /// When those that ask another hub last got a sign of life.
    beat: Option<Millis>,
    /// When reporters were last told who lives.
    listed: Option<Millis>,
    /// When hubs of other data centres were.
    listed_far: Option<Millis>,
    /// When those were last told sums.
    told: Option<Millis>,
}

impl Hub {
    /// Nothing was reported yet.
    pub fn new(epoch: u32) -> Self {
        Self {
            reports: HashMap::new(),
            asked: Vec::new(),
            local: Board::new(epoch),
            fleet: Board::new(epoch),
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

    /// Counts what a report tells once.
    fn count(&mut self, report: &Report, is_own: bool) {
        for entry in &report.entries {
            let answers = Answers {
                good: entry.good,
                bad: entry.bad,
            };
            self.local.count(entry.endpoint, answers);
            self.count_fleet(entry.endpoint, answers, is_own);
        }
        self.counts.add(&report.sent);
        note(&mut self.moved_here, &report.moved);
        self.note_moved(&report.moved, is_own);
    }

    fn count_fleet(&mut self, endpoint: u32, answers: Answers, is_own: bool) {
        self.fleet.count(endpoint, answers);
        if !is_own && answers != Answers::default() {
            self.news.entry(endpoint).or_default().add(answers);
        }
    }

    fn note_moved(&mut self, moved: &[Moved], is_own: bool) {
        note(&mut self.moved, moved);
        if !is_own && self.unheard.len() < MOVES {
            self.unheard.extend_from_slice(moved);
        }
    }

    /// Takes what a hub of another data centre tells.
    fn take(&mut self, from: SocketAddr, subtotal: &Subtotal, now: Millis) {
        for (endpoint, answers) in self.centres.take(from, subtotal, now) {
            self.count_fleet(endpoint, answers, false);
        }
        self.note_moved(&subtotal.moved, false);
    }

    /// Reports that count here: in a large fleet those of the same data centre, since the others
    /// are summed up in theirs.
    fn counted(&self, centre: Option<Centre>) -> impl Iterator<Item = &Received> {
        let counts = move |report: &&Received| {
            report.is_full && centre.is_none_or(|centre| report.centre == centre)
        };
        self.reports.values().filter(counts)
    }

    /// Requests in flight of the reporters.
    fn loads(&self, centre: Option<Centre>) -> HashMap<u32, u32> {
        let mut loads = HashMap::new();
        for report in self.counted(centre) {
            add(&mut loads, &report.entries);
        }
        loads
    }

    /// Adds what other data centres have.
    fn add_centres(&self, loads: &mut HashMap<u32, u32>) {
        for (_, told) in self.centres.chosen() {
            for (endpoint, in_flight) in told.copy.loads() {
                let load = loads.entry(endpoint).or_default();
                *load = load.saturating_add(in_flight);
            }
        }
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

fn add(loads: &mut HashMap<u32, u32>, entries: &[Entry]) {
    for entry in entries {
        let load = loads.entry(entry.endpoint).or_default();
        *load = load.saturating_add(entry.in_flight);
    }
}

/// Notes prefixes, no more than one message takes.
fn note(known: &mut BTreeSet<Moved>, moved: &[Moved]) {
    let room = MOVES.saturating_sub(known.len());
    known.extend(moved.iter().take(room));
}

impl Exchange {
    /// Takes a report.
    pub(super) fn take_report(&mut self, from: SocketAddr, report: &Report, now: Millis) {
        let centre = Centre(report.centre);
        let wish = Wish::try_from(report.wish).unwrap_or(Wish::Life);
        let is_full = wish != Wish::Peers;
        if is_full && self.area(now).is_none_or(|area| area == centre) {
            self.hub.count(report, false);
        }
        let received = Received {
            at: now,
            centre,
            is_full,
            entries: report.entries.clone(),
            reached: report.reached,
            wants_sums: wish == Wish::Sums,
        };
        self.hub.reports.insert(from, received);
        if wish == Wish::Peers {
            self.hub.asked.push((from, centre));
        }
    }

    /// Answers those that asked who lives, at once: a daemon that has just started can't serve its
    /// callers before it knows whom to follow.
    pub fn answers(&mut self, now: Millis) -> Vec<Outgoing> {
        let asked = std::mem::take(&mut self.hub.asked);
        let answer = |(to, centre)| {
            let mut summary = self.summary(now);
            summary.peers = Some(Peers::new(&self.members.worth_telling(centre, now)));
            (to, Message::Summary(summary))
        };
        asked.into_iter().map(answer).collect()
    }

    /// What all summaries say.
    fn summary(&self, now: Millis) -> Summary {
        Summary {
            daemons: self.summed_up(now),
            live: self.counted(now),
            strength: self.members.ranks.strength().0,
            centre: self.members.centre.0,
            gathered: self.gathered_from(now),
            cut_off: self.cut_off,
            ..Summary::default()
        }
    }

    /// Takes the sums of another data centre.
    pub(super) fn take_subtotal(&mut self, from: SocketAddr, subtotal: &Subtotal, now: Millis) {
        self.hub.take(from, subtotal, now);
    }

    /// The data centre whose daemons have hubs of their own with this one; none in a small fleet,
    /// where all have the same.
    pub(super) fn area(&self, now: Millis) -> Option<Centre> {
        self.is_large(now).then_some(self.members.centre)
    }

    /// Daemons whose reports this one has, itself included.
    pub(super) fn gathered_from(&self, now: Millis) -> u32 {
        let others = self.hub.counted(self.area(now)).count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Daemons whose requests are in the sums.
    fn summed_up(&self, now: Millis) -> u32 {
        let gathered = self.gathered_from(now);
        match self.is_large(now) {
            true => gathered.saturating_add(self.elsewhere()),
            false => gathered,
        }
    }

    /// Daemons that live as this one counts them, whatever others say.
    fn counted(&self, now: Millis) -> u32 {
        if self.is_large(now) {
            return self.summed_up(now);
        }
        let others = self.members.others(now).count();
        u32::try_from(1 + others).unwrap_or(u32::MAX)
    }

    /// Daemons of other data centres, as their hubs tell.
    fn elsewhere(&self) -> u32 {
        let centres = self.hub.centres.chosen();
        let daemons = centres.map(|(_, told)| told.daemons);
        daemons.fold(0, u32::saturating_add)
    }

    /// Adds up what was reported, this daemon's own report with it, and tells who is to know.
    pub(super) fn tell(&mut self, own: &Report, now: Millis) -> Vec<Outgoing> {
        self.hub.count(own, true);
        let area = self.area(now);
        let mut loads = self.hub.loads(area);
        add(&mut loads, &own.entries);
        self.hub.local.mark(&loads, now);
        if area.is_some() {
            self.hub.add_centres(&mut loads);
        }
        self.hub.fleet.mark(&loads, now);
        if area.is_some() && self.source(now) == Some(self.members.me) {
            self.told = (self.counted(now) as usize, now);
        }
        let mut out = self.subtotals(now);
        out.extend(self.summaries(now));
        out
    }

    /// What each reporter asked for.
    fn summaries(&mut self, now: Millis) -> Vec<Outgoing> {
        let is_beat = is_due(&mut self.hub.beat, BEAT, now);
        let is_listed = is_due(&mut self.hub.listed, LIST_PAUSE, now);
        if is_listed {
            self.hub.counts.fade(now);
            let told = self.hub.centres.chosen();
            let others = told.map(|(_, told)| &told.prefixes);
            self.hub.hot = self.hub.counts.hot(others);
        }
        let common = self.summary(now);
        let moved: Vec<Moved> = std::mem::take(&mut self.hub.moved).into_iter().collect();
        let mut lists: HashMap<Centre, Peers> = HashMap::new();
        let mut list = |to: Centre| {
            let peers = || Peers::new(&self.members.worth_telling(to, now));
            Some(lists.entry(to).or_insert_with(peers).clone())
        };
        let mut out = Vec::new();
        for (address, report) in &self.hub.reports {
            let mut summary = common.clone();
            if report.wants_sums {
                summary.delta = Some(self.hub.fleet.since(report.reached));
                summary.moved.clone_from(&moved);
                if is_listed {
                    summary.peers = list(report.centre);
                    summary.hot.clone_from(&self.hub.hot);
                }
            } else if !is_beat {
                continue;
            }
            out.push((*address, Message::Summary(summary)));
        }
        out
    }

    /// What the hubs of other data centres have to know of this one, if it is time to tell.
    fn subtotals(&mut self, now: Millis) -> Vec<Outgoing> {
        let is_hub = self.is_large(now) && self.hubs(now).contains(&self.members.me);
        if !is_hub || !is_due(&mut self.hub.told, SUBTOTAL_PAUSE, now) {
            return Vec::new();
        }
        let is_listed = is_due(&mut self.hub.listed_far, LIST_PAUSE, now);
        let moved = std::mem::take(&mut self.hub.moved_here);
        let prefixes = is_listed.then(|| self.hub.counts.prefixes());
        let common = Subtotal {
            prefixes,
            daemons: self.gathered_from(now),
            strength: self.members.ranks.strength().0,
            moved: moved.into_iter().collect(),
            centre: self.members.centre.0,
            cut_off: self.cut_off,
            ..Subtotal::default()
        };
        let mut out = Vec::new();
        for centre in self.members.other_centres(now) {
            let peers = || Peers::new(&self.members.worth_telling(centre, now));
            let peers = is_listed.then(peers);
            for hub in self.members.hubs_of(centre, now) {
                let told = self.hub.centres.told(&hub);
                let reached = told.and_then(|told| told.reached);
                let subtotal = Subtotal {
                    delta: Some(self.hub.local.since(reached)),
                    peers: peers.clone(),
                    reached: told.and_then(|told| told.copy.reached()),
                    ..common.clone()
                };
                out.push((hub, Message::Subtotal(subtotal)));
            }
        }
        out
    }

    /// Daemons to which this one shows itself as a hub now: those that may be taken for one by a
    /// part of the fleet that doesn't know this daemon.
    pub(super) fn due_announcement(&mut self, now: Millis) -> Vec<SocketAddr> {
        if !self.hubs(now).contains(&self.members.me)
            || !is_due(&mut self.announced, SHOW_PAUSE, now)
        {
            return Vec::new();
        }
        let area = self.area(now);
        let near = self.members.others(now);
        let near = near.filter(|(_, seen)| area.is_none_or(|area| seen.centre == area));
        holders(near.map(ranked), Role::Hub, TOLD)
    }

    /// What the reports that this daemon got say of the others, unless a hub knows better.
    pub fn gathered(&mut self, now: Millis) -> Option<Heard> {
        if self.source(now) != Some(self.members.me) || !self.is_wide(self.summed_up(now), now) {
            return None;
        }
        let mut loads = self.hub.loads(self.area(now));
        if self.is_large(now) {
            self.hub.add_centres(&mut loads);
        }
        let mut heard = Heard {
            hot: shares(&self.hub.hot),
            moved: std::mem::take(&mut self.hub.unheard),
            ..Heard::default()
        };
        for (endpoint, in_flight) in loads {
            heard.endpoints.entry(endpoint).or_default().in_flight = in_flight;
        }
        for (endpoint, answers) in self.hub.news.drain() {
            let others: &mut Others = heard.endpoints.entry(endpoint).or_default();
            others.good = answers.good;
            others.bad = answers.bad;
        }
        Some(heard)
    }

    /// Whether this daemon has reports of others.
    pub fn is_hub(&self) -> bool {
        !self.hub.reports.is_empty()
    }
}

/// Shares of hot prefixes.
pub fn shares(hot: &[Hot]) -> HashMap<u32, f64> {
    let share = |hot: &Hot| (hot.prefix, f64::from(hot.share) / Hot::WHOLE);
    hot.iter().map(share).collect()
}
