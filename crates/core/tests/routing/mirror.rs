//! Copies of the platform's objects: updates out of order, outages, and following other copies.

use bytes::Bytes;
use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::mirror::{Change, Mirror, Object, REMOVAL_GRACE, Update};

fn object(name: &str, revision: u64) -> Object {
    Object {
        name: name.into(),
        revision: revision.into(),
        spec: Bytes::from_static(b"{}"),
    }
}

fn put(name: &str, revision: u64) -> Change {
    Change::Put(object(name, revision))
}

fn removed(name: &str, revision: u64) -> Change {
    Change::Removed {
        name: name.into(),
        revision: revision.into(),
    }
}

fn list(changes: Vec<Change>, revision: u64) -> Update {
    Update {
        complete: true,
        changes,
        revision: revision.into(),
    }
}

fn changes(changes: Vec<Change>, revision: u64) -> Update {
    Update {
        complete: false,
        changes,
        revision: revision.into(),
    }
}

/// A mirror that has listed `a` and `b` at revision 10.
fn mirror() -> Mirror {
    let mut mirror = Mirror::default();
    mirror.apply(
        list(vec![put("a", 3), put("b", 7)], 10),
        Some(Millis(0)),
        Millis(0),
    );
    mirror
}

#[gtest]
fn sources_that_lag_or_repeat_themselves_change_nothing() {
    let mut mirror = mirror();
    let at = Millis(1);
    expect_that!(
        mirror
            .apply(changes(vec![put("a", 12)], 12), Some(at), at)
            .len(),
        eq(1)
    );
    expect_that!(
        mirror
            .apply(changes(vec![put("a", 12)], 12), Some(at), at)
            .len(),
        eq(0)
    );
    expect_that!(
        mirror
            .apply(changes(vec![put("a", 11)], 11), Some(at), at)
            .len(),
        eq(0)
    );
    expect_that!(
        mirror
            .apply(list(vec![put("a", 3), put("b", 7)], 10), Some(at), at)
            .len(),
        eq(0)
    );
    expect_that!(mirror.revision(), some(eq(12.into())));
}

#[gtest]
fn an_older_put_after_a_removal_does_not_bring_an_object_back() {
    let mut mirror = mirror();
    let at = Millis(1);
    mirror.apply(changes(vec![removed("b", 14)], 14), Some(at), at);
    expect_that!(
        mirror
            .apply(changes(vec![put("b", 13)], 13), Some(at), at)
            .len(),
        eq(0)
    );
    expect_that!(
        mirror
            .apply(changes(vec![put("b", 15)], 15), Some(at), at)
            .len(),
        eq(1)
    );
}

#[gtest]
fn a_whole_list_removes_what_it_lacks_but_nothing_newer() {
    let mut mirror = mirror();
    let at = Millis(1);
    mirror.apply(changes(vec![put("c", 20)], 20), Some(at), at);
    let applied = mirror.apply(list(vec![put("a", 3)], 18), Some(at), at);
    expect_that!(applied, elements_are![eq(&removed("b", 20))]);
}

#[gtest]
fn after_an_outage_a_missing_object_is_kept_until_the_grace_has_passed() {
    let mut mirror = mirror();
    mirror.platform_recovered(Millis(4000), Millis(5000));
    let at = Millis(5100);
    expect_that!(
        mirror
            .apply(list(vec![put("a", 3)], 12), Some(at), at)
            .len(),
        eq(0)
    );
    expect_that!(mirror.tick(Millis(6900)).len(), eq(0));
    expect_that!(mirror.tick(Millis(5000) + REMOVAL_GRACE).len(), eq(1));
}

#[gtest]
fn an_object_that_is_back_within_the_grace_stays() {
    let mut mirror = mirror();
    mirror.platform_recovered(Millis(4000), Millis(5000));
    let at = Millis(5100);
    mirror.apply(list(vec![put("a", 3)], 12), Some(at), at);
    let at = Millis(5900);
    mirror.apply(changes(vec![put("b", 13)], 13), Some(at), at);
    expect_that!(mirror.tick(Millis(9000)).len(), eq(0));
}

