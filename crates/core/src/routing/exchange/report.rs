//! Messages of every daemon: reports to its hubs, and announcements to other daemons.

use std::net::SocketAddr;

use super::evidence::NewEvidence;
use super::listing::LISTED_PER_ROLE;
use super::members::ranked;
use super::message::{Message, Report, Wish};
use super::roles::{Role, role_holders};
use super::{
    ANNOUNCE_INTERVAL, Exchange, Outgoing, PEERS_INTERVAL, QUIET_TIMEOUT, SEED_ASKERS,
    SEED_INTERVAL, is_due,
};
use crate::clock::Millis;

impl Exchange {
    /// This daemon's reports to its hubs, and its announcements to seeds and potential hubs.
    pub(super) fn reports(&mut self, own: Report, now: Millis) -> Vec<Outgoing> {
        let me = self.members.me;
        let own = Report {
            link_class: self.members.ranks.link_class().0,
            centre: self.members.centre.0,
            digest: self.evidence.digest(),
            losses: self.losses.for_report(now),
            ..own
        };
        let mut hubs = self.hubs(now);
        hubs.retain(|hub| *hub != me);
        let mut targets = self.due_announcement(now);
        targets.extend(self.due_seed(now));
        targets.retain(|daemon| !hubs.contains(daemon));
        targets.sort_unstable();
        targets.dedup();
        let announcement = Report {
            wish: Wish::Peers.into(),
            entries: Vec::new(),
            sent: Vec::new(),
            moved: Vec::new(),
            brittle: None,
            demand: None,
            losses: None,
            ..own.clone()
        };
        let source = self.sums_source(now);
        let full = |hub| (hub, self.report_to(hub, source, own.clone(), now));
        let reports = hubs.into_iter().map(full);
        let announcements = targets.into_iter().map(|to| (to, announcement.clone()));
        let all = reports.chain(announcements);
        all.map(|(to, report)| (to, Message::Report(report)))
            .collect()
    }

    /// The report to one hub; `source` is the hub that is asked for sums.
    fn report_to(
        &mut self,
        hub: SocketAddr,
        source: Option<SocketAddr>,
        own: Report,
        now: Millis,
    ) -> Report {
        let wish = match source == Some(hub) {
            true => Wish::Sums,
            false => Wish::Heartbeat,
        };
        let state = self.hubs.get(&hub);
        let digest = state.map(|state| state.digest);
        Report {
            findings: self.evidence.findings(hub, digest, NewEvidence::Own, now),
            reached: state.and_then(|state| state.sums.reached()),
            wish: wish.into(),
            ..own
        }
    }

    /// The seed that is to be asked for live daemons now, if any.
    fn due_seed(&mut self, now: Millis) -> Option<SocketAddr> {
        let is_hub = self.hubs(now).contains(&self.members.me);
        let interval = match (self.live_count(now), self.has_live_source(now)) {
            (1, _) => Millis::ZERO,
            (_, false) => PEERS_INTERVAL,
            (_, true) if is_hub => ANNOUNCE_INTERVAL,
            (live, true) => Millis(SEED_INTERVAL.0 * (live / SEED_ASKERS).max(1) as u64),
        };
        if self.seeds.is_empty() || !is_due(&mut self.seed_asked_at, interval, now) {
            return None;
        }
        self.next_seed = (self.next_seed + 1) % self.seeds.len();
        self.seeds.get(self.next_seed).copied()
    }

    /// Whether the hub that is asked for sums has sent a message recently.
    fn has_live_source(&self, now: Millis) -> bool {
        let is_live = |hub: SocketAddr| match hub == self.members.me {
            true => self.has_reports(),
            false => {
                let state = self.hubs.get(&hub);
                state.is_some_and(|state| now.since(state.at) < QUIET_TIMEOUT)
            }
        };
        self.sums_source(now).is_some_and(is_live)
    }

    /// Daemons to which this one announces itself as a hub now: those that may be considered hubs
    /// by a part of the fleet that doesn't know this daemon.
    fn due_announcement(&mut self, now: Millis) -> Vec<SocketAddr> {
        if !self.hubs(now).contains(&self.members.me)
            || !is_due(&mut self.announced_at, ANNOUNCE_INTERVAL, now)
        {
            return Vec::new();
        }
        let scope = self.hub_scope(now);
        let others = self.members.live_others(now);
        let others = others.filter(|(_, member)| scope.is_none_or(|scope| member.centre == scope));
        role_holders(others.map(ranked), Role::Hub, LISTED_PER_ROLE)
    }
}
