//! Checkpoints, and what deleting the objects before them must not break.

use googletest::prelude::*;
use medlarrill_core::claims::{ClaimStatus, LogLimits, LogState};
use medlarrill_core::clock::Millis;

use crate::bench::{Bench, Fault, ask};

/// Grants `count` claims, one object each, from key and number `first`.
fn grant(bench: &mut Bench, log: usize, first: u64, count: u64) {
    for number in first..first + count {
        bench.ask(log, &ask(number, number));
        bench.pass(Millis(260));
    }
}

#[gtest]
fn old_objects_go_and_their_claims_stay() {
    let mut bench = Bench::new(2);
    bench.own(0, true);
    grant(&mut bench, 0, 1, 300);
    bench.pass(Millis::from_secs(60));
    expect_that!(bench.logs[0].stats().checkpoints, ge(4));
    expect_that!(bench.platform.objects.len(), lt(70));
    bench.own(1, true);
    expect_that!(bench.logs[1].state(), eq(LogState::Owner));
    bench.told.clear();
    for number in 1..=300 {
        bench.ask(1, &ask(number, 1000 + number));
    }
    let held = bench
        .told
        .iter()
        .filter(|told| told.verdict == ClaimStatus::Held);
    expect_that!(held.count(), eq(300));
}

#[gtest]
fn former_owner_stays_fenced_after_the_chain_was_deleted() {
    let mut bench = Bench::new(2);
    bench.own(0, true);
    grant(&mut bench, 0, 1, 3);
    bench.own(1, true);
    grant(&mut bench, 1, 10, 150);
    bench.pass(Millis::from_secs(60));
    expect_that!(bench.logs[1].stats().checkpoints, ge(2));
    bench.told.clear();
    // Its next number lies in the deleted part of the chain.
    bench.ask(0, &ask(500, 500));
    expect_that!(bench.verdicts(), eq(&vec![(500, ClaimStatus::NotOwner)]));
}

#[gtest]
fn open_at_a_deleted_number_is_not_believed() {
    let mut bench = Bench::new(2);
    bench.own(0, true);
    grant(&mut bench, 0, 1, 3);
    // The second daemon reads to the end and is paused before its `open` is sent.
    bench.faults.push_back(Fault::Pause);
    bench.own(1, true);
    grant(&mut bench, 0, 10, 150);
    bench.pass(Millis::from_secs(60));
    bench.resume();
    expect_that!(bench.logs[1].state(), not(eq(LogState::Owner)));
    bench.pass(Millis::from_secs(10));
    expect_that!(bench.logs[1].state(), eq(LogState::Owner));
    bench.told.clear();
    bench.ask(1, &ask(10, 1000));
    expect_that!(bench.verdicts(), eq(&vec![(1000, ClaimStatus::Held)]));
}

#[gtest]
fn interrupted_deletion_is_finished_by_the_next_owner() {
    let mut bench = Bench::new(2);
    bench.own(0, true);
    grant(&mut bench, 0, 1, 62);
    bench.own(0, false);
    bench.own(1, true);
    bench.pass(Millis::from_secs(60));
    grant(&mut bench, 1, 100, 2);
    bench.pass(Millis::from_secs(60));
    expect_that!(bench.platform.objects.len(), lt(10));
}

#[gtest]
fn claim_given_up_stays_so_while_its_checkpoint_is_kept() {
    let limits = LogLimits {
        checkpoint_objects: 4,
        segment_claims: 4,
        ..LogLimits::default()
    };
    let mut bench = Bench::new(2).with_limits(limits);
    bench.own(0, true);
    grant(&mut bench, 0, 1, 16);
    // Key 1 stands in a kept checkpoint; the claim that replaces it is refused, and voided.
    let mut second = ask(1, 100);
    second.abandoned_claimant = 500;
    second.abandoned_ask = 1;
    bench.faults.push_back(Fault::Pause);
    bench.ask(0, &second);
    bench.pass(Millis::from_secs(2));
    bench.resume();
    grant(&mut bench, 0, 50, 16);
    expect_that!(bench.logs[0].stats().late, eq(1));
    bench.own(1, true);
    bench.told.clear();
    bench.ask(1, &ask(1, 200));
    expect_that!(bench.verdicts(), eq(&vec![(200, ClaimStatus::Granted)]));
}
