//! Endpoints that give no sign of life while they have requests.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::causes::Causes;
use medlarrill_core::routing::config::RetryPolicy;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::plan::RetryPlan;
use medlarrill_core::routing::runs::Silences;
use medlarrill_core::routing::silence::{Left, SeenSilence};
use medlarrill_core::routing::view::View;

use super::support::{endpoint, id, pool, route, view};

const START: Millis = Millis(5000);

/// Sends a request to an endpoint, which begins to answer it.
fn answer(view: &mut View, id: &InstanceId, now: Millis) {
    let causes = Causes::of_request(Fingerprint(1));
    let run_id = view.runs().begin(id, &"v1".into(), causes, now);
    view.runs().set_sent(id, run_id, true);
    view.record_sign(id, run_id, now);
}

fn three_of_four_busy() -> View {
    let mut view = view("near", 1);
    for name in ["a", "b", "c", "d"] {
        view.upsert(endpoint(name), START);
    }
    for (name, sign) in [("a", 0), ("b", 100), ("c", 500)] {
        answer(&mut view, &id(name), START + Millis(sign));
    }
    // Reports tell of endpoints that were sent requests.
    chosen(&mut view, START);
    view
}

#[gtest]
fn a_silence_is_told_with_how_many_others_are_silent() {
    let view = three_of_four_busy();
    let seen = view
        .silence(&id("a"), START + Millis(600))
        .expect("a silence");
    expect_that!(seen.lasted, eq(Millis(600)));
    expect_that!(
        seen.others,
        eq(Silences {
            silent: 1,
            heard: 1
        })
    );
}

#[gtest]
fn an_endpoint_without_requests_is_not_silent() {
    let view = three_of_four_busy();
    expect_that!(view.silence(&id("d"), START + Millis(600)), none());
}

/// The silence of an endpoint beside others of its pool.
fn seen(lasted: u64, silent: usize, heard: usize) -> SeenSilence {
    SeenSilence {
        lasted: Millis(lasted),
        others: Silences { silent, heard },
    }
}

#[gtest]
fn a_silence_is_common_if_a_third_shares_it_and_it_may_still_pass() {
    expect_that!(seen(600, 0, 8).is_common(), eq(false));
    expect_that!(seen(600, 1, 7).is_common(), eq(false));
    expect_that!(seen(600, 2, 6).is_common(), eq(true));
    expect_that!(seen(600, 8, 0).is_common(), eq(true));
    expect_that!(seen(600, 0, 0).is_common(), eq(false));
    expect_that!(seen(3000, 8, 0).is_common(), eq(false));
    // An endpoint that answers others isn't silent.
    expect_that!(seen(100, 8, 0).is_common(), eq(false));
}

fn plan() -> RetryPlan {
    RetryPlan::new(&route(RetryPolicy::Always, 2), Millis(90_000))
}

/// Endpoints that are chosen for some requests at a time.
fn chosen(view: &mut View, now: Millis) -> Vec<InstanceId> {
    let mut ids = Vec::new();
    for _ in 0..40 {
        let choice = view
            .choose(&pool(), None, &plan(), now)
            .expect("an endpoint");
        view.end(&choice.endpoint.id);
        ids.push(choice.endpoint.id.clone());
    }
    ids
}

/// Two requests leave endpoint `a`, which is silent.
fn left_a() -> View {
    let mut view = three_of_four_busy();
    let now = START + Millis(600);
    let silence = Some(seen(600, 0, 3));
    let left = view.record_unanswered(&id("a"), silence, START, now);
    assert_that!(left, eq(Left::Noted));
    let left = view.record_unanswered(&id("a"), silence, START, now);
    assert_that!(left, eq(Left::Avoided));
    view
}

