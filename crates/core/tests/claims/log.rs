//! A shard's machines, one fault at a time.

use googletest::prelude::*;
use medlarrill_core::claims::{Body, ClaimStatus, Digest, LogState, Open};
use medlarrill_core::clock::Millis;

use crate::bench::{Bench, Fault, ask};

#[gtest]
fn lone_claim_waits_for_one_write() {
    let mut bench = Bench::new(1);
    bench.own(0, true);
    let writes = bench.platform.writes;
    bench.ask(0, &ask(7, 1));
    expect_that!(bench.verdicts(), eq(&vec![(1, ClaimStatus::Granted)]));
    expect_that!(bench.platform.writes - writes, eq(1));
}

#[gtest]
fn second_claim_of_a_key_is_held_by_the_first() {
    let mut bench = Bench::new(1);
    bench.own(0, true);
    bench.ask(0, &ask(7, 1));
    bench.pass(Millis(300));
    bench.ask(0, &ask(7, 2));
    let verdicts = vec![(1, ClaimStatus::Granted), (2, ClaimStatus::Held)];
    expect_that!(bench.verdicts(), eq(&verdicts));
    expect_that!(bench.told[1].answer.held, eq(1));
    expect_that!(bench.told[1].answer.claimant, eq(500));
}

#[gtest]
fn lost_reply_is_settled_by_reading_back() {
    let mut bench = Bench::new(1);
    bench.own(0, true);
    let objects = bench.platform.objects.len();
    bench.faults.push_back(Fault::LoseReply);
    bench.ask(0, &ask(7, 1));
    expect_that!(bench.verdicts(), is_empty());
    expect_that!(bench.logs[0].state(), eq(LogState::Settling));
    bench.pass(Millis(200));
    expect_that!(bench.verdicts(), eq(&vec![(1, ClaimStatus::Granted)]));
    expect_that!(bench.platform.objects.len() - objects, eq(1));
}

#[gtest]
fn lost_call_is_made_again_at_the_same_number() {
    let mut bench = Bench::new(1);
    bench.own(0, true);
    let objects = bench.platform.objects.len();
    bench.faults.push_back(Fault::LoseCall);
    bench.ask(0, &ask(7, 1));
    bench.pass(Millis(500));
    expect_that!(bench.verdicts(), eq(&vec![(1, ClaimStatus::Granted)]));
    expect_that!(bench.platform.objects.len() - objects, eq(1));
}

#[gtest]
fn refused_claim_that_is_recorded_late_is_voided() {
    let mut bench = Bench::new(2);
    bench.own(0, true);
    bench.faults.push_back(Fault::Late);
    bench.ask(0, &ask(7, 1));
    bench.down = true;
    bench.pass(Millis::from_secs(2));
    expect_that!(bench.verdicts(), eq(&vec![(1, ClaimStatus::Unavailable)]));
    bench.release();
    bench.down = false;
    bench.pass(Millis::from_secs(3));
    expect_that!(bench.logs[0].stats().late, eq(1));
    // The next owner learns of the void from the chain alone.
    bench.own(1, true);
    bench.ask(1, &ask(7, 2));
    expect_that!(bench.verdicts()[1], eq((2, ClaimStatus::Granted)));
}

#[gtest]
fn outage_refuses_at_once_and_grants_again_after_it() {
    let mut bench = Bench::new(1);
    bench.own(0, true);
    bench.down = true;
    bench.ask(0, &ask(7, 1));
    bench.pass(Millis(200));
    bench.ask(0, &ask(8, 2));
    let refused = vec![(1, ClaimStatus::Unavailable), (2, ClaimStatus::Unavailable)];
    expect_that!(bench.verdicts(), eq(&refused));
    bench.down = false;
    bench.pass(Millis::from_secs(3));
    bench.ask(0, &ask(9, 3));
    expect_that!(bench.verdicts()[2], eq((3, ClaimStatus::Granted)));
}

