//! Stores quarantined requests on the platform, so that they are known after
//! all daemons have restarted.

use std::net::SocketAddr;

use medlarrill_core::clock::Millis;
use medlarrill_core::routing::backoff;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::quarantine::{PlatformSync, Step, StoredRequest};
use medlarrill_net::now::{now, wall};
use medlarrill_platform::objects;
use medlarrill_platform::store::{self as wire, Call, Freshness};
use rand::RngExt;

use super::StoreContext;
use super::client::{CallError, Client, Result};

/// Interval between checks for the next step.
const CHECK_INTERVAL: Millis = Millis(500);
/// Time since the start of the process after which daemons agree on who is a hub.
const SETTLE_TIME: Millis = Millis(1000);
/// Timeout for a response: it takes some milliseconds, or a fifth of a second from a slow
/// platform.
const ANSWER_TIMEOUT: Millis = Millis(900);

/// Keeps the store up to date until the process ends.
pub async fn sync(store: StoreContext, platform: SocketAddr) {
    let mut state = QuarantineSync {
        client: Client::new(platform),
        sync_state: PlatformSync::default(),
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
    client: Client,
    sync_state: PlatformSync,
    store: StoreContext,
}

impl QuarantineSync {
    /// Performs the next step; returns whether there was one.
    async fn step(&mut self) -> Result<bool> {
        if now() < SETTLE_TIME {
            return Ok(false);
        }
        let is_hub = self.store.roster.snapshot().following.is_hub;
        let placement = &self.store.placement;
        let Some(step) = placement.next_sync_step(&self.sync_state, is_hub) else {
            return Ok(false);
        };
        match step {
            Step::List => self.list().await?,
            Step::Create(fingerprint) => self.write(fingerprint, Call::create).await?,
            Step::Replace(fingerprint) => self.write(fingerprint, Call::replace).await?,
            Step::Remove(fingerprint) => self.remove(fingerprint).await?,
        }
        Ok(true)
    }

    async fn list(&mut self) -> Result<()> {
        let mut all: Vec<StoredRequest> = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let path = wire::list_path(wire::QUARANTINE, after.as_deref(), Freshness::Latest);
            let body = self.call(&Call::get(path)).await?;
            let page = wire::page(&body).map_err(CallError::Decode)?;
            let copies = &self.store.copies;
            copies.report_all_unreadable(wire::QUARANTINE, &page.unreadable);
            for object in &page.objects {
                match objects::quarantined(object) {
                    Ok(stored) => all.push(stored),
                    Err(error) => copies.report_unreadable(wire::QUARANTINE, &object.name, &error),
                }
            }
            after = page.objects.last().map(|object| object.name.clone());
            match (page.more, &after) {
                (false, _) => break,
                (true, None) => return Err(CallError::Stuck),
                (true, Some(_)) => {}
            }
        }
        let (at, wall) = (now(), wall());
        let evidence: Vec<_> = all
            .iter()
            .flat_map(|stored| stored.evidence(wall))
            .collect();
        self.store.placement.merge_evidence(&evidence, at);
        log::info!(target: "store", count = all.len(); "store: the kept quarantine is read");
        self.sync_state.listed(&all);
        Ok(())
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
        match self.call(&call(wire::QUARANTINE, &name, &spec)).await {
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
        match self.call(&call).await {
            Err(error) if error.is_missing() => {}
            result => drop(result?),
        }
        self.sync_state.removed(fingerprint);
        Ok(())
    }

    async fn call(&mut self, call: &Call) -> Result<bytes::Bytes> {
        self.store.metrics.platform_calls.inc();
        let answer = self.client.call(call, ANSWER_TIMEOUT).await;
        if answer.is_err() {
            self.store.metrics.failed_calls.inc();
        }
        answer
    }
}
