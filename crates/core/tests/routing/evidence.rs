//! Evidence against requests, told between daemons in model time: how soon all know it, whatever
//! happens to datagrams, hubs and daemons, and in how many bytes.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::fingerprint::Fingerprint;

use super::world::World;

const CRASHING: Fingerprint = Fingerprint(0xc0ffee);
/// Longest time until all daemons know while all is well.
const SOON: u64 = 1000;
/// Users allow three to five seconds, by size; beside faults all know in that.
const IN_TIME: u64 = 3000;

fn settled(daemons: usize, centres: usize) -> World {
    let mut world = World::new(daemons, centres, 100);
    world.run(3000);
    world
}

/// Loses an endpoint with a request at each of three daemons.
fn lose_three(world: &mut World, daemons: [usize; 3]) {
    for (endpoint, number) in daemons.into_iter().enumerate() {
        let now = Millis(world.now);
        let quarantine = &mut world.daemons[number].quarantine;
        quarantine.record_loss(CRASHING, 700 + endpoint as u32, now);
    }
}

/// Daemons that would still send the request.
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
    for (daemons, centres) in [(3, 1), (9, 4), (30, 5), (100, 5), (295, 5)] {
        let mut world = settled(daemons, centres);
        lose_three(&mut world, [0, daemons / 2, daemons - 1]);
        world.run(SOON);
        expect_that!(unaware(&world), is_empty(), "{daemons}");
    }
}

#[gtest]
fn a_third_of_all_datagrams_may_be_lost() {
    let mut world = settled(100, 5);
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
    world.run(IN_TIME);
    expect_that!(unaware(&world), is_empty());
}

#[gtest]
fn daemons_that_start_know_within_a_second() {
    for daemons in [9, 100] {
        let mut world = settled(daemons, 3);
        world.lost = vec![3, 4, 5];
        world.run(3000);
        lose_three(&mut world, [0, 1, 7]);
        world.run(5000);
        for number in [3, 4, 5] {
            world.restart(number);
        }
        world.run(SOON);
        expect_that!(unaware(&world), is_empty(), "{daemons}");
    }
}

#[gtest]
fn it_outlives_those_who_found_it_and_their_hubs() {
    let mut world = settled(60, 3);
    lose_three(&mut world, [6, 7, 8]);
    world.run(SOON);
    let now = Millis(world.now);
    let hubs = |number: usize| world.daemons[number].exchange.hubs(now);
    let mut gone = vec![6, 7, 8];
    for number in 0..3 {
        let found = hubs(number).into_iter();
        gone.extend(found.map(|hub| usize::from(hub.port()) - 1));
    }
    world.lost.clone_from(&gone);
    world.run(4000);
    for number in gone {
        world.restart(number);
    }
    world.run(IN_TIME);
    expect_that!(unaware(&world), is_empty());
}

#[gtest]
fn parts_that_lost_each_other_agree_once_they_meet() {
    let mut world = settled(60, 3);
    world.delivers = Box::new(|from, to| from % 3 == to % 3);
    world.run(3000);
    lose_three(&mut world, [0, 3, 6]);
    world.run(IN_TIME);
    let apart: Vec<usize> = (0..60).filter(|number| number % 3 != 0).collect();
    expect_that!(unaware(&world), eq(&apart));
    world.delivers = Box::new(|_, _| true);
    world.run(IN_TIME);
    expect_that!(unaware(&world), is_empty());
}

#[gtest]
fn three_parts_that_found_one_loss_each_put_them_together() {
    let mut world = settled(60, 3);
    world.delivers = Box::new(|from, to| from % 3 == to % 3);
    world.run(3000);
    lose_three(&mut world, [0, 1, 2]);
    world.run(IN_TIME);
    expect_that!(unaware(&world).len(), eq(60));
    world.delivers = Box::new(|_, _| true);
    world.run(IN_TIME);
    expect_that!(unaware(&world), is_empty());
}

/// Kilobytes a second that daemons send in the mean, and that the busiest one does.
fn sent(world: &mut World) -> (f64, f64) {
    world.count_bytes();
    world.run(5000);
    let sent = world
        .daemons
        .iter()
        .map(|daemon| daemon.sent as f64 / 5000.0);
    let all: Vec<f64> = sent.collect();
    let mean = all.iter().sum::<f64>() / all.len() as f64;
    (mean, all.into_iter().fold(0.0, f64::max))
}

#[gtest]
fn evidence_that_all_know_costs_next_to_nothing() {
    let mut world = settled(100, 5);
    let (mean, most) = sent(&mut world);
    for number in 0..100 {
        let now = Millis(world.now);
        let quarantine = &mut world.daemons[number].quarantine;
        for endpoint in 0..5 {
            quarantine.record_loss(Fingerprint(number as u64), endpoint, now);
        }
    }
    world.run(4000);
    let (mean_after, most_after) = sent(&mut world);
    // A digest in each message.
    expect_that!(mean_after - mean, lt(0.6));
    expect_that!(most_after - most, lt(6.0));
}
