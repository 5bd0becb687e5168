//! Writes the list of daemons to the platform's store, from which each daemon computes its share
//! of what the fleet may send.
//!
//! Each data centre has one object, written by its hubs, which receive reports
//! from all daemons there. Daemons that end stay listed for long: an unused share
//! does no harm, and a daemon that starts again still has its share.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use medlarrill_core::clock::Millis;
use medlarrill_core::routing::backoff;
use medlarrill_core::routing::fleet::LastSeen;
use medlarrill_core::routing::revision::Era;
use medlarrill_net::now::now;
use medlarrill_platform::objects;
use medlarrill_platform::store::{Call, Kind};
use rand::RngExt;

use super::client::{Client, Result};
use super::direct::DAEMONS_INTERVAL;
use super::{StoreContext, eras};

/// Interval between checks for daemons that aren't listed.
const CHECK_INTERVAL: Millis = Millis(1000);
/// Time since the start of the process after which daemons agree on who is a hub.
const SETTLE_TIME: Millis = Millis(2000);
/// Timeout for a response: it takes some milliseconds, or a fifth of a second from a slow
/// platform.
const ANSWER_TIMEOUT: Millis = Millis(900);
/// Time that each hub has to write before the next one in rank does.
const WRITE_TURN: Millis = Millis::from_secs(8);

/// Keeps the list in the store up to date until the process ends.
pub async fn sync(store: StoreContext, platform: SocketAddr) {
    let mut writer = DaemonListWriter {
        client: Client::new(platform).with_eras(store.copies.eras()),
        store,
        last_seen: LastSeen::default(),
        missing_since: None,
        era: None,
    };
    let mut failures = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL.as_duration()).await;
        let Err(error) = writer.step().await else {
            failures = 0;
            continue;
        };
        failures += 1;
        log::info!(target: "store", "store: daemons aren't listed yet: {error}");
        let pause = backoff::pause(failures, true, rand::rng().random());
        tokio::time::sleep(pause.as_duration()).await;
    }
}

struct DaemonListWriter {
    client: Client,
    store: StoreContext,
    last_seen: LastSeen,
    /// Since when some daemons aren't listed; after a write, the time from which on they count as
    /// missing again.
    missing_since: Option<Millis>,
    /// Era of the store in which `missing_since` was set.
    era: Option<Era>,
}

impl DaemonListWriter {
    async fn step(&mut self) -> Result<()> {
        let roster = self.store.roster.snapshot();
        let is_known = self.store.copies.revision(Kind::Daemons).is_some();
        let Some(rank) = roster.hubs.iter().position(|hub| *hub == roster.me) else {
            return Ok(());
        };
        if !is_known || now() < SETTLE_TIME {
            return Ok(());
        }
        self.last_seen.mark_live(&roster.live_daemons, now());
        let era = self.store.copies.era(Kind::Daemons);
        if eras::begins(&mut self.era, era) {
            self.missing_since = None;
        }
        if self.is_written(&roster.live_daemons) {
            self.missing_since = None;
            return Ok(());
        }
        // If the first hub in rank doesn't write, the next one does. Each hub waits for its copy to
        // show what was written before it writes again.
        let turn = Millis(WRITE_TURN.0 * rank as u64);
        let since = *self.missing_since.get_or_insert(now());
        if now() < since + turn {
            return Ok(());
        }
        self.missing_since = Some(now() + DAEMONS_INTERVAL + WRITE_TURN);
        self.write(&roster.live_daemons).await
    }

    /// Whether the store lists the live daemons, and those that it listed before it was restored.
    fn is_written(&self, live: &[SocketAddr]) -> bool {
        let name = self.store.data_centre.as_str();
        if !self.store.placement.unlisted(live).is_empty() {
            return false;
        }
        let Some(object) = self.store.copies.get(Kind::Daemons, name) else {
            return live.is_empty();
        };
        let stored = objects::daemons(&object).unwrap_or_default();
        let listed = self.store.placement.listed_part(name);
        Some(object.revision.era) == self.era && listed.iter().all(|daemon| stored.contains(daemon))
    }

    /// Adds daemons to the object of this data centre.
    async fn write(&mut self, live: &[SocketAddr]) -> Result<()> {
        let name = self.store.data_centre.as_str();
        let object = self.store.copies.get(Kind::Daemons, name);
        let retained = self.store.placement.listed_part(name).into_iter();
        let retained = retained.filter(|daemon| self.last_seen.is_retained(*daemon, now()));
        let all: BTreeSet<SocketAddr> = retained.chain(live.iter().copied()).collect();
        let all: Vec<SocketAddr> = all.into_iter().collect();
        let spec = objects::daemons_spec(&all);
        let kind = Kind::Daemons.to_string();
        // The store lacks an object of an earlier era.
        let object = object.filter(|object| Some(object.revision.era) == self.era);
        let call = match object {
            Some(object) => Call::replace_at(&kind, name, object.revision, &spec),
            None => Call::create(&kind, name, &spec),
        };
        self.store.metrics.platform_calls.inc();
        match self.client.call(&call, ANSWER_TIMEOUT).await {
            // Another hub wrote first, or a response was lost: the copy must show it first.
            Err(error) if error.exists() || error.is_missing() => {}
            result => drop(result?),
        }
        log::info!(target: "store", count = all.len(); "store: daemons written");
        Ok(())
    }
}
