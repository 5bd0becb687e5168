//! Copies of a store that is restored from a copy of its own: by kind, by depth, in series, and as
//! told by sources of earlier and later eras.

use bytes::Bytes;
use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::config::Version;
use medlarrill_core::routing::endpoint::StartTime;
use medlarrill_core::routing::mirror::restoration::{
    LEFTOVER_PERIOD, Mark, Missing, REWRITE_PERIOD, Restoration,
};
use medlarrill_core::routing::mirror::{Change, Mirror, Object, REMOVAL_GRACE, Update};
use medlarrill_core::routing::revision::{Era, Revision};

const fn at(era: u64, number: u64) -> Revision {
    Revision::new(Era(era), number)
}

/// An object with `text` as its contents.
fn put(name: &str, revision: Revision, text: &str) -> Change {
    Change::Put(Object {
        name: name.into(),
        revision,
        spec: Bytes::copy_from_slice(text.as_bytes()),
    })
}

fn removed(name: &str, revision: Revision) -> Change {
    Change::Removed {
        name: name.into(),
        revision,
    }
}

fn list(revision: Revision, changes: Vec<Change>) -> Update {
    Update {
        complete: true,
        changes,
        revision,
    }
}

fn changes(revision: Revision, changes: Vec<Change>) -> Update {
    Update {
        complete: false,
        changes,
        revision,
    }
}

/// Contents of entries: start time, `ready` or `leaving`, and the number of the write.
fn entry_mark(object: &Object) -> Option<Mark> {
    let text = std::str::from_utf8(&object.spec).ok()?;
    let mut words = text.split(' ');
    let started = StartTime(words.next()?.parse().ok()?);
    Some(Mark::Entry {
        started: Some(started),
        leaving: words.next()? == "leaving",
        seq: words.next()?.parse().ok()?,
    })
}

fn version_mark(object: &Object) -> Option<Mark> {
    let text = std::str::from_utf8(&object.spec).ok()?;
    Some(Mark::Version(Version(text.parse().ok()?)))
}

fn endpoints(listed: Vec<Change>) -> Mirror {
    let mut mirror = Mirror::default().with_restoration(Restoration {
        mark: entry_mark,
        missing: Missing::Expires,
    });
    mirror.apply(list(at(1, 100), listed), Some(Millis(0)), Millis(0));
    mirror
}

fn persistent(missing: Missing, listed: Vec<Change>) -> Mirror {
    let mut mirror = Mirror::persistent().with_restoration(Restoration {
        mark: version_mark,
        missing,
    });
    mirror.apply(list(at(1, 100), listed), Some(Millis(0)), Millis(0));
    mirror
}

fn apply(mirror: &mut Mirror, update: Update, now: u64) -> Vec<Change> {
    mirror.apply(update, Some(Millis(now)), Millis(now))
}

/// A copy in which an endpoint is gone.
fn gone() -> Mirror {
    let mut mirror = endpoints(vec![put("a", at(1, 90), "1 ready 5")]);
    let removal = removed("a", at(1, 101));
    apply(&mut mirror, changes(at(1, 101), vec![removal]), 5);
    mirror
}

/// The list of a copy of the store that has the entry of [`gone`] again.
fn leftover() -> Update {
    list(at(2, 60), vec![put("a", at(2, 50), "1 ready 5")])
}

fn text(mirror: &Mirror, name: &str) -> Option<String> {
    let spec = &mirror.get(name)?.spec;
    String::from_utf8(spec.to_vec()).ok()
}

#[gtest]
fn a_list_of_a_later_era_replaces_objects_at_higher_revisions() {
    let mut mirror = endpoints(vec![put("a", at(1, 90), "1 ready 5")]);
    apply(
        &mut mirror,
        list(at(2, 40), vec![put("a", at(2, 40), "1 ready 9")]),
        10,
    );
    expect_that!(text(&mirror, "a"), some(eq("1 ready 9")));
    expect_that!(mirror.revision(), some(eq(at(2, 40))));
    apply(
        &mut mirror,
        changes(at(2, 41), vec![put("a", at(2, 41), "1 leaving 10")]),
        20,
    );
    expect_that!(text(&mirror, "a"), some(eq("1 leaving 10")));
}