#[gtest]
fn a_copy_that_was_out_of_date_for_long_knows_of_the_outage_by_itself() {
    // A daemon that starts to follow the platform after an outage has seen no call fail.
    let mut mirror = mirror();
    let at = Millis(4000);
    expect_that!(
        mirror
            .apply(changes(vec![removed("b", 12)], 12), Some(at), at)
            .len(),
        eq(0)
    );
    expect_that!(
        mirror.tick(at + REMOVAL_GRACE),
        elements_are![eq(&removed("b", 12))]
    );
}

#[gtest]
fn a_copy_that_was_told_of_an_outage_keeps_what_is_missing_after_it() {
    // The platform answered a long poll well into its outage, while calls of other daemons failed.
    let mut mirror = mirror();
    let at = Millis(1500);
    mirror.apply(changes(Vec::new(), 10), Some(at), at);
    mirror.record_failure(Millis(1600), Millis(2000));
    mirror.record_failure(Millis(1600), Millis(3400));
    expect_that!(mirror.outage(Millis(3500)), some(eq(Millis(1900))));
    let at = Millis(3600);
    expect_that!(
        mirror
            .apply(changes(vec![removed("b", 12)], 12), Some(at), at)
            .len(),
        eq(0)
    );
    expect_that!(mirror.outage(at), none());
}

#[gtest]
fn an_outage_of_one_source_is_none_where_another_is_up_to_date() {
    let mut mirror = mirror();
    for at in [1000, 1500, 2000, 2500] {
        mirror.record_failure(Millis(100), Millis(at - 10));
        mirror.apply(changes(Vec::new(), 10), Some(Millis(at)), Millis(at));
    }
    let at = Millis(2600);
    expect_that!(
        mirror
            .apply(changes(vec![removed("b", 12)], 12), Some(at), at)
            .len(),
        eq(1)
    );
}

#[gtest]
fn a_copy_that_waited_for_changes_has_seen_no_outage() {
    let mut mirror = mirror();
    let at = Millis(2500);
    expect_that!(
        mirror
            .apply(changes(vec![removed("b", 12)], 12), Some(at), at)
            .len(),
        eq(1)
    );
}

#[gtest]
fn without_an_outage_a_removal_takes_effect_at_once() {
    let mut mirror = mirror();
    for at in [Millis(2500), Millis(5000)] {
        mirror.apply(changes(Vec::new(), 10), Some(at), at);
    }
    mirror.platform_recovered(Millis(300), Millis(5000));
    let at = Millis(5100);
    expect_that!(
        mirror
            .apply(changes(vec![removed("b", 12)], 12), Some(at), at)
            .len(),
        eq(1)
    );
}

#[gtest]
fn a_follower_is_brought_up_to_date_from_where_it_is() {
    let mut mirror = mirror();
    let at = Millis(1);
    mirror.apply(
        changes(vec![put("c", 12), removed("a", 13)], 13),
        Some(at),
        at,
    );
    let update = mirror.since(Some(10.into())).expect("an update");
    expect_that!(update.complete, eq(false));
    expect_that!(
        update.changes,
        unordered_elements_are![eq(&put("c", 12)), eq(&removed("a", 13))]
    );
    let update = mirror.since(Some(4.into())).expect("an update");
    expect_that!(update.complete, eq(true));
    expect_that!(update.changes.len(), eq(2));
    expect_that!(Mirror::default().since(None), none());
}

#[gtest]
fn a_removal_that_waited_reaches_a_follower_that_is_at_its_revision() {
    let mut mirror = mirror();
    mirror.platform_recovered(Millis(4000), Millis(5000));
    let at = Millis(5100);
    mirror.apply(list(vec![put("a", 3)], 12), Some(at), at);
    mirror.tick(Millis(8000));
    let update = mirror.since(Some(12.into())).expect("an update");
    expect_that!(update.changes, elements_are![eq(&removed("b", 12))]);
}

#[gtest]
fn its_age_counts_from_when_it_was_last_known_to_be_up_to_date() {
    let mut mirror = mirror();
    expect_that!(mirror.age(Millis(300)), some(eq(Millis(300))));
    mirror.apply(changes(Vec::new(), 10), Some(Millis(200)), Millis(250));
    expect_that!(mirror.age(Millis(300)), some(eq(Millis(100))));
    mirror.apply(changes(Vec::new(), 10), Some(Millis(100)), Millis(300));
    expect_that!(mirror.age(Millis(300)), some(eq(Millis(100))));
}

