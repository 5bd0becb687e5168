//! A store that goes back to a copy before real daemons, and what callers and endpoints see of it.

use std::time::Duration;

use http::StatusCode;
use medlarrill_platform_standin::{Call, Copy, Outage, Watches, configuration};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::setup::{Bench, POOL};

/// Time after which a confirmed version is in force, and a leaving endpoint gets no new work.
pub const BOUND: Duration = Duration::from_millis(2000);
/// Time between two requests.
const STEP: Duration = Duration::from_millis(10);
/// Time for which a store that is restored is away.
pub const AWAY: u64 = 400;

/// A version in which callers have these keys.
pub fn version(number: u64, keys: &[&str]) -> Value {
    let mut version = configuration(number, POOL);
    version["tenants"][0]["api_keys"] = json!(keys);
    version
}

pub struct Play {
    pub bench: Bench,
    requests: usize,
}

impl Play {
    /// Daemons that know each other and so many endpoints; version 7 is in force.
    pub async fn start(daemons: usize, endpoints: usize) -> Self {
        let mut bench = Bench::without_daemon(endpoints).await;
        for daemon in 0..daemons {
            bench.add_daemon(if daemon == 0 { &[] } else { &[0] });
            bench.ready(daemon, endpoints).await;
            bench.takes_connections(daemon).await;
        }
        if daemons > 1 {
            bench.until_all_live(daemons).await;
        }
        // Daemons that have just started don't ask for changes yet.
        Bench::pause(1200).await;
        Self { bench, requests: 0 }
    }

    /// Starts one daemon more, which knows the first one.
    pub async fn join(&mut self) {
        let number = self.bench.daemons.len();
        self.bench.add_daemon(&[0]);
        self.bench.ready(number, self.bench.endpoints.len()).await;
        self.bench.takes_connections(number).await;
        Bench::pause(500).await;
    }

    /// Has daemons know version 8 at a revision that the copy, which is returned, is far behind.
    pub async fn know_far_ahead(&self) -> Copy {
        let copy = self.bench.store.copy();
        self.raise(20);
        self.confirm(8, &["key"]);
        Bench::pause(500).await;
        copy
    }

    /// A play with daemons that run.
    pub const fn of(bench: Bench) -> Self {
        Self { bench, requests: 0 }
    }

    /// Confirms a version.
    pub fn confirm(&self, number: u64, keys: &[&str]) {
        self.bench
            .store
            .put("config", "main", version(number, keys));
    }

    /// Writes an endpoint's entry.
    pub fn write(&self, endpoint: usize, state: &str) {
        let endpoint = &self.bench.endpoints[endpoint];
        let entry = endpoint.entry(POOL, state);
        self.bench.store.put("servers", endpoint.id(), entry);
    }

    /// Raises the store's revision by changes that concern nobody.
    pub fn raise(&self, revisions: usize) {
        for number in 0..revisions {
            self.bench.store.put("others", "any", number.into());
        }
    }

    /// Restores the store, which is away meanwhile; `rewrite` is done before it answers again.
    pub async fn restore(&self, copy: Copy, away: u64, rewrite: impl FnOnce(&Self)) {
        self.bench.store.fail(Outage::Reset);
        Bench::pause(away).await;
        self.bench.store.restore(copy, Watches::Cut);
        rewrite(self);
        self.bench.store.fail(Outage::None);
    }

    fn call(&mut self, key: &str) -> Call {
        self.requests += 1;
        Call::new(format!("r-{}", self.requests), "/plain/x").with_key(Some(key))
    }

    /// Whether a daemon serves requests with a key.
    pub async fn serves(&mut self, daemon: usize, key: &str) -> bool {
        let call = self.call(key);
        let reply = self.bench.send_to(daemon, &call).await;
        assert!(
            reply.is_success() || reply.status == Some(StatusCode::UNAUTHORIZED),
            "{reply:?}"
        );
        reply.is_success()
    }

    /// Whether a daemon comes to serve requests with a key, or to refuse them, in time.
    pub async fn comes_to_serve(&mut self, daemon: usize, key: &str, is_served: bool) -> bool {
        let until = Instant::now() + BOUND;
        while Instant::now() < until {
            if self.serves(daemon, key).await == is_served {
                return true;
            }
            tokio::time::sleep(STEP).await;
        }
        false
    }

    /// Requests that reach an endpoint in a time in which a daemon gets many, all of which are
    /// served.
    pub async fn reached(&mut self, daemon: usize, endpoint: usize, millis: u64) -> usize {
        let before = self.bench.endpoints[endpoint].arrivals().len();
        let until = Instant::now() + Duration::from_millis(millis);
        while Instant::now() < until {
            let call = self.call("key");
            let reply = self.bench.send_to(daemon, &call).await;
            assert!(reply.is_success(), "{reply:?}");
            tokio::time::sleep(STEP).await;
        }
        self.bench.endpoints[endpoint].arrivals().len() - before
    }
}
