use std::time::{Duration, Instant};

use googletest::prelude::*;
use medlarrill_platform_standin::{Call, Outage, configuration};
use medlarrill_testkit::proxy::{Harm, Proxy};
use medlarrill_testkit::routed::WAIT;

use super::setup::{Bench, POOL};

const OUTAGES: [Outage; 3] = [Outage::Silent, Outage::Busy, Outage::Reset];

#[tokio::test]
async fn a_daemon_without_configuration_is_not_ready_and_refuses_truly() {
    let mut bench = Bench::without_daemon(1).await;
    bench.store.fail(Outage::Reset);
    bench.add_daemon(&[]);
    let ready = bench.daemons[0].listen[1];
    let reply = bench.send(&Call::new("r-1", "/plain/x")).await;
    assert_that!(reply.promises_not_run(), eq(true));
    assert_that!(
        medlarrill_testkit::routed::read(ready, "/ready", WAIT),
        err(anything())
    );
    bench.store.fail(Outage::None);
    bench.ready(0, 1).await;
    bench.takes_connections(0).await;
    assert_that!(
        medlarrill_testkit::routed::read(ready, "/ready", WAIT),
        ok(anything())
    );
    assert_that!(
        bench.send(&Call::new("r-2", "/plain/x")).await.is_success(),
        eq(true)
    );
}

#[tokio::test]
async fn a_request_that_meets_a_daemon_just_started_waits_for_its_configuration() {
    let mut bench = Bench::without_daemon(1).await;
    let proxy = Proxy::start(bench.store.address()).await.expect("a proxy");
    proxy.harm(Harm::Delay(Duration::from_millis(60)));
    bench.add_daemon_behind(&[], proxy.address);
    let reply = bench.send(&Call::new("r-1", "/once/x")).await;
    assert_that!(reply.is_success(), eq(true), "{reply:?}");
}

#[tokio::test]
async fn requests_are_served_through_outages_of_every_form_and_changes_follow() {
    for outage in OUTAGES {
        let bench = Bench::start(2).await;
        bench.store.fail(outage);
        bench.until(0, "store: lost", 1).await;
        assert_that!(
            bench.send(&Call::new("r-1", "/plain/x")).await.is_success(),
            eq(true)
        );
        bench.store.put("config", "main", configuration(9, POOL));
        bench.store.fail(Outage::None);
        bench.until(0, "configuration in force", 2).await;
    }
}

#[tokio::test]
async fn a_lower_version_is_never_put_in_force() {
    let bench = Bench::start(1).await;
    bench.store.put("config", "main", configuration(5, POOL));
    bench.store.put("config", "main", configuration(8, POOL));
    bench.until(0, "configuration in force", 2).await;
    let lines = bench.daemons[0].lines_with("configuration in force");
    assert_that!(lines[1], contains_substring("\"version\":8"));
}

#[tokio::test]
async fn a_configuration_that_can_not_be_read_is_reported_with_its_place() {
    let bench = Bench::start(1).await;
    let mut broken = configuration(9, POOL);
    broken["routes"][1]["timeout_ms"] = "soon".into();
    bench.store.put("config", "main", broken);
    bench.until(0, "routes[1].timeout_ms", 1).await;
    assert_that!(
        bench.send(&Call::new("r-1", "/plain/x")).await.is_success(),
        eq(true)
    );
}

#[tokio::test]
async fn lost_history_is_listed_anew() {
    let bench = Bench::start(2).await;
    bench.store.fail(Outage::Busy);
    bench.until(0, "store: lost", 2).await;
    bench.store.remove("servers", "e-1");
    bench.store.put("config", "main", configuration(9, POOL));
    bench.store.forget();
    bench.store.fail(Outage::None);
    bench.until(0, "history gone", 1).await;
    bench.until(0, "configuration in force", 2).await;
    bench.until(0, "endpoint gone", 1).await;
}

#[tokio::test]
async fn a_leaving_endpoint_gets_no_new_work() {
    let bench = Bench::start(2).await;
    let entry = bench.endpoints[0].entry(POOL, "draining");
    bench.store.put("servers", "e-0", entry);
    let told = Instant::now();
    bench.until(0, "\"leaving\":true", 1).await;
    assert_that!(told.elapsed(), lt(Duration::from_secs(2)));
    for number in 0..20 {
        let attempt = format!("r-{number}");
        bench.send(&Call::new(&attempt, "/plain/x")).await;
        assert_that!(bench.ledger.runs(&attempt)[0].endpoint.as_str(), eq("e-1"));
    }
}

#[tokio::test]
async fn an_entry_that_lapsed_in_an_outage_is_used_until_it_had_time_to_be_back() {
    let bench = Bench::start(1).await;
    bench.store.fail(Outage::Reset);
    bench.until(0, "store: lost", 1).await;
    Bench::pause(1800).await;
    bench.store.remove("servers", "e-0");
    bench.store.fail(Outage::None);
    bench.until(0, "store: answers again", 1).await;
    assert_that!(
        bench.send(&Call::new("r-1", "/plain/x")).await.is_success(),
        eq(true)
    );
    bench.until(0, "endpoint gone", 1).await;
    let reply = bench.send(&Call::new("r-2", "/plain/x")).await;
    assert_that!(reply.promises_not_run(), eq(true));
}

#[tokio::test]
async fn a_list_of_several_pages_is_read_whole() {
    let bench = Bench::without_daemon(1).await;
    for number in 100..220 {
        let entry = bench.endpoints[0].entry("another", "ready");
        bench.store.put("servers", &format!("f-{number}"), entry);
    }
    let mut bench = bench;
    bench.add_daemon(&[]);
    bench.ready(0, 121).await;
}

