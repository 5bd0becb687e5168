//! A short soak with fixed seeds, and each seed that ever broke a promise.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use medlarrill_lab::child::main_with;
use medlarrill_lab::soak::{self, Options, SoakError};

/// Seeds of every run.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Seeds that broke a promise, with the cause.
const BROKEN: [u64; 4] = [
    // A daemon that had heard that an endpoint leaves ended a long stop and was started again; the
    // check took it for the same process.
    3_476_997_479,
    // The soak ended events later or sooner than planned, beside load; the check went by the plan.
    4_047_801_099,
    2_586_271_209,
    // The check of drains didn't know that the ends of two events list an endpoint again.
    2_050_536_964,
];
/// The same of soaks of cuts.
const BROKEN_CUTS: [u64; 2] = [
    // Beside load, a daemon that started had copied the list of the one that was cut off, whose
    // addresses lead through that one's proxies.
    1_023_038_130,
    2_653_523_366,
];
/// The same of soaks of restorations.
const BROKEN_RESTORES: [u64; 2] = [
    // An endpoint said again that it leaves, which the next restoration lost before anybody had to
    // know it; the check knew only of the first loss.
    3_025_687_100,
    1_942_676_454,
];
/// The same of soaks of releases.
const BROKEN_RELEASES: [u64; 1] = [
    // A daemon that had lost the platform and heard nothing of the others joined streams of a new
    // version, by a list from before the release.
    508,
];
/// Seeds of losses of all daemons. Daemons that are lost again within seconds of their return aren't
/// among them: `KNOWN-RED.txt` has those.
const SEEDS_OF_LOSSES: [u64; 3] = [2, 3, 5];
/// Seconds of each soak.
const SECONDS: u64 = 8;
/// The same of requests that share a part, which have to be known before sound ones are judged.
const SECONDS_OF_PARTS: u64 = 14;

/// The same of restorations, which come in series.
const SECONDS_OF_RESTORES: u64 = 14;
/// The same of odd entries: a daemon that follows the list no more is found by later changes.
const SECONDS_OF_ENTRIES: u64 = 12;
/// The same of heads that break off.
const SECONDS_OF_HEADS: u64 = 5;
/// The same of losses of all daemons: one release each.
const SECONDS_OF_LOSSES: u64 = 3;

/// What the test runner passes; names of tests choose none of these.
#[derive(Parser)]
struct Passed {
    #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
    _words: Vec<String>,
}

/// Kinds of soaks, as their options, with their length and the seeds that broke a promise.
const KINDS: [(&str, u64, &[u64]); 11] = [
    ("", SECONDS, &BROKEN),
    ("--restores", SECONDS_OF_RESTORES, &BROKEN_RESTORES),
    ("--parts", SECONDS_OF_PARTS, &[]),
    ("--silences", SECONDS, &[]),
    ("--endless", SECONDS, &[]),
    ("--cuts", SECONDS, &BROKEN_CUTS),
    ("--builds", SECONDS, &[]),
    ("--releases", SECONDS, &BROKEN_RELEASES),
    ("--losses", SECONDS_OF_LOSSES, &[]),
    ("--odd", SECONDS_OF_ENTRIES, &[]),
    ("--heads", SECONDS_OF_HEADS, &[]),
];

fn options(kind: &str, seconds: u64, broken: &[u64]) -> Options {
    let keep = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak");
    let kind = Some(kind).filter(|kind| !kind.is_empty());
    let seeds = match kind {
        Some("--losses") => SEEDS_OF_LOSSES,
        _ => SEEDS,
    };
    Options {
        seeds: seeds.iter().chain(broken).copied().collect(),
        seconds,
        keep: keep.join(kind.unwrap_or("--all").trim_start_matches("--")),
        ..Options::parse_from(["soak"].into_iter().chain(kind))
    }
}

fn main() -> ExitCode {
    main_with("soak", |children, _: Passed| async move {
        for (kind, seconds, broken) in KINDS {
            let options = options(kind, seconds, broken);
            soak::run(children.daemon.clone(), options).await?;
        }
        Ok::<(), SoakError>(())
    })
}
