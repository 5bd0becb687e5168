//! Compares three schemes that divide the rate of starting endpoints among daemons, in simulated
//! time: equal shares, shares by rank, and shares by demand as daemons report it to each other.

use std::net::SocketAddr;

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::placement::{Node, key_of};
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::slow_start::{Allowance, SlowStart};
use medlarrill_core::units::Rate;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::support::{FleetSlowStarts, id, pool};

const DAEMONS: usize = 68;
const ENDPOINTS: usize = 60;
const RATE: f64 = 8.9;
/// Requests a second of the fleet, twice the total rate of all endpoints.
const OFFERED: f64 = 2.0 * RATE * ENDPOINTS as f64;
const START: u64 = 60_000;
const DURATION: u64 = 6000;
const SECOND: u64 = 1000;
/// Interval between reports of demand, in milliseconds.
const REPORT_INTERVAL: u64 = 100;
/// Age of a report when it arrives, in milliseconds.
const LAG: u64 = 300;

/// Returns whether a daemon may send to an endpoint now, and records it as sent if so.
type MaySend = Box<dyn FnMut(usize, usize, u64) -> bool>;
/// A scheme to divide the rate.
type Scheme = fn(Partition) -> MaySend;

/// Number of parts of the fleet that are cut off from each other; one if all are connected.
#[derive(Clone, Copy)]
struct Partition(usize);

impl Partition {
    const fn of(self, daemon: usize) -> usize {
        daemon % self.0
    }

    const fn size(self) -> usize {
        DAEMONS / self.0
    }
}

/// Each daemon sends one request in the time in which each daemon of its part may send one.
fn equal(partition: Partition) -> MaySend {
    let gap = (partition.size() as f64 / RATE * 1000.0) as u64;
    let mut rng = Pcg32::seed_from_u64(3);
    let mut next = vec![[0; ENDPOINTS]; DAEMONS];
    for free in next.iter_mut().flatten() {
        // Each daemon starts at a random point of its interval; about half may send at once.
        *free = START + rng.random_range(0..gap) - gap / 2;
    }
    Box::new(move |daemon, endpoint, now| {
        let free = &mut next[daemon][endpoint];
        if now < *free {
            return false;
        }
        *free = now + gap;
        true
    })
}

fn address(number: usize) -> SocketAddr {
    ([10, 0, 0, number as u8], 7340).into()
}

/// Shares by rank over the platform's list, independent of which daemons are reachable.
fn by_rank(_: Partition) -> MaySend {
    let slow = SlowStart {
        rate: Rate(RATE),
        duration: Millis(3000),
    };
    let ids: Vec<InstanceId> = (0..ENDPOINTS).map(|e| id(&format!("e-{e}"))).collect();
    let daemon = |number| {
        let mut daemon = FleetSlowStarts::new(Millis(0));
        daemon.configure([(pool(), slow)].into());
        daemon.set_daemons(address(number), "near", (0..DAEMONS).map(address).collect());
        for id in &ids {
            daemon.begin(id, Millis(DURATION * 2), Millis(START));
        }
        daemon
    };
    let mut daemons: Vec<FleetSlowStarts> = (0..DAEMONS).map(daemon).collect();
    Box::new(move |daemon, endpoint, now| {
        let (daemon, id) = (&mut daemons[daemon], &ids[endpoint]);
        let may = daemon.allowance(id, &pool(), Millis(now)) == Allowance::One;
        if may {
            daemon.record_sent(id, Millis(now));
        }
        may
    })
}

/// Half of the shares by rank, the other half to the daemons with the most demand a moment ago.
fn by_demand(partition: Partition) -> MaySend {
    let share_count = RATE as usize;
    let mut demand: Vec<(u64, usize, usize)> = Vec::new();
    let mut last = vec![[0; ENDPOINTS]; DAEMONS];
    let mut assigned = vec![vec![false; ENDPOINTS]; DAEMONS];
    let mut last_report = 0;
    let rank = |daemon: usize, endpoint: usize| {
        Node::new((), &daemon.to_string()).rank(key_of(&endpoint.to_string()))
    };
    let mut own = vec![vec![false; ENDPOINTS]; DAEMONS];
    let mut assign = |endpoint: usize| {
        let mut order: Vec<usize> = (0..DAEMONS).collect();
        order.sort_by_key(|daemon| std::cmp::Reverse(rank(*daemon, endpoint)));
        for daemon in &order[..share_count / 2] {
            own[*daemon][endpoint] = true;
        }
    };
    (0..ENDPOINTS).for_each(&mut assign);
    Box::new(move |daemon, endpoint, now| {
        demand.push((now, daemon, endpoint));
        if now >= last_report + REPORT_INTERVAL {
            last_report = now;
            demand.retain(|(at, ..)| now - at < LAG + SECOND);
            let received = demand.iter().filter(|(at, ..)| now - at >= LAG);
            let mut counts = vec![vec![0; ENDPOINTS]; DAEMONS];
            received.for_each(|(_, daemon, endpoint)| counts[*daemon][*endpoint] += 1);
            assigned = assign_by_demand(&counts, &own, share_count - share_count / 2, partition);
        }
        let free = now >= last[daemon][endpoint] + 1020;
        let may = free && (own[daemon][endpoint] || assigned[daemon][endpoint]);
        if may {
            last[daemon][endpoint] = now;
        }
        may
    })
}

