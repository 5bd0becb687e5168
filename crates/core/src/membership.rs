//! Who is in the fleet, as one daemon sees it.
//!
//! A [`Membership`] is told events and returns actions. Twice a second it
//! probes one member, asking others to probe it if it doesn't answer, and
//! sends a heartbeat to another. Every message carries news of members, each
//! piece a bounded number of times; now and then two daemons compare digests
//! of all they know and exchange what differs. A member that fails a probe is
//! suspect until it answers with a higher heartbeat number, and gone if it
//! doesn't in time. The weighing of other ways is in `docs/design/membership.md`.

mod event;
mod exchange;
mod farewell;
mod load;
mod member;
mod probe;
mod receive;
mod seeds;
mod send;
mod settings;
mod spread;
mod table;
mod tick;

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
use probe::{Farewell, Probes};
use seeds::Seeds;
use settings::{GENERATION_FANOUT, ROUND_RECORDS};
use spread::Spread;
use table::Table;

/// When each kind of work is due next.
#[derive(Clone, Debug)]
struct Timers {
    round: Millis,
    loads: Millis,
    exchange: Millis,
    reconnect: Millis,
    news: Millis,
    farewell: Millis,
}

/// A question for a record.
#[derive(Clone, Debug)]
struct Asked {
    at: Millis,
    times: u32,
}

/// The members of the fleet, as this daemon sees them.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    table: Table,
    seeds: Seeds,
    spread: Spread,
    probes: Probes,
    loads: Loads,
    fresh: Freshness,
    timers: Timers,
    rng: Pcg64Mcg,
    started: Millis,
    stale_since: Millis,
    /// Whether a peer has had the same digest since then.
    caught_up: bool,
    /// Records asked for because of news.
    asked: BTreeMap<Incarnation, Asked>,
    /// Members that another believes gone.
    contested: BTreeSet<Incarnation>,
    /// Records that may be sent before the next round.
    records_left: usize,
    farewell: Option<Farewell>,
    /// Whether a heartbeat is due at once though there is no news.
    hurry: bool,
    out: Vec<Action>,
}

