//! Bandwidth and convergence times of membership in simulated time, for fleets of several sizes.
//!
//! Run it with `cargo run --release -p medlarrill-core --example membership`.
//! Bytes are those of the encoded frames with their length prefixes, without
//! TCP and IP overhead.

#[path = "../tests/membership/fleet.rs"]
#[expect(dead_code, reason = "more is used by the tests")]
mod fleet;

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::Generation;
use medlarrill_core::membership::{Action, Event, Scope};

use fleet::{Fleet, Health, Rates, address, listed};

const SECOND: u64 = 1000;
const MINUTE: u64 = 60 * SECOND;
const SEED: u64 = 7;
/// Per daemon: pools, endpoints, and endpoints that are named in its load messages.
const LOADS: (usize, usize, usize) = (4, 13, 2);
/// Fleet sizes: number of daemons and of data centres.
const SIZES: [(usize, usize); 4] = [(9, 3), (50, 4), (150, 6), (350, 11)];

fn main() {
    println!("B/s are per daemon: mean (largest of any daemon); times are in ms of simulated time");
    for (size, centres) in SIZES {
        let mut fleet = Fleet::new(size, centres, SEED);
        fleet.keep = false;
        give_lists(&mut fleet);
        println!("\n{size} daemons in {centres} data centres");
        measure(&mut fleet);
    }
}

fn measure(fleet: &mut Fleet) {
    let joined = fleet.until(2 * MINUTE, Fleet::agreed);
    let span = joined.unwrap_or(2 * MINUTE);
    row("cold start", joined, fleet.rates(span, |s| s.bytes));
    fleet.run(30 * SECOND);
    rate(fleet, "idle", MINUTE);
    churn(fleet);
    let last = fleet.nodes.len() - 1;
    lose(fleet, "killed", last, Health::Killed);
    lose(fleet, "vanished", last - 1, Health::Vanished);
    depart(fleet, last - 2);
    spread_generation(fleet);
    partition(fleet);
    loads(fleet);
}

/// Gives each daemon its own list of VMs, which lacks every tenth VM.
fn give_lists(fleet: &mut Fleet) {
    let size = fleet.nodes.len();
    for at in 0..size {
        let present = (0..size).filter(|of| (of + at) % 10 != 0);
        fleet.give(at, listed(present.map(address)));
    }
}

fn row(name: &str, took: Option<u64>, bytes: Rates) {
    let took = took.map_or("not in time".into(), |took| format!("{took} ms"));
    println!(
        "{name:32} {took:>12}  {:6.0} B/s ({:.0})",
        bytes.mean, bytes.most
    );
}

fn rate(fleet: &mut Fleet, name: &str, span: u64) {
    fleet.reset_sent();
    let start = std::time::Instant::now();
    fleet.run(span);
    let spent = start.elapsed().as_micros() as u64;
    row(name, Some(span), fleet.rates(span, |s| s.bytes));
    let seconds = fleet.nodes.len() as u64 * span / SECOND;
    let spent = spent / seconds;
    println!(
        "{:32} {spent} us of processor time a second, simulation included",
        ""
    );
}

/// Restarts a tenth of the daemons, evenly over a minute.
fn churn(fleet: &mut Fleet) {
    let count = fleet.nodes.len().div_ceil(10);
    fleet.reset_sent();
    let mut worst: f64 = 0.0;
    let mut before = 0;
    for step in 0..60 {
        let due = count * (step + 1) / 60;
        for at in count * step / 60..due {
            fleet.restart(at * 10 % fleet.nodes.len());
        }
        fleet.run(SECOND);
        let sent: u64 = fleet.nodes.iter().map(|n| n.sent.bytes).sum();
        worst = worst.max((sent - before) as f64 / fleet.nodes.len() as f64);
        before = sent;
    }
    let name = format!("a tenth ({count}) restarted");
    row(&name, Some(MINUTE), fleet.rates(MINUTE, |s| s.bytes));
    println!("{:32} {worst:.0} B/s", "  mean in the worst second");
    let agreed = fleet.until(MINUTE, Fleet::agreed);
    println!("{:32} {agreed:?}", "  agreed after");
    fleet.run(MINUTE);
}

