//! Pools whose endpoints fail if they turn many requests away.

use std::net::SocketAddr;

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::brittle::Brittle;
use medlarrill_core::routing::fleet::Fleet;

use super::support::{endpoint, pool};
use super::world::World;

const START: Millis = Millis(100_000);
/// Requests that an endpoint may turn away in a second.
const LIMIT: u32 = 5;

/// A fleet as one of its listed daemons knows it.
fn fleet(daemons: usize, me: usize) -> Fleet {
    let address =
        |number: usize| SocketAddr::from(([10, 1, (number / 250) as u8, 1], number as u16));
    let mut fleet = Fleet::new(Millis::ZERO);
    let all = (0..daemons).map(address).collect();
    fleet.set_listed(address(me), "near", all);
    fleet
}

fn brittle() -> Brittle {
    let mut brittle = Brittle::default();
    brittle.record_limit(&pool(), LIMIT, START);
    brittle
}

#[test]
fn daemons_that_hear_nothing_of_each_other_stay_within_the_fleets_rejections() {
    for daemons in [1, 3, 9, 40, 300] {
        let mut rejections = 0;
        for me in 0..daemons {
            let (mut brittle, fleet) = (brittle(), fleet(daemons, me));
            // Each believes that the endpoint is nearly idle, which is full.
            let full = endpoint("e-1");
            for millis in 0..1000 {
                let now = START + Millis(millis);
                if brittle.accepts(&full, 3.5, &fleet, now) {
                    brittle.record_rejection(&full, now);
                    rejections += 1;
                }
            }
        }
        assert_that!(rejections, le(LIMIT), "{daemons} daemons");
        assert_that!(rejections, ge(1), "{daemons} daemons");
    }
}

#[test]
fn daemons_without_a_share_that_were_turned_away_stay_away_for_the_others_turns() {
    let daemons = 40;
    let mut rejections = [0; 20];
    for me in 0..daemons {
        let (mut brittle, fleet) = (brittle(), fleet(daemons, me));
        // Each believes that the endpoint is idle, which is full.
        let full = endpoint("e-1");
        for (second, count) in rejections.iter_mut().enumerate() {
            for millis in 0..1000 {
                let now = START + Millis(1000 * second as u64 + millis);
                brittle.record_limit(&pool(), LIMIT, now);
                if brittle.accepts(&full, 0.0, &fleet, now) {
                    brittle.record_rejection(&full, now);
                    *count += 1;
                }
                if millis == 500 {
                    brittle.prune(now);
                }
            }
        }
    }
    let later: u32 = rejections[1..].iter().sum();
    assert_that!(later, le(2 * LIMIT * (rejections.len() as u32 - 1)));
}

#[test]
fn endpoints_are_filled_to_their_slots_by_some_and_to_a_half_by_others() {
    let accepted = |me, load| brittle().accepts(&endpoint("e-1"), load, &fleet(40, me), START);
    for me in 0..40 {
        assert_that!(accepted(me, 3.0), eq(true));
        assert_that!(accepted(me, 7.5), eq(false));
    }
    let to_slots = (0..40).filter(|me| accepted(*me, 6.0)).count();
    assert_that!(to_slots, eq(LIMIT as usize));
}

#[test]
fn a_pool_is_brittle_for_three_seconds_after_the_last_word_and_no_other_is() {
    let mut brittle = brittle();
    let other = "other".parse().expect("a name");
    assert_that!(brittle.limit(&pool(), START), some(eq(LIMIT)));
    assert_that!(brittle.limit(&other, START), none());
    assert_that!(
        brittle.limit(&pool(), START + Millis(2999)),
        some(eq(LIMIT))
    );
    let later = START + Millis(3000);
    assert_that!(brittle.limit(&pool(), later), none());
    assert_that!(
        brittle.accepts(&endpoint("e-1"), 100.0, &fleet(40, 1), later),
        eq(true)
    );
    brittle.prune(later);
    assert_that!(brittle.observed(later).into_message(), none());
}

#[test]
fn all_daemons_hear_of_a_brittle_pool_within_a_second() {
    for (daemons, centres) in [(9, 3), (60, 3), (150, 5)] {
        let mut world = World::new(daemons, centres, 100);
        world.run(5000);
        let now = Millis(world.now);
        world.daemons[daemons - 1]
            .brittle
            .record_limit(&pool(), LIMIT, now);
        world.run(1000);
        let now = Millis(world.now);
        let knows = |daemon: &&super::world::Daemon| daemon.brittle.limit(&pool(), now).is_some();
        assert_that!(world.daemons.iter().filter(knows).count(), eq(daemons));
        // Nobody goes on telling it to others for long.
        world.run(6000);
        let now = Millis(world.now);
        let knows = |daemon: &&super::world::Daemon| daemon.brittle.limit(&pool(), now).is_some();
        assert_that!(world.daemons.iter().filter(knows).count(), eq(0));
    }
}
