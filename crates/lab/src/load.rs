//! Load: the same streamed chats straight at the engines and through the fleet, by turns.
//!
//! Every worker takes its turns alternately on both ways, so that whatever
//! else the machine does falls on both alike. Only the fleet's turns cost the
//! daemons processor time.

mod args;
mod chat;
mod line;
mod report;
mod round;

use std::process::ExitCode;
use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_testkit::engine;
use medlarrill_testkit::fleet::{Fleet, Layout};

use crate::child::{Children, main_with};
use crate::error::{LabError, Result};
use args::Args;
use report::Report;
use round::Targets;

/// Longest wait for all daemons to be ready.
const READY: Millis = Millis::from_secs(60);

/// Runs the measurement, or one of its daemons.
pub fn main() -> ExitCode {
    main_with("load", tell)
}

async fn tell(children: Children, args: Args) -> Result<()> {
    let folder = tempfile::tempdir()?;
    let engine = engine::Settings {
        step: Millis(args.step),
        slots: args.slots,
        prefill: PREFILL,
        ..engine::Settings::default()
    };
    let mut layout = Layout::default()
        .with_daemons(args.daemons)
        .with_engines(args.engines)
        .with_engine(engine);
    layout.slots = u32::try_from(args.slots).unwrap_or(u32::MAX);
    let fleet = Fleet::start(children.daemon, folder.path().into(), layout).await?;
    if !fleet.wait_ready(READY).await {
        return Err(LabError::Wrong("the daemons did not get ready".into()));
    }
    let targets = Arc::new(Targets::of(&fleet));
    let mut report = Report::default();
    for number in 0..=args.rounds {
        let round = round::run(&fleet, &targets, &args, number).await?;
        // The first round opens connections and fills code and caches; it isn't counted.
        if number > 0 {
            eprintln!("load: round {number} of {} done", args.rounds);
            report.rounds.push(report::Round::new(round));
        }
    }
    report.print(&args)
}

/// Uncached prompt tokens that an engine reads in one step.
const PREFILL: u64 = 4096;
