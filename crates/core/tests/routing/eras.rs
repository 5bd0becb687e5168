//! Which era an answer of the store is of, as the store's own count goes back.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::revision::{Answer, Era, Eras};

/// A daemon that has read the store in its seventh era.
fn known() -> Eras {
    let mut eras = Eras::default();
    eras.record(Era(7), Millis(0));
    eras
}

/// Answers twice a second that name `count`; returns the last one, and how many were old.
fn answers(eras: &mut Eras, count: u64, seconds: u64) -> (Answer, usize) {
    let record = |half: u64| eras.record(Era(count), Millis(100_000 + 500 * half));
    let all: Vec<Answer> = (0..=2 * seconds).map(record).collect();
    let old = all.iter().filter(|answer| matches!(answer, Answer::Old(_)));
    (all[all.len() - 1], old.count())
}

#[gtest]
fn an_era_refused_for_good_since_the_store_counts_from_the_beginning() {
    for count in [0, 1, 6] {
        let mut eras = known();
        let (last, old) = answers(&mut eras, count, 15);
        let rebuilt = Era(7).rebuilt(Era(count));
        expect_that!(last, eq(Answer::Current(rebuilt)));
        expect_that!(rebuilt, gt(Era(7)));
        expect_that!(old, eq(20));
        let next = eras.record(Era(count + 1), Millis(120_000));
        expect_that!(
            next,
            eq(Answer::Restored(rebuilt.with_count(Era(count + 1))))
        );
    }
}

#[gtest]
fn a_store_that_counts_from_the_beginning_twice_is_followed_twice() {
    let mut eras = known();
    answers(&mut eras, 3, 15);
    let first = eras.latest();
    for half in 0..30 {
        eras.record(Era(1), Millis(200_000 + 500 * half));
    }
    expect_that!(eras.latest(), gt(first));
    expect_that!(eras.latest().map(Era::count), some(eq(1)));
}

#[gtest]
fn late_answers_of_an_earlier_era_are_refused_however_long_they_come() {
    let mut eras = known();
    for second in 1..60 {
        let at = Millis::from_secs(second);
        expect_that!(eras.record(Era(6), at), eq(Answer::Old(Era(6))));
        if second % 8 == 0 {
            expect_that!(eras.record(Era(7), at), eq(Answer::Current(Era(7))));
        }
    }
}

#[gtest]
fn late_answers_before_and_after_a_daemon_stood_still_are_refused() {
    let mut eras = known();
    for second in [0, 0, 0, 30, 30, 30, 30, 30, 30] {
        let answer = eras.record(Era(6), Millis::from_secs(second));
        expect_that!(answer, eq(Answer::Old(Era(6))));
    }
    expect_that!(
        eras.record(Era(7), Millis::from_secs(31)),
        eq(Answer::Current(Era(7)))
    );
}

#[gtest]
fn a_daemon_with_old_answers_does_not_go_back_while_another_one_is_up_to_date() {
    let mut eras = known();
    for second in 1..60 {
        let at = Millis::from_secs(second);
        expect_that!(eras.record(Era(6), at), eq(Answer::Old(Era(6))));
        eras.confirm(Era(7));
    }
}

#[gtest]
fn a_daemon_that_is_told_of_a_store_built_anew_takes_its_answers_at_once() {
    let rebuilt = Era(7).rebuilt(Era(1));
    for mut eras in [Eras::default(), known()] {
        expect_that!(eras.learn(rebuilt), eq(true));
        expect_that!(eras.record(Era(1), Millis(5)), eq(Answer::Current(rebuilt)));
        expect_that!(eras.learn(Era(7)), eq(false));
    }
}
