//! Quarantine of requests, by the endpoints that were lost while they ran.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::quarantine::{
    BASE_DURATION, Evidence, Finding, Quarantine, RETENTION, SHORT_RETENTION,
};

const CRASHING: Fingerprint = Fingerprint(1);
const CONCURRENT: Fingerprint = Fingerprint(2);
const NOW: Millis = Millis(5000);

/// A quarantine in which each request has lost the given endpoints.
fn with_losses(losses: &[(Fingerprint, &[u32])]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (fingerprint, endpoints) in losses {
        for endpoint in *endpoints {
            quarantine.record_loss(*fingerprint, *endpoint, NOW);
        }
    }
    quarantine
}

fn is_quarantined(quarantine: &Quarantine, fingerprint: Fingerprint) -> bool {
    quarantine.remaining(fingerprint, NOW).is_some()
}

#[gtest]
fn three_endpoints_lost_with_a_request_are_enough_and_two_are_not() {
    expect_that!(
        is_quarantined(&with_losses(&[(CRASHING, &[1, 2])]), CRASHING),
        eq(false)
    );
    let quarantine = with_losses(&[(CRASHING, &[1, 2, 3])]);
    expect_that!(quarantine.remaining(CRASHING, NOW), some(eq(BASE_DURATION)));
    expect_that!(quarantine.count(), eq(1));
}

#[gtest]
fn an_endpoint_counts_once_however_many_daemons_lost_it() {
    let mut quarantine = with_losses(&[(CRASHING, &[1, 1, 1, 2])]);
    let evidence = quarantine.evidence(CRASHING, NOW);
    quarantine.merge(&evidence, NOW);
    expect_that!(is_quarantined(&quarantine, CRASHING), eq(false));
}

#[gtest]
fn a_change_is_told_once_with_whether_this_daemon_had_a_part() {
    let mut quarantine = with_losses(&[(CRASHING, &[1, 2])]);
    let changes = quarantine.record_loss(CRASHING, 3, NOW);
    expect_that!(changes.len(), eq(1));
    expect_that!(changes[0].is_quarantined, eq(true));
    expect_that!(changes[0].is_own, eq(true));
    expect_that!(changes[0].lost, eq(3));
    expect_that!(
        quarantine.record_loss(CRASHING, 3, NOW).is_empty(),
        eq(true)
    );
    let mut other = Quarantine::default();
    let changes = other.merge(&quarantine.evidence(CRASHING, NOW), NOW);
    expect_that!(changes[0].is_own, eq(false));
    let changes = other.expire(NOW + BASE_DURATION);
    expect_that!(changes[0].is_quarantined, eq(false));
}

#[gtest]
fn what_only_ran_beside_is_not_to_blame() {
    let quarantine = with_losses(&[(CRASHING, &[1, 2, 3, 4]), (CONCURRENT, &[2, 3, 4])]);
    expect_that!(is_quarantined(&quarantine, CRASHING), eq(true));
    expect_that!(is_quarantined(&quarantine, CONCURRENT), eq(false));
}

#[gtest]
fn of_two_that_were_lost_together_each_time_the_next_loss_tells() {
    let mut quarantine = with_losses(&[(CRASHING, &[1, 2, 3]), (CONCURRENT, &[1, 2, 3])]);
    expect_that!(quarantine.count(), eq(0));
    quarantine.record_loss(CRASHING, 4, NOW);
    expect_that!(is_quarantined(&quarantine, CRASHING), eq(true));
    expect_that!(is_quarantined(&quarantine, CONCURRENT), eq(false));
}

#[gtest]
fn two_that_end_endpoints_and_met_are_both_held_after_five_at_the_most() {
    let mut quarantine = with_losses(&[(CRASHING, &[1, 2, 3]), (CONCURRENT, &[3, 2, 5])]);
    expect_that!(quarantine.count(), eq(0));
    quarantine.record_loss(CRASHING, 6, NOW);
    quarantine.record_loss(CRASHING, 7, NOW);
    expect_that!(is_quarantined(&quarantine, CRASHING), eq(true));
    quarantine.record_loss(CONCURRENT, 8, NOW);
    quarantine.record_loss(CONCURRENT, 9, NOW);
    expect_that!(is_quarantined(&quarantine, CONCURRENT), eq(true));
}

#[gtest]
fn a_whole_answer_clears_a_request_here_and_elsewhere() {
    let mut quarantine = with_losses(&[(CRASHING, &[1, 2, 3])]);
    let mut other = Quarantine::default();
    other.merge(&quarantine.evidence(CRASHING, NOW), NOW);
    expect_that!(is_quarantined(&other, CRASHING), eq(true));
    quarantine.record_served(CRASHING, NOW);
    expect_that!(is_quarantined(&quarantine, CRASHING), eq(false));
    other.merge(&quarantine.snapshot(NOW).own, NOW);
    expect_that!(is_quarantined(&other, CRASHING), eq(false));
}