#[gtest]
fn a_list_of_unknown_age_is_used_but_counts_as_not_up_to_date() {
    let mut mirror = Mirror::default();
    let at = Millis(5000);
    mirror.apply(list(vec![put("a", 3), put("b", 7)], 10), None, at);
    expect_that!(mirror.revision(), some(eq(10.into())));
    expect_that!(mirror.age(at), none());
    // A later removal takes effect at once, since there was no outage.
    let applied = mirror.apply(changes(vec![removed("b", 12)], 12), Some(at), at);
    expect_that!(applied.len(), eq(1));
    expect_that!(mirror.age(at), some(eq(Millis::ZERO)));
}

#[gtest]
fn an_old_list_takes_nothing_away_that_is_newer() {
    let mut mirror = mirror();
    let at = Millis(100);
    mirror.apply(changes(vec![put("c", 20)], 20), Some(at), at);
    expect_that!(
        mirror.apply(list(vec![put("a", 3)], 5), None, at).len(),
        eq(0)
    );
    expect_that!(mirror.revision(), some(eq(20.into())));
}

#[gtest]
fn an_entry_that_lapsed_and_came_back_within_one_update_stays() {
    // The platform gives no exact revision of a removal, only that it precedes the update's end.
    let lapse = || changes(vec![removed("b", 14), put("b", 13)], 14);
    let at = Millis(100);
    let mut calm = mirror();
    calm.apply(lapse(), Some(at), at);
    let mut after_outage = mirror();
    after_outage.platform_recovered(Millis(5000), at);
    after_outage.apply(lapse(), Some(at), at);
    for mirror in [&mut calm, &mut after_outage] {
        expect_that!(mirror.tick(at + REMOVAL_GRACE), is_empty());
        let all = mirror.since(None).expect("a list");
        expect_that!(all.changes.len(), eq(2));
    }
    // An object that was added and then removed is removed.
    let applied = calm.apply(
        changes(vec![put("b", 15), removed("b", 16)], 16),
        Some(at),
        at,
    );
    expect_that!(applied.len(), eq(1));
}

#[gtest]
fn a_copy_isnt_told_that_what_is_there_again_was_removed() {
    let mut mirror = mirror();
    let at = Millis(100);
    mirror.apply(changes(vec![removed("b", 14)], 14), Some(at), at);
    mirror.apply(changes(vec![put("b", 15)], 15), Some(at), at);
    let update = mirror.since(Some(12.into())).expect("an update");
    expect_that!(update.changes.len(), eq(1));
    expect_that!(matches!(update.changes[0], Change::Put(_)), eq(true));
}

#[gtest]
fn what_operators_remove_is_gone_at_once_after_an_outage() {
    for (mut copy, waits) in [(Mirror::persistent(), false), (Mirror::default(), true)] {
        let start = Millis(60_000);
        copy.apply(list(vec![put("z", 3)], 3), Some(start), start);
        copy.record_failure(start, start + Millis(3000));
        let back = start + Millis(6000);
        let changes = copy.apply(list(Vec::new(), 9), Some(back), back);
        expect_that!(changes.is_empty(), eq(waits));
    }
}

/// Simulates two copies that follow each other while the platform doesn't answer; returns the
/// number of messages between them, and their ages at the end.
fn simulate_mutual_copies(delay: u64, end: u64) -> (usize, [Millis; 2]) {
    const HEARTBEAT: usize = 500;
    let mut copies = [mirror(), mirror()];
    let mut sent = 0;
    let mut in_transit = Vec::new();
    for now in 1..=end {
        let mut senders = Vec::new();
        if (now as usize).is_multiple_of(HEARTBEAT) {
            senders.extend([0, 1]);
        }
        let arrived: Vec<(u64, usize, Millis)> =
            in_transit.extract_if(.., |(at, _, _)| *at == now).collect();
        for (_, to, age) in arrived {
            let as_of = Millis(now) - age;
            if copies[to].should_notify(as_of) {
                senders.push(to);
            }
            copies[to].apply(changes(vec![], 10), Some(as_of), Millis(now));
        }
        for from in senders {
            sent += 1;
            let age = copies[from].age(Millis(now)).expect("listed");
            in_transit.push((now + delay, 1 - from, age));
        }
    }
    (
        sent,
        copies.map(|copy| copy.age(Millis(end)).expect("listed")),
    )
}

