//! Daemons whose ways to the endpoints are cut, while callers, the store and the other daemons
//! reach them.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::{Call, View};
use medlarrill_testkit::proxy::{Entry, Harm, Proxy};
use tokio::time::Instant;

use super::setup::Bench;

const PATHS: [&str; 4] = ["/plain/x", "/once/x", "/stream/x", "/stream-once/x"];
/// Time from a cut until a daemon serves as well as the others again.
const SETTLE: Duration = Duration::from_secs(1);
/// Time between two first tries at one daemon.
const PACE: Duration = Duration::from_millis(40);
/// First tries at one daemon in a second.
const A_SECOND: usize = 25;

/// What a cut does to connections to endpoints.
#[derive(Clone, Copy, PartialEq)]
enum Cut {
    /// Open ones fall silent, new ones get no answer.
    Hang,
    /// Open ones are reset, new ones are refused.
    Reset,
    /// Open ones live on, new ones are refused.
    NewOnly,
}

/// Daemons of which some have ways of their own to the endpoints.
struct Site {
    bench: Bench,
    /// The ways of each of the first daemons.
    ways: Vec<Vec<Proxy>>,
    _views: Vec<View>,
}

impl Site {
    /// The first `harmed` of the daemons have ways that can be cut.
    async fn start(endpoints: usize, harmed: usize, daemons: usize) -> Self {
        let mut bench = Bench::without_daemon(endpoints).await;
        let (mut ways, mut views) = (Vec::new(), Vec::new());
        for number in 0..daemons {
            let seeds: &[usize] = if number == 0 { &[] } else { &[0] };
            if number >= harmed {
                bench.add_daemon(seeds);
                continue;
            }
            let mut proxies = Vec::new();
            let mut seen = Vec::new();
            for endpoint in &bench.endpoints {
                let proxy = Proxy::start(endpoint.address()).await.expect("a proxy");
                seen.push((endpoint.address(), proxy.address));
                proxies.push(proxy);
            }
            let view = bench.store.view(seen).await.expect("a view");
            bench.add_daemon_behind(seeds, view.address());
            ways.push(proxies);
            views.push(view);
        }
        for daemon in 0..daemons {
            bench.ready(daemon, endpoints).await;
            if daemons > 1 {
                let live = format!("\"live\":{daemons}");
                bench.until(daemon, &live, 1).await;
            }
        }
        Self {
            bench,
            ways,
            _views: views,
        }
    }

    fn cut(&self, daemon: usize, cut: Cut) {
        let (harm, entry) = match cut {
            Cut::Hang => (Harm::Silence, Entry::Hang),
            Cut::Reset => (Harm::Reset, Entry::Refuse),
            Cut::NewOnly => (Harm::None, Entry::Refuse),
        };
        for way in &self.ways[daemon] {
            way.harm(harm);
            way.admit(entry);
        }
    }

    fn heal(&self, daemon: usize) {
        for way in &self.ways[daemon] {
            way.harm(Harm::None);
            way.admit(Entry::Open);
        }
    }

    /// Sends first tries to a daemon, each on a connection of its own; returns those that failed.
    async fn first_tries(&self, daemon: usize, name: &str, count: usize) -> Vec<String> {
        let address = self.bench.daemons[daemon].callers();
        let mut calls = Vec::new();
        for number in 0..count {
            let path = PATHS[number % PATHS.len()];
            let call = Call::new(format!("{name}-{daemon}-{number}"), path);
            calls.push(tokio::spawn(async move {
                let reply = medlarrill_platform_standin::Caller::new(address)
                    .send(&call)
                    .await;
                (call, reply)
            }));
            tokio::time::sleep(PACE).await;
        }
        let mut failed = Vec::new();
        for call in calls {
            let (call, reply) = call.await.expect("a reply");
            if !reply.is_success() {
                failed.push(format!(
                    "{} {}: {:?}",
                    call.attempt, call.path, reply.status
                ));
            }
        }
        failed
    }
}

async fn is_served_as_well_as_others(cut: Cut) {
    let site = Site::start(4, 1, 3).await;
    assert_that!(site.first_tries(0, "before", A_SECOND).await, is_empty());
    site.cut(0, cut);
    let until = Instant::now() + SETTLE;
    site.first_tries(0, "early", A_SECOND).await;
    tokio::time::sleep_until(until).await;
    let (cut_off, others) = tokio::join!(
        site.first_tries(0, "late", 2 * A_SECOND),
        site.first_tries(1, "late", 2 * A_SECOND)
    );
    assert_that!(others, is_empty());
    assert_that!(cut_off, is_empty());
    site.heal(0);
    tokio::time::sleep(SETTLE).await;
    assert_that!(site.first_tries(0, "after", A_SECOND).await, is_empty());
}

#[tokio::test]
async fn a_daemon_whose_ways_to_endpoints_hang_serves_as_well_as_others() {
    is_served_as_well_as_others(Cut::Hang).await;
}

#[tokio::test]
async fn a_daemon_whose_ways_to_endpoints_are_reset_serves_as_well_as_others() {
    is_served_as_well_as_others(Cut::Reset).await;
}

#[tokio::test]
async fn a_daemon_that_gets_no_new_connection_to_endpoints_serves_as_well_as_others() {
    is_served_as_well_as_others(Cut::NewOnly).await;
}
