//! The part of the exchange that a hub has: it adds reports up and tells the sums.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::message::{Message, Moved, Peer, Report, Totals};
use super::roles::{Role, holders};
use super::{Exchange, Heard, LARGE, LIST_PAUSE, MOVES, Outgoing, SEED_PAUSE, Seen, TOLD, ranked};
use crate::clock::Millis;

impl Exchange {
    /// Daemons to which this one shows itself as a hub now: those that may be taken for one by a
    /// part of the fleet that doesn't know this daemon.
    pub(super) fn due_announcement(&mut self, now: Millis) -> Vec<SocketAddr> {
        let waited = self.announced.is_none_or(|at| now.since(at) >= SEED_PAUSE);
        if !waited || !self.hubs(now).contains(&self.me) {
            return Vec::new();
        }
        self.announced = Some(now);
        holders(self.others(now).map(ranked), Role::Hub, TOLD)
    }

    /// What each reporter has to know of the others, this daemon included.
    pub(super) fn summaries(&mut self, own: &Report, now: Millis) -> Vec<Outgoing> {
        let mut total = Totals::default();
        total.add(own);
        self.counts.fade(now);
        self.counts.add(own);
        for (_, report) in self.reports.values() {
            total.add(report);
            self.counts.add(report);
        }
        let hot = self.counts.hot();
        let moved = self.moved(own);
        let peers = self.due_list(now);
        let live = u32::try_from(1 + self.others(now).count()).unwrap_or(u32::MAX);
        let daemons = self.gathered_from();
        let strength = self.ranks.strength().0;
        let summary = |(address, (_, report)): (&SocketAddr, &(Millis, Report))| {
            let mut others = total.without(report);
            others.daemons = daemons;
            others.live = live;
            others.strength = strength;
            others.peers.clone_from(&peers);
            others.hot.clone_from(&hot);
            others.moved.clone_from(&moved);
            (*address, Message::Summary(others))
        };
        self.reports.iter().map(summary).collect()
    }

    /// Prefixes that went elsewhere than rank and age say, as this daemon and its reporters tell.
    fn moved(&self, own: &Report) -> Vec<Moved> {
        let told = self.reports.values().map(|(_, report)| report);
        let moved = told.chain([own]).flat_map(|report| &report.moved);
        let unique: BTreeSet<Moved> = moved.copied().take(MOVES).collect();
        unique.into_iter().collect()
    }

    /// The daemons that live, if it is time to tell.
    fn due_list(&mut self, now: Millis) -> Vec<Peer> {
        if self.listed.is_some_and(|at| now.since(at) < LIST_PAUSE) {
            return Vec::new();
        }
        self.listed = Some(now);
        let peer = |(address, seen): &(SocketAddr, Seen)| {
            let peer = Peer::new(*address, now.since(seen.at), seen.cut_off)?;
            Some(peer.with_strength(seen.ranks.strength()))
        };
        self.worth_telling(now).iter().filter_map(peer).collect()
    }

    /// Daemons that live and may hold a role soon; in a small fleet all.
    fn worth_telling(&self, now: Millis) -> Vec<(SocketAddr, Seen)> {
        let mut live: Vec<(SocketAddr, Seen)> = self.others(now).collect();
        if live.len() <= LARGE {
            return live;
        }
        // Those that lost the platform follow those that reach it.
        live.sort_by(|(_, a), (_, b)| {
            let by_rank = a.ranks.order(&b.ranks, Role::Watcher);
            a.cut_off.cmp(&b.cut_off).then(by_rank)
        });
        let mut rest = live.split_off(TOLD);
        rest.sort_by(|(_, a), (_, b)| a.ranks.order(&b.ranks, Role::Hub));
        rest.truncate(TOLD);
        live.extend(rest);
        live
    }

    /// Daemons whose reports this one has, itself included.
    fn gathered_from(&self) -> u32 {
        let others = u32::try_from(self.reports.len()).unwrap_or(u32::MAX);
        others.saturating_add(1)
    }

    /// What the reports that this daemon got say of the others, unless it knows better.
    pub fn gathered(&mut self, now: Millis) -> Option<Heard> {
        let mut total = Totals::default();
        for (_, report) in self.reports.values() {
            total.add(report);
        }
        let mut summary = total.without(&Report::default());
        summary.hot = self.counts.hot();
        summary.moved = self.moved(&Report::default());
        summary.daemons = self.gathered_from();
        self.heard_from(self.me, &summary, now)
    }

    /// Whether this daemon has reports of others.
    pub fn is_hub(&self) -> bool {
        !self.reports.is_empty()
    }
}
