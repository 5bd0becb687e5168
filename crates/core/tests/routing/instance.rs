use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::exchange::short_id;
use medlarrill_core::routing::instance::{EntryKind, InstanceTracker};

use super::support::{id, started_at};

#[gtest]
fn an_earlier_start_is_a_late_write_until_the_later_one_has_fallen_silent() {
    let mut tracker = InstanceTracker::default();
    expect_that!(
        tracker.classify(&started_at("a", 500), Millis(0)),
        eq(EntryKind::Current)
    );
    expect_that!(
        tracker.classify(&started_at("a", 900), Millis(100)),
        eq(EntryKind::Current)
    );
    expect_that!(
        tracker.classify(&started_at("a", 500), Millis(6000)),
        eq(EntryKind::Late)
    );
    expect_that!(
        tracker.classify(&started_at("a", 900), Millis(7000)),
        eq(EntryKind::Current)
    );
    expect_that!(
        tracker.classify(&started_at("a", 500), Millis(14_999)),
        eq(EntryKind::Late)
    );
    // No entry arrived for the later start: the endpoint's clock was set back.
    expect_that!(
        tracker.classify(&started_at("a", 500), Millis(15_000)),
        eq(EntryKind::Current)
    );
}

#[gtest]
fn where_endpoints_say_when_they_started_an_entry_that_does_not_is_foreign() {
    let mut tracker = InstanceTracker::default();
    expect_that!(
        tracker.classify(&id("a"), Millis(0)),
        eq(EntryKind::Current)
    );
    expect_that!(tracker.has_start_times(), eq(false));
    expect_that!(
        tracker.classify(&started_at("b", 500), Millis(0)),
        eq(EntryKind::Current)
    );
    expect_that!(tracker.has_start_times(), eq(true));
    expect_that!(
        tracker.classify(&id("a"), Millis(1)),
        eq(EntryKind::Foreign)
    );
}

#[gtest]
fn what_daemons_tell_of_one_instance_does_not_name_the_next() {
    expect_that!(
        short_id(&started_at("a", 500)),
        not(eq(short_id(&started_at("a", 900))))
    );
    expect_that!(
        short_id(&started_at("a", 500)),
        eq(short_id(&started_at("a", 500)))
    );
}
