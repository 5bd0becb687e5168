use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::directory::Directory;

use super::support::{endpoint, id, pool};

#[gtest]
fn entries_are_kept_by_pool_and_replaced_in_place() {
    let mut directory = Directory::default();
    expect_that!(directory.insert(endpoint("b"), Millis(1)), eq(true));
    expect_that!(directory.insert(endpoint("a"), Millis(2)), eq(true));
    expect_that!(directory.insert(endpoint("a"), Millis(3)), eq(false));
    let mut leaving = endpoint("a");
    leaving.leaving = true;
    expect_that!(directory.insert(leaving, Millis(4)), eq(true));
    let names: Vec<&str> = directory
        .pool(&pool())
        .iter()
        .map(|e| e.id.endpoint.as_str())
        .collect();
    expect_that!(names, elements_are![eq(&"a"), eq(&"b")]);
    expect_that!(directory.pool(&pool())[0].leaving, eq(true));
    expect_that!(directory.listed_since(&id("a")), some(eq(Millis(2))));
}

#[gtest]
fn a_removed_entry_is_gone_from_its_pool() {
    let mut directory = Directory::default();
    directory.insert(endpoint("a"), Millis(1));
    expect_that!(directory.remove(&id("a").endpoint), eq(true));
    expect_that!(directory.remove(&id("a").endpoint), eq(false));
    expect_that!(directory.pool(&pool()).len(), eq(0));
    expect_that!(directory.is_empty(), eq(true));
}
