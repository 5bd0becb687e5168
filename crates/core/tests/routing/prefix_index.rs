//! Which endpoints were sent a prefix, and for how long that is remembered.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::prefix_index::PrefixIndex;

#[gtest]
fn an_endpoint_is_known_to_have_a_prefix_for_a_while() {
    let mut index = PrefixIndex::default();
    expect_that!(index.record(1, 10, Millis(0)), eq(true));
    expect_that!(index.record(1, 10, Millis(500)), eq(false));
    expect_that!(index.age(1, 10, Millis(700)), some(eq(Millis(200))));
    expect_that!(index.age(1, 11, Millis(700)), none());
    expect_that!(index.age(1, 10, Millis(30_500)), none());
    expect_that!(index.record(1, 10, Millis(30_500)), eq(true));
}

#[gtest]
fn the_endpoint_that_was_sent_a_prefix_longest_ago_makes_room() {
    let mut index = PrefixIndex::default();
    for (endpoint, at) in [(10, 0), (11, 1), (12, 2), (10, 3), (13, 4)] {
        index.record(1, endpoint, Millis(at));
    }
    let known = |endpoint| index.age(1, endpoint, Millis(5)).is_some();
    let known: Vec<u32> = (10..14).filter(|endpoint| known(*endpoint)).collect();
    expect_that!(known, elements_are![eq(&10), eq(&12), eq(&13)]);
}

#[gtest]
fn an_endpoint_that_never_read_a_prefix_is_not_taken_to_have_it() {
    let mut index = PrefixIndex::default();
    index.record(1, 10, Millis(0));
    index.remove(1, 10);
    expect_that!(index.age(1, 10, Millis(1)), none());
}

#[gtest]
fn prefixes_are_bounded() {
    let mut index = PrefixIndex::default();
    for prefix in 0..100_000 {
        index.record(prefix, 10, Millis(u64::from(prefix)));
    }
    let known = (0..100_000).filter(|prefix| index.is_known(*prefix));
    expect_that!(known.count(), le(8192));
    expect_that!(index.is_known(99_999), eq(true));
}
