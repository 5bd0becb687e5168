//! What to do with a stream whose endpoint is silent: rules compared in a model of endpoints that
//! pause and go on, or hang for good.
//!
//! A rule is judged by the streams that ended before their deadline without being complete, by those
//! that weren't complete at their deadline, by the repeats that it spent, and by how long streams
//! stayed at endpoints that hang.

mod world;

use std::process::ExitCode;

use clap::Parser;

use world::{Rule, Scenario, Seen, play};

/// Seeds of each scenario.
const SEEDS: u64 = 40;

#[derive(Debug, Parser)]
#[command(about = "Rules for streams whose endpoint is silent")]
struct Args {}

/// Runs the comparison.
pub fn main() -> ExitCode {
    Args::parse();
    println!("| silent | budget | rule | cut early | late | repeats | left after, ms |");
    println!("|---|---|---|---|---|---|---|");
    for scenario in Scenario::all() {
        for rule in Rule::ALL {
            row(&scenario, rule);
        }
    }
    ExitCode::SUCCESS
}

/// Prints means over the seeds, in 100 streams that met a silent endpoint.
fn row(scenario: &Scenario, rule: Rule) {
    let plays: Vec<Seen> = (0..SEEDS).map(|seed| play(scenario, rule, seed)).collect();
    let sum = |count: fn(&Seen) -> u64| plays.iter().map(count).sum::<u64>() as f64;
    let met = sum(|seen| seen.met).max(1.0);
    let share = |count| 100.0 * sum(count) / met;
    let left = sum(|seen| seen.moved_after) / sum(|seen| seen.moved).max(1.0);
    println!(
        "| {} | {} | {rule:?} | {:.1} | {:.1} | {:.1} | {:.0} |",
        scenario.name(),
        scenario.budget_name(),
        share(|seen| seen.cut),
        share(|seen| seen.late),
        share(|seen| seen.repeats),
        left,
    );
}
