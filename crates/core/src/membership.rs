//! Gossip-based membership of the fleet, as seen by one daemon.
//!
//! A [`Membership`] takes events and returns actions. Twice a second it probes
//! one member, through other members if it doesn't answer, and sends a heartbeat
//! to another. Every message carries updates about members, and each update is
//! sent a bounded number of times. Periodically two daemons compare digests of
//! their member tables and exchange what differs (anti-entropy). A member that
//! fails a probe is suspect until it answers with a higher heartbeat number, and
//! gone if it doesn't in time. For alternatives considered, see
//! `docs/design/membership.md`.

mod anti_entropy;
mod event;
mod leave;
mod load;
mod member;
mod probe;
mod receive;
mod seeds;
mod send;
mod settings;
mod table;
mod tick;
mod updates;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

use crate::clock::Millis;
use crate::freshness::Freshness;
use crate::ids::{DaemonId, Generation, Incarnation};
use crate::wire::{Gossip, PoolLoad, PoolSum};

pub use event::{Action, Event, ListedVm, Peer, Scope, Target};
pub use member::{Announced, Liveness, Member, State};
pub use settings::Settings;

use load::Loads;
use probe::{LeaveNotice, Probes};
use seeds::Seeds;
use settings::{GENERATION_FANOUT, ROUND_RECORDS};
use table::Table;
use updates::UpdateQueue;

/// When each periodic task is due next.
#[derive(Clone, Debug)]
struct Timers {
    round: Millis,
    loads: Millis,
    exchange: Millis,
    reconnect: Millis,
    updates: Millis,
    leave: Millis,
}

/// A request for a member's record that hasn't been answered.
#[derive(Clone, Debug)]
struct RecordRequest {
    /// When it was last sent.
    sent: Millis,
    attempts: u32,
}

/// The members of the fleet, as seen by this daemon.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    table: Table,
    seeds: Seeds,
    updates: UpdateQueue,
    probes: Probes,
    loads: Loads,
    freshness: Freshness,
    timers: Timers,
    rng: Pcg64Mcg,
    started: Millis,
    stale_since: Millis,
    /// Whether a peer has had the same digest since `stale_since`.
    caught_up: bool,
    /// Unanswered requests for the records of members that an update was about.
    record_requests: BTreeMap<Incarnation, RecordRequest>,
    /// Members that this daemon considers alive and another daemon considers gone.
    contested: BTreeSet<Incarnation>,
    /// Number of records that may be sent before the next round.
    record_budget: usize,
    leave_notice: Option<LeaveNotice>,
    /// Whether heartbeats are due at once even without updates to send.
    send_now: bool,
    actions: Vec<Action>,
}

