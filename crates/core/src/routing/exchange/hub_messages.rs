//! Messages of a hub: summaries for its reporters, subtotals for other data centres.

use std::collections::HashMap;

use super::evidence::NewEvidence;
use super::hot::shares;
use super::hub::{PeerQuery, add_loads, loads_of, reading_of};
use super::members::DataCentreHash;
use super::message::{Message, Peers, PrefixMove, Report, Subtotal, Summary};
use super::sums::Delta;
use super::{
    Exchange, HEARTBEAT_INTERVAL, Outgoing, PEERS_INTERVAL, PeerCounts, PeerUpdate, is_due,
};
use crate::clock::Millis;
use crate::routing::room::demand::TELL_INTERVAL;

/// Time between two subtotals to the hubs of other data centres. Both hubs of a data centre send to
/// both hubs of each other one, so a lost subtotal delays the sums by one tick.
const SUBTOTAL_INTERVAL: Millis = Millis(200);
impl Exchange {
    /// Immediate replies to queries for the live daemons: a daemon that has just started can't
    /// serve its callers before it knows which daemons to follow.
    pub fn replies(&mut self, now: Millis) -> Vec<Outgoing> {
        let queries = std::mem::take(&mut self.hub.queries);
        if queries.is_empty() {
            return Vec::new();
        }
        let listing = self.members.listing(now);
        let reply = |PeerQuery {
                         from,
                         centre,
                         digest,
                     }| {
            let mut summary = self.summary(now);
            summary.peers = Some(Peers::new(&listing.peers_for(centre, now)));
            summary.findings = self
                .evidence
                .findings(from, Some(digest), NewEvidence::All, now);
            (from, Message::Summary(summary))
        };
        queries.into_iter().map(reply).collect()
    }

    /// The fields that all summaries have in common.
    fn summary(&self, now: Millis) -> Summary {
        Summary {
            daemons: self.summed_count(now),
            live: self.local_live_count(now),
            link_class: self.members.ranks.link_class().0,
            centre: self.members.centre.0,
            reporters: self.reporter_count(now),
            cut_off: self.cut_off,
            digest: self.evidence.digest(),
            brittle: self.brittle.fleet.current(now),
            losses: self.losses.for_summary(now),
            ..Summary::default()
        }
    }

    /// The data centre whose daemons share hubs with this one; `None` in a small fleet, where all
    /// daemons share them.
    pub(super) fn hub_scope(&self, now: Millis) -> Option<DataCentreHash> {
        self.is_large(now).then_some(self.members.centre)
    }

