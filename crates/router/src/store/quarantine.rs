//! Stores quarantined requests on the platform, so that they are known after
//! all daemons have restarted.

use std::net::SocketAddr;
use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::routing::backoff;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::mirror::Object;
use medlarrill_core::routing::quarantine::{PlatformSync, Step, StoredRequest};
use medlarrill_core::routing::revision::Era;
use medlarrill_net::now::{now, wall};
use medlarrill_platform::objects;
use medlarrill_platform::store::{self as wire, Call, Kind};
use rand::RngExt;

use super::client::{CallError, Client, Result};
use super::counted::CountedClient;
use super::{StoreContext, eras};

/// Interval between checks for the next step.
const CHECK_INTERVAL: Millis = Millis(500);
/// Time since the start of the process after which daemons agree on who is a hub.
const SETTLE_TIME: Millis = Millis(1000);
/// Timeout for a response: it takes some milliseconds, or a fifth of a second from a slow
/// platform.
const ANSWER_TIMEOUT: Millis = Millis(900);

/// Keeps the store up to date until the process ends.
pub async fn sync(store: StoreContext, platform: SocketAddr) {
    let metrics = Arc::clone(&store.metrics);
    let client = Client::new(platform).with_eras(store.copies.eras());
    let mut state = QuarantineSync {
        client: CountedClient::new(client, metrics, ANSWER_TIMEOUT),
        sync_state: PlatformSync::default(),
        era: None,
        store,
    };
    let mut failures = 0;
    loop {
        match state.step().await {
            Ok(true) => {
                failures = 0;
                continue;
            }
            Ok(false) => failures = 0,
            Err(error) => {
                failures += 1;
                log_failure(&error, failures);
                let pause = backoff::pause(failures, true, rand::rng().random());
                tokio::time::sleep(pause.as_duration()).await;
            }
        }
        tokio::time::sleep(CHECK_INTERVAL.as_duration()).await;
    }
}

/// Logs a failed call, the first of a series as a warning.
fn log_failure(error: &CallError, failures: u32) {
    let level = match failures {
        1 => log::Level::Warn,
        _ => log::Level::Debug,
    };
    log::log!(target: "store", level, "store: the quarantine isn't stored yet: {error}");
}

struct QuarantineSync {
    client: CountedClient,
    sync_state: PlatformSync,
    /// Era of the store that `sync_state` is about.
    era: Option<Era>,
    store: StoreContext,
}

impl QuarantineSync {
    /// Performs the next step; returns whether there was one.
    async fn step(&mut self) -> Result<bool> {
        if now() < SETTLE_TIME {
            return Ok(false);
        }
        let era = self.store.copies.era(Kind::Quarantine);
        if eras::begins(&mut self.era, era) {
            self.sync_state = PlatformSync::default();
        }
        let is_hub = self.store.roster.snapshot().following.is_hub;
        let placement = &self.store.placement;
        let Some(step) = placement.next_sync_step(&self.sync_state, is_hub) else {
            return Ok(false);
        };
        match step {
            Step::List if self.store.copies.revision(Kind::Quarantine).is_none() => {
                return Ok(false);
            }
            Step::List => self.read_copy(),
            Step::Create(fingerprint) => self.write(fingerprint, Call::create).await?,
            Step::Replace(fingerprint) => self.write(fingerprint, Call::replace).await?,
            Step::Remove(fingerprint) => self.remove(fingerprint).await?,
        }
        Ok(true)
    }

    /// Reads the copy of what is stored; it took effect when it was received.
    fn read_copy(&mut self) {
        let objects = self.store.copies.all(Kind::Quarantine);
        let read = |object: &Object| objects::quarantined(object).ok();
        let stored: Vec<StoredRequest> = objects.iter().filter_map(read).collect();
        log::info!(target: "store", count = stored.len(); "store: the kept quarantine is read");
        self.sync_state.listed(&stored);
    }

    async fn write(
        &mut self,
        fingerprint: Fingerprint,
        call: fn(&str, &str, &serde_json::Value) -> Call,
    ) -> Result<()> {
        let Some(stored) = self
            .store
            .placement
            .stored_request(fingerprint, now(), wall())
        else {
            return Ok(());
        };
        let (name, spec) = (fingerprint.to_string(), objects::quarantined_spec(&stored));
        match self
            .client
            .call(&call(wire::QUARANTINE, &name, &spec))
            .await
        {
            // Another daemon created it first, or the response to an earlier call was lost.
            Err(error) if error.exists() => {}
            // It was removed meanwhile, and is created again in the next step.
            Err(error) if error.is_missing() => {
                self.sync_state.removed(fingerprint);
                return Ok(());
            }
            result => drop(result?),
        }
        self.sync_state.written(&stored);
        Ok(())
    }

    async fn remove(&mut self, fingerprint: Fingerprint) -> Result<()> {
        let call = Call::remove(wire::QUARANTINE, &fingerprint.to_string());
        match self.client.call(&call).await {
            Err(error) if error.is_missing() => {}
            result => drop(result?),
        }
        self.sync_state.removed(fingerprint);
        Ok(())
    }
}
