//! Calls to a platform that loses answers, refuses, hangs and throttles.

#[path = "support/peer.rs"]
mod peer;
#[path = "support/setup.rs"]
mod setup;

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_net::now::now;
use medlarrill_net::platform::{
    Backoff, Client, Ending, Error, MAX_OBJECT, Object, Read, Refusal, RetryOn, Role,
};
use medlarrill_testkit::http::Outage;
use medlarrill_testkit::platform::Faults;
use medlarrill_testkit::{ANY_PORT, Platform};
use tokio::io::AsyncWriteExt;

use peer::{Peer, read_head};
use setup::{budget, outage, settings, start};

/// A guard against a test that never ends.
const LONG: Millis = Millis::from_secs(20);
/// A wait that a hanging platform never meets.
const SHORT: Millis = Millis(100);
const ROLE: Role = Role::Config;

/// Calls that reached the platform.
fn reached(platform: &Platform) -> u64 {
    platform.calls().iter().map(|call| call.count).sum()
}

async fn get(client: &Client, timeout: Millis) -> medlarrill_net::platform::Result<Read> {
    let call = client.get(ROLE, "a", None, timeout);
    let guard = tokio::time::timeout((LONG + LONG).as_duration(), call);
    guard.await.expect("a call ends in its time")
}

fn text(value: &str) -> Bytes {
    value.to_owned().into()
}

#[gtest]
#[tokio::test]
async fn writes_hold_to_their_conditions() {
    let (_platform, client) = start().await;
    let first = client.create(ROLE, "a/b c", text("1"), LONG).await.unwrap();
    let again = client.create(ROLE, "a/b c", text("2"), LONG).await;
    let present = Some(first);
    expect_that!(again, err(eq(&Error::Precondition { present })));
    let second = client.update(ROLE, "a/b c", first, text("2"), LONG).await;
    let second = second.unwrap();
    expect_that!(second, gt(first));
    let stale = client.update(ROLE, "a/b c", first, text("3"), LONG).await;
    let present = Some(second);
    expect_that!(stale, err(eq(&Error::Precondition { present })));
    let absent = client.update(ROLE, "x", first, text("3"), LONG).await;
    expect_that!(absent, err(eq(&Error::Precondition { present: None })));
    let read = client.get(ROLE, "a/b c", None, LONG).await.unwrap();
    let value = text("2");
    let version = second;
    expect_that!(read, eq(&Read::Object(Object { version, value })));
    let same = client.get(ROLE, "a/b c", Some(second), LONG).await;
    expect_that!(same, ok(eq(&Read::NotModified)));
    let list = client.list(ROLE, "a/", "", 10, LONG).await.unwrap();
    expect_that!(list.entries[0].key, eq("a/b c"));
    client.delete(ROLE, "a/b c", second, LONG).await.unwrap();
    let gone = client.delete(ROLE, "a/b c", second, LONG).await;
    expect_that!(gone, err(eq(&Error::NotFound)));
    expect_that!(
        client.get(ROLE, "a/b c", None, LONG).await,
        err(eq(&Error::NotFound))
    );
}

#[gtest]
#[tokio::test]
async fn write_whose_answer_or_request_was_lost_is_unknown() {
    let (platform, client) = start().await;
    platform.set_faults(Faults {
        lost_requests: 1,
        lost_answers: 1,
        ..Faults::default()
    });
    for key in ["request-lost", "answer-lost"] {
        let result = client.create(ROLE, key, text("1"), LONG).await;
        expect_that!(result, err(matches_pattern!(Error::Unknown { .. })));
    }
    expect_that!(platform.keys(""), elements_are![eq("answer-lost")]);
    expect_that!(client.snapshot().ended(ROLE, Ending::Unknown), eq(2));
}

#[gtest]
#[tokio::test]
async fn refused_connection_is_certainly_not_done_and_looks_down() {
    let (platform, client) = start().await;
    platform.stop().await;
    let refusal = async |client: &Client| match get(client, LONG).await {
        Err(Error::NotDone { why, .. }) => why,
        other => panic!("{other:?}"),
    };
    expect_that!(refusal(&client).await, eq(Refusal::Unreachable));
    // After some failures in a row, calls end without being sent.
    let mut last = Refusal::Unreachable;
    while last == Refusal::Unreachable {
        last = refusal(&client).await;
    }
    expect_that!(last, eq(Refusal::Down));
}

