//! What a daemon that has just started learns from others before it takes requests.
//!
//! The platform's store may have gone back a moment ago, and only daemons of
//! before know what it has lost. Where this daemon has read its own lists, it
//! asks two others once for their copies.

use std::net::SocketAddr;
use std::pin::pin;

use derive_more::Debug;
use futures_util::SinkExt;
use futures_util::future::join_all;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::newcomer::Newcomer;
use medlarrill_net::now::now;
use medlarrill_platform::store::Kind;

use super::message::Subscription;
use super::{CONNECT_TIMEOUT, EARLY_CHECK_INTERVAL, RelayError, Result, next};
use crate::socket::{self, Link, framed};
use crate::store::StoreContext;
use crate::store::copies::KINDS;

/// Time since the start of the process in which others are looked for.
const LOOK_PERIOD: Millis = Millis::from_secs(3);
/// Timeout for what another daemon knows.
const TOLD_TIMEOUT: Millis = Millis(1000);

/// Lets this daemon take requests once it knows enough.
pub async fn learn_at_start(store: StoreContext) {
    let roster = store.roster.snapshot();
    let has_others = roster.seeds.iter().any(|seed| *seed != roster.me);
    let mut newcomer = Newcomer::new(has_others && !store.first_start);
    store.copies.listed().await;
    newcomer.record_listed(store.copies.has_listed(), now());
    let mut asking = pin!(ask_others(&store));
    let mut told = None;
    while !newcomer.is_ready(now()) {
        let wait = newcomer.due().unwrap_or_default().since(now());
        tokio::select! {
            biased;
            sources = &mut asking, if told.is_none() => {
                if !sources.is_empty() {
                    newcomer.record_heard();
                }
                told = Some(sources);
            }
            () = tokio::time::sleep(wait.as_duration()) => {}
        }
    }
    store.copies.set_informed();
    log::info!(target: "relay", passed = now().0; "relay: takes requests");
    let told = match told {
        Some(told) => told,
        None => asking.await,
    };
    join_all(told.into_iter().map(|source| source.read_rest(&store))).await;
}

/// Asks others if this daemon has read its own lists; returns those that have told all that requests
/// need.
async fn ask_others(store: &StoreContext) -> Vec<Source> {
    while now() < LOOK_PERIOD {
        let sources = store.roster.snapshot().following.sources;
        if !sources.is_empty() {
            if !store.copies.has_listed() {
                return Vec::new();
            }
            let asked = sources.into_iter().map(|source| ask(store, source));
            return join_all(asked).await.into_iter().flatten().collect();
        }
        tokio::time::sleep(EARLY_CHECK_INTERVAL.as_duration()).await;
    }
    Vec::new()
}

async fn ask(store: &StoreContext, address: SocketAddr) -> Option<Source> {
    let asked = tokio::time::timeout(TOLD_TIMEOUT.as_duration(), async {
        let mut source = Source::open(address).await?;
        source
            .read_until(store, |kind| !store.copies.is_required(kind))
            .await?;
        Ok(source)
    });
    match asked.await.unwrap_or(Err(RelayError::Silent)) {
        Ok(source) => {
            log::info!(target: "relay", source:% = address; "relay: asked what is known");
            Some(source)
        }
        Err(error) => {
            log::info!(
                target: "relay", source:% = address, cause:% = error;
                "relay: not told what is known"
            );
            None
        }
    }
}

/// Another daemon that is asked what it knows.
#[derive(Debug)]
struct Source {
    #[debug(skip)]
    connection: Link,
    /// Kinds that it hasn't told of.
    missing: Vec<Kind>,
}

impl Source {
    async fn open(address: SocketAddr) -> Result<Self> {
        let mut connection = framed(socket::connect(address, CONNECT_TIMEOUT).await?);
        connection.send(Subscription::new(&[]).encode()).await?;
        let missing = KINDS.to_vec();
        Ok(Self {
            connection,
            missing,
        })
    }

    /// Takes what the source knows better than this daemon, until only kinds are missing that may be;
    /// what it doesn't list says nothing.
    async fn read_until(
        &mut self,
        store: &StoreContext,
        may_miss: impl Fn(Kind) -> bool,
    ) -> Result<()> {
        while !self.missing.iter().all(|kind| may_miss(*kind)) {
            let notification = next(&mut self.connection).await?;
            let Some((kind, update, _)) = notification.into_update()? else {
                continue;
            };
            let Some(at) = self.missing.iter().position(|missing| *missing == kind) else {
                continue;
            };
            self.missing.swap_remove(at);
            if store.copies.era(kind).is_some() {
                store.copies.apply(kind, update.into_objects(), None, now());
            }
        }
        Ok(())
    }

    /// Reads what requests don't need.
    async fn read_rest(mut self, store: &StoreContext) {
        let reading = self.read_until(store, |_| false);
        if tokio::time::timeout(TOLD_TIMEOUT.as_duration(), reading)
            .await
            .is_err()
        {
            log::debug!(target: "relay", "relay: not told all that is known");
        }
    }
}