#[tokio::test]
async fn a_list_that_the_store_refuses_for_its_rate_is_read_from_an_old_copy_and_brought_up_to_date()
 {
    let mut bench = Bench::without_daemon(2).await;
    bench.store.fail(Outage::Rate);
    bench.store.remove("servers", "e-1");
    bench.add_daemon(&[]);
    bench.ready(0, 2).await;
    bench.until(0, "endpoint gone", 1).await;
    let reply = bench.send(&Call::new("r-1", "/plain/x")).await;
    assert_that!(reply.is_success(), eq(true), "{reply:?}");
    assert_that!(bench.ledger.runs("r-1")[0].endpoint.as_str(), eq("e-0"));
}

#[tokio::test]
async fn a_daemon_that_alone_lost_the_platform_is_kept_up_to_date_by_others() {
    let mut bench = Bench::without_daemon(1).await;
    bench.add_daemon(&[]);
    let proxy = Proxy::start(bench.store.address()).await.expect("a proxy");
    bench.add_daemon_behind(&[0], proxy.address);
    for daemon in 0..2 {
        bench.ready(daemon, 1).await;
        bench.until(daemon, "\"live\":2", 1).await;
    }
    proxy.harm(Harm::Reset);
    bench.until(1, "store: lost", 1).await;
    bench.store.put("config", "main", configuration(9, POOL));
    bench.until(1, "configuration in force", 2).await;
}

#[tokio::test]
async fn a_daemon_that_starts_without_the_platform_is_served_by_one_that_lives() {
    for harm in [Harm::Reset, Harm::Silence] {
        let mut bench = Bench::start(1).await;
        let proxy = Proxy::start(bench.store.address()).await.expect("a proxy");
        proxy.harm(harm);
        bench.add_daemon_behind(&[0], proxy.address);
        bench.ready(1, 1).await;
    }
}

#[tokio::test]
async fn at_the_first_start_of_all_daemons_only_seeds_ask_the_platform() {
    let mut bench = Bench::without_daemon(1).await;
    bench.add_daemon(&[]);
    bench.ready(0, 1).await;
    let proxy = Proxy::start(bench.store.address()).await.expect("a proxy");
    proxy.harm(Harm::Reset);
    bench.add_first_daemon(&[0], proxy.address);
    bench.ready(1, 1).await;
    assert_that!(bench.daemons[1].lines_with("store: lost").len(), eq(0));
}

#[tokio::test]
async fn daemons_find_each_other_and_share_what_they_see() {
    let mut bench = Bench::without_daemon(2).await;
    bench.add_daemon(&[]);
    bench.add_daemon(&[0]);
    bench.add_daemon(&[0]);
    for daemon in 0..3 {
        bench.until(daemon, "\"live\":3", 1).await;
    }
}

#[tokio::test]
async fn an_entry_that_can_not_be_read_takes_its_endpoint_out_of_use_and_no_other() {
    let bench = Bench::start(2).await;
    let good = bench.endpoints[0].entry(POOL, "ready");
    let mut unknown = good.clone();
    unknown["state"] = "resting".into();
    let mut missing = good.clone();
    missing.as_object_mut().expect("an object").remove("slots");
    for (round, foreign) in [unknown, missing, "text".into()].into_iter().enumerate() {
        bench.store.put("servers", "e-0", foreign);
        bench.until(0, "endpoint gone", round + 1).await;
        for number in 0..10 {
            let attempt = format!("r-{round}-{number}");
            bench.send(&Call::new(&attempt, "/plain/x")).await;
            assert_that!(bench.ledger.runs(&attempt)[0].endpoint.as_str(), eq("e-1"));
        }
        bench.store.put("servers", "e-0", good.clone());
        bench.until(0, "endpoint listed", 3 + round).await;
    }
    let lines = bench.daemons[0].lines_with("an entry can't be read");
    assert_that!(lines[0], contains_substring("\"place\":\"state\""));
}

#[tokio::test]
async fn an_endpoint_that_starts_again_under_its_id_is_a_new_one() {
    let bench = Bench::start(2).await;
    let mut entry = bench.endpoints[0].entry(POOL, "ready");
    let mut other = bench.endpoints[1].entry(POOL, "ready");
    entry["born"] = 500.into();
    other["born"] = 400.into();
    bench.store.put("servers", "e-1", other);
    bench.store.put("servers", "e-0", entry.clone());
    bench.until(0, "e-0@500", 1).await;
    entry["born"] = 900.into();
    bench.store.put("servers", "e-0", entry);
    bench.until(0, "\"endpoint\":\"e-0@900\"", 1).await;
    let lines = bench.daemons[0].lines_with("endpoint started again");
    assert_that!(lines.last().expect("a line"), contains_substring("e-0@500"));
    let reply = bench.send(&Call::new("r-1", "/plain/x")).await;
    assert_that!(reply.is_success(), eq(true));
    // Where endpoints tell when they started, an entry that doesn't is another writer's.
    let foreign = bench.endpoints[1].entry(POOL, "ready");
    bench.store.put("servers", "e-1", foreign);
    bench.until(0, "\"place\":\"born\"", 1).await;
    for number in 0..10 {
        let attempt = format!("r-2-{number}");
        bench.send(&Call::new(&attempt, "/plain/x")).await;
        assert_that!(bench.ledger.runs(&attempt)[0].endpoint.as_str(), eq("e-0"));
    }
}