#[gtest]
fn copies_that_follow_each_other_in_an_outage_grow_old_and_tell_each_other_at_beats_only() {
    for delay in [1, 3, 20] {
        let (sent, ages) = simulate_mutual_copies(delay, 10_000);
        expect_that!(sent, le(2 * 20), "{delay} ms");
        for age in ages {
            expect_that!(age, ge(Millis(9_000)), "{delay} ms");
        }
    }
}

/// Of two sources one has lost the platform, the other one hasn't.
#[gtest]
fn removals_wait_only_once_while_one_of_two_sources_fails() {
    let mut mirror = mirror();
    let fails_since = Millis(2000);
    mirror.record_failure(fails_since, Millis(3500));
    let confirmed = Millis(3600);
    mirror.apply(changes(Vec::new(), 10), Some(confirmed), confirmed);
    let until = mirror.grace(confirmed);
    expect_that!(until, some(eq(confirmed + REMOVAL_GRACE)));
    // The other source confirms its copy whenever the platform answers a call that it holds.
    for now in [4900, 6200].map(Millis) {
        mirror.record_failure(fails_since, now);
        let confirmed = now + Millis(100);
        mirror.apply(changes(Vec::new(), 10), Some(confirmed), confirmed);
    }
    let gone = mirror.apply(
        changes(vec![removed("a", 11)], 11),
        Some(Millis(6400)),
        Millis(6400),
    );
    expect_that!(gone, elements_are![eq(&removed("a", 11))]);
}

/// Guards against objects that came and went between two reads, of which a copy knows nothing.
#[gtest]
fn a_removal_of_what_was_never_listed_is_noted_and_passed_on_once() {
    let (mut source, mut follower) = (mirror(), mirror());
    let at = Millis(100);
    let unseen = source.apply(changes(vec![removed("c", 12)], 12), Some(at), at);
    expect_that!(unseen, elements_are![eq(&removed("c", 12))]);
    expect_that!(source.missed(), some(eq(at)));
    // Other sources repeat it, and one of before the first list.
    for (name, revision) in [("c", 12), ("c", 14), ("d", 9)] {
        let again = source.apply(
            changes(vec![removed(name, revision)], 14),
            Some(at),
            Millis(200),
        );
        expect_that!(again, is_empty());
    }
    expect_that!(source.missed(), some(eq(at)));
    expect_that!(source.followed(), some(eq(12.into())));
    let update = source.since(follower.revision()).expect("an update");
    follower.apply(update, Some(at), Millis(300));
    expect_that!(follower.missed(), some(eq(Millis(300))));
}

/// Guards against a list after a long silence, which doesn't have what came and went meanwhile.
#[gtest]
fn a_whole_list_after_a_silence_may_hide_changes() {
    for (at, missed) in [(999, None), (1000, Some(Millis(1000)))] {
        let mut mirror = mirror();
        let whole = list(vec![put("a", 3), put("b", 7)], 20);
        mirror.apply(whole, Some(Millis(at)), Millis(at));
        expect_that!(mirror.missed(), eq(missed));
        expect_that!(mirror.followed(), some(eq(20.into())));
    }
}

/// Guards against endpoints that have left and come back from another daemon's older copy, at a daemon
/// whose first list lacks them.
#[gtest]
fn an_older_copy_does_not_bring_back_what_the_first_list_lacks() {
    let mut mirror = mirror();
    let at = Millis(100);
    let older = list(vec![put("a", 3), put("c", 5), put("b", 7)], 8);
    expect_that!(mirror.apply(older.into_objects(), Some(at), at), is_empty());
    expect_that!(mirror.get("c"), none());
    let newer = changes(vec![put("c", 11)], 11);
    expect_that!(mirror.apply(newer, Some(at), at), len(eq(1)));
}
