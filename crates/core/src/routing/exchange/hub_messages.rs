//! What a hub tells: the sums to its reporters, subtotals to other data centres.

use std::collections::HashMap;

use super::evidence::News;
use super::hot::shares;
use super::hub::{Asked, add, loads_of};
use super::members::DataCentreHash;
use super::message::{Message, PrefixMove, Peers, Report, Subtotal, Summary};
use super::{BEAT, Exchange, PeerUpdate, LIST_PAUSE, PeerCounts, Outgoing, is_due};
use crate::clock::Millis;

/// Between two words to the hubs of other data centres. Each of these has two, and both are told
/// by both, so that one that is lost costs a tick.
const SUBTOTAL_PAUSE: Millis = Millis(200);

impl Exchange {
    /// Answers those that asked who lives, at once: a daemon that has just started can't serve its
    /// callers before it knows whom to follow.
    pub fn replies(&mut self, now: Millis) -> Vec<Outgoing> {
        let asked = std::mem::take(&mut self.hub.asked);
        let answer = |Asked { by, centre, digest }| {
            let mut summary = self.summary(now);
            summary.peers = Some(Peers::new(&self.members.worth_telling(centre, now)));
            summary.findings = self.evidence.findings(by, Some(digest), News::All, now);
            (by, Message::Summary(summary))
        };
        asked.into_iter().map(answer).collect()
    }

    /// What all summaries say.
    fn summary(&self, now: Millis) -> Summary {
        Summary {
            daemons: self.summed_up(now),
            live: self.counted(now),
            link_class: self.members.ranks.link_class().0,
            centre: self.members.centre.0,
            gathered: self.gathered_from(now),
            cut_off: self.cut_off,
            digest: self.evidence.digest(),
            ..Summary::default()
        }
    }

    /// The data centre whose daemons have hubs of their own with this one; none in a small fleet,
    /// where all have the same.
    pub(super) fn area(&self, now: Millis) -> Option<DataCentreHash> {
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
        add(&mut loads, loads_of(&own.entries));
        self.hub.local.publish(&loads, now);
        if area.is_some() {
            self.hub.add_centres(&mut loads);
        }
        self.hub.fleet.publish(&loads, now);
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
        let moved: Vec<PrefixMove> = std::mem::take(&mut self.hub.moved).into_iter().collect();
        let mut lists: HashMap<DataCentreHash, Peers> = HashMap::new();
        let mut list = |to: DataCentreHash| {
            let peers = || Peers::new(&self.members.worth_telling(to, now));
            Some(lists.entry(to).or_insert_with(peers).clone())
        };
        let mut out = Vec::new();
        for (address, report) in &self.hub.reports {
            let mut summary = common.clone();
            if report.wants_sums {
                summary.delta = Some(self.hub.fleet.delta_since(report.reached));
                summary.moved.clone_from(&moved);
                let digest = Some(report.digest);
                summary.findings = self.evidence.findings(*address, digest, News::All, now);
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
            link_class: self.members.ranks.link_class().0,
            moved: moved.into_iter().collect(),
            centre: self.members.centre.0,
            cut_off: self.cut_off,
            digest: self.evidence.digest(),
            ..Subtotal::default()
        };
        let mut out = Vec::new();
        for centre in self.members.other_centres(now) {
            let peers = || Peers::new(&self.members.worth_telling(centre, now));
            let peers = is_listed.then(peers);
            for hub in self.members.hubs_of(Some(centre), now) {
                let told = self.hub.centres.told(&hub);
                let reached = told.and_then(|told| told.reached);
                let digest = told.map(|told| told.digest);
                let subtotal = Subtotal {
                    delta: Some(self.hub.local.delta_since(reached)),
                    peers: peers.clone(),
                    findings: self.evidence.findings(hub, digest, News::All, now),
                    reached: told.and_then(|told| told.copy.reached()),
                    ..common.clone()
                };
                out.push((hub, Message::Subtotal(subtotal)));
            }
        }
        out
    }

    /// What the reports that this daemon got say of the others, unless a hub knows better.
    pub fn hub_update(&mut self, now: Millis) -> Option<PeerUpdate> {
        if self.source(now) != Some(self.members.me) || !self.is_wide(self.summed_up(now), now) {
            return None;
        }
        let mut loads = self.hub.loads(self.area(now));
        if self.is_large(now) {
            self.hub.add_centres(&mut loads);
        }
        let mut heard = PeerUpdate {
            hot: shares(&self.hub.hot),
            moved: std::mem::take(&mut self.hub.unheard),
            ..PeerUpdate::default()
        };
        for (endpoint, in_flight) in loads {
            heard.endpoints.entry(endpoint).or_default().in_flight = in_flight;
        }
        for (endpoint, answers) in self.hub.news.drain() {
            let others: &mut PeerCounts = heard.endpoints.entry(endpoint).or_default();
            others.good = answers.good;
            others.bad = answers.bad;
        }
        Some(heard)
    }

    /// Whether this daemon has reports of others.
    pub fn has_reports(&self) -> bool {
        !self.hub.reports.is_empty()
    }
}
