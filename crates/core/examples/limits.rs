//! Control bytes that account limits cost, in model time.
//!
//! `cargo run --release -p medlarrill-core --example limits`

#[path = "../tests/support/fleet.rs"]
#[expect(dead_code, reason = "Shared with the tests, which use more of it.")]
mod fleet;

use fleet::{Demand, Fleet};
use medlarrill_core::limits::{AccountHash, Limits};

/// Model time before and while it is measured, in seconds.
const WARM_SECS: u64 = 20;
const SECS: u64 = 20;

/// One size of the fleet.
struct Size {
    name: &'static str,
    daemons: usize,
    accounts: usize,
    /// Requests a second over the whole fleet.
    rate: f64,
    /// Of so many accounts one has less room than it asks for; none if zero.
    short: usize,
}

/// Room that accounts have if they are not short.
const ROOM: f64 = 2.0;
/// Room that accounts have if they are short.
const SHORT: f64 = 0.8;

const fn size(
    name: &'static str,
    daemons: usize,
    accounts: usize,
    rate: f64,
    short: usize,
) -> Size {
    Size {
        name,
        daemons,
        accounts,
        rate,
        short,
    }
}

const SIZES: [Size; 6] = [
    size("today", 9, 10, 50.0, 0),
    size("today, all short", 9, 10, 50.0, 1),
    size("a tenth", 35, 74, 3_300.0, 0),
    size("design", 350, 740, 33_000.0, 0),
    size("design, each tenth short", 350, 740, 33_000.0, 10),
    size("design, all short", 350, 740, 33_000.0, 1),
];

/// Accounts of uneven size: the n-th asks for one n-th of what the first does.
fn demands(size: &Size) -> Vec<Demand> {
    let weight = |index: usize| 1.0 / (index + 1) as f64;
    let whole: f64 = (0..size.accounts).map(weight).sum();
    let demand = |index: usize| {
        let rate = size.rate * weight(index) / whole;
        let short = size.short > 0 && index.is_multiple_of(size.short);
        let room = if short { SHORT } else { ROOM };
        let limits = Limits {
            rate: rate * room,
            concurrency: (rate * room * 4.0).ceil() as u32,
        };
        let rates = vec![rate / size.daemons as f64; size.daemons];
        Demand {
            account: AccountHash(index as u64 + 1),
            limits,
            rates,
        }
    };
    (0..size.accounts).map(demand).collect()
}

fn main() {
    println!(
        "{:<28}{:>10}{:>12}{:>12}{:>8}{:>9}{:>9}{:>9}",
        "size", "daemons", "B/s sent", "frames/s", "rate", "flights", "held ms", "refused"
    );
    let most: usize = std::env::args()
        .nth(1)
        .and_then(|arg| arg.parse().ok())
        .unwrap_or(usize::MAX);
    for size in SIZES.into_iter().filter(|size| size.daemons <= most) {
        let mut fleet = Fleet::new(size.daemons, demands(&size), 1);
        fleet.run(WARM_SECS * 1000);
        let (bytes, frames) = (fleet.bytes, fleet.frames);
        for outcome in &mut fleet.outcomes {
            *outcome = fleet::Outcome {
                flights: outcome.flights,
                ..fleet::Outcome::default()
            };
        }
        fleet.run((WARM_SECS + SECS) * 1000);
        let per = (size.daemons as u64 * SECS) as f64;
        let asked: u64 = fleet.outcomes.iter().map(|outcome| outcome.asked).sum();
        let refused: u64 = fleet
            .outcomes
            .iter()
            .flat_map(|outcome| outcome.refused.values())
            .sum();
        let held = fleet
            .outcomes
            .iter()
            .map(|outcome| outcome.held)
            .max()
            .unwrap_or(0);
        let over = overshoot(&demands(&size), &fleet.outcomes);
        println!(
            "{:<28}{:>10}{:>12.0}{:>12.1}{:>8.2}{:>9.2}{:>9}{:>9.4}",
            size.name,
            size.daemons,
            (fleet.bytes - bytes) as f64 / per,
            (fleet.frames - frames) as f64 / per,
            over.0,
            over.1,
            held,
            refused as f64 / asked as f64,
        );
    }
}

/// Highest use of any account, as multiples of its rate in ten seconds and of its concurrency.
fn overshoot(demands: &[Demand], outcomes: &[fleet::Outcome]) -> (f64, f64) {
    let mut over = (0.0, 0.0);
    for (demand, outcome) in demands.iter().zip(outcomes) {
        let Limits { rate, concurrency } = demand.limits;
        over.0 = f64::max(
            over.0,
            outcome.most_in(10_000) as f64 / (rate * 10.0).max(10.0),
        );
        over.1 = f64::max(over.1, f64::from(outcome.most) / f64::from(concurrency));
    }
    over
}
