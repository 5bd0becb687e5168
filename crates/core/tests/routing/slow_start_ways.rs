//! Three ways to share the rate that starting endpoints bear, in model time: an equal part each,
//! shares drawn by rank, and shares that follow demand as daemons tell it each other.

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
/// Requests a second of the whole fleet, twice what all endpoints bear.
const OFFERED: f64 = 2.0 * RATE * ENDPOINTS as f64;
const START: u64 = 60_000;
const SPAN: u64 = 6000;
const SECOND: u64 = 1000;
/// Between two words on demand, and how old they are when they arrive.
const TOLD: u64 = 100;
const LAG: u64 = 300;

/// Whether a daemon may send to an endpoint now; notes that it does.
type May = Box<dyn FnMut(usize, usize, u64) -> bool>;
/// A way to share the rate.
type Way = fn(Parts) -> May;

/// How daemons see each other: all together, or in parts that are cut off from each other.
#[derive(Clone, Copy)]
struct Parts(usize);

impl Parts {
    const fn of(self, daemon: usize) -> usize {
        daemon % self.0
    }

    const fn size(self) -> usize {
        DAEMONS / self.0
    }
}

/// Each daemon sends one request in the time in which as many as it sees may send one each.
fn equal(parts: Parts) -> May {
    let gap = (parts.size() as f64 / RATE * 1000.0) as u64;
    let mut rng = Pcg32::seed_from_u64(3);
    let mut next = vec![[0; ENDPOINTS]; DAEMONS];
    for free in next.iter_mut().flatten() {
        // Nobody has sent for long, or at a time of its own.
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

/// Shares by rank over the list that the platform keeps, whoever is heard.
fn drawn(_: Parts) -> May {
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
            daemon.begin(id, Millis(SPAN * 2), Millis(START));
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

/// Half of the shares by rank, the other half to those that asked for most a moment ago.
fn by_demand(parts: Parts) -> May {
    let seats = RATE as usize;
    let mut asked: Vec<(u64, usize, usize)> = Vec::new();
    let mut last = vec![[0; ENDPOINTS]; DAEMONS];
    let mut lent = vec![vec![false; ENDPOINTS]; DAEMONS];
    let mut told = 0;
    let rank = |daemon: usize, endpoint: usize| {
        Node::new((), &daemon.to_string()).rank(key_of(&endpoint.to_string()))
    };
    let mut own = vec![vec![false; ENDPOINTS]; DAEMONS];
    let mut give = |endpoint: usize| {
        let mut order: Vec<usize> = (0..DAEMONS).collect();
        order.sort_by_key(|daemon| std::cmp::Reverse(rank(*daemon, endpoint)));
        for daemon in &order[..seats / 2] {
            own[*daemon][endpoint] = true;
        }
    };
    (0..ENDPOINTS).for_each(&mut give);
    Box::new(move |daemon, endpoint, now| {
        asked.push((now, daemon, endpoint));
        if now >= told + TOLD {
            told = now;
            asked.retain(|(at, ..)| now - at < LAG + SECOND);
            let heard = asked.iter().filter(|(at, ..)| now - at >= LAG);
            let mut counts = vec![vec![0; ENDPOINTS]; DAEMONS];
            heard.for_each(|(_, daemon, endpoint)| counts[*daemon][*endpoint] += 1);
            lent = lend(&counts, &own, seats - seats / 2, parts);
        }
        let free = now >= last[daemon][endpoint] + 1020;
        let may = free && (own[daemon][endpoint] || lent[daemon][endpoint]);
        if may {
            last[daemon][endpoint] = now;
        }
        may
    })
}

/// The daemons of each part that asked for most and have no share of their own.
fn lend(counts: &[Vec<usize>], own: &[Vec<bool>], seats: usize, parts: Parts) -> Vec<Vec<bool>> {
    let mut lent = vec![vec![false; ENDPOINTS]; DAEMONS];
    for endpoint in 0..ENDPOINTS {
        for part in 0..parts.0 {
            let here = |daemon: &usize| parts.of(*daemon) == part && !own[*daemon][endpoint];
            let mut order: Vec<usize> = (0..DAEMONS).filter(here).collect();
            order.sort_by_key(|daemon| std::cmp::Reverse(counts[*daemon][endpoint]));
            for daemon in &order[..seats] {
                lent[*daemon][endpoint] = true;
            }
        }
    }
    lent
}

/// What endpoints got.
#[derive(Debug)]
struct Got {
    /// Most requests in a second at any endpoint.
    peak: usize,
    /// Share of the rate that was used.
    used: f64,
    /// Least and most that an endpoint got, against the mean.
    spread: (f64, f64),
}

/// Callers of uneven daemons ask for more than all endpoints bear, each request for the first few
/// in its rank.
fn play(mut may: May) -> Got {
    let mut rng = Pcg32::seed_from_u64(11);
    // Two callers' connections a daemon in the mean.
    let callers: Vec<usize> = (0..2 * DAEMONS)
        .map(|_| rng.random_range(0..DAEMONS))
        .collect();
    let mut sent: Vec<Vec<u64>> = vec![Vec::new(); ENDPOINTS];
    for now in START..START + SPAN {
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
    Got {
        peak: sent.iter().map(peak).max().unwrap_or_default(),
        used: mean / (RATE * SPAN as f64 / 1000.0),
        spread: (least / mean, most / mean),
    }
}

#[gtest]
fn only_shares_by_rank_stay_within_the_rate_and_use_most_of_it_also_in_parts() {
    let ways: [(&str, Way); 3] = [("equal", equal), ("drawn", drawn), ("by demand", by_demand)];
    for (name, way) in ways {
        for parts in [Parts(1), Parts(2), Parts(4)] {
            let got = play(way(parts));
            println!("{name}, {} parts: {got:?}", parts.0);
            let is_within = got.peak as f64 <= RATE;
            match name {
                "drawn" => {
                    expect_that!(is_within, eq(true), "{got:?}");
                    expect_that!(got.used, ge(0.7), "{got:?}");
                    expect_that!(got.spread.0, ge(0.5), "{got:?}");
                }
                _ if parts.0 > 1 => expect_that!(is_within, eq(false), "{name}: {got:?}"),
                _ => {}
            }
        }
    }
}