/// Serves one refusal that asks for a minute, then counts nothing more.
async fn refuse_for_a_minute(peer: &Peer, status: &str) {
    let mut stream = peer.accept().await;
    read_head(&mut stream).await;
    let answer = format!("HTTP/1.1 {status}\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(answer.as_bytes()).await.unwrap();
}

#[gtest]
#[tokio::test]
async fn refusals_are_honoured_as_long_as_they_ask() {
    for (status, why, then) in [
        ("503 Down", Refusal::Unavailable, Ending::Down),
        ("429 Spent", Refusal::Throttled, Ending::Budget),
    ] {
        let peer = Peer::start().await;
        let client = Client::new(settings(peer.address));
        let serve = refuse_for_a_minute(&peer, status);
        let (result, ()) = tokio::join!(get(&client, LONG), serve);
        let after = Some(Millis::from_secs(60));
        expect_that!(result, err(eq(&Error::NotDone { why, after })));
        for _ in 0..100 {
            let error = get(&client, LONG).await.unwrap_err();
            expect_that!(error.ending(), eq(then));
        }
        expect_that!(
            get_as(&client, Role::Vms).await.ending(),
            eq(Ending::Unknown)
        );
    }
}

/// A call that the other side never answers, and how it ends.
async fn get_as(client: &Client, role: Role) -> Error {
    client.get(role, "a", None, SHORT).await.unwrap_err()
}

/// Calls that were not held back here.
fn tried(client: &Client) -> u64 {
    let snapshot = client.snapshot();
    snapshot.ended(ROLE, Ending::Unknown) + snapshot.ended(ROLE, Ending::Unreachable)
}

#[gtest]
#[tokio::test]
async fn one_probe_for_many_callers_while_the_platform_hangs() {
    let (platform, client) = start().await;
    platform.set_faults(outage(Outage::Hang));
    while get(&client, SHORT).await.unwrap_err().ending() != Ending::Down {}
    let first = tried(&client);
    let until = now() + LONG;
    while tried(&client) < first + 5 && now() < until {
        let before = tried(&client);
        let calls = (0..20).map(|_| get(&client, SHORT));
        futures_util::future::join_all(calls).await;
        expect_that!(tried(&client) - before, le(1));
    }
    expect_that!(tried(&client), eq(first + 5));
    expect_that!(reached(&platform), le(first + 5));
    platform.set_faults(Faults::default());
    let found = client.retry(ROLE, until, RetryOn::Any, async || get(&client, LONG).await);
    expect_that!(found.await, err(eq(&Error::NotFound)));
}

#[gtest]
#[tokio::test]
async fn call_that_waits_for_its_budget_is_not_sent_once_the_platform_is_down() {
    let peer = Peer::start().await;
    let client = Client::new(settings(peer.address).with_budget(ROLE, budget(1.0, 1)));
    let serve = refuse_for_a_minute(&peer, "503 Down");
    let (first, second, ()) = tokio::join!(get(&client, LONG), get(&client, LONG), serve);
    expect_that!(first.unwrap_err().ending(), eq(Ending::Unavailable));
    expect_that!(second.unwrap_err().ending(), eq(Ending::Down));
    expect_that!(client.is_down(ROLE), eq(true));
    expect_that!(client.is_down(Role::Vms), eq(false));
}

#[gtest]
#[tokio::test]
async fn failures_at_the_same_time_back_off_as_one() {
    let (platform, _) = start().await;
    let backoff = Backoff {
        base: Millis(500),
        cap: Millis::from_secs(3600),
    };
    let client = Client::new(settings(platform.address()).with_backoff(backoff));
    platform.set_faults(outage(Outage::Hang));
    let calls = (0..100).map(|_| get(&client, SHORT));
    futures_util::future::join_all(calls).await;
    match get(&client, SHORT).await {
        Err(Error::NotDone { why, after }) => {
            expect_that!(why, eq(Refusal::Down));
            expect_that!(after, some(le(backoff.base)));
        }
        // The wait may be over already.
        other => expect_that!(other, err(matches_pattern!(Error::Unknown { .. }))),
    }
}

#[gtest]
#[tokio::test]
async fn abandoned_probe_lets_the_next_call_find_out() {
    let (platform, client) = start().await;
    platform.set_faults(outage(Outage::Unavailable));
    get(&client, LONG).await.unwrap_err();
    platform.set_faults(outage(Outage::Hang));
    while reached(&platform) == 1 {
        let call = tokio::time::timeout(Duration::from_millis(50), get(&client, LONG));
        let _ = call.await;
    }
    platform.set_faults(Faults::default());
    let until = now() + LONG;
    let found = client.retry(ROLE, until, RetryOn::Any, async || get(&client, LONG).await);
    expect_that!(found.await, err(eq(&Error::NotFound)));
    expect_that!(client.snapshot().ended(ROLE, Ending::Dropped), ge(1));
}

#[gtest]
#[tokio::test]
async fn spent_budget_of_a_role_sends_nothing_and_spares_other_roles() {
    let platform = Platform::start(ANY_PORT).await.unwrap();
    let settings = settings(platform.address()).with_budget(Role::Vms, budget(0.001, 3));
    let client = Client::new(settings);
    for _ in 0..3 {
        expect_that!(client.vms(Role::Vms, LONG).await, ok(anything()));
    }
    for _ in 0..5 {
        let call = client.vms(Role::Vms, LONG);
        let guard = tokio::time::timeout((LONG + LONG).as_duration(), call);
        let error = guard.await.unwrap().unwrap_err();
        expect_that!(error.ending(), eq(Ending::Budget));
    }
    expect_that!(reached(&platform), eq(3));
    expect_that!(client.vms(Role::Watch, LONG).await, ok(anything()));
    expect_that!(client.snapshot().ended(Role::Vms, Ending::Budget), eq(5));
}

#[gtest]
#[tokio::test]
async fn object_and_answer_over_the_limit_are_refused() {
    let (platform, client) = start().await;
    let large = Bytes::from(vec![0; MAX_OBJECT as usize + 1]);
    let result = client.create(ROLE, "a", large, LONG).await;
    expect_that!(result, err(eq(&Error::TooLarge { limit: MAX_OBJECT })));
    expect_that!(reached(&platform), eq(0));

    let peer = Peer::start().await;
    let client = Client::new(settings(peer.address));
    let serve = async {
        let mut stream = peer.accept().await;
        read_head(&mut stream).await;
        let head = "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 999999999\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        // The client hangs up before it has taken in everything.
        while stream.write_all(&[0; 1 << 16]).await.is_ok() {}
    };
    let (result, ()) = tokio::join!(get(&client, LONG), serve);
    expect_that!(result, err(matches_pattern!(Error::TooLarge { .. })));
}

#[gtest]
#[tokio::test]
async fn list_of_vms_keeps_what_can_be_read() {
    let peer = Peer::start().await;
    let client = Client::new(settings(peer.address));
    let body = r#"{"as_of":5,"vms":[{"vm":"vm-1","kind":"router","data_centre":"dc1","region":"r1",
        "address":"127.0.0.1:7101","state":"live"},{"vm":"vm 2"}]}"#;
    let serve = async {
        let mut stream = peer.accept().await;
        let head = read_head(&mut stream).await;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).await.unwrap();
        head
    };
    let (list, head) = tokio::join!(client.vms(Role::Vms, LONG), serve);
    let list = list.unwrap();
    expect_that!(head, contains_substring("x-caller-role: vms"));
    expect_that!(list.as_of, eq(Millis(5)));
    expect_that!(list.vms.len(), eq(1));
    expect_that!(list.findings, elements_are![starts_with("vms[1]: ")]);
}

#[gtest]
#[tokio::test]
async fn write_that_may_have_been_done_is_not_tried_again() {
    let (platform, client) = start().await;
    platform.set_faults(Faults {
        lost_answers: 1,
        ..Faults::default()
    });
    let until = now() + LONG;
    let create = async || client.create(ROLE, "a", text("1"), LONG).await;
    let result = client.retry(ROLE, until, RetryOn::NotDone, create).await;
    expect_that!(result, err(matches_pattern!(Error::Unknown { .. })));
    expect_that!(reached(&platform), eq(1));
}