impl Membership {
    /// A daemon that has just started; `seeds` are the addresses of its settings.
    pub fn new(own: Member, seeds: Vec<SocketAddr>, seed: u64, now: Millis) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let settings = Settings::default();
        let timers = Timers {
            round: now + Millis(rng.random_range(0..settings.round.0)),
            loads: now,
            exchange: now,
            reconnect: now,
            news: now,
            farewell: now,
        };
        Self {
            settings,
            table: Table::new(own, now),
            seeds: Seeds::new(seeds),
            spread: Spread::default(),
            probes: Probes::default(),
            loads: Loads::default(),
            fresh: Freshness::new(now),
            timers,
            rng,
            started: now,
            stale_since: now,
            caught_up: false,
            asked: BTreeMap::new(),
            contested: BTreeSet::new(),
            records_left: ROUND_RECORDS,
            farewell: None,
            hurry: false,
            out: Vec::new(),
        }
    }

    /// The same with other times.
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Takes an event at `now` on the monotonic clock.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        match event {
            Event::Tick { wall } => self.tick(wall, now),
            Event::Received { from, message } => self.received(&from, message, now),
            Event::Connected(peer) => self.connected(&peer),
            Event::Closed(peer) => self.probes.check(peer.incarnation),
            Event::Refused(address) => self.refused(address),
            Event::VmList(vms) => self.listed(&vms, now),
            Event::Leave => self.bid_farewell(false, now),
            Event::Depart => self.bid_farewell(true, now),
        }
        std::mem::take(&mut self.out)
    }

    /// Begins to leave; the same as [`Event::Leave`].
    pub fn leave(&mut self, now: Millis) -> Vec<Action> {
        self.handle(Event::Leave, now)
    }

    /// This daemon, as the others are told.
    pub fn own(&self) -> &Member {
        self.table.own()
    }

    /// Every member known, gone ones too, in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.entries().map(|e| &e.member)
    }

    /// The members in `scope` that homes and claims are placed on, in the order of their names.
    ///
    /// A suspect is among them until it is gone; see [`Member::is_eligible`].
    pub fn eligible(&self, scope: &Scope) -> impl Iterator<Item = &Member> {
        self.members().filter(|m| m.is_eligible() && scope.contains(m))
    }

    /// The member of this name, if it is known.
    pub fn get(&self, daemon: &DaemonId) -> Option<&Member> {
        self.table.named(daemon).map(|e| &e.member)
    }

    /// Rises with each change of any member; equal numbers mean equal members.
    pub const fn version(&self) -> u64 {
        self.table.version()
    }

    /// Whether what is known may be acted on at `now`, read just before acting.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.fresh.is_fresh(now)
    }

    /// Until when what is known may be acted on; see [`Freshness::valid_until`].
    pub fn fresh_until(&self) -> Option<Millis> {
        self.fresh.valid_until()
    }

    /// How often this process was paused.
    pub const fn pauses(&self) -> u64 {
        self.fresh.pauses()
    }

    /// Says whether this daemon takes requests.
    pub fn set_ready(&mut self, ready: bool) {
        if self.table.own().ready != ready && !self.is_leaving() {
            self.announce(|own| own.ready = ready);
        }
    }

    /// Says which configuration is in force here; a lower one than before is ignored.
    pub fn set_generation(&mut self, generation: Generation) {
        let own = self.table.own().incarnation;
        self.hurry |= self.table.set_generation(own, generation);
    }

    /// Sets the load of the endpoints that this daemon is home to.
    pub fn set_own_load(&mut self, pools: Vec<PoolLoad>, now: Millis) {
        self.loads.set_own(pools, now);
    }

    /// Load of this data centre by pool, from this daemon's and its peers'.
    pub fn load_sums(&self) -> Vec<PoolSum> {
        self.loads.sums()
    }

    /// Live members that aren't known to have `generation` in force, or a later one.
    pub fn lagging(&self, generation: Generation) -> impl Iterator<Item = &Member> {
        self.eligible(&Scope::Fleet)
            .filter(move |m| m.generation < generation)
    }

    /// Asks lagging members for their generation; for a caller that waits, about once a second.
    ///
    /// Their answers are seen by [`Membership::lagging`].
    pub fn probe_lagging(&mut self, generation: Generation, now: Millis) -> Vec<Action> {
        let own = self.table.own().incarnation;
        let lagging = self.lagging(generation).map(|m| m.incarnation);
        let lagging: Vec<_> = lagging.filter(|i| *i != own).collect();
        let chosen = lagging.sample(&mut self.rng, GENERATION_FANOUT);
        for to in chosen.copied().collect::<Vec<_>>() {
            self.probe(to, None, now);
        }
        std::mem::take(&mut self.out)
    }

    fn connected(&mut self, peer: &Peer) {
        let known = self.table.named(&peer.daemon);
        let known = known.is_some_and(|e| e.member.incarnation == peer.incarnation);
        if !known && peer.incarnation != self.table.own().incarnation {
            let message = Gossip {
                wants: vec![peer.incarnation.0],
                ..Gossip::default()
            };
            self.send_to_peer(peer, message);
        }
    }

    /// Notes that an address refused a connection, and probes who should be there.
    fn refused(&mut self, address: SocketAddr) {
        let there = self.table.peers().filter(|e| e.member.address == address);
        let there: Vec<_> = there.map(|e| e.member.incarnation).collect();
        for incarnation in there {
            if let Some(entry) = self.table.get_mut(incarnation) {
                entry.refused = true;
            }
            self.probes.check(incarnation);
        }
    }

    fn listed(&mut self, vms: &[ListedVm], now: Millis) {
        self.seeds.update(vms, now);
        let address = self.table.own().address;
        let leaving = vms.iter().any(|vm| vm.address == address && vm.leaving);
        if leaving && !self.is_leaving() {
            self.out.push(Action::ListedLeaving);
        }
    }

    /// Changes this daemon's own member and tells of it.
    fn announce(&mut self, change: impl FnOnce(&mut Member)) {
        self.table.change_own(change);
        let own = self.table.own().incarnation;
        self.spread.put(own);
        self.changed(own);
    }

    fn changed(&mut self, incarnation: Incarnation) {
        let entry = self.table.get(incarnation);
        self.out
            .extend(entry.map(|e| Action::Changed(e.member.clone())));
    }

    /// Ends the stale time if enough peers have answered, and one of them knew the same.
    ///
    /// Both are waited for only so long: in a fleet that changes without pause
    /// no two digests may be the same, and listed peers may not be there.
    fn settle(&mut self, now: Millis) {
        if !self.fresh.is_stale() {
            return;
        }
        let waited = now.since(self.stale_since) >= self.settings.patience;
        let known = self.table.peers().count();
        let own = self.table.own().address;
        let listed = self.seeds.addresses().filter(|a| *a != own).count();
        let peers = if waited { known } else { known.max(listed) };
        let caught_up = self.caught_up || waited || known == 0;
        if !caught_up || !self.fresh.try_confirm(peers) {
            return;
        }
        self.out.push(Action::Fresh);
        if self.table.own().announced == Announced::Joining {
            self.announce(|own| own.announced = Announced::Live);
        }
    }
}
