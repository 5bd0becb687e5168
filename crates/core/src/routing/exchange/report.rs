//! What a daemon reports, and to whom it shows that it lives.

use std::net::SocketAddr;

use super::evidence::News;
use super::members::{TOLD, ranked};
use super::message::{Message, Report, Wish};
use super::roles::{Role, holders};
use super::{Exchange, LIST_PAUSE, Outgoing, QUIET, SEED_PAUSE, SHOW_PAUSE, is_due};
use crate::clock::Millis;

impl Exchange {
    /// This daemon's report to its hubs, and to others signs of life.
    pub(super) fn reports(&mut self, own: Report, now: Millis) -> Vec<Outgoing> {
        let me = self.members.me;
        let own = Report {
            link_class: self.members.ranks.link_class().0,
            centre: self.members.centre.0,
            digest: self.evidence.digest(),
            ..own
        };
        let mut hubs = self.hubs(now);
        hubs.retain(|hub| *hub != me);
        let mut shown = self.due_announcement(now);
        shown.extend(self.due_seed(now));
        shown.retain(|daemon| !hubs.contains(daemon));
        shown.sort_unstable();
        shown.dedup();
        let short = Report {
            wish: Wish::Peers.into(),
            entries: Vec::new(),
            sent: Vec::new(),
            moved: Vec::new(),
            ..own.clone()
        };
        let source = self.source(now);
        let full = |hub| (hub, self.report_to(hub, source, own.clone(), now));
        let reports = hubs.into_iter().map(full);
        let shows = shown.into_iter().map(|to| (to, short.clone()));
        let all = reports.chain(shows);
        all.map(|(to, report)| (to, Message::Report(report)))
            .collect()
    }

    fn report_to(
        &mut self,
        hub: SocketAddr,
        source: Option<SocketAddr>,
        own: Report,
        now: Millis,
    ) -> Report {
        let wish = match source == Some(hub) {
            true => Wish::Sums,
            false => Wish::Life,
        };
        let told = self.hubs.get(&hub);
        let digest = told.map(|told| told.digest);
        Report {
            findings: self.evidence.findings(hub, digest, News::Own, now),
            reached: told.and_then(|told| told.sums.reached()),
            wish: wish.into(),
            ..own
        }
    }

    /// A seed that is to be asked now.
    fn due_seed(&mut self, now: Millis) -> Option<SocketAddr> {
        let is_hub = self.hubs(now).contains(&self.members.me);
        let pause = match (self.live_count(now), self.hears_hub(now)) {
            (1, _) => Millis::ZERO,
            (_, false) => LIST_PAUSE,
            (_, true) if is_hub => SHOW_PAUSE,
            (_, true) => SEED_PAUSE,
        };
        if self.seeds.is_empty() || !is_due(&mut self.seeded, pause, now) {
            return None;
        }
        self.next_seed = (self.next_seed + 1) % self.seeds.len();
        self.seeds.get(self.next_seed).copied()
    }

    fn hears_hub(&self, now: Millis) -> bool {
        let hears = |hub: SocketAddr| match hub == self.members.me {
            true => self.has_reports(),
            false => {
                let told = self.hubs.get(&hub);
                told.is_some_and(|told| now.since(told.at) < QUIET)
            }
        };
        self.source(now).is_some_and(hears)
    }

    /// Daemons to which this one shows itself as a hub now: those that may be taken for one by a
    /// part of the fleet that doesn't know this daemon.
    fn due_announcement(&mut self, now: Millis) -> Vec<SocketAddr> {
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
}
