//! Endpoints that fall silent, or end answers without a mark, before they leave the list.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::causes::Causes;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::runs::{RunId, Runs};

use super::support::id;

const REQUEST: Fingerprint = Fingerprint(1);
const START: Millis = Millis(5000);

fn at(millis: u64) -> Millis {
    START + Millis(millis)
}

/// A request that is sent to an endpoint.
fn send(runs: &mut Runs, name: &str, now: Millis) -> RunId {
    let causes = Causes::of_request(REQUEST);
    let run_id = runs.begin(&id(name), &"v1".into(), causes, now);
    runs.set_sent(&id(name), run_id, true);
    run_id
}

/// Requests that were lost with endpoint `a`, which leaves the list; another one answers meanwhile.
fn lost(runs: &mut Runs, now: Millis) -> usize {
    let other = send(runs, "b", now - Millis(50));
    runs.record_sign(&id("b"), other, now - Millis(10));
    runs.take_lost(&id("a"), now).len()
}

#[gtest]
fn what_an_endpoint_ran_in_silence_until_it_left_the_list_was_lost_with_it() {
    let mut runs = Runs::default();
    let run_id = send(&mut runs, "a", at(0));
    runs.record_sign(&id("a"), run_id, at(100));
    send(&mut runs, "a", at(150));
    expect_that!(lost(&mut runs, at(2000)), eq(2));
    expect_that!(lost(&mut runs, at(2000)), eq(0));
}

#[gtest]
fn what_an_endpoint_runs_that_gave_signs_until_it_left_is_not_lost() {
    let mut runs = Runs::default();
    let run_id = send(&mut runs, "a", at(0));
    runs.record_sign(&id("a"), run_id, at(1500));
    expect_that!(lost(&mut runs, at(2000)), eq(0));
}

#[gtest]
fn requests_that_were_given_up_in_silence_were_lost_too_and_those_never_sent_were_not() {
    let mut runs = Runs::default();
    let run_id = send(&mut runs, "a", at(0));
    runs.end(&id("a"), run_id, at(900));
    let unsent = runs.begin(&id("a"), &"v1".into(), Causes::of_request(REQUEST), at(100));
    runs.end(&id("a"), unsent, at(1500));
    runs.begin(&id("a"), &"v1".into(), Causes::of_request(REQUEST), at(100));
    expect_that!(lost(&mut runs, at(2000)), eq(1));
}

#[gtest]
fn requests_that_ended_in_time_were_not_lost() {
    let mut runs = Runs::default();
    let run_id = send(&mut runs, "a", at(0));
    runs.record_sign(&id("a"), run_id, at(100));
    runs.end(&id("a"), run_id, at(110));
    expect_that!(lost(&mut runs, at(2000)), eq(0));
}

#[gtest]
fn a_daemon_that_hears_no_endpoint_blames_none() {
    let mut runs = Runs::default();
    let run_id = send(&mut runs, "a", at(0));
    runs.record_sign(&id("a"), run_id, at(100));
    expect_that!(runs.take_lost(&id("a"), at(2000)), is_empty());
}

#[gtest]
fn an_end_without_mark_was_a_loss_if_the_endpoint_gives_no_sign_after_it() {
    let mut runs = Runs::default();
    let run_id = send(&mut runs, "a", at(0));
    runs.record_sign(&id("a"), run_id, at(100));
    runs.record_unmarked(&id("a"), run_id, at(140));
    runs.end(&id("a"), run_id, at(140));
    expect_that!(lost(&mut runs, at(2000)), eq(1));
}

#[gtest]
fn an_end_without_mark_was_complete_if_the_endpoint_gives_a_sign_later() {
    let mut runs = Runs::default();
    let run_id = send(&mut runs, "a", at(0));
    runs.record_sign(&id("a"), run_id, at(100));
    runs.record_unmarked(&id("a"), run_id, at(140));
    runs.end(&id("a"), run_id, at(140));
    let next = send(&mut runs, "a", at(150));
    // What arrives so soon may have been sent before the endpoint failed.
    expect_that!(runs.record_sign(&id("a"), next, at(160)), is_empty());
    let complete = runs.record_sign(&id("a"), next, at(300));
    expect_that!(complete.len(), eq(1));
    expect_that!(complete[0].began, eq(at(100)));
    expect_that!(complete[0].causes, eq(&vec![REQUEST]));
}