#[gtest]
fn changes_of_a_later_era_change_nothing_before_its_list() {
    let mut mirror = endpoints(vec![put("a", at(1, 90), "1 ready 5")]);
    let told = apply(
        &mut mirror,
        changes(at(2, 41), vec![put("a", at(2, 41), "1 leaving 10")]),
        10,
    );
    expect_that!(told, is_empty());
    expect_that!(mirror.revision(), some(eq(at(1, 100))));
    expect_that!(mirror.age(Millis(10)), some(eq(Millis(10))));
}

#[gtest]
fn a_source_of_an_earlier_era_neither_confirms_nor_removes() {
    let mut mirror = endpoints(vec![put("a", at(1, 90), "1 ready 5")]);
    apply(
        &mut mirror,
        list(at(2, 40), vec![put("a", at(2, 40), "1 ready 9")]),
        10,
    );
    apply(&mut mirror, list(at(1, 500), Vec::new()), 5000);
    apply(
        &mut mirror,
        changes(at(1, 501), vec![removed("a", at(1, 501))]),
        5000,
    );
    expect_that!(text(&mirror, "a"), some(eq("1 ready 9")));
    expect_that!(mirror.age(Millis(5000)), some(eq(Millis(4990))));
}

#[gtest]
fn an_endpoint_that_leaves_is_not_taken_back_by_copies_in_series() {
    let mut mirror = endpoints(vec![put("a", at(1, 90), "1 leaving 5")]);
    for era in 2..5 {
        let from = 10 * era;
        let listed = put("a", at(era, 50 - era), "1 ready 4");
        let told = apply(&mut mirror, list(at(era, 60 - era), vec![listed]), from);
        expect_that!(told, is_empty());
        expect_that!(text(&mirror, "a"), some(eq("1 leaving 5")));
    }
    // Another process under its id hasn't said so.
    let restarted = put("a", at(4, 57), "2 ready 1");
    apply(&mut mirror, changes(at(4, 57), vec![restarted]), 60);
    expect_that!(text(&mirror, "a"), some(eq("2 ready 1")));
}

#[gtest]
fn an_older_list_of_the_same_era_brings_no_older_contents_back() {
    let mut mirror = endpoints(vec![put("a", at(1, 90), "1 leaving 5")]);
    let copy = || list(at(2, 60), vec![put("a", at(2, 50), "1 ready 4")]);
    apply(&mut mirror, copy(), 10);
    apply(&mut mirror, copy(), 20);
    expect_that!(text(&mirror, "a"), some(eq("1 leaving 5")));
}

#[gtest]
fn a_write_of_before_the_restoration_that_takes_effect_after_it_is_late() {
    let mut mirror = endpoints(vec![put("a", at(1, 90), "1 leaving 5")]);
    apply(
        &mut mirror,
        list(at(2, 60), vec![put("a", at(2, 50), "1 ready 3")]),
        10,
    );
    let late = put("a", at(2, 61), "1 ready 4");
    apply(&mut mirror, changes(at(2, 61), vec![late]), 500);
    expect_that!(text(&mirror, "a"), some(eq("1 leaving 5")));
}

#[gtest]
fn an_endpoint_that_the_copy_lacks_is_removed_after_a_time_unless_it_lists_itself() {
    let listed = vec![
        put("a", at(1, 90), "1 ready 5"),
        put("b", at(1, 91), "1 ready 5"),
    ];
    let mut mirror = endpoints(listed);
    apply(&mut mirror, list(at(2, 60), Vec::new()), 10);
    let again = put("b", at(2, 61), "1 ready 6");
    apply(&mut mirror, changes(at(2, 61), vec![again]), 500);
    expect_that!(mirror.tick(Millis(9) + REMOVAL_GRACE), is_empty());
    let gone = mirror.tick(Millis(10) + REMOVAL_GRACE);
    expect_that!(gone, elements_are![eq(&removed("a", at(2, 61)))]);
    expect_that!(text(&mirror, "b"), some(eq("1 ready 6")));
}

