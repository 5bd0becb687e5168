//! Data centres that operators drain through the platform, and endpoints that are spared after a
//! start, before real daemons.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use medlarrill_platform_standin::{Call, Outage, configuration};
use medlarrill_testkit::routed::WAIT;
use serde_json::json;

use super::setup::{Bench, POOL};

const DRAINS: &str = "evacuations";

/// A bench whose second endpoint runs in another data centre.
pub async fn two_data_centres() -> Bench {
    let mut bench = Bench::without_daemon(2).await;
    let mut entry = bench.endpoints[1].entry(POOL, "ready");
    entry["zone"] = "dc-b".into();
    bench.store.put("servers", "e-1", entry);
    bench.add_daemon(&[]);
    bench.ready(0, 2).await;
    bench
}

/// Requests by which an endpoint that gets one in eight shows itself.
const DRAWS: usize = 100;

/// The endpoints that run a hundred requests sent to a daemon.
async fn used(bench: &Bench, daemon: usize, name: &str) -> Vec<String> {
    let mut used = Vec::new();
    for number in 0..DRAWS {
        let attempt = format!("{name}-{number}");
        bench
            .send_to(daemon, &Call::new(&attempt, "/plain/x"))
            .await;
        used.extend(
            bench
                .ledger
                .runs(&attempt)
                .into_iter()
                .map(|run| run.endpoint),
        );
    }
    used.sort();
    used.dedup();
    used
}

#[tokio::test]
async fn a_drained_data_centre_gets_nothing_within_a_second_until_it_is_restored() {
    let bench = two_data_centres().await;
    assert_that!(used(&bench, 0, "before").await, eq(&["e-0", "e-1"]));
    bench.store.put(DRAINS, "dc-b", json!({}));
    let told = Instant::now();
    bench.until(0, "data centre drained", 1).await;
    assert_that!(told.elapsed(), lt(Duration::from_secs(1)));
    assert_that!(used(&bench, 0, "drained").await, eq(&["e-0"]));
    bench.store.remove(DRAINS, "dc-b");
    bench.until(0, "data centre takes work again", 1).await;
    assert_that!(used(&bench, 0, "after").await, eq(&["e-0", "e-1"]));
}

#[tokio::test]
async fn a_drain_outlasts_an_outage_of_the_platform_and_the_daemons_that_start_in_it() {
    for outage in [Outage::Silent, Outage::Busy, Outage::Reset] {
        let mut bench = two_data_centres().await;
        bench.store.put(DRAINS, "dc-b", json!({}));
        bench.until(0, "data centre drained", 1).await;
        bench.store.fail(outage);
        bench.until(0, "store: lost", 1).await;
        bench.add_daemon(&[0]);
        bench.until(1, "data centre drained", 1).await;
        bench.ready(1, 2).await;
        for daemon in [0, 1] {
            let name = format!("outage-{daemon}");
            assert_that!(used(&bench, daemon, &name).await, eq(&["e-0"]));
        }
    }
}

#[tokio::test]
async fn a_daemon_that_can_not_learn_what_is_drained_serves_nothing() {
    let mut bench = Bench::without_daemon(2).await;
    bench.store.put(DRAINS, "dc-b", json!({}));
    bench.store.fail(Outage::Only(DRAINS));
    bench.add_daemon(&[]);
    bench.ready(0, 2).await;
    let reply = bench.send(&Call::new("r-1", "/plain/x")).await;
    assert_that!(reply.promises_not_run(), eq(true), "{reply:?}");
    let ready = bench.daemons[0].listen[1];
    let answer = || medlarrill_testkit::routed::read(ready, "/ready", WAIT);
    assert_that!(answer(), err(anything()));
    bench.store.fail(Outage::None);
    bench.until(0, "data centre drained", 1).await;
    assert_that!(answer(), ok(anything()));
}

#[tokio::test]
async fn what_is_left_without_a_data_centre_is_told() {
    let bench = two_data_centres().await;
    bench.store.put(DRAINS, "dc-b", json!({}));
    bench.store.put(DRAINS, "dc-a", json!({}));
    bench.until(0, "can't carry the work", 1).await;
    let from = Instant::now();
    let reply = bench.send(&Call::new("r-1", "/once/x")).await;
    assert_that!(reply.promises_not_run(), eq(true), "{reply:?}");
    assert_that!(from.elapsed(), lt(Duration::from_secs(1)));
}

#[tokio::test]
async fn a_starting_endpoint_gets_no_more_from_all_daemons_than_it_bears() {
    const RATE: usize = 3;
    let mut bench = Bench::without_daemon(1).await;
    let mut config = configuration(9, POOL);
    config["services"][0]["cold_start_s"] = 3.0.into();
    config["services"][0]["cold_per_s"] = RATE.into();
    bench.store.put("config", "main", config);
    bench.add_daemon(&[]);
    bench.add_daemon(&[0]);
    bench.add_daemon(&[0]);
    for daemon in 0..3 {
        bench
            .until(
                daemon,
                "\"message\":\"store: daemons listed\",\"kvs\":{\"count\":3",
                1,
            )
            .await;
    }
    let mut entry = bench.endpoints[0].entry(POOL, "ready");
    entry["cold_remaining_ms"] = 60_000.into();
    bench.store.put("servers", "e-0", entry);
    for daemon in 0..3 {
        bench.until(daemon, "endpoints in slow start", 1).await;
    }
    // The review that logs it may come before this.
    Bench::pause(200).await;
    let until = Instant::now() + Duration::from_secs(4);
    let mut number = 0;
    while Instant::now() < until {
        let call = Call::new(format!("r-{number}"), "/plain/x");
        bench.send_to(number % 3, &call).await;
        number += 1;
    }
    let runs = bench.ledger.all();
    let second = |from: tokio::time::Instant| {
        let within = |at: tokio::time::Instant| at >= from && at < from + Duration::from_secs(1);
        runs.iter().filter(|run| within(run.at)).count()
    };
    let peak = runs.iter().map(|run| second(run.at)).max();
    assert_that!(peak, some(le(RATE)), "{} requests", number);
    assert_that!(runs.len(), ge(3 * RATE));
}
