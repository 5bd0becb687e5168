//! Simulates the exchange of quarantine evidence between daemons: how soon all daemons have it
//! despite lost datagrams, hubs and daemons, and how many bytes that takes.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::fingerprint::Fingerprint;

use super::world::World;

const CRASHING: Fingerprint = Fingerprint(0xc0ffee);
/// Bound of the time until all daemons have the evidence without faults, in milliseconds.
const MAX_PROPAGATION: u64 = 1000;
/// Bound of that time with faults, in milliseconds; users allow three to five seconds, depending on
/// the fleet's size.
const MAX_WITH_FAULTS: u64 = 3000;

fn converged(daemons: usize, data_centres: usize) -> World {
    let mut world = World::new(daemons, data_centres, 100);
    world.run(3000);
    world
}

/// Records the loss of an endpoint that ran the request at each of three daemons.
fn lose_three(world: &mut World, daemons: [usize; 3]) {
    for (endpoint, number) in daemons.into_iter().enumerate() {
        let now = Millis(world.now);
        let quarantine = &mut world.daemons[number].quarantine;
        quarantine.record_loss(CRASHING, 700 + endpoint as u32, now);
    }
}

/// Live daemons that don't quarantine the request yet.
fn unaware(world: &World) -> Vec<usize> {
    let now = Millis(world.now);
    let is_unaware = |number: &usize| {
        let quarantine = &world.daemons[*number].quarantine;
        quarantine.remaining(CRASHING, now).is_none()
    };
    world.live().filter(is_unaware).collect()
}

#[gtest]
fn all_daemons_know_within_a_second_at_any_size() {
    for (daemons, data_centres) in [(3, 1), (9, 4), (30, 5), (100, 5), (295, 5)] {
        let mut world = converged(daemons, data_centres);
        lose_three(&mut world, [0, daemons / 2, daemons - 1]);
        world.run(MAX_PROPAGATION);
        expect_that!(unaware(&world), is_empty(), "{daemons}");
    }
}

#[gtest]
fn a_third_of_all_datagrams_may_be_lost() {
    let mut world = converged(100, 5);
    let count = std::cell::Cell::new(0u32);
    world.delivers = Box::new(move |_, _| {
        count.set(
            count
                .get()
                .wrapping_mul(1_664_525)
                .wrapping_add(1_013_904_223),
        );
        count.get() >> 16 > 0xffff / 3
    });
    lose_three(&mut world, [0, 41, 99]);
    world.run(MAX_WITH_FAULTS);
    expect_that!(unaware(&world), is_empty());
}

#[gtest]
fn daemons_that_start_know_within_a_second() {
    for daemons in [9, 100] {
        let mut world = converged(daemons, 3);
        world.lost = vec![3, 4, 5];
        world.run(3000);
        lose_three(&mut world, [0, 1, 7]);
        world.run(5000);
        for number in [3, 4, 5] {
            world.restart(number);
        }
        world.run(MAX_PROPAGATION);
        expect_that!(unaware(&world), is_empty(), "{daemons}");
    }
}

#[gtest]
fn it_outlives_those_who_found_it_and_their_hubs() {
    let mut world = converged(60, 3);
    lose_three(&mut world, [6, 7, 8]);
    world.run(MAX_PROPAGATION);
    let now = Millis(world.now);
    let hubs = |number: usize| world.daemons[number].exchange.hubs(now);
    let mut down = vec![6, 7, 8];
    for number in 0..3 {
        let found = hubs(number).into_iter();
        down.extend(found.map(|hub| usize::from(hub.port()) - 1));
    }
    world.lost.clone_from(&down);
    world.run(4000);
    for number in down {
        world.restart(number);
    }
    world.run(MAX_WITH_FAULTS);
    expect_that!(unaware(&world), is_empty());
}

#[gtest]
fn parts_that_lost_each_other_agree_once_they_meet() {
    let mut world = converged(60, 3);
    world.delivers = Box::new(|from, to| from % 3 == to % 3);
    world.run(3000);
    lose_three(&mut world, [0, 3, 6]);
    world.run(MAX_WITH_FAULTS);
    let apart: Vec<usize> = (0..60).filter(|number| number % 3 != 0).collect();
    expect_that!(unaware(&world), eq(&apart));
    world.delivers = Box::new(|_, _| true);
    world.run(MAX_WITH_FAULTS);
    expect_that!(unaware(&world), is_empty());
}

#[gtest]
fn three_parts_that_found_one_loss_each_put_them_together() {
    let mut world = converged(60, 3);
    world.delivers = Box::new(|from, to| from % 3 == to % 3);
    world.run(3000);
    lose_three(&mut world, [0, 1, 2]);
    world.run(MAX_WITH_FAULTS);
    expect_that!(unaware(&world).len(), eq(60));
    world.delivers = Box::new(|_, _| true);
    world.run(MAX_WITH_FAULTS);
    expect_that!(unaware(&world), is_empty());
}

/// Kilobytes per second that daemons send: the mean, and that of the busiest one.
fn send_rates(world: &mut World) -> (f64, f64) {
    world.count_bytes();
    world.run(5000);
    let rates = world
        .daemons
        .iter()
        .map(|daemon| daemon.sent as f64 / 5000.0);
    let all: Vec<f64> = rates.collect();
    let mean = all.iter().sum::<f64>() / all.len() as f64;
    (mean, all.into_iter().fold(0.0, f64::max))
}

#[gtest]
fn evidence_that_all_know_costs_next_to_nothing() {
    let mut world = converged(100, 5);
    let (mean, most) = send_rates(&mut world);
    for number in 0..100 {
        let now = Millis(world.now);
        let quarantine = &mut world.daemons[number].quarantine;
        for endpoint in 0..5 {
            quarantine.record_loss(Fingerprint(number as u64), endpoint, now);
        }
    }
    world.run(4000);
    let (mean_after, most_after) = send_rates(&mut world);
    // Each message carries a digest.
    expect_that!(mean_after - mean, lt(0.6));
    expect_that!(most_after - most, lt(6.0));
}

#[gtest]
fn news_of_parts_that_crash_endpoints_keep_to_the_budget_at_any_size() {
    for (daemons, data_centres) in [(9, 4), (100, 5), (295, 5)] {
        let mut world = converged(daemons, data_centres);
        let (mean, _) = send_rates(&mut world);
        world.count_bytes();
        // Ten requests with three parts each are lost with an endpoint, twice a second.
        for crash in 0..10_u64 {
            for request in 0..10_u64 {
                let number = (crash * 7 + request * 3) as usize % daemons;
                let causes = [1, 2, 10 + request % 3, 1000 + crash * 10 + request];
                let now = Millis(world.now);
                let quarantine = &mut world.daemons[number].quarantine;
                quarantine.record_losses(&causes.map(Fingerprint), crash as u32, None, now);
            }
            world.run(500);
        }
        let sent = world
            .daemons
            .iter()
            .map(|daemon| daemon.sent as f64 / 5000.0);
        let during = sent.sum::<f64>() / daemons as f64;
        println!("{daemons} daemons: {mean:.1} and {during:.1} KB a second each");
        // Of the 20 KB that a daemon may spend for control.
        expect_that!(during - mean, lt(20.0), "{daemons}");
    }
}
