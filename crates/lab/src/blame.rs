//! Which part of a prompt crashes endpoints: rules that conclude it from what was lost, compared in
//! a model of requests, endpoints and crashes.
//!
//! Requests have a common first part and some others. One part, or two, crash each endpoint that
//! begins to answer. What one daemon sees is known to all after a delay. Each rule is judged by the
//! requests with such a part that were sent, by how many of them after the fifth crash and three
//! seconds, and by the sound requests that it refused.

mod rules;
mod world;

use std::process::ExitCode;

use clap::Parser;

use rules::RULES;
use world::{Scenario, play};

/// Seeds of each scenario.
const SEEDS: u64 = 40;

#[derive(Debug, Parser)]
#[command(about = "Rules that conclude which part of a prompt crashes endpoints")]
struct Args {}

/// Runs the comparison.
pub fn main() -> ExitCode {
    Args::parse();
    compare();
    ExitCode::SUCCESS
}

/// Prints a row for each scenario and rule: means over the seeds, and the most in any.
fn compare() {
    println!(
        "| scenario | rule | crashes | sent late, mean and most | sound refused, mean and most |"
    );
    println!("|---|---|---|---|---|");
    for scenario in Scenario::ALL {
        for (name, rule) in RULES {
            let plays: Vec<_> = (0..SEEDS).map(|seed| play(&scenario, rule, seed)).collect();
            let mean = |count: fn(&world::Seen) -> usize| {
                plays.iter().map(count).sum::<usize>() as f64 / SEEDS as f64
            };
            let most = |count: fn(&world::Seen) -> usize| plays.iter().map(count).max();
            println!(
                "| {} | {name} | {:.1} | {:.1}, {} | {:.1}, {} |",
                scenario.name,
                mean(|seen| seen.crashes),
                mean(|seen| seen.late),
                most(|seen| seen.late).unwrap_or_default(),
                mean(|seen| seen.refused),
                most(|seen| seen.refused).unwrap_or_default(),
            );
        }
    }
}