#[gtest]
fn an_endpoint_that_two_copies_in_series_lack_has_its_time_after_the_second() {
    let mut mirror = endpoints(vec![put("a", at(1, 90), "1 ready 5")]);
    apply(&mut mirror, list(at(2, 60), Vec::new()), 10);
    apply(&mut mirror, list(at(3, 50), Vec::new()), 1500);
    apply(&mut mirror, list(at(3, 50), Vec::new()), 1800);
    expect_that!(mirror.tick(Millis(1499) + REMOVAL_GRACE), is_empty());
    expect_that!(mirror.tick(Millis(1500) + REMOVAL_GRACE), len(eq(1)));
}

#[gtest]
fn an_endpoint_that_was_gone_is_withheld_while_its_entry_may_be_left_over() {
    let mut mirror = gone();
    expect_that!(apply(&mut mirror, leftover(), 10), is_empty());
    expect_that!(apply(&mut mirror, leftover(), 20), is_empty());
    expect_that!(mirror.tick(Millis(9) + LEFTOVER_PERIOD), is_empty());
    expect_that!(text(&mirror, "a"), none());
    expect_that!(mirror.tick(Millis(10) + LEFTOVER_PERIOD), len(eq(1)));
    expect_that!(text(&mirror, "a"), some(eq("1 ready 5")));
}

#[gtest]
fn an_endpoint_that_was_gone_is_back_once_it_writes_or_as_another_process() {
    for back in [
        changes(at(2, 61), vec![put("a", at(2, 61), "1 ready 6")]),
        list(at(2, 61), vec![put("a", at(2, 61), "2 ready 1")]),
    ] {
        let mut mirror = gone();
        apply(&mut mirror, leftover(), 10);
        expect_that!(apply(&mut mirror, back, 20), len(eq(1)));
    }
}

#[gtest]
fn an_endpoint_that_was_gone_and_had_written_before_the_list_is_back_at_once() {
    let mut mirror = gone();
    let written = list(at(2, 60), vec![put("a", at(2, 55), "1 ready 8")]);
    expect_that!(apply(&mut mirror, written, 10), len(eq(1)));
}

#[gtest]
fn an_entry_that_expires_while_it_is_withheld_does_not_come_back() {
    let mut mirror = gone();
    apply(&mut mirror, leftover(), 10);
    apply(
        &mut mirror,
        changes(at(2, 61), vec![removed("a", at(2, 61))]),
        4000,
    );
    expect_that!(mirror.tick(Millis(60_000)), is_empty());
    expect_that!(mirror.objects().count(), eq(0));
}

#[gtest]
fn an_older_version_is_taken_neither_from_the_copy_nor_while_versions_are_written_again() {
    let mut mirror = persistent(Missing::Kept, vec![put("main", at(1, 90), "24")]);
    apply(
        &mut mirror,
        list(at(2, 60), vec![put("main", at(2, 50), "19")]),
        10,
    );
    for (number, version, known) in [(61, "22", "24"), (62, "24", "24"), (63, "26", "26")] {
        let written = put("main", at(2, number), version);
        apply(&mut mirror, changes(at(2, number), vec![written]), 100);
        expect_that!(text(&mirror, "main"), some(eq(known)));
    }
}

#[gtest]
fn a_version_that_the_copy_lacks_is_kept() {
    let mut mirror = persistent(Missing::Kept, vec![put("main", at(1, 90), "24")]);
    apply(&mut mirror, list(at(2, 3), Vec::new()), 10);
    apply(&mut mirror, list(at(2, 4), Vec::new()), 20);
    expect_that!(mirror.tick(Millis(60_000)), is_empty());
    expect_that!(text(&mirror, "main"), some(eq("24")));
}

#[gtest]
fn a_drain_that_the_copy_lacks_lasts_until_operators_had_time_to_write_it_again() {
    let mut mirror = persistent(Missing::Rewritten, vec![put("dc", at(1, 90), "1")]);
    apply(&mut mirror, list(at(2, 60), Vec::new()), 10);
    expect_that!(mirror.tick(Millis(9) + REWRITE_PERIOD), is_empty());
    expect_that!(mirror.tick(Millis(10) + REWRITE_PERIOD), len(eq(1)));
    let mut mirror = persistent(Missing::Rewritten, vec![put("dc", at(1, 90), "1")]);
    apply(&mut mirror, list(at(2, 60), Vec::new()), 10);
    apply(
        &mut mirror,
        changes(at(2, 61), vec![put("dc", at(2, 61), "1")]),
        20,
    );
    expect_that!(mirror.tick(Millis(60_000)), is_empty());
    let gone = apply(
        &mut mirror,
        changes(at(2, 62), vec![removed("dc", at(2, 62))]),
        30,
    );
    expect_that!(gone, len(eq(1)));
}

