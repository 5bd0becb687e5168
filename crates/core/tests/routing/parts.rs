//! Parts of prompts that crash endpoints: which of them is to blame, where they are refused, and how
//! they are tried again.

use std::net::SocketAddr;

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::causes::Causes;
use medlarrill_core::routing::config::RetryPolicy;
use medlarrill_core::routing::endpoint::{Build, Endpoint};
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::plan::RetryPlan;
use medlarrill_core::routing::quarantine::{BASE_DURATION, Quarantine};
use medlarrill_core::routing::request::{PromptPart, RequestHead};
use medlarrill_core::routing::view::View;
use medlarrill_core::units::Tokens;

use super::support::{endpoint, pool, route, view};

const FIRST: Fingerprint = Fingerprint(10);
const BAD: Fingerprint = Fingerprint(11);
const RARE: Fingerprint = Fingerprint(12);
const START: Millis = Millis(100_000);

fn at(millis: u64) -> Millis {
    START + Millis(millis)
}

fn is_refused(quarantine: &Quarantine, causes: &[Fingerprint], now: Millis) -> bool {
    quarantine.remaining_of(causes, now).is_some()
}

/// A quarantine in which endpoints were lost with these causes, one each 200 ms.
fn after_losses(causes: &[&[Fingerprint]]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (number, causes) in causes.iter().enumerate() {
        let lost_at = at(200 * number as u64);
        quarantine.record_losses(causes, number as u32, None, lost_at);
    }
    quarantine
}

#[gtest]
fn a_part_is_to_blame_whatever_else_the_requests_have() {
    let quarantine = after_losses(&[&[FIRST, BAD], &[BAD, RARE], &[RARE, BAD, FIRST]]);
    expect_that!(is_refused(&quarantine, &[BAD], at(500)), eq(true));
    expect_that!(is_refused(&quarantine, &[FIRST, RARE], at(500)), eq(false));
}

#[gtest]
fn parts_that_were_always_lost_together_are_refused_together_only() {
    let quarantine = after_losses(&[&[FIRST, BAD], &[FIRST, BAD], &[FIRST, BAD]]);
    expect_that!(is_refused(&quarantine, &[FIRST, BAD], at(500)), eq(true));
    expect_that!(is_refused(&quarantine, &[FIRST], at(500)), eq(false));
    expect_that!(is_refused(&quarantine, &[BAD], at(500)), eq(false));
}

#[gtest]
fn an_answer_clears_of_what_was_lost_before_its_head_and_of_nothing_later() {
    let mut quarantine = after_losses(&[&[FIRST], &[FIRST]]);
    // It began before both ends, and was complete after them.
    quarantine.record_response(&[FIRST], at(0) - Millis(100), at(1000));
    quarantine.record_losses(&[FIRST], 7, None, at(1100));
    expect_that!(quarantine.suspects(), eq(1));
    quarantine.record_response(&[FIRST], at(1050), at(1200));
    quarantine.record_losses(&[FIRST], 8, None, at(1300));
    quarantine.record_response(&[FIRST], at(1400), at(1500));
    expect_that!(quarantine.suspects(), eq(0));
}

#[gtest]
fn a_part_that_was_served_a_moment_before_needs_five_losses_over_three_seconds() {
    let mut quarantine = Quarantine::default();
    quarantine.record_response(&[FIRST], at(0), at(0));
    for number in 0..8 {
        quarantine.record_losses(&[FIRST], number, None, at(100 + u64::from(number) * 100));
    }
    expect_that!(is_refused(&quarantine, &[FIRST], at(900)), eq(false));
    quarantine.record_losses(&[FIRST], 9, None, at(3100));
    expect_that!(
        quarantine.remaining_of(&[FIRST], at(3100)),
        some(eq(Millis(5000)))
    );
}

#[gtest]
fn a_loss_that_is_found_late_is_news_all_the_same() {
    let mut quarantine = Quarantine::default();
    quarantine.record_losses_at(&[BAD], 1, None, at(0), at(4000));
    let news = quarantine.snapshot(at(4100)).own;
    expect_that!(news.len(), eq(1));
    expect_that!(news[0].age, eq(Millis(4100)));
}

#[gtest]
fn who_did_not_serve_it_learns_that_it_was_served() {
    let mut served = Quarantine::default();
    served.record_response(&[FIRST], at(0), at(0));
    let mut lost = Quarantine::default();
    for number in 1..4 {
        lost.record_losses(&[FIRST], number, None, at(100));
    }
    expect_that!(is_refused(&lost, &[FIRST], at(100)), eq(true));
    served.merge(&lost.snapshot(at(100)).own, at(100));
    expect_that!(is_refused(&served, &[FIRST], at(100)), eq(false));
    lost.merge(&served.snapshot(at(100)).own, at(100));
    expect_that!(is_refused(&lost, &[FIRST], at(100)), eq(false));
}