#[gtest]
fn an_endpoint_that_requests_left_in_silence_is_avoided_until_it_gives_a_sign() {
    let mut view = left_a();
    let now = START + Millis(700);
    expect_that!(chosen(&mut view, now), not(contains(eq(&id("a")))));
    expect_that!(view.end_silence(&id("a")), eq(true));
    expect_that!(chosen(&mut view, now), contains(eq(&id("a"))));
}

#[gtest]
fn a_silence_that_no_trial_met_counts_as_no_failure() {
    let mut view = left_a();
    let late = view.record_unanswered(&id("a"), Some(seen(900, 0, 3)), START, START + Millis(900));
    expect_that!(late, eq(Left::Noted));
    expect_that!(view.review(START + Millis(900)), is_empty());
    let reported = view.take_report(false);
    expect_that!(
        reported.entries.iter().map(|entry| entry.bad).sum::<u32>(),
        eq(0)
    );
}

#[gtest]
fn an_endpoint_that_gives_no_sign_to_a_trial_counts_as_failing() {
    let mut view = left_a();
    let trial = START + Millis(1200);
    expect_that!(
        chosen(&mut view, trial),
        contains(eq(&id("a"))).times(eq(1))
    );
    let silence = Some(seen(1800, 0, 3));
    let left = view.record_unanswered(&id("a"), silence, trial, START + Millis(1800));
    expect_that!(left, eq(Left::TrialFailed));
    let reported = view.take_report(false);
    expect_that!(
        reported.entries.iter().map(|entry| entry.bad).sum::<u32>(),
        eq(1)
    );
}

#[gtest]
fn endpoints_are_not_avoided_while_a_third_of_the_pool_would_be() {
    let mut view = three_of_four_busy();
    let now = START + Millis(600);
    for name in ["a", "b"] {
        for _ in 0..2 {
            view.record_unanswered(&id(name), Some(seen(600, 0, 3)), START, now);
        }
    }
    let ids = chosen(&mut view, now);
    expect_that!(ids, contains(eq(&id("a"))));
    expect_that!(ids, contains(eq(&id("b"))));
}

#[gtest]
fn an_endpoint_that_answers_others_but_not_a_request_counts_as_failing() {
    let mut view = three_of_four_busy();
    view.record_unanswered(&id("c"), Some(seen(100, 0, 2)), START, START + Millis(600));
    let reported = view.take_report(false);
    expect_that!(
        reported.entries.iter().map(|entry| entry.bad).sum::<u32>(),
        eq(1)
    );
}

#[gtest]
fn a_silence_of_all_is_told_to_no_other_daemon() {
    // What 300 daemons would all tell in the same tenth of a second.
    let mut view = three_of_four_busy();
    for name in ["a", "b", "c", "d"] {
        for _ in 0..5 {
            view.record_unanswered(
                &id(name),
                Some(seen(1300, 3, 0)),
                START,
                START + Millis(1300),
            );
        }
    }
    let reported = view.take_report(false);
    expect_that!(
        reported.entries.iter().map(|entry| entry.bad).sum::<u32>(),
        eq(0)
    );
}

#[gtest]
fn sound_requests_quarantined_since_silent_endpoints_left_the_list_for_a_while() {
    let mut view = view("near", 1);
    let names = ["a", "b", "c", "d", "e", "f"];
    for name in names {
        view.upsert(endpoint(name), START);
    }
    let request = plan().with_fingerprint(Fingerprint(7));
    for name in &names[..3] {
        let causes = request.causes().clone();
        let run_id = view.runs().begin(&id(name), &"v1".into(), causes, START);
        view.runs().set_sent(&id(name), run_id, true);
    }
    answer(&mut view, &id("f"), START + Millis(2000));
    for name in &names[..3] {
        view.remove(&id(name).endpoint);
        view.record_gone(&id(name), START + Millis(2500));
    }
    for name in &names[..3] {
        view.upsert(endpoint(name), START + Millis(3000));
    }
    let choice = view.choose(&pool(), None, &request, START + Millis(3500));
    expect_that!(choice.is_ok(), eq(true));
}
