use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::DataCentreId;
use medlarrill_core::routing::choose::{Candidate, Choice, ChoiceReason, choose};
use medlarrill_core::routing::health::HealthStatus;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use super::support::{candidate, candidates, prefix};

fn near() -> DataCentreId {
    "near".parse().expect("a name")
}

fn by_prefix(all: &[Candidate], key: u64) -> Choice {
    let mut rng = Pcg32::seed_from_u64(1);
    choose(all, Some(&prefix(key)), 0.0, &near(), false, &mut rng).expect("a choice")
}

fn by_load(all: &[Candidate], probe: bool) -> Choice {
    let mut rng = Pcg32::seed_from_u64(1);
    choose(all, None, 0.0, &near(), probe, &mut rng).expect("a choice")
}

fn position(all: &[Candidate], choice: &Choice) -> usize {
    let same = |c: &Candidate| c.endpoint.id == choice.endpoint.id;
    all.iter().position(same).expect("one of them")
}

#[gtest]
fn daemons_agree_on_the_place_of_a_prefix_without_a_word() {
    let all = candidates(18, 3.0);
    let mut reversed = all.clone();
    reversed.reverse();
    for key in 0..200 {
        let (one, other) = (by_prefix(&all, key), by_prefix(&reversed, key));
        expect_that!(one.endpoint.id, eq(&other.endpoint.id));
        expect_that!(one.reason, eq(ChoiceReason::First));
        expect_that!(one.source, none());
    }
}

#[gtest]
fn a_place_over_the_bound_passes_the_prefix_on_and_lends_its_cached_parts() {
    let mut all = candidates(6, 3.0);
    let first = by_prefix(&all, 7);
    let at = position(&all, &first);
    all[at].load = 20.0;
    let next = by_prefix(&all, 7);
    expect_that!(next.endpoint.id, not(eq(&first.endpoint.id)));
    expect_that!(next.reason, eq(ChoiceReason::Next));
    let source = next.source.expect("a source");
    expect_that!(source.id, eq(&first.endpoint.id));
}

#[gtest]
fn where_all_were_tried_none_is_chosen_again() {
    let mut all = candidates(2, 0.0);
    all[0].tried = true;
    all[1].tried = true;
    let mut rng = Pcg32::seed_from_u64(1);
    expect_that!(choose(&all, None, 0.0, &near(), true, &mut rng), none());
}

#[gtest]
fn where_all_are_over_the_bound_the_least_loaded_is_chosen() {
    // Idle endpoints that are down keep the mean low.
    let mut all = candidates(10, 0.0);
    for (number, candidate) in all.iter_mut().enumerate() {
        match number < 3 {
            true => candidate.load = 100.0 + number as f64,
            false => candidate.health = HealthStatus::Down,
        }
    }
    let choice = by_prefix(&all, 7);
    expect_that!(choice.endpoint.id.endpoint.as_str(), eq("e0"));
}

#[gtest]
fn an_endpoint_that_joined_fetches_from_the_one_that_held_the_prefix() {
    let old = candidates(6, 3.0);
    for key in 0..200 {
        let before = by_prefix(&old, key);
        let mut all = old.clone();
        let mut joined = candidate("joined", 0.0);
        joined.age = Millis(500);
        all.push(joined);
        let after = by_prefix(&all, key);
        if after.endpoint.id.endpoint.as_str() == "joined" {
            let source = after.source.expect("a source");
            expect_that!(source.id, eq(&before.endpoint.id));
        }
    }
}

#[gtest]
fn a_hot_prefix_is_spread_over_places_by_its_share() {
    let all = candidates(20, 4.0);
    let mut rng = Pcg32::seed_from_u64(1);
    let mut places = |share| {
        let mut seen = std::collections::HashSet::new();
        for _ in 0..300 {
            let choice = choose(&all, Some(&prefix(7)), share, &near(), false, &mut rng);
            seen.insert(choice.expect("a choice").endpoint.id.clone());
        }
        seen.len()
    };
    expect_that!(places(0.0), eq(1));
    expect_that!(places(0.02), eq(1));
    expect_that!(places(0.1), eq(4));
    expect_that!(places(0.2), eq(8));
}

#[gtest]
fn a_leaving_endpoint_gets_no_work_and_lends_what_it_holds() {
    let mut all = candidates(6, 3.0);
    let first = by_prefix(&all, 7);
    let at = position(&all, &first);
    let mut leaving = (*all[at].endpoint).clone();
    leaving.leaving = true;
    all[at].endpoint = leaving.into();
    let after = by_prefix(&all, 7);
    expect_that!(after.endpoint.id, not(eq(&first.endpoint.id)));
    let source = after.source.expect("a source");
    expect_that!(source.id, eq(&first.endpoint.id));
}

#[gtest]
fn endpoints_of_the_start_hold_what_they_rank_first_for() {
    let mut all = candidates(6, 3.0);
    for candidate in &mut all {
        candidate.age = Millis(300);
    }
    for key in 0..50 {
        expect_that!(by_prefix(&all, key).source, none());
    }
}

/// How often each endpoint is chosen in 3,000 draws.
fn draw_counts(all: &[Candidate], probe: bool) -> Vec<usize> {
    let mut rng = Pcg32::seed_from_u64(1);
    let mut counts = vec![0; all.len()];
    for _ in 0..3000 {
        let choice = choose(all, None, 0.0, &near(), probe, &mut rng).expect("a choice");
        counts[position(all, &choice)] += 1;
    }
    counts
}

#[gtest]
fn requests_without_prefix_are_drawn_by_load_the_same_data_centre_first() {
    let mut all = candidates(3, 2.0);
    let counts = draw_counts(&all, false);
    expect_that!(counts, each(all!(gt(&900), lt(&1100))));
    let mut far = (*all[0].endpoint).clone();
    far.data_centre = "far".parse().expect("a name");
    all[0].endpoint = far.into();
    let counts = draw_counts(&all, false);
    expect_that!(counts[0], all!(gt(180), lt(290)), "1 in 13: {counts:?}");
    // A full queue weighs more than the distance to another data centre.
    all[1].load = 30.0;
    all[2].load = 30.0;
    let counts = draw_counts(&all, false);
    expect_that!(counts[0], gt(2000), "{counts:?}");
    all[1].load = 2.0;
    let counts = draw_counts(&all, false);
    expect_that!(counts[1], gt(2300), "{counts:?}");
    expect_that!(counts[2], lt(150), "{counts:?}");
}

#[gtest]
fn endpoints_that_fail_are_avoided_and_tried_now_and_then() {
    let mut all = candidates(3, 2.0);
    all[1].load = 0.0;
    all[1].health = HealthStatus::Trial;
    expect_that!(draw_counts(&all, false)[1], eq(0));
    expect_that!(draw_counts(&all, true)[1], gt(1000));
    let mut rng = Pcg32::seed_from_u64(1);
    let choices = (0..100).filter_map(|_| choose(&all, None, 0.0, &near(), true, &mut rng));
    for choice in choices {
        let is_probe = choice.endpoint.id.endpoint.as_str() == "e1";
        expect_that!(choice.probe, eq(is_probe));
    }
}

#[gtest]
fn a_second_attempt_goes_elsewhere_even_to_an_endpoint_in_trouble() {
    let mut all = candidates(2, 0.0);
    all[0].tried = true;
    all[1].health = HealthStatus::Down;
    expect_that!(by_load(&all, false).endpoint.id.endpoint.as_str(), eq("e1"));
}