#[gtest]
fn what_daemons_write_again_is_forgotten_without_being_removed() {
    let mut mirror = persistent(Missing::Forgotten, vec![put("cause", at(1, 90), "1")]);
    let told = apply(&mut mirror, list(at(2, 60), Vec::new()), 10);
    expect_that!(told, is_empty());
    expect_that!(mirror.objects().count(), eq(0));
}

#[gtest]
fn a_daemon_that_started_from_the_copy_is_told_what_the_others_kept() {
    let mut known = endpoints(vec![put("a", at(1, 90), "1 leaving 5")]);
    let copy = || list(at(2, 60), vec![put("a", at(2, 50), "1 ready 4")]);
    apply(&mut known, copy(), 10);
    let mut new = Mirror::default().with_restoration(Restoration {
        mark: entry_mark,
        missing: Missing::Expires,
    });
    apply(&mut new, copy(), 10);
    let update = known.since(None).expect("an update");
    expect_that!(apply(&mut new, update, 20), len(eq(1)));
    expect_that!(text(&new, "a"), some(eq("1 leaving 5")));
}

#[gtest]
fn a_daemon_that_started_from_the_copy_is_told_by_one_of_before() {
    let old = endpoints(vec![put("a", at(1, 90), "1 leaving 5")]);
    let mut new = Mirror::default().with_restoration(Restoration {
        mark: entry_mark,
        missing: Missing::Expires,
    });
    apply(
        &mut new,
        list(at(2, 60), vec![put("a", at(2, 50), "1 ready 4")]),
        10,
    );
    let update = old.since(None).expect("an update");
    apply(&mut new, update, 20);
    expect_that!(text(&new, "a"), some(eq("1 leaving 5")));
    expect_that!(new.revision(), some(eq(at(2, 60))));
}

#[gtest]
fn a_follower_of_another_era_is_sent_everything() {
    let mut mirror = endpoints(vec![put("a", at(1, 90), "1 ready 5")]);
    expect_that!(
        mirror.since(Some(at(1, 100))).map(|update| update.complete),
        some(eq(false))
    );
    apply(
        &mut mirror,
        list(at(2, 40), vec![put("a", at(2, 40), "1 ready 9")]),
        10,
    );
    expect_that!(
        mirror.since(Some(at(1, 100))).map(|update| update.complete),
        some(eq(true))
    );
    expect_that!(
        mirror.since(Some(at(2, 39))).map(|update| update.complete),
        some(eq(true))
    );
    expect_that!(
        mirror.since(Some(at(2, 40))).map(|update| update.complete),
        some(eq(false))
    );
}

#[gtest]
fn what_the_store_lacks_is_sent_to_followers_at_any_revision_of_the_era() {
    let mut mirror = persistent(Missing::Kept, vec![put("main", at(1, 90), "24")]);
    apply(&mut mirror, list(at(2, 3), Vec::new()), 10);
    let update = mirror.since(Some(at(2, 3))).expect("an update");
    expect_that!(
        update.changes,
        elements_are![eq(&put("main", at(1, 90), "24"))]
    );
    let mut new = persistent(Missing::Kept, Vec::new());
    apply(&mut new, list(at(2, 3), Vec::new()), 10);
    apply(&mut new, update, 20);
    expect_that!(text(&new, "main"), some(eq("24")));
}

#[gtest]
fn copies_of_a_store_that_names_no_era_are_ordered_by_revision() {
    let mut mirror = Mirror::default();
    mirror.apply(
        list(9.into(), vec![put("a", 5.into(), "x")]),
        None,
        Millis(0),
    );
    mirror.apply(
        changes(8.into(), vec![put("a", 4.into(), "y")]),
        None,
        Millis(1),
    );
    expect_that!(text(&mirror, "a"), some(eq("x")));
    expect_that!(mirror.era(), some(eq(Era(0))));
}