#[gtest]
fn former_owner_is_fenced_by_its_next_create() {
    let mut bench = Bench::new(2);
    bench.own(0, true);
    bench.ask(0, &ask(7, 1));
    bench.own(1, true);
    expect_that!(bench.logs[0].state(), eq(LogState::Owner));
    bench.pass(Millis(300));
    bench.ask(0, &ask(8, 2));
    expect_that!(bench.verdicts()[1], eq((2, ClaimStatus::NotOwner)));
    expect_that!(bench.logs[0].state(), eq(LogState::Fenced));
    bench.ask(1, &ask(7, 3));
    expect_that!(bench.verdicts()[2], eq((3, ClaimStatus::Held)));
    expect_that!(bench.told[2].answer.held, eq(1));
}

#[gtest]
fn owner_that_is_no_longer_wanted_closes_its_chain() {
    let mut bench = Bench::new(2);
    bench.own(0, true);
    bench.own(0, false);
    expect_that!(bench.logs[0].is_idle(), eq(true));
    bench.ask(0, &ask(7, 1));
    expect_that!(bench.verdicts(), eq(&vec![(1, ClaimStatus::NotOwner)]));
    bench.own(1, true);
    let is_closed = matches!(bench.record(2).body, Some(Body::Close(_)));
    expect_that!(is_closed, eq(true));
    let is_fence = matches!(
        bench.record(3).body,
        Some(Body::Open(Open { fence: true, .. }))
    );
    expect_that!(is_fence, eq(false));
}

#[gtest]
fn key_with_another_digest_is_refused() {
    let mut bench = Bench::new(1);
    bench.own(0, true);
    bench.ask(0, &ask(7, 1));
    bench.pass(Millis(300));
    let mut other = ask(7, 2);
    other.digest = Digest::of("POST", "/book", b"two").to_bytes();
    bench.ask(0, &other);
    expect_that!(bench.verdicts()[1], eq((2, ClaimStatus::Reused)));
}

#[gtest]
fn claim_given_up_by_its_claimant_frees_the_key() {
    let mut bench = Bench::new(1);
    bench.own(0, true);
    bench.ask(0, &ask(7, 1));
    bench.pass(Millis(300));
    let mut second = ask(7, 2);
    second.abandoned_claimant = 500;
    second.abandoned_ask = 1;
    bench.ask(0, &second);
    bench.pass(Millis(300));
    // The same word does not free the key a second time.
    let mut third = second.clone();
    third.ask = 3;
    bench.ask(0, &third);
    let verdicts = [
        ClaimStatus::Granted,
        ClaimStatus::Granted,
        ClaimStatus::Held,
    ];
    expect_that!(
        bench.verdicts(),
        eq(&(1..).zip(verdicts).collect::<Vec<_>>())
    );
}

#[gtest]
fn key_is_free_after_its_lifetime() {
    let mut bench = Bench::new(1);
    bench.own(0, true);
    let mut brief = ask(7, 1);
    brief.lifetime = 1000;
    bench.ask(0, &brief);
    bench.pass(Millis::from_secs(30));
    bench.ask(0, &ask(7, 2));
    bench.pass(Millis::from_secs(32));
    bench.ask(0, &ask(7, 3));
    let verdicts = [
        ClaimStatus::Granted,
        ClaimStatus::Held,
        ClaimStatus::Granted,
    ];
    expect_that!(
        bench.verdicts(),
        eq(&(1..).zip(verdicts).collect::<Vec<_>>())
    );
}

#[gtest]
fn question_that_comes_twice_is_not_granted_after_its_refusal() {
    let mut bench = Bench::new(1);
    bench.own(0, true);
    bench.faults.push_back(Fault::Pause);
    bench.ask(0, &ask(7, 1));
    bench.pass(Millis::from_secs(2));
    expect_that!(bench.verdicts(), eq(&vec![(1, ClaimStatus::Unavailable)]));
    // The second copy waits until the first one's write is settled.
    bench.ask(0, &ask(7, 1));
    bench.resume();
    bench.pass(Millis::from_secs(3));
    expect_that!(bench.logs[0].stats().late, eq(1));
    let granted = bench.verdicts().contains(&(1, ClaimStatus::Granted));
    let held = bench.logs[0].chain().unwrap().table.len();
    expect_that!(granted, eq(held == 1));
}
