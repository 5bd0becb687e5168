//! Requests whose response ended without a mark, just before their endpoint was found to be gone.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::unmarked::UnmarkedEnds;

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
        ends.take_lost(&id("a"), NOW + Millis(900)),
        eq(&vec![REQUEST])
    );
    expect_that!(ends.take_lost(&id("a"), NOW + Millis(900)), is_empty());
    expect_that!(
        ends.take_lost(&id("b"), NOW + Millis(900)),
        eq(&vec![OTHER])
    );
}

#[gtest]
fn an_endpoint_that_is_gone_later_was_not_lost_with_it() {
    let mut ends = UnmarkedEnds::default();
    ends.record(&id("a"), REQUEST, NOW);
    expect_that!(ends.take_lost(&id("a"), NOW + Millis(1001)), is_empty());
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
