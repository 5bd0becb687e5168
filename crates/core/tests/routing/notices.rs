//! What endpoints say of themselves in answers, and whose word it is.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::config::Repeat;
use medlarrill_core::routing::endpoint::Endpoint;
use medlarrill_core::routing::notices::Notice;
use medlarrill_core::routing::plan::Plan;
use medlarrill_core::routing::view::{NoPlace, View};

use super::support::{self, endpoint, pool, route};

const LEAVING: Notice = Notice { leaving: true };
/// When the tests' clock began, since the Unix epoch.
const EPOCH: Millis = Millis(1_000_000);

fn at(now: Millis) -> Millis {
    EPOCH + now
}

fn born(name: &str, at: Millis) -> Endpoint {
    Endpoint {
        id: support::born(name, at.0),
        ..endpoint(name)
    }
}

fn view() -> View {
    support::view("near", 1)
}

fn plan() -> Plan {
    Plan::new(&route(Repeat::Always, 2), Millis::from_secs(1000))
}

/// A view of one endpoint.
fn one(endpoint: &Endpoint) -> View {
    let mut view = view();
    view.list(endpoint.clone(), Millis::ZERO);
    view
}

fn takes_work(view: &mut View, plan: &Plan, now: Millis) -> bool {
    match view.choose(&pool(), None, plan, now) {
        Ok(choice) => {
            view.end(&choice.endpoint.id);
            true
        }
        Err(NoPlace::Nothing) => false,
        Err(other) => panic!("{other}"),
    }
}

fn is_used(view: &mut View, now: Millis) -> bool {
    takes_work(view, &plan(), now)
}

#[gtest]
fn an_endpoint_that_said_that_it_leaves_is_not_chosen_whatever_its_entry_says() {
    let e = endpoint("e-0");
    let mut view = one(&e);
    let now = Millis(1000);
    expect_that!(view.note(&e.id, LEAVING, now, at(now)), eq(true));
    expect_that!(view.note(&e.id, LEAVING, now, at(now)), eq(false));
    expect_that!(is_used(&mut view, now), eq(false));
    let changed = Endpoint { slots: 9, ..e };
    view.list(changed, Millis(2000));
    expect_that!(is_used(&mut view, Millis(2000)), eq(false));
}

#[gtest]
fn an_entry_that_lapsed_and_returned_does_not_undo_it() {
    let e = endpoint("e-0");
    let mut view = one(&e);
    view.note(&e.id, LEAVING, Millis(1000), at(Millis(1000)));
    view.remove(&e.id.endpoint);
    view.tidy_notices(Millis(60_000));
    view.list(e, Millis(60_000));
    expect_that!(is_used(&mut view, Millis(60_000)), eq(false));
}

#[gtest]
fn what_an_endpoint_said_that_is_gone_for_long_is_forgotten() {
    let e = endpoint("e-0");
    let mut view = one(&e);
    view.note(&e.id, LEAVING, Millis(1000), at(Millis(1000)));
    view.remove(&e.id.endpoint);
    let later = Millis::from_secs(700);
    view.tidy_notices(later);
    view.list(e, later);
    expect_that!(is_used(&mut view, later), eq(true));
}

#[gtest]
fn what_an_endpoint_says_that_is_not_listed_counts_when_it_is() {
    let e = endpoint("e-0");
    let mut view = view();
    view.note(&e.id, LEAVING, Millis(1000), at(Millis(1000)));
    view.list(e, Millis(2000));
    expect_that!(is_used(&mut view, Millis(2000)), eq(false));
}

#[gtest]
fn a_later_start_is_used() {
    let mut view = one(&born("e-0", EPOCH));
    let now = Millis(5000);
    view.note(&born("e-0", EPOCH).id, LEAVING, now, at(now));
    view.list(born("e-0", at(Millis(6000))), Millis(7000));
    expect_that!(is_used(&mut view, Millis(7000)), eq(true));
}

#[gtest]
fn the_word_is_the_later_starts_if_that_had_begun_when_it_was_heard() {
    let mut view = one(&born("e-0", EPOCH));
    let now = Millis(5000);
    view.note(&born("e-0", EPOCH).id, LEAVING, now, at(now));
    view.list(born("e-0", at(Millis(4000))), Millis(7000));
    expect_that!(is_used(&mut view, Millis(7000)), eq(false));
    view.list(born("e-0", at(Millis(8000))), Millis(9000));
    expect_that!(is_used(&mut view, Millis(9000)), eq(true));
}

#[gtest]
fn an_answer_under_way_while_a_later_start_is_listed_speaks_for_that_one() {
    let before = born("e-0", EPOCH);
    let mut view = one(&before);
    view.list(born("e-0", at(Millis(4000))), Millis(4500));
    view.note(&before.id, LEAVING, Millis(5000), at(Millis(5000)));
    expect_that!(is_used(&mut view, Millis(5000)), eq(false));
}

#[gtest]
fn an_answer_heard_before_the_listed_start_does_not_speak_for_it() {
    let before = born("e-0", EPOCH);
    let mut view = one(&before);
    view.list(born("e-0", at(Millis(9000))), Millis(4500));
    view.note(&before.id, LEAVING, Millis(5000), at(Millis(5000)));
    expect_that!(is_used(&mut view, Millis(5000)), eq(true));
}