#[gtest]
fn content_that_is_served_often_is_not_blamed_where_many_endpoints_are_lost_at_once() {
    let mut served = Quarantine::default();
    served.record_served(CONCURRENT, NOW);
    for endpoint in 1..9 {
        served.record_loss(CONCURRENT, endpoint, NOW);
    }
    expect_that!(is_quarantined(&served, CONCURRENT), eq(false));
    // A daemon that never served it receives evidence from one that did.
    let mut other = with_losses(&[(CONCURRENT, &[1, 2, 3, 4, 5])]);
    let evidence = other.snapshot(NOW).all;
    expect_that!(is_quarantined(&other, CONCURRENT), eq(true));
    let mut third = Quarantine::default();
    third.record_served(CONCURRENT, NOW);
    third.merge(&evidence, NOW);
    expect_that!(is_quarantined(&third, CONCURRENT), eq(false));
    other.merge(&third.snapshot(NOW).own, NOW);
    expect_that!(is_quarantined(&other, CONCURRENT), eq(false));
}

#[gtest]
fn it_is_tried_again_after_a_while_and_each_further_loss_holds_it_longer() {
    let mut quarantine = with_losses(&[(CRASHING, &[1, 2, 3])]);
    let mut now = NOW;
    for (endpoint, hold) in [(4, 60), (5, 360), (6, 1440)] {
        now += quarantine.remaining(CRASHING, now).expect("held");
        quarantine.expire(now);
        expect_that!(quarantine.remaining(CRASHING, now), none());
        quarantine.record_loss(CRASHING, endpoint, now);
        let minutes = quarantine
            .remaining(CRASHING, now)
            .map(|wait| wait.0 / 60_000);
        expect_that!(minutes, some(eq(hold)), "after {endpoint}");
    }
}

#[gtest]
fn what_is_not_enough_is_forgotten_sooner() {
    let mut quarantine = with_losses(&[(CRASHING, &[1, 2, 3]), (CONCURRENT, &[4, 5])]);
    quarantine.expire(NOW + SHORT_RETENTION);
    expect_that!(quarantine.is_suspect(CRASHING), eq(true));
    expect_that!(quarantine.is_suspect(CONCURRENT), eq(false));
}

#[gtest]
fn all_is_forgotten_in_the_end() {
    let mut quarantine = with_losses(&[(CRASHING, &[1, 2, 3]), (CONCURRENT, &[1])]);
    quarantine.record_served(CONCURRENT, NOW);
    quarantine.expire(NOW + RETENTION);
    expect_that!(
        quarantine.snapshot(NOW + RETENTION).all.is_empty(),
        eq(true)
    );
    expect_that!(quarantine.count(), eq(0));
}

#[gtest]
fn a_flood_of_losses_takes_bounded_room_and_frees_nobody() {
    let mut quarantine = with_losses(&[(CRASHING, &[1, 2, 3]), (CONCURRENT, &[4, 5])]);
    for number in 0..20_000 {
        let at = NOW + Millis(1 + number / 100);
        let other = Fingerprint(1000 + number);
        quarantine.record_loss(other, 100 + number as u32 % 50, at);
        quarantine.record_served(Fingerprint(1_000_000 + number), at);
    }
    expect_that!(quarantine.snapshot(NOW).all.len(), le(512));
    expect_that!(is_quarantined(&quarantine, CRASHING), eq(true));
    quarantine.record_loss(CONCURRENT, 6, NOW);
    expect_that!(is_quarantined(&quarantine, CONCURRENT), eq(true));
}

#[gtest]
fn what_happened_before_a_daemons_start_keeps_its_age() {
    let lost = |endpoint| Evidence {
        fingerprint: CRASHING,
        finding: Finding::Lost(endpoint),
        age: Millis(BASE_DURATION.0 - 1000),
    };
    let mut started = Quarantine::default();
    started.merge(&[lost(1), lost(2), lost(3)], Millis(100));
    let wait = started.remaining(CRASHING, Millis(100));
    expect_that!(wait, some(eq(Millis(1000))));
    expect_that!(started.remaining(CRASHING, Millis(1100)), none());
}

#[gtest]
fn those_who_know_the_same_have_the_same_digest_in_whatever_order_they_learnt_it() {
    let one = with_losses(&[(CRASHING, &[1, 2, 3]), (CONCURRENT, &[3])]);
    let mut other = with_losses(&[(CONCURRENT, &[3])]);
    expect_that!(
        other.snapshot(NOW).digest,
        not(eq(one.snapshot(NOW).digest))
    );
    other.merge(&one.snapshot(NOW).all, NOW + Millis(300));
    expect_that!(other.snapshot(NOW).digest, eq(one.snapshot(NOW).digest));
    expect_that!(Quarantine::default().snapshot(NOW).digest, eq(0));
}
