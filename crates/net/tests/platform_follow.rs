//! Following a prefix through outages and compacted revisions.

#[path = "support/setup.rs"]
mod setup;

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_net::platform::{Follow, FollowEvent, Follower, Revision, Role, Version};
use medlarrill_testkit::http::Outage;
use medlarrill_testkit::platform::Faults;

use setup::{outage, start};

/// Timeout that is never reached unless a test hangs.
const GUARD_TIMEOUT: Millis = Millis::from_secs(20);
/// Timeout that a hanging platform always exceeds.
const SHORT_TIMEOUT: Millis = Millis(100);

async fn next(follower: &mut Follower) -> FollowEvent {
    let event = tokio::time::timeout(GUARD_TIMEOUT.as_duration(), follower.next());
    event.await.unwrap().unwrap()
}

fn listed(event: &FollowEvent) -> Vec<&str> {
    match event {
        FollowEvent::Listed { entries, .. } => entries.iter().map(|e| e.key.as_str()).collect(),
        FollowEvent::Changed { .. } => panic!("{event:?}"),
    }
}

#[gtest]
#[tokio::test]
async fn follower_lists_in_pages_and_continues_after_an_outage() {
    let (platform, client) = start().await;
    for key in ["p/1", "p/2", "p/3", "q"] {
        platform.put(key, "x");
    }
    let follow = Follow::new(Role::Watch, "p/")
        .with_page(2)
        .with_poll(Millis(200));
    let mut follower = client.follow(follow.with_timeout(SHORT_TIMEOUT));
    let event = next(&mut follower).await;
    expect_that!(
        listed(&event),
        elements_are![eq(&"p/1"), eq(&"p/2"), eq(&"p/3")]
    );
    platform.set_faults(outage(Outage::Cut));
    let last_contact = follower.last_contact();
    platform.put("q", "y");
    let version = Version(platform.put("p/2", "y"));
    platform.set_faults(Faults::default());
    match next(&mut follower).await {
        FollowEvent::Changed { changes, revision } => {
            expect_that!(changes.len(), eq(1));
            expect_that!(changes[0].version, eq(version));
            expect_that!(revision, ge(Revision(version.0)));
        }
        event => panic!("{event:?}"),
    }
    expect_that!(follower.last_contact().sent, ge(last_contact.sent));
    expect_that!(follower.last_contact().received, gt(None));
}

#[gtest]
#[tokio::test]
async fn a_change_never_seen_since_the_platform_was_restored_and_had_passed_the_revision() {
    let (platform, client) = start().await;
    platform.put("p/1", "x");
    let copy = platform.copy();
    platform.put("p/1", "y");
    let follow = Follow::new(Role::Watch, "p/").with_poll(Millis(200));
    let mut follower = client.follow(follow.with_timeout(SHORT_TIMEOUT));
    next(&mut follower).await;
    platform.set_faults(outage(Outage::Cut));
    platform.restore(copy);
    platform.put("p/2", "new");
    platform.put("p/3", "new");
    platform.set_faults(Faults::default());
    let mut seen = Vec::new();
    while let Ok(Some(event)) =
        tokio::time::timeout(Millis(1000).as_duration(), follower.next()).await
    {
        match event {
            FollowEvent::Listed { entries, .. } => seen.extend(entries.into_iter().map(|e| e.key)),
            FollowEvent::Changed { changes, .. } => seen.extend(changes.into_iter().map(|c| c.key)),
        }
    }
    expect_that!(seen, contains(eq("p/2")));
}

#[gtest]
#[tokio::test]
async fn a_change_never_seen_since_a_waiting_watch_outlived_a_restoration() {
    let (platform, client) = start().await;
    platform.put("p/1", "x");
    let copy = platform.copy();
    platform.put("p/1", "y");
    let mut follower = client.follow(Follow::new(Role::Watch, "p/"));
    next(&mut follower).await;
    platform.restore(copy);
    // The revision that the follower knows, given out again.
    platform.put("p/2", "new");
    let event = next(&mut follower).await;
    expect_that!(listed(&event), elements_are![eq(&"p/1"), eq(&"p/2")]);
}

#[gtest]
#[tokio::test]
async fn a_change_never_seen_since_the_platform_counts_its_eras_anew() {
    let (platform, client) = start().await;
    platform.put("p/1", "x");
    let built_anew = platform.copy();
    for _ in 0..3 {
        platform.restore(platform.copy());
    }
    platform.put("p/1", "y");
    let follow = Follow::new(Role::Watch, "p/").with_poll(Millis(200));
    let mut follower = client.follow(follow);
    next(&mut follower).await;
    platform.rebuild(built_anew);
    platform.put("p/2", "new");
    let event = next(&mut follower).await;
    expect_that!(listed(&event), elements_are![eq(&"p/1"), eq(&"p/2")]);
}

#[gtest]
#[tokio::test]
async fn follower_lists_again_when_the_revision_was_compacted() {
    let (platform, client) = start().await;
    platform.put("p/1", "x");
    let follow = Follow::new(Role::Watch, "p/").with_poll(Millis(200));
    let mut follower = client.follow(follow.with_timeout(SHORT_TIMEOUT));
    next(&mut follower).await;
    platform.set_faults(outage(Outage::Cut));
    platform.put("p/2", "x");
    platform.compact();
    platform.set_faults(Faults::default());
    let event = next(&mut follower).await;
    expect_that!(listed(&event), elements_are![eq(&"p/1"), eq(&"p/2")]);
}