    /// Number of daemons whose reports this one sums up, itself included.
    pub(super) fn reporter_count(&self, now: Millis) -> u32 {
        let others = self.hub.counted_reports(self.hub_scope(now)).count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Number of daemons whose requests are in the sums.
    fn summed_count(&self, now: Millis) -> u32 {
        let reporters = self.reporter_count(now);
        match self.is_large(now) {
            true => reporters.saturating_add(self.remote_count()),
            false => reporters,
        }
    }

    /// Number of live daemons by this daemon's own count, without the counts of others.
    fn local_live_count(&self, now: Millis) -> u32 {
        if self.is_large(now) {
            return self.summed_count(now);
        }
        let others = self.members.live_others(now).count();
        u32::try_from(1 + others).unwrap_or(u32::MAX)
    }

    /// Number of daemons in other data centres, as their hubs report.
    fn remote_count(&self) -> u32 {
        let remote = self.hub.remote.chosen();
        let daemons = remote.map(|(_, remote)| remote.daemons);
        daemons.fold(0, u32::saturating_add)
    }

    /// Sums up the reports, this daemon's own included; returns the messages that are due.
    pub(super) fn publish_sums(&mut self, own: &Report, now: Millis) -> Vec<Outgoing> {
        self.hub.count(own, true);
        let scope = self.hub_scope(now);
        self.hub.sum_demand(own.demand.as_ref(), scope, now);
        let mut loads = self.hub.loads(scope);
        add_loads(&mut loads, loads_of(&own.entries));
        let mut reading = self.hub.reading(scope);
        add_loads(&mut reading, reading_of(&own.entries));
        self.hub.local.set_reading(&reading);
        self.hub.local.publish(&loads, now);
        if scope.is_some() {
            self.hub.add_remote(&mut loads);
            self.hub.add_remote_reading(&mut reading);
        }
        self.hub.fleet.set_reading(&reading);
        self.hub.fleet.publish(&loads, now);
        if scope.is_some() && self.sums_source(now) == Some(self.members.me) {
            self.reported_live = (self.local_live_count(now) as usize, now);
        }
        let mut out = self.subtotals(now);
        out.extend(self.summaries(now));
        out
    }

    /// Summaries for the reporters, with what each asked for.
    fn summaries(&mut self, now: Millis) -> Vec<Outgoing> {
        let is_heartbeat_due = is_due(&mut self.hub.heartbeat_at, HEARTBEAT_INTERVAL, now);
        let are_peers_due = is_due(&mut self.hub.peers_at, PEERS_INTERVAL, now);
        let demand = self.hub.fleet_demand.as_ref();
        let demand = demand.filter(|_| is_due(&mut self.hub.demand_at, TELL_INTERVAL, now));
        let demand = demand.cloned();
        if are_peers_due {
            self.hub.prefixes.decay(now);
            let remote = self.hub.remote.chosen();
            let others = remote.map(|(_, remote)| &remote.prefixes);
            self.hub.hot = self.hub.prefixes.hot(others);
        }
        let common = self.summary(now);
        let moved: Vec<PrefixMove> = std::mem::take(&mut self.hub.fleet_moves)
            .into_iter()
            .collect();
        let mut lists: HashMap<DataCentreHash, Peers> = HashMap::new();
        let listing = self.members.listing(now);
        let mut list = |to: DataCentreHash| {
            let peers = || Peers::new(&listing.peers_for(to, now));
            Some(lists.entry(to).or_insert_with(peers).clone())
        };
        let mut out = Vec::new();
        let mut deltas: HashMap<u32, Delta> = HashMap::new();
        // Others have asked for the live daemons once, and were sent them at once.
        let reporters = self.hub.reports.iter();
        for (address, report) in reporters.filter(|(_, report)| report.is_full) {
            let mut summary = common.clone();
            if report.wants_sums {
                let base = self.hub.fleet.base(report.reached);
                let delta = || self.hub.fleet.delta_from(base);
                summary.delta = Some(deltas.entry(base).or_insert_with(delta).clone());
                summary.moved.clone_from(&moved);
                summary.demand.clone_from(&demand);
                let digest = Some(report.digest);
                summary.findings = self
                    .evidence
                    .findings(*address, digest, NewEvidence::All, now);
                if are_peers_due {
                    summary.peers = list(report.centre);
                    summary.hot.clone_from(&self.hub.hot);
                }
            // Their own hub may have ended, so that they would lack the news.
            } else if !is_heartbeat_due && common.losses.is_none() {
                continue;
            }
            out.push((*address, Message::Summary(summary)));
        }
        out
    }

    /// Subtotals for the hubs of other data centres, if they are due.
    fn subtotals(&mut self, now: Millis) -> Vec<Outgoing> {
        let is_hub = self.is_large(now) && self.hubs(now).contains(&self.members.me);
        if !is_hub || !is_due(&mut self.hub.subtotals_at, SUBTOTAL_INTERVAL, now) {
            return Vec::new();
        }
        let are_peers_due = is_due(&mut self.hub.remote_peers_at, PEERS_INTERVAL, now);
        let moved = std::mem::take(&mut self.hub.local_moves);
        let demand = self.hub.local_demand.as_ref();
        let demand = demand.filter(|_| is_due(&mut self.hub.remote_demand_at, TELL_INTERVAL, now));
        let demand = demand.cloned();
        let prefixes = are_peers_due.then(|| self.hub.prefixes.prefixes());
        let common = Subtotal {
            prefixes,
            daemons: self.reporter_count(now),
            link_class: self.members.ranks.link_class().0,
            moved: moved.into_iter().collect(),
            centre: self.members.centre.0,
            cut_off: self.cut_off,
            digest: self.evidence.digest(),
            brittle: self.brittle.local.current(now),
            demand,
            losses: self.losses.for_subtotal(now),
            ..Subtotal::default()
        };
        let mut out = Vec::new();
        let listing = self.members.listing(now);
        for centre in self.members.other_centres(now) {
            let peers = || Peers::new(&listing.peers_for(centre, now));
            let peers = are_peers_due.then(peers);
            for hub in self.members.hubs_of(Some(centre), now) {
                let remote = self.hub.remote.get(&hub);
                let reached = remote.and_then(|remote| remote.reached);
                let digest = remote.map(|remote| remote.digest);
                let subtotal = Subtotal {
                    delta: Some(self.hub.local.delta_since(reached)),
                    peers: peers.clone(),
                    findings: self.evidence.findings(hub, digest, NewEvidence::All, now),
                    reached: remote.and_then(|remote| remote.copy.reached()),
                    ..common.clone()
                };
                out.push((hub, Message::Subtotal(subtotal)));
            }
        }
        out
    }

    /// The update from reports to this daemon as a hub; `None` if another hub is asked for sums, or
    /// if the reports cover too few daemons.
    pub fn hub_update(&mut self, now: Millis) -> Option<PeerUpdate> {
        if self.sums_source(now) != Some(self.members.me)
            || !self.has_coverage(self.summed_count(now), now)
        {
            return None;
        }
        let mut loads = self.hub.loads(self.hub_scope(now));
        let mut reading = self.hub.reading(self.hub_scope(now));
        if self.is_large(now) {
            self.hub.add_remote(&mut loads);
            self.hub.add_remote_reading(&mut reading);
        }
        let mut update = PeerUpdate {
            hot: shares(&self.hub.hot),
            moved: std::mem::take(&mut self.hub.new_moves),
            demand: self.hub.fleet_demand.clone(),
            ..PeerUpdate::default()
        };
        for (endpoint, in_flight) in loads {
            update.endpoints.entry(endpoint).or_default().in_flight = in_flight;
        }
        for (endpoint, units) in reading {
            update.endpoints.entry(endpoint).or_default().reading = units;
        }
        for (endpoint, outcomes) in self.hub.new_outcomes.drain() {
            let others: &mut PeerCounts = update.endpoints.entry(endpoint).or_default();
            others.good = outcomes.good;
            others.bad = outcomes.bad;
        }
        Some(update)
    }

    /// Whether this daemon has received reports, and so acts as a hub.
    pub fn has_reports(&self) -> bool {
        !self.hub.reports.is_empty()
    }
}
