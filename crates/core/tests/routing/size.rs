//! The exchange of a fleet of a thousand daemons before ten thousand endpoints, in model time.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;

use super::world::World;

/// Requests that a daemon starts per second, and has in flight at most, in a fleet whose endpoints
/// are mostly idle.
const CALM: (f64, usize) = (1.2, 2);

/// Messages and bytes per second of each role once the fleet has settled.
#[derive(Debug)]
struct Figures {
    middle: (f64, f64),
    /// The busiest of the seeds that aren't hubs.
    seed: (f64, f64),
}

fn settled(daemons: usize) -> World {
    let (starts, in_flight) = CALM;
    let world = World::new(daemons, 5, daemons as u32 * 10);
    let mut world = world.with_requests(starts, in_flight);
    world.run(3000);
    world
}

fn figures(world: &mut World, seconds: u64) -> Figures {
    world.count_bytes();
    world.run(seconds * 1000);
    let now = Millis(world.now);
    let hubs: Vec<usize> = (0..5)
        .flat_map(|centre| world.daemons[centre].exchange.hubs(now))
        .map(|hub| usize::from(hub.port()) - 1)
        .collect();
    let rate = |number: &usize| {
        let daemon = &world.daemons[*number];
        let bytes = daemon.sent + daemon.received;
        let per_second = |count: usize| count as f64 / seconds as f64;
        (per_second(daemon.messages), per_second(bytes))
    };
    let busiest = |numbers: &mut dyn Iterator<Item = usize>| {
        let rates = numbers.map(|number| rate(&number));
        rates.max_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or_default()
    };
    let mut plain: Vec<(f64, f64)> = (0..world.daemons.len())
        .filter(|number| !hubs.contains(number))
        .map(|number| rate(&number))
        .collect();
    plain.sort_by(|a, b| a.1.total_cmp(&b.1));
    Figures {
        middle: plain[plain.len() / 2],
        seed: busiest(&mut (0..3).filter(|seed| !hubs.contains(seed))),
    }
}

/// What seeds do grows with the daemons that ask them, unless these ask more rarely.
#[gtest]
fn seeds_have_no_more_to_do_in_a_larger_fleet() {
    let small = figures(&mut settled(200), 4);
    let large = figures(&mut settled(1000), 4);
    expect_that!(
        large.seed.0 - large.middle.0,
        lt(1.5 * (small.seed.0 - small.middle.0)),
        "messages"
    );
    println!("200 daemons: {small:?}");
    println!("1,000 daemons: {large:?}");
}
