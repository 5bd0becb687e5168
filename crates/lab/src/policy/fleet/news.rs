//! What reaches the daemons late: reports, cache events, states, members.

use medlarrill_core::admission::{Event, Report};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::ChatHash;
use medlarrill_core::placement::CacheHint;
use medlarrill_core::units::Tokens;
use rand::RngExt;

use super::daemon::FleetDaemon;
use super::{Fleet, Late, News};
use crate::policy::engine::Snapshot;
use crate::policy::plant::Plant;

/// Size of one call for an endpoint's load.
const POLL_BYTES: u64 = 400;
/// Size of one cache event and of what is told of it.
const EVENT_BYTES: u64 = 60;

impl Fleet {
    /// An engine takes a report, which arrives later.
    pub(in crate::policy) fn report(&mut self, plant: &mut Plant, endpoint: usize, now: u64) {
        let news = News::Report {
            endpoint,
            taken: now,
            snapshot: plant.engines[endpoint].snapshot(),
        };
        let at = now + self.switches.report_lag;
        self.late.push(Late { at, news });
        let kept = 1.0 - self.switches.event_gaps;
        let mut evicted = std::mem::take(&mut plant.engines[endpoint].cache.evicted);
        evicted.retain(|_| self.rng.random::<f64>() < kept);
        if self.switches.hints && !evicted.is_empty() {
            let at = now + self.rng.random_range(1000..3000);
            let news = News::Evicted {
                endpoint,
                chats: evicted,
            };
            self.late.push(Late { at, news });
        }
    }

    /// Brings what was on its way.
    pub(super) fn arrive(&mut self, plant: &mut Plant, now: u64) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|late| late.at <= now);
        self.late = later;
        for late in due {
            match late.news {
                News::State {
                    daemon,
                    endpoint,
                    state,
                } => {
                    self.see_state(plant, daemon, endpoint, state, now);
                }
                News::Seen {
                    daemon,
                    other,
                    live,
                } => self.see(plant, daemon, other, live, now),
                News::Report {
                    endpoint,
                    taken,
                    snapshot,
                } => {
                    self.hear_report(plant, endpoint, taken, &snapshot, now);
                }
                News::Evicted { endpoint, chats } => self.hear_evicted(plant, endpoint, &chats),
            }
            self.work(plant, now);
        }
    }

    pub(super) fn hear_report(
        &mut self,
        plant: &Plant,
        endpoint: usize,
        taken: u64,
        of: &Snapshot,
        now: u64,
    ) {
        let report = Report {
            as_of: Millis(taken),
            running: of.running,
            waiting: of.waiting,
            tokens: Tokens(of.tokens as u64),
            slots: plant.size.engine.slots,
        };
        for number in 0..self.daemons.len() {
            let daemon = &mut self.daemons[number];
            if !daemon.answers || daemon.home_of[endpoint] != number {
                continue;
            }
            daemon.control += POLL_BYTES;
            let age = of.eviction_age.map(Millis);
            let name = &plant.names.endpoints[endpoint];
            daemon.pool.set_eviction_age(name, age);
            self.tell(plant, number, endpoint, Event::Report(report), now);
        }
    }

    pub(super) fn hear_evicted(&mut self, plant: &Plant, endpoint: usize, chats: &[u64]) {
        let home = |d: &&mut FleetDaemon| d.answers && d.home_of[endpoint] == d.number;
        let Some(home) = self.daemons.iter_mut().find(home) else {
            return;
        };
        home.control += EVENT_BYTES * chats.len() as u64;
        let owners: Vec<_> = chats.iter().map(|chat| home.directory_of(*chat)).collect();
        for (chat, owner) in chats.iter().zip(owners) {
            let name = &plant.names.endpoints[endpoint];
            let directory = &mut self.daemons[owner].directory;
            directory.record_cache_event(ChatHash(*chat), name, CacheHint::Evicted);
        }
    }
}
