//! Notices of endpoints in their responses, that they leave or want a pause, and to which instance
//! a notice applies.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::answer::AnswerHead;
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::config::RetryPolicy;
use medlarrill_core::routing::endpoint::Endpoint;
use medlarrill_core::routing::notices::Notice;
use medlarrill_core::routing::plan::RetryPlan;
use medlarrill_core::routing::view::{ChooseError, View};

use super::support::{self, endpoint, pool, route};

const LEAVING: Notice = Notice {
    leaving: true,
    pause: Millis::ZERO,
};
/// Start of the tests' clock, since the Unix epoch.
const EPOCH: Millis = Millis(1_000_000);

fn at(now: Millis) -> Millis {
    EPOCH + now
}

fn started(name: &str, at: Millis) -> Endpoint {
    Endpoint {
        id: support::started_at(name, at.0),
        ..endpoint(name)
    }
}

fn view() -> View {
    support::view("near", 1)
}

fn plan() -> RetryPlan {
    RetryPlan::new(&route(RetryPolicy::Always, 2), Millis::from_secs(1000))
}

/// A view of one endpoint.
fn view_of(endpoint: &Endpoint) -> View {
    let mut view = view();
    view.upsert(endpoint.clone(), Millis::ZERO);
    view
}

fn takes_work(view: &mut View, plan: &RetryPlan, now: Millis) -> bool {
    match view.choose(&pool(), None, plan, now) {
        Ok(choice) => {
            view.end(&choice.endpoint.id);
            true
        }
        Err(ChooseError::Nothing) => false,
        Err(other) => panic!("{other}"),
    }
}

fn is_used(view: &mut View, now: Millis) -> bool {
    takes_work(view, &plan(), now)
}

#[gtest]
fn an_endpoint_that_said_that_it_leaves_is_not_chosen_whatever_its_entry_says() {
    let e = endpoint("e-0");
    let mut view = view_of(&e);
    let now = Millis(1000);
    expect_that!(view.apply_notice(&e.id, LEAVING, now, at(now)), eq(true));
    expect_that!(view.apply_notice(&e.id, LEAVING, now, at(now)), eq(false));
    expect_that!(is_used(&mut view, now), eq(false));
    let changed = Endpoint { slots: 9, ..e };
    view.upsert(changed, Millis(2000));
    expect_that!(is_used(&mut view, Millis(2000)), eq(false));
}

#[gtest]
fn an_entry_that_lapsed_and_returned_does_not_undo_it() {
    let e = endpoint("e-0");
    let mut view = view_of(&e);
    view.apply_notice(&e.id, LEAVING, Millis(1000), at(Millis(1000)));
    view.remove(&e.id.endpoint);
    view.prune_notices(Millis(60_000));
    view.upsert(e, Millis(60_000));
    expect_that!(is_used(&mut view, Millis(60_000)), eq(false));
}

#[gtest]
fn what_an_endpoint_said_that_is_gone_for_long_is_forgotten() {
    let e = endpoint("e-0");
    let mut view = view_of(&e);
    view.apply_notice(&e.id, LEAVING, Millis(1000), at(Millis(1000)));
    view.remove(&e.id.endpoint);
    let later = Millis::from_secs(700);
    view.prune_notices(later);
    view.upsert(e, later);
    expect_that!(is_used(&mut view, later), eq(true));
}

#[gtest]
fn what_an_endpoint_says_that_is_not_listed_counts_when_it_is() {
    let e = endpoint("e-0");
    let mut view = view();
    view.apply_notice(&e.id, LEAVING, Millis(1000), at(Millis(1000)));
    view.upsert(e, Millis(2000));
    expect_that!(is_used(&mut view, Millis(2000)), eq(false));
}

#[gtest]
fn a_later_start_is_used() {
    let mut view = view_of(&started("e-0", EPOCH));
    let now = Millis(5000);
    view.apply_notice(&started("e-0", EPOCH).id, LEAVING, now, at(now));
    view.upsert(started("e-0", at(Millis(6000))), Millis(7000));
    expect_that!(is_used(&mut view, Millis(7000)), eq(true));
}