fn lose(fleet: &mut Fleet, name: &str, at: usize, health: Health) {
    let mut took = Vec::new();
    for _ in 0..5 {
        fleet.set(at, health);
        took.push(fleet.until(MINUTE, |f| f.removed(at)));
        fleet.restart(at);
        fleet.until(MINUTE, Fleet::agreed);
        fleet.run(20 * SECOND);
    }
    println!("{name:32} gone everywhere after {took:?}");
}

fn depart(fleet: &mut Fleet, at: usize) {
    fleet.give(at, Event::Leave);
    let known = fleet.until(MINUTE, |f| f.removed(at));
    fleet.give(at, Event::Depart);
    fleet.run(SECOND);
    fleet.restart(at);
    let joined = fleet.until(MINUTE, Fleet::agreed);
    println!(
        "{:32} ineligible everywhere after {known:?}, new process known after {joined:?}",
        "leaving"
    );
    fleet.run(20 * SECOND);
}

/// Sets a generation at one daemon; every other adopts it within 5 ms of receiving it.
fn spread_generation(fleet: &mut Fleet) {
    fleet.keep = true;
    fleet.reset_sent();
    fleet.nodes[0].machine.set_generation(Generation(9));
    let start = fleet.now;
    let all = |f: &Fleet| f.nodes.iter().all(|n| n.machine.own().generation.0 == 9);
    while !all(fleet) && fleet.now < start + MINUTE {
        fleet.run(5);
        for node in &mut fleet.nodes {
            let received = |(_, a): &(Millis, Action)| matches!(a, Action::NewerGeneration { .. });
            if node.seen.iter().any(received) {
                node.machine.set_generation(Generation(9));
            }
            node.seen.clear();
        }
    }
    let took = fleet.now - start;
    println!("{:32} in force everywhere after {took} ms", "generation");
    fleet.keep = false;
    let asked = fleet.now;
    while fleet.nodes[1]
        .machine
        .lagging(Generation(9))
        .next()
        .is_some()
    {
        let now = fleet.clock(1);
        let actions = fleet.nodes[1].machine.probe_lagging(Generation(9), now);
        fleet.act(1, actions);
        fleet.run(200);
    }
    let took = fleet.now - asked;
    println!("{:32} known by one that asks after {took} ms", "  ");
}

/// Cuts the last third off from the rest for three minutes.
fn partition(fleet: &mut Fleet) {
    let all: Vec<_> = (0..fleet.nodes.len()).collect();
    let (left, right) = all.split_at(all.len() * 2 / 3);
    fleet.partition(left, right);
    fleet.run(3 * MINUTE);
    let live = fleet.nodes[0].machine.eligible(&Scope::Fleet).count();
    rate(fleet, &format!("partitioned, {live} eligible"), MINUTE);
    fleet.cuts.clear();
    fleet.reset_sent();
    let healed = fleet.until(5 * MINUTE, Fleet::agreed);
    let span = healed.unwrap_or(5 * MINUTE);
    row("healed", healed, fleet.rates(span, |s| s.bytes));
    fleet.run(MINUTE);
}

fn loads(fleet: &mut Fleet) {
    let (pools, endpoints, least) = LOADS;
    fleet.reset_sent();
    for _ in 0..30 {
        fleet.set_loads(pools, endpoints, least);
        fleet.run(SECOND);
    }
    let rates = fleet.rates(30 * SECOND, |s| s.loads);
    row("loads and sums alone", Some(30 * SECOND), rates);
    let rates = fleet.rates(30 * SECOND, |s| s.bytes);
    row("  the rest meanwhile", Some(30 * SECOND), rates);
}