#[gtest]
fn of_two_bad_parts_with_the_same_first_part_only_the_two_are_refused() {
    let other = Fingerprint(13);
    let mut quarantine = Quarantine::default();
    quarantine.record_response(&[FIRST], at(0), at(0));
    for number in 0..12 {
        let bad = if number % 2 == 0 { BAD } else { other };
        let lost_at = at(400 + u64::from(number) * 400);
        quarantine.record_losses(&[FIRST, bad], number, None, lost_at);
    }
    expect_that!(is_refused(&quarantine, &[FIRST, BAD], at(5000)), eq(true));
    expect_that!(is_refused(&quarantine, &[FIRST, other], at(5000)), eq(true));
    expect_that!(is_refused(&quarantine, &[FIRST, RARE], at(5000)), eq(false));
}

#[gtest]
fn what_was_answered_for_long_counts_only_where_nothing_else_was_lost() {
    let lose = |began_ago: u64, with_others: bool| {
        let mut quarantine = Quarantine::default();
        for number in 0..3 {
            let lost_at = at(10_000 + u64::from(number) * 200);
            let began = Some(lost_at - Millis(began_ago));
            quarantine.record_losses(&[RARE], number, began, lost_at);
            if with_others {
                let other = Fingerprint(100 + u64::from(number));
                quarantine.record_losses(&[other], number, None, lost_at);
            }
        }
        is_refused(&quarantine, &[RARE], at(11_000))
    };
    expect_that!(lose(5000, false), eq(true));
    expect_that!(lose(500, false), eq(true));
    expect_that!(lose(5000, true), eq(false));
}

#[gtest]
fn the_likeliest_cause_of_two_losses_is_not_sent_on_and_what_ran_beside_it_is() {
    let mut quarantine = after_losses(&[&[BAD, FIRST], &[BAD, FIRST]]);
    expect_that!(quarantine.is_prime_suspect(&[BAD, FIRST]), eq(true));
    expect_that!(quarantine.is_prime_suspect(&[RARE]), eq(false));
    quarantine.record_response(&[FIRST], at(300), at(400));
    quarantine.record_losses(&[RARE], 1, None, at(200));
    quarantine.record_losses(&[RARE], 2, None, at(400));
    quarantine.record_losses(&[BAD], 2, None, at(400));
    expect_that!(quarantine.is_prime_suspect(&[RARE, FIRST]), eq(false));
    expect_that!(quarantine.is_prime_suspect(&[BAD, FIRST]), eq(true));
}

#[gtest]
fn a_flood_of_invented_parts_pushes_no_cause_with_two_losses_out() {
    let mut quarantine = after_losses(&[&[BAD], &[BAD]]);
    for number in 0..2000 {
        let invented: Vec<Fingerprint> = (0..16)
            .map(|n| Fingerprint(1000 + number * 16 + n))
            .collect();
        quarantine.record_losses(&invented, 50 + number as u32, None, at(500 + number));
    }
    expect_that!(quarantine.snapshot(at(3000)).all.len(), le(512));
    quarantine.record_losses(&[BAD], 40, None, at(3000));
    expect_that!(is_refused(&quarantine, &[BAD], at(3000)), eq(true));
}

fn prompt(ids: &[u64]) -> RequestHead {
    let part = |id: &u64| PromptPart {
        id: *id,
        tokens: Tokens(10),
    };
    RequestHead {
        model: "m".into(),
        parts: ids.iter().map(part).collect(),
        ..RequestHead::default()
    }
}

fn causes(ids: &[u64]) -> Causes {
    Causes::new(Fingerprint(1), &prompt(ids), &pool())
}

fn v1() -> Build {
    "v1".into()
}

#[gtest]
fn a_part_is_known_by_its_id_at_any_place_but_the_last() {
    let of = |ids: &[u64]| causes(ids).at(&v1());
    let alone = of(&[7, 99])[1];
    expect_that!(of(&[1, 7, 2, 99]).contains(&alone), eq(true));
    expect_that!(of(&[1, 2, 7, 98]).contains(&alone), eq(true));
    expect_that!(of(&[1, 2, 7]).contains(&alone), eq(false));
    expect_that!(of(&[]), eq(&vec![Fingerprint(1)]));
    expect_that!(causes(&[1, 7, 2]).part(alone, &v1()), some(eq(7)));
}

#[gtest]
fn what_is_known_of_a_part_holds_for_a_model_a_version_and_a_pool() {
    let alone = causes(&[7, 99]).at(&v1())[1];
    expect_that!(
        causes(&[7, 99]).at(&"v2".into()).contains(&alone),
        eq(false)
    );
    let other_model = RequestHead {
        model: "n".into(),
        ..prompt(&[7, 99])
    };
    let other = Causes::new(Fingerprint(1), &other_model, &pool());
    expect_that!(other.at(&v1()).contains(&alone), eq(false));
    let other_pool = "other".parse().expect("a name");
    let other = Causes::new(Fingerprint(1), &prompt(&[7, 99]), &other_pool);
    expect_that!(other.at(&v1()).contains(&alone), eq(false));
}