#[gtest]
fn the_word_is_the_later_starts_if_that_had_begun_when_it_was_heard() {
    let mut view = view_of(&started("e-0", EPOCH));
    let now = Millis(5000);
    view.apply_notice(&started("e-0", EPOCH).id, LEAVING, now, at(now));
    view.upsert(started("e-0", at(Millis(4000))), Millis(7000));
    expect_that!(is_used(&mut view, Millis(7000)), eq(false));
    view.upsert(started("e-0", at(Millis(8000))), Millis(9000));
    expect_that!(is_used(&mut view, Millis(9000)), eq(true));
}

#[gtest]
fn an_answer_under_way_while_a_later_start_is_listed_speaks_for_that_one() {
    let before = started("e-0", EPOCH);
    let mut view = view_of(&before);
    view.upsert(started("e-0", at(Millis(4000))), Millis(4500));
    view.apply_notice(&before.id, LEAVING, Millis(5000), at(Millis(5000)));
    expect_that!(is_used(&mut view, Millis(5000)), eq(false));
}

#[gtest]
fn a_pause_asked_of_the_start_before_does_not_end_that_the_later_one_leaves() {
    let (before, later) = (started("e-0", EPOCH), started("e-0", at(Millis(4000))));
    let mut view = view_of(&before);
    view.upsert(later.clone(), Millis(4500));
    view.apply_notice(&later.id, LEAVING, Millis(5000), at(Millis(5000)));
    view.apply_notice(&before.id, pause(500), Millis(5100), at(Millis(5100)));
    view.upsert(Endpoint { slots: 9, ..later }, Millis(5200));
    expect_that!(is_used(&mut view, Millis(9000)), eq(false));
}

#[gtest]
fn an_answer_heard_before_the_listed_start_does_not_speak_for_it() {
    let before = started("e-0", EPOCH);
    let mut view = view_of(&before);
    view.upsert(started("e-0", at(Millis(9000))), Millis(4500));
    view.apply_notice(&before.id, LEAVING, Millis(5000), at(Millis(5000)));
    expect_that!(is_used(&mut view, Millis(5000)), eq(true));
}

const fn pause(millis: u64) -> Notice {
    Notice {
        leaving: false,
        pause: Millis(millis),
    }
}

#[gtest]
fn an_endpoint_that_wants_a_pause_is_not_chosen_until_its_end() {
    let e = endpoint("e-0");
    let mut view = view_of(&e);
    let now = Millis(1000);
    expect_that!(
        view.apply_notice(&e.id, pause(3000), now, at(now)),
        eq(true)
    );
    expect_that!(view.paused_count(now), eq(1));
    expect_that!(is_used(&mut view, Millis(3999)), eq(false));
    expect_that!(view.paused_count(Millis(4000)), eq(0));
    expect_that!(is_used(&mut view, Millis(4000)), eq(true));
}

#[gtest]
fn of_pauses_that_overlap_the_last_to_end_counts() {
    let e = endpoint("e-0");
    let mut view = view_of(&e);
    view.apply_notice(&e.id, pause(3000), Millis(1000), at(Millis(1000)));
    view.apply_notice(&e.id, pause(500), Millis(1200), at(Millis(1200)));
    expect_that!(is_used(&mut view, Millis(3999)), eq(false));
    view.apply_notice(&e.id, pause(3000), Millis(2000), at(Millis(2000)));
    expect_that!(is_used(&mut view, Millis(4999)), eq(false));
    expect_that!(is_used(&mut view, Millis(5000)), eq(true));
}

#[gtest]
fn a_pause_does_not_end_that_an_endpoint_leaves() {
    let e = endpoint("e-0");
    let mut view = view_of(&e);
    view.apply_notice(&e.id, LEAVING, Millis(1000), at(Millis(1000)));
    view.apply_notice(&e.id, pause(500), Millis(1100), at(Millis(1100)));
    view.upsert(Endpoint { slots: 9, ..e }, Millis(1200));
    expect_that!(is_used(&mut view, Millis(9000)), eq(false));
}

#[gtest]
fn a_later_start_has_no_part_in_a_pause() {
    let mut view = view_of(&started("e-0", EPOCH));
    let now = Millis(5000);
    view.apply_notice(&started("e-0", EPOCH).id, pause(60_000), now, at(now));
    view.upsert(started("e-0", at(Millis(6000))), Millis(7000));
    expect_that!(is_used(&mut view, Millis(7000)), eq(true));
}

