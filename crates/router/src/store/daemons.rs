//! Has the platform keep which daemons there are, for the part that each has
//! of what the fleet may send.
//!
//! Each data centre has an object, written by its hubs, which hear from all
//! daemons there. Daemons that end stay on it for long: a share that nobody uses harms
//! nobody, and a daemon that starts again finds its own.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use medlarrill_core::clock::Millis;
use medlarrill_core::routing::backoff;
use medlarrill_core::routing::fleet::LastSeen;
use medlarrill_net::now::now;
use medlarrill_platform::objects;
use medlarrill_platform::store::{Call, Kind};
use rand::RngExt;

use super::Store;
use super::client::{Client, Result};
use super::direct::DAEMONS_PAUSE;

/// Between two looks at which daemons aren't listed.
const LOOK: Millis = Millis(1000);
/// Time since the start after which daemons agree on who is a hub.
const SETTLED: Millis = Millis(2000);
/// Longest time for an answer: it comes in some milliseconds, in a fifth of a second from a slow
/// platform.
const ANSWER: Millis = Millis(900);
/// Time in which a hub writes before the next one in rank does.
const TURN: Millis = Millis::from_secs(8);

/// Keeps them until the process ends.
pub async fn keep(store: Store, platform: SocketAddr) {
    let mut keeping = Keeping {
        client: Client::new(platform),
        store,
        seen: LastSeen::default(),
        missing: None,
    };
    let mut failures = 0;
    loop {
        tokio::time::sleep(LOOK.as_duration()).await;
        let Err(error) = keeping.step().await else {
            failures = 0;
            continue;
        };
        failures += 1;
        log::info!(target: "store", "store: daemons aren't listed yet: {error}");
        let pause = backoff::pause(failures, true, rand::rng().random());
        tokio::time::sleep(pause.as_duration()).await;
    }
}

struct Keeping {
    client: Client,
    store: Store,
    seen: LastSeen,
    /// Since when some daemons aren't listed, or when that was last mended.
    missing: Option<Millis>,
}

impl Keeping {
    async fn step(&mut self) -> Result<()> {
        let roster = self.store.roster.borrow();
        let is_known = self.store.copies.revision(Kind::Daemons).is_some();
        let Some(rank) = roster.hubs.iter().position(|hub| *hub == roster.me) else {
            return Ok(());
        };
        if !is_known || now() < SETTLED {
            return Ok(());
        }
        self.seen.mark_live(&roster.known, now());
        if self.store.placement.unlisted(&roster.known).is_empty() {
            self.missing = None;
            return Ok(());
        }
        // The next hub in rank writes where the first one doesn't, and each again after its copy
        // had time to show what was written.
        let turn = Millis(TURN.0 * rank as u64);
        let since = *self.missing.get_or_insert(now());
        if now() < since + turn {
            return Ok(());
        }
        self.missing = Some(now() + DAEMONS_PAUSE + TURN);
        self.write(&roster.known).await
    }

    /// Adds daemons to those of this data centre.
    async fn write(&mut self, known: &[SocketAddr]) -> Result<()> {
        let name = self.store.data_centre.as_str();
        let object = self.store.copies.get(Kind::Daemons, name);
        // One that can't be read is reported where it is copied, and replaced here.
        let listed = object
            .as_ref()
            .and_then(|object| objects::daemons(object).ok());
        let kept = listed.into_iter().flatten();
        let kept = kept.filter(|daemon| self.seen.is_retained(*daemon, now()));
        let all: BTreeSet<SocketAddr> = kept.chain(known.iter().copied()).collect();
        let all: Vec<SocketAddr> = all.into_iter().collect();
        let spec = objects::daemons_spec(&all);
        let kind = Kind::Daemons.to_string();
        let call = match object {
            Some(object) => Call::replace_at(&kind, name, object.revision, &spec),
            None => Call::create(&kind, name, &spec),
        };
        self.store.metrics.calls.inc();
        match self.client.call(&call, ANSWER).await {
            // Another hub was first, or an answer was lost: what is there now is read first.
            Err(error) if error.exists() || error.is_missing() => {}
            result => drop(result?),
        }
        log::info!(target: "store", count = all.len(); "store: daemons written");
        Ok(())
    }
}