impl Membership {
    /// Creates the view of a daemon that has just started. `seeds` are addresses from its settings; `seed` seeds the
    /// random choices.
    pub fn new(own: Member, seeds: Vec<SocketAddr>, seed: u64, now: Millis) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let settings = Settings::default();
        let timers = Timers {
            round: now + Millis(rng.random_range(0..settings.round.0)),
            loads: now,
            exchange: now,
            reconnect: now,
            updates: now,
            leave: now,
        };
        Self {
            settings,
            table: Table::new(own, now),
            seeds: Seeds::new(seeds),
            updates: UpdateQueue::default(),
            probes: Probes::default(),
            loads: Loads::default(),
            freshness: Freshness::new(now),
            timers,
            rng,
            started: now,
            stale_since: now,
            caught_up: false,
            record_requests: BTreeMap::new(),
            contested: BTreeSet::new(),
            record_budget: ROUND_RECORDS,
            leave_notice: None,
            send_now: false,
            actions: Vec::new(),
        }
    }

    /// Sets intervals and timeouts.
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Processes an event at `now` on the monotonic clock.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        match event {
            Event::Tick { wall } => self.tick(wall, now),
            Event::Received { from, message } => self.receive(&from, message, now),
            Event::Connected(peer) => self.connected(&peer),
            Event::Closed(peer) => self.probes.probe_soon(peer.incarnation),
            Event::Refused(address) => self.refused(address),
            Event::VmList(vms) => self.listed(&vms, now),
            Event::Leave => self.announce_leave(false, now),
            Event::Depart => self.announce_leave(true, now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Begins to leave; equivalent to [`Event::Leave`].
    pub fn leave(&mut self, now: Millis) -> Vec<Action> {
        self.handle(Event::Leave, now)
    }

    /// This daemon's own member, as announced to others.
    pub fn own(&self) -> &Member {
        self.table.own()
    }

    /// All known members, including gone ones, in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.entries().map(|e| &e.member)
    }

    /// The members in `scope` that may own endpoints and claims, in the order of their names.
    ///
    /// A suspect member is included until it is gone; see [`Member::is_eligible`].
    pub fn eligible(&self, scope: &Scope) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(|m| m.is_eligible() && scope.contains(m))
    }

    /// The member with this name, if it is known.
    pub fn get(&self, daemon: &DaemonId) -> Option<&Member> {
        self.table.by_name(daemon).map(|e| &e.member)
    }

    /// Increases with each change of any member; equal versions mean equal members.
    pub const fn version(&self) -> u64 {
        self.table.version()
    }

    /// Whether the view may be acted on at `now`, which is read from the clock just before acting.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.freshness.is_fresh(now)
    }

    /// Time until which the view may be acted on; see [`Freshness::valid_until`].
    pub fn fresh_until(&self) -> Option<Millis> {
        self.freshness.valid_until()
    }

    /// Number of pauses of this process detected so far.
    pub const fn pauses(&self) -> u64 {
        self.freshness.pauses()
    }

    /// Sets whether this daemon accepts requests.
    pub fn set_ready(&mut self, ready: bool) {
        if self.table.own().ready != ready && !self.is_leaving() {
            self.announce(|own| own.ready = ready);
        }
    }

    /// Sets the configuration generation in force here; one lower than before is ignored.
    pub fn set_generation(&mut self, generation: Generation) {
        let own = self.table.own().incarnation;
        self.send_now |= self.table.set_generation(own, generation);
    }

    /// Sets the load of the endpoints that this daemon is home to.
    pub fn set_own_load(&mut self, pools: Vec<PoolLoad>, now: Millis) {
        self.loads.set_own(pools, now);
    }

    /// Load of this data centre by pool, summed over this daemon and its peers.
    pub fn load_sums(&self) -> Vec<PoolSum> {
        self.loads.sums()
    }

    /// Eligible members that aren't known to have `generation` or a later one in force.
    pub fn lagging(&self, generation: Generation) -> impl Iterator<Item = &Member> {
        self.eligible(&Scope::Fleet)
            .filter(move |m| m.generation < generation)
    }

    /// Probes lagging members for their generation; a caller that waits for them calls this about once a second.
    ///
    /// The answers update [`Membership::lagging`].
    pub fn probe_lagging(&mut self, generation: Generation, now: Millis) -> Vec<Action> {
        let own = self.table.own().incarnation;
        let lagging = self.lagging(generation).map(|m| m.incarnation);
        let lagging: Vec<_> = lagging.filter(|i| *i != own).collect();
        let chosen = lagging.sample(&mut self.rng, GENERATION_FANOUT);
        for to in chosen.copied().collect::<Vec<_>>() {
            self.probe(to, None, now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Requests the record of a newly connected peer that isn't known.
    fn connected(&mut self, peer: &Peer) {
        let known = self.table.by_name(&peer.daemon);
        let known = known.is_some_and(|e| e.member.incarnation == peer.incarnation);
        if !known && peer.incarnation != self.table.own().incarnation {
            let message = Gossip {
                wants: vec![peer.incarnation.0],
                ..Gossip::default()
            };
            self.send_to_peer(peer, message);
        }
    }

    /// Records that an address refused a connection, and probes the members with that address.
    fn refused(&mut self, address: SocketAddr) {
        let affected = self.table.peers().filter(|e| e.member.address == address);
        let affected: Vec<_> = affected.map(|e| e.member.incarnation).collect();
        for incarnation in affected {
            if let Some(entry) = self.table.get_mut(incarnation) {
                entry.refused = true;
            }
            self.probes.probe_soon(incarnation);
        }
    }

    /// Processes the platform's list of router VMs.
    fn listed(&mut self, vms: &[ListedVm], now: Millis) {
        self.seeds.update(vms, now);
        let address = self.table.own().address;
        let leaving = vms.iter().any(|vm| vm.address == address && vm.leaving);
        if leaving && !self.is_leaving() {
            self.actions.push(Action::ListedLeaving);
        }
    }

    /// Changes this daemon's own member and sends the change to others.
    fn announce(&mut self, change: impl FnOnce(&mut Member)) {
        self.table.change_own(change);
        let own = self.table.own().incarnation;
        self.updates.push(own);
        self.report_change(own);
    }

    /// Reports the current state of a member to the caller.
    fn report_change(&mut self, incarnation: Incarnation) {
        let entry = self.table.get(incarnation);
        self.actions
            .extend(entry.map(|e| Action::Changed(e.member.clone())));
    }

    /// Ends the stale period if enough peers have answered and one of them had the same digest.
    ///
    /// After a timeout neither the digest nor listed but unknown peers are waited for: in a fleet
    /// that changes all the time no two digests may ever be equal, and listed peers may not exist.
    fn update_freshness(&mut self, now: Millis) {
        if !self.freshness.is_stale() {
            return;
        }
        let timed_out = now.since(self.stale_since) >= self.settings.stale_timeout;
        let known = self.table.peers().count();
        let own = self.table.own().address;
        let listed = self.seeds.addresses().filter(|a| *a != own).count();
        let peers = if timed_out { known } else { known.max(listed) };
        let caught_up = self.caught_up || timed_out || known == 0;
        if !caught_up || !self.freshness.try_confirm(peers) {
            return;
        }
        self.actions.push(Action::Fresh);
        if self.table.own().announced == Announced::Joining {
            self.announce(|own| own.announced = Announced::Live);
        }
    }
}
