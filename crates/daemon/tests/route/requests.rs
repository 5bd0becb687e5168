use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::{Behaviour, Call, Caller, Endpoint, Ledger, Reply};
use medlarrill_testkit::routed::{WAIT, field};

use super::setup::Bench;

fn status(reply: &Reply) -> u16 {
    reply.status.map_or(0, |status| status.as_u16())
}

#[tokio::test]
async fn a_request_runs_once_and_its_answer_comes_back_unchanged() {
    let bench = Bench::start(2).await;
    let call = Call::new("r-1", "/once/x?y=1").with_body("hello");
    let reply = bench.send(&call).await;
    assert_that!(reply.is_success(), eq(true), "{reply:?}");
    assert_that!(reply.body.as_ref(), eq(b"r-1 5"));
    assert_that!(
        reply.headers.contains_key("medlarrill-response-seal"),
        eq(true)
    );
    assert_that!(
        reply.headers.contains_key("medlarrill-replica-load"),
        eq(false)
    );
    let runs = bench.ledger.runs("r-1");
    assert_that!(runs.len(), eq(1));
    assert_that!(runs[0].account.as_deref(), some(eq("account")));
    assert_that!(runs[0].wait.unwrap_or_default(), le(3000));
    assert_that!(runs[0].leaked, eq(false));
}

#[tokio::test]
async fn headers_that_only_entries_set_are_not_taken_from_callers() {
    let bench = Bench::start(1).await;
    let call = Call::new("r-1", "/once/x")
        .with_header("medlarrill-tenant", "somebody")
        .with_header("medlarrill-expect-instance", "e-9")
        .with_header("medlarrill-hold", "h-1");
    assert_that!(bench.send(&call).await.is_success(), eq(true));
    let runs = bench.ledger.runs("r-1");
    assert_that!(runs[0].account.as_deref(), some(eq("account")));
    assert_that!(runs[0].leaked, eq(false));
}

#[tokio::test]
async fn what_no_route_or_account_allows_is_refused_with_its_reason() {
    let bench = Bench::start(1).await;
    let no_route = bench.send(&Call::new("r-1", "/other/x")).await;
    assert_that!(status(&no_route), eq(404));
    let no_key = bench
        .send(&Call::new("r-2", "/plain/x").with_key(None))
        .await;
    assert_that!(status(&no_key), eq(401));
    let other_key = bench
        .send(&Call::new("r-3", "/plain/x").with_key(Some("k")))
        .await;
    assert_that!(status(&other_key), eq(401));
    let large = vec![b'x'; 70_000];
    let too_large = bench
        .send(&Call::new("r-4", "/plain/x").with_body(large))
        .await;
    assert_that!(status(&too_large), eq(413));
    let bad = Call::new("r-5", "/plain/x").with_header("medlarrill-prompt-prefix", "zz:1,x");
    assert_that!(status(&bench.send(&bad).await), eq(400));
    let huge = Call::new("r-6", "/plain/x").with_header("x-filler", &"x".repeat(40_000));
    assert_that!(status(&bench.send(&huge).await), eq(431));
    assert_that!(bench.ledger.all().len(), eq(0));
    bench.until(0, "\"outcome\":\"no-route\"", 1).await;
    bench.until(0, "\"outcome\":\"denied\"", 2).await;
    bench.until(0, "\"outcome\":\"body-too-large\"", 1).await;
    bench.until(0, "\"outcome\":\"bad-head\"", 1).await;
}

#[tokio::test]
async fn the_log_leads_from_a_requests_id_to_its_endpoint_and_outcome() {
    let bench = Bench::start(2).await;
    bench.send(&Call::new("r-77", "/plain/x")).await;
    bench.until(0, "entry: ended", 1).await;
    let lines = bench.daemons[0].lines_with("r-77");
    let sent = lines.iter().find(|line| line.contains("entry: sent"));
    let sent = sent.expect("a line for the attempt");
    for name in ["endpoint", "why", "load", "bound", "left"] {
        assert_that!(field(sent, name), some(anything()), "{name} in {sent}");
    }
    let ended = lines.iter().find(|line| line.contains("entry: ended"));
    let ended = ended.expect("a line for the end");
    assert_that!(field(ended, "outcome"), some(eq("answered")));
    assert_that!(field(ended, "endpoint"), eq(&field(sent, "endpoint")));
    assert_that!(field(ended, "version"), some(eq("7")));
}

#[tokio::test]
async fn metrics_count_requests_and_their_latency() {
    let bench = Bench::start(1).await;
    bench.send(&Call::new("r-1", "/plain/x")).await;
    let mut caller = Caller::new(bench.daemons[0].listen[2]);
    let refused = caller.send(&Call::new("m-1", "/metrics")).await;
    assert_that!(status(&refused), eq(405));
    let text = medlarrill_testkit::routed::read(bench.daemons[0].listen[2], "/metrics", WAIT);
    let text = text.expect("metrics");
    assert_that!(text, contains_substring("medlarrill_requests_total 1"));
    assert_that!(text, contains_substring("medlarrill_first_seconds_count 1"));
    assert_that!(text, contains_substring("medlarrill_version 7"));
}

#[tokio::test]
async fn a_stream_stated_twice_in_the_load_of_an_endpoint() {
    let endpoint = Endpoint::start("e", Ledger::default(), 0)
        .await
        .expect("an endpoint");
    endpoint.behave(Behaviour {
        pace: Duration::from_millis(200),
        ..Behaviour::default()
    });
    let address = endpoint.address();
    let streams = ["a", "b", "c"].map(|name| {
        let call = Call::new(name, "/stream/x");
        tokio::spawn(async move { Caller::new(address).send(&call).await })
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let reply = Caller::new(address).send(&Call::new("d", "/plain/x")).await;
    let load = reply.headers.get("medlarrill-replica-load");
    assert_that!(load, some(eq("4,0,8")));
    for stream in streams {
        assert_that!(stream.await.expect("a reply").is_success(), eq(true));
    }
}