/// Assigns shares to the daemons of each part with the most demand and no share by rank.
fn assign_by_demand(
    counts: &[Vec<usize>],
    own: &[Vec<bool>],
    share_count: usize,
    partition: Partition,
) -> Vec<Vec<bool>> {
    let mut assigned = vec![vec![false; ENDPOINTS]; DAEMONS];
    for endpoint in 0..ENDPOINTS {
        for part in 0..partition.0 {
            let here = |daemon: &usize| partition.of(*daemon) == part && !own[*daemon][endpoint];
            let mut order: Vec<usize> = (0..DAEMONS).filter(here).collect();
            order.sort_by_key(|daemon| std::cmp::Reverse(counts[*daemon][endpoint]));
            for daemon in &order[..share_count] {
                assigned[*daemon][endpoint] = true;
            }
        }
    }
    assigned
}

/// Measured results.
#[derive(Debug)]
struct Results {
    /// Most requests in a second at any endpoint.
    peak: usize,
    /// Used share of the rate.
    used: f64,
    /// Least and most requests of an endpoint, relative to the mean.
    spread: (f64, f64),
}

/// Callers, spread unevenly over daemons, send more than all endpoints accept; each request tries
/// the endpoints in turn from a random first.
fn simulate(mut may: MaySend) -> Results {
    let mut rng = Pcg32::seed_from_u64(11);
    // Two connections of callers per daemon on average.
    let callers: Vec<usize> = (0..2 * DAEMONS)
        .map(|_| rng.random_range(0..DAEMONS))
        .collect();
    let mut sent: Vec<Vec<u64>> = vec![Vec::new(); ENDPOINTS];
    for now in START..START + DURATION {
        let mut due = OFFERED / 1000.0;
        while due > 0.0 {
            if due >= 1.0 || rng.random::<f64>() < due {
                let daemon = callers[rng.random_range(0..callers.len())];
                let first = rng.random_range(0..ENDPOINTS);
                let places = (0..ENDPOINTS).map(|next| (first + next) % ENDPOINTS);
                let place = { places }.find(|endpoint| may(daemon, *endpoint, now));
                if let Some(endpoint) = place {
                    sent[endpoint].push(now);
                }
            }
            due -= 1.0;
        }
    }
    let peak = |sent: &Vec<u64>| {
        let within = |from: &u64| {
            let until = from + SECOND;
            sent.iter()
                .filter(|at| (*from..until).contains(*at))
                .count()
        };
        sent.iter().map(within).max().unwrap_or_default()
    };
    let counts: Vec<f64> = sent.iter().map(|sent| sent.len() as f64).collect();
    let mean = counts.iter().sum::<f64>() / ENDPOINTS as f64;
    let least = counts.iter().copied().fold(f64::MAX, f64::min);
    let most = counts.iter().copied().fold(0.0, f64::max);
    Results {
        peak: sent.iter().map(peak).max().unwrap_or_default(),
        used: mean / (RATE * DURATION as f64 / 1000.0),
        spread: (least / mean, most / mean),
    }
}

#[gtest]
fn only_shares_by_rank_stay_within_the_rate_and_use_most_of_it_also_in_parts() {
    let schemes: [(&str, Scheme); 3] = [
        ("equal", equal),
        ("drawn", by_rank),
        ("by demand", by_demand),
    ];
    for (name, scheme) in schemes {
        for partition in [Partition(1), Partition(2), Partition(4)] {
            let got = simulate(scheme(partition));
            println!("{name}, {} parts: {got:?}", partition.0);
            let is_within = got.peak as f64 <= RATE;
            match name {
                "drawn" => {
                    expect_that!(is_within, eq(true), "{got:?}");
                    expect_that!(got.used, ge(0.7), "{got:?}");
                    expect_that!(got.spread.0, ge(0.5), "{got:?}");
                }
                _ if partition.0 > 1 => expect_that!(is_within, eq(false), "{name}: {got:?}"),
                _ => {}
            }
        }
    }
}