#[gtest]
fn no_pause_is_longer_than_ten_minutes() {
    let e = endpoint("e-0");
    let mut view = view_of(&e);
    let now = Millis(1000);
    view.apply_notice(&e.id, pause(u64::MAX), now, at(now));
    expect_that!(is_used(&mut view, now + Millis::from_secs(599)), eq(false));
    expect_that!(is_used(&mut view, now + Millis::from_secs(600)), eq(true));
}

#[gtest]
fn an_endpoint_that_wants_a_pause_gets_no_trial() {
    let (bad, good) = (endpoint("e-0"), endpoint("e-1"));
    let mut view = view_of(&bad);
    view.upsert(good.clone(), Millis::ZERO);
    view.apply_notice(&bad.id, pause(60_000), Millis::ZERO, EPOCH);
    for step in 1..500 {
        let now = Millis(step * 100);
        view.record_success(&good.id, now);
        view.record_failure(&bad.id, Fault::Failed, now);
        let choice = view.choose(&pool(), None, &plan(), now).expect("e-1");
        expect_that!(choice.endpoint.id, eq(&good.id));
        view.end(&good.id);
    }
    // It isn't used as a last resort either when the other can't be reached.
    view.record_failure(&good.id, Fault::NotSent, Millis(50_000));
    let choice = view.choose(&pool(), None, &plan(), Millis(50_001));
    expect_that!(choice.expect("e-1").endpoint.id, eq(&good.id));
}

#[gtest]
fn a_pause_is_asked_for_by_an_answer_that_refuses() {
    let head = |status| AnswerHead {
        status,
        retry_after: Some(Millis(2000)),
        ..AnswerHead::default()
    };
    for status in [429, 503] {
        expect_that!(head(status).notice(), eq(pause(2000)));
    }
    for status in [200, 400, 421, 500] {
        expect_that!(head(status).notice(), eq(Notice::default()));
    }
}

#[gtest]
fn an_answer_is_the_word_of_the_endpoint_that_was_asked_only_if_that_one_gave_it() {
    let head = |status, attempt: Option<&str>, endpoint: Option<&str>| AnswerHead {
        status,
        attempt: attempt.map(str::to_owned),
        endpoint: endpoint.map(|name| name.parse().expect("a name")),
        ..AnswerHead::default()
    };
    let asked = endpoint("e-0").id.endpoint;
    let is_from = |head: AnswerHead| head.is_from(&asked, "a");
    expect_that!(is_from(head(200, Some("a"), Some("e-0"))), eq(true));
    expect_that!(is_from(head(503, None, None)), eq(true));
    expect_that!(is_from(head(421, Some("a"), None)), eq(false));
    expect_that!(is_from(head(200, Some("b"), None)), eq(false));
    expect_that!(is_from(head(200, Some("a"), Some("e-1"))), eq(false));
}

#[gtest]
fn a_pool_is_closed_until_the_first_of_its_pauses_ends() {
    let (first, second) = (endpoint("e-0"), endpoint("e-1"));
    let mut view = view_of(&first);
    view.upsert(second.clone(), Millis::ZERO);
    let now = Millis(1000);
    view.apply_notice(&first.id, pause(3000), now, at(now));
    expect_that!(view.closed_for(&pool(), now), none());
    view.apply_notice(&second.id, pause(2000), now, at(now));
    expect_that!(view.closed_for(&pool(), now), some(eq(Millis(2000))));
    view.apply_notice(&second.id, LEAVING, now, at(now));
    expect_that!(view.closed_for(&pool(), now), some(eq(Millis(3000))));
    expect_that!(view.closed_for(&pool(), Millis(4000)), none());
    view.apply_notice(&first.id, LEAVING, now, at(now));
    expect_that!(
        view.closed_for(&pool(), Millis(4000)),
        some(eq(Millis(1000)))
    );
}

#[gtest]
fn a_pool_without_endpoints_is_closed_and_one_that_is_drained_too() {
    let e = endpoint("e-0");
    let mut view = view();
    expect_that!(view.closed_for(&pool(), Millis::ZERO), some(anything()));
    view.upsert(e.clone(), Millis::ZERO);
    expect_that!(view.closed_for(&pool(), Millis::ZERO), none());
    view.drain(e.data_centre, Millis::ZERO);
    expect_that!(view.closed_for(&pool(), Millis::ZERO), some(anything()));
}
