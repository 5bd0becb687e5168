//! Endpoint health: age of answers, reordered answers, circuit breaker, flap damping, drain.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::endpoint_state::{
    Action, EndpointState, EndpointStates, Event, Listed, Reported,
};
use medlarrill_core::ids::EndpointId;

fn engine() -> EndpointId {
    "engine-1".parse().unwrap()
}

fn states() -> EndpointStates {
    let mut states = EndpointStates::new(1);
    let endpoint = engine();
    let drained = false;
    states.handle(Event::Configured { endpoint, drained }, Millis(0));
    states
}

fn answer(states: &mut EndpointStates, state: Reported, sent: u64, now: u64) {
    let endpoint = engine();
    let sent = Millis(sent);
    let answered = Event::Answered {
        endpoint,
        sent,
        state,
    };
    states.handle(answered, Millis(now));
}

fn dispatch(states: &mut EndpointStates, reached: bool, now: u64) {
    let endpoint = engine();
    states.handle(Event::Dispatched { endpoint, reached }, Millis(now));
}

/// Runs until `end`; polls are answered if `answers` is set, and fail otherwise. Returns the number of polls.
fn run(states: &mut EndpointStates, from: u64, end: u64, answers: bool) -> usize {
    let mut polls = 0;
    for now in (from..end).step_by(100) {
        for action in states.handle(Event::Tick, Millis(now)) {
            if action != Action::Poll(engine()) {
                continue;
            }
            polls += 1;
            let endpoint = engine();
            let sent = Millis(now);
            match answers {
                true => answer(states, Reported::Ready, now, now),
                false => {
                    states.handle(Event::Unanswered { endpoint, sent }, sent);
                }
            }
        }
    }
    polls
}

#[gtest]
fn no_dispatch_on_old_evidence() {
    let mut states = states();
    expect_that!(states.share(&engine(), Millis(0)), eq(0.0));
    answer(&mut states, Reported::Ready, 1000, 2500);
    expect_that!(states.share(&engine(), Millis(3000)), eq(1.0));
    expect_that!(states.share(&engine(), Millis(3001)), eq(0.0));
    expect_that!(
        states.state(&engine(), Millis(3001)),
        eq(EndpointState::Unknown)
    );
}

#[gtest]
fn no_dispatch_on_evidence_from_before_a_pause() {
    let mut states = states();
    answer(&mut states, Reported::Ready, 1000, 1000);
    states.handle(Event::Stale, Millis(1100));
    expect_that!(states.share(&engine(), Millis(1100)), eq(0.0));
    let polls = states.handle(Event::Tick, Millis(1100));
    expect_that!(polls, contains(eq(&Action::Poll(engine()))));
}

#[gtest]
fn a_crossed_answer_does_not_reopen_a_leaving_endpoint() {
    let mut states = states();
    answer(&mut states, Reported::Leaving, 1000, 1100);
    answer(&mut states, Reported::Ready, 900, 1200);
    expect_that!(
        states.state(&engine(), Millis(1200)),
        eq(EndpointState::Leaving)
    );
}

#[gtest]
fn drain_and_list_close_an_endpoint_that_says_it_is_ready() {
    let mut states = states();
    answer(&mut states, Reported::Ready, 1000, 1000);
    for (listed, state) in [
        (Listed::Live, EndpointState::Ready),
        (Listed::Absent, EndpointState::Ready),
        (Listed::Leaving, EndpointState::Leaving),
    ] {
        let endpoint = engine();
        states.handle(Event::Listed { endpoint, listed }, Millis(1000));
        expect_that!(states.state(&engine(), Millis(1000)), eq(state));
    }
    let endpoint = engine();
    let drained = true;
    let changes = states.handle(Event::Configured { endpoint, drained }, Millis(1000));
    let endpoint = engine();
    let state = EndpointState::Drained;
    expect_that!(
        changes,
        elements_are![eq(&Action::Changed { endpoint, state })]
    );
    expect_that!(states.share(&engine(), Millis(1000)), eq(0.0));
}

#[gtest]
fn failing_work_closes_an_endpoint_whose_health_is_good() {
    let mut states = states();
    for now in [1000, 1500, 2000] {
        answer(&mut states, Reported::Ready, now, now);
        expect_that!(states.share(&engine(), Millis(now)), eq(1.0));
        dispatch(&mut states, false, now);
    }
    let closed = states.state(&engine(), Millis(2000));
    expect_that!(closed, eq(EndpointState::Unreachable));
    answer(&mut states, Reported::Ready, 2100, 2100);
    expect_that!(states.share(&engine(), Millis(2100)), eq(0.0));
    answer(&mut states, Reported::Ready, 2200, 2200);
    expect_that!(
        states.share(&engine(), Millis(2200)),
        all![gt(0.0), lt(0.2)]
    );
    dispatch(&mut states, false, 2300);
    expect_that!(states.share(&engine(), Millis(2300)), eq(0.0));
}

#[gtest]
fn an_endpoint_that_flaps_comes_back_more_slowly() {
    let mut states = states();
    let mut now = 1000;
    let mut back = Vec::new();
    for _ in 0..3 {
        run(&mut states, now, now + 5000, false);
        now += 5000;
        let began = now;
        while states.share(&engine(), Millis(now)) < 1.0 {
            run(&mut states, now, now + 100, true);
            now += 100;
        }
        back.push(now - began);
    }
    expect_that!(
        back.is_sorted_by(|a, b| a + 1000 < *b),
        is_true(),
        "{back:?}"
    );
    for _ in 0..4 {
        run(&mut states, now, now + 5000, false);
        run(&mut states, now + 5000, now + 15_000, true);
        now += 15_000;
    }
    let held = states.state(&engine(), Millis(now));
    expect_that!(held, eq(EndpointState::Unreachable));
    run(&mut states, now, now + 90_000, true);
    expect_that!(states.share(&engine(), Millis(now + 89_900)), gt(0.5));
}

#[gtest]
fn one_that_does_not_answer_is_asked_less_often() {
    let mut states = states();
    expect_that!(run(&mut states, 0, 60_000, true), all![ge(60), le(70)]);
    expect_that!(run(&mut states, 60_000, 120_000, false), le(15));
}
