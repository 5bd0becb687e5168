//! Requests whose response ended without a mark, just before their endpoint was found to be gone.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::config::RetryPolicy;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::plan::RetryPlan;
use medlarrill_core::routing::unmarked::UnmarkedEnds;

use super::support::{endpoint, route, view};

const REQUEST: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);
const NOW: Millis = Millis(5000);

fn id(name: &str) -> InstanceId {
    InstanceId::new(name.parse().expect("an id"), None)
}

#[gtest]
fn an_endpoint_that_is_gone_was_lost_with_what_it_had_just_answered() {
    let mut ends = UnmarkedEnds::default();
    ends.record(&id("a"), REQUEST, NOW);
    ends.record(&id("b"), OTHER, NOW);
    expect_that!(
        ends.take_lost(&id("a"), NOW + Millis(200)),
        eq(&vec![REQUEST])
    );
    expect_that!(ends.take_lost(&id("a"), NOW + Millis(200)), is_empty());
    expect_that!(
        ends.take_lost(&id("b"), NOW + Millis(200)),
        eq(&vec![OTHER])
    );
}

#[gtest]
fn an_endpoint_that_is_gone_later_was_not_lost_with_it() {
    let mut ends = UnmarkedEnds::default();
    ends.record(&id("a"), REQUEST, NOW);
    expect_that!(ends.take_lost(&id("a"), NOW + Millis(201)), is_empty());
}

#[gtest]
fn only_the_newest_ends_are_remembered() {
    let mut ends = UnmarkedEnds::default();
    for number in 0..2000 {
        ends.record(&id("a"), Fingerprint(number), NOW);
    }
    let lost = ends.take_lost(&id("a"), NOW);
    expect_that!(lost.len(), eq(512));
    expect_that!(lost.last(), some(eq(&Fingerprint(1999))));
}

/// Whether a request is quarantined whose responses ended without a mark at three endpoints, each of
/// which had a fault right after that.
fn is_quarantined_after(fault: Fault) -> bool {
    let mut view = view("near", 7);
    let plan = RetryPlan::new(&route(RetryPolicy::Never, 1), NOW + Millis(9000));
    let plan = plan.with_fingerprint(REQUEST);
    for name in ["a", "b", "c"] {
        let endpoint = endpoint(name);
        let id = endpoint.id.clone();
        view.upsert(endpoint, NOW);
        view.record_unmarked(&plan, &id, NOW);
        view.record_failure(&id, fault, NOW + Millis(100));
    }
    view.quarantine()
        .remaining(REQUEST, NOW + Millis(100))
        .is_some()
}

#[gtest]
fn connections_that_are_lost_count_against_it_and_those_that_can_not_be_made_do_not() {
    expect_that!(is_quarantined_after(Fault::Cut), eq(true));
    expect_that!(is_quarantined_after(Fault::Lost), eq(true));
    // As at a daemon that loses its paths to all endpoints.
    expect_that!(is_quarantined_after(Fault::NotSent), eq(false));
}