#[gtest]
fn of_many_parts_the_first_and_the_last_are_known() {
    let ids: Vec<u64> = (0..100).collect();
    let known = causes(&ids).at(&v1());
    expect_that!(known.len(), eq(17));
    for id in [0, 7, 91, 98] {
        let alone = causes(&[id, 1000]).at(&v1())[1];
        expect_that!(known.contains(&alone), eq(true), "{id}");
    }
}

fn plan(ids: &[u64], now: Millis) -> RetryPlan {
    let plan = RetryPlan::new(&route(RetryPolicy::Never, 1), now + Millis(9000));
    plan.with_causes(causes(ids))
}

fn listed(name: &str, build: &str) -> Endpoint {
    Endpoint {
        build: build.into(),
        ..endpoint(name)
    }
}

/// A view of endpoints by their software versions, of which three of the first were lost with part 7.
fn view_after_losses(builds: &[&str]) -> View {
    let mut view = view("near", 7);
    for (number, build) in builds.iter().enumerate() {
        view.upsert(listed(&format!("e-{number}"), build), START);
    }
    for number in 0..3 {
        let name = format!("lost-{number}");
        view.upsert(listed(&name, builds[0]), START);
        let id = endpoint(&name).id;
        view.record_loss(&plan(&[1, 7, 99], START), &id, None, at(200 * number));
        view.remove(&id.endpoint);
    }
    view
}

/// The endpoint that is sent a request with these parts.
fn sent_to(view: &mut View, ids: &[u64], now: Millis) -> Option<String> {
    let choice = view.choose(&pool(), None, &plan(ids, now), now).ok()?;
    view.end(&choice.endpoint.id);
    Some(choice.endpoint.id.to_string())
}

#[gtest]
fn a_part_is_refused_where_it_crashed_endpoints_and_served_at_another_software_version() {
    let mut one = view_after_losses(&["v1", "v1"]);
    expect_that!(sent_to(&mut one, &[1, 7, 50], at(600)), none());
    expect_that!(sent_to(&mut one, &[1, 8, 50], at(600)), some(anything()));
    let mut two = view_after_losses(&["v1", "v2"]);
    for _ in 0..20 {
        let sent = sent_to(&mut two, &[1, 7, 50], at(600));
        expect_that!(sent, some(eq("e-1")));
    }
}

/// When trials may begin after three losses.
const TRIALS: Millis = Millis(START.0 + 400 + BASE_DURATION.0 / 20);

#[gtest]
fn one_daemon_at_a_time_tries_one_request_after_a_part_of_the_quarantine() {
    let daemons: Vec<SocketAddr> = (1..5).map(|n| ([127, 0, 0, n], 70).into()).collect();
    let mut all = Vec::new();
    for me in &daemons {
        let mut view = view_after_losses(&["v1", "v1"]);
        view.set_daemons(*me, "near", daemons.clone());
        expect_that!(sent_to(&mut view, &[1, 7, 50], TRIALS - Millis(1)), none());
        let tried = (0..24_000).step_by(50);
        all.extend(tried.filter(|after| {
            let now = TRIALS + Millis(*after);
            view.quarantine().expire(now);
            sent_to(&mut view, &[1, 7, 50], now).is_some()
        }));
    }
    all.sort_unstable();
    expect_that!(
        all,
        eq(&(0..8).map(|turn| turn * 3000).collect::<Vec<u64>>())
    );
}

#[gtest]
fn a_complete_trial_opens_the_way_for_all() {
    let mut view = view_after_losses(&["v1", "v1"]);
    view.set_sole();
    expect_that!(sent_to(&mut view, &[1, 7, 50], TRIALS), some(anything()));
    expect_that!(sent_to(&mut view, &[1, 7, 51], TRIALS), none());
    let id = endpoint("e-0").id;
    view.record_response(&plan(&[1, 7, 50], TRIALS), &id, TRIALS, TRIALS);
    expect_that!(sent_to(&mut view, &[1, 7, 52], TRIALS), some(anything()));
}

#[gtest]
fn a_trial_that_is_lost_puts_the_next_one_off() {
    let mut view = view_after_losses(&["v1", "v1"]);
    view.set_sole();
    expect_that!(sent_to(&mut view, &[1, 7, 50], TRIALS), some(anything()));
    let id = endpoint("e-0").id;
    view.record_loss(&plan(&[1, 7, 50], TRIALS), &id, None, TRIALS);
    let next = TRIALS + Millis(6 * BASE_DURATION.0 / 20);
    expect_that!(sent_to(&mut view, &[1, 7, 51], next - Millis(1)), none());
    expect_that!(sent_to(&mut view, &[1, 7, 52], next), some(anything()));
}
