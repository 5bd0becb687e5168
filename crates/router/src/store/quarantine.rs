//! Has the platform keep which requests are quarantined, so that daemons that
//! all start anew know them.

use std::net::SocketAddr;

use medlarrill_core::clock::Millis;
use medlarrill_core::routing::backoff;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::quarantine::{PlatformSync, Step, StoredRequest};
use medlarrill_net::now::{now, wall};
use medlarrill_platform::objects;
use medlarrill_platform::store::{self as wire, Call, Freshness};
use rand::RngExt;

use super::Store;
use super::client::{CallError, Client, Result};

/// Between two looks at what is to be done.
const LOOK: Millis = Millis(500);
/// Time since the start after which daemons agree on who is a hub.
const SETTLED: Millis = Millis(1000);
/// Longest time for an answer: it comes in some milliseconds, in a fifth of a second from a slow
/// platform.
const ANSWER: Millis = Millis(900);

/// Keeps them until the process ends.
pub async fn keep(store: Store, platform: SocketAddr) {
    let mut keeping = Keeping {
        client: Client::new(platform),
        keeper: PlatformSync::default(),
        store,
    };
    let mut failures = 0;
    loop {
        match keeping.step().await {
            Ok(true) => {
                failures = 0;
                continue;
            }
            Ok(false) => failures = 0,
            Err(error) => {
                failures += 1;
                report(&error, failures);
                let pause = backoff::pause(failures, true, rand::rng().random());
                tokio::time::sleep(pause.as_duration()).await;
            }
        }
        tokio::time::sleep(LOOK.as_duration()).await;
    }
}

/// Logs a call that failed; the first of several as a warning.
fn report(error: &CallError, failures: u32) {
    let level = match failures {
        1 => log::Level::Warn,
        _ => log::Level::Debug,
    };
    log::log!(target: "store", level, "store: the quarantine isn't kept yet: {error}");
}

struct Keeping {
    client: Client,
    keeper: PlatformSync,
    store: Store,
}

impl Keeping {
    /// Does what is next; says whether there was anything to do.
    async fn step(&mut self) -> Result<bool> {
        if now() < SETTLED {
            return Ok(false);
        }
        let is_hub = self.store.roster.borrow().following.is_hub;
        let placement = &self.store.placement;
        let Some(step) = placement.next_kept(&self.keeper, is_hub) else {
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
            copies.report(wire::QUARANTINE, &page.unreadable);
            for object in &page.objects {
                match objects::kept(object) {
                    Ok(kept) => all.push(kept),
                    Err(error) => copies.report_one(wire::QUARANTINE, &object.name, &error),
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
        let evidence: Vec<_> = all.iter().flat_map(|kept| kept.evidence(wall)).collect();
        self.store.placement.learn(&evidence, at);
        log::info!(target: "store", count = all.len(); "store: the kept quarantine is read");
        self.keeper.listed(&all);
        Ok(())
    }

    async fn write(
        &mut self,
        fingerprint: Fingerprint,
        call: fn(&str, &str, &serde_json::Value) -> Call,
    ) -> Result<()> {
        let Some(kept) = self.store.placement.kept(fingerprint, now(), wall()) else {
            return Ok(());
        };
        let (name, spec) = (fingerprint.to_string(), objects::kept_spec(&kept));
        match self.call(&call(wire::QUARANTINE, &name, &spec)).await {
            // Another daemon was first, or the answer to an earlier call was lost.
            Err(error) if error.exists() => {}
            // Removed since; it is made anew.
            Err(error) if error.is_missing() => {
                self.keeper.removed(fingerprint);
                return Ok(());
            }
            result => drop(result?),
        }
        self.keeper.written(&kept);
        Ok(())
    }

    async fn remove(&mut self, fingerprint: Fingerprint) -> Result<()> {
        let call = Call::remove(wire::QUARANTINE, &fingerprint.to_string());
        match self.call(&call).await {
            Err(error) if error.is_missing() => {}
            result => drop(result?),
        }
        self.keeper.removed(fingerprint);
        Ok(())
    }

    async fn call(&mut self, call: &Call) -> Result<bytes::Bytes> {
        self.store.metrics.calls.inc();
        let answer = self.client.call(call, ANSWER).await;
        if answer.is_err() {
            self.store.metrics.failed_calls.inc();
        }
        answer
    }
}
