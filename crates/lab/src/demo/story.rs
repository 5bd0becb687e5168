//! What the demo does, step by step.

use medlarrill_core::clock::Millis;
use medlarrill_testkit::fleet::{Caller, Fleet, Layout};
use tokio::task::JoinSet;

use super::args::Args;
use super::booking::book;
use super::chats::{Outcome, hold};
use super::operators::operate;
use super::stay::stay;
use crate::child::Children;
use crate::error::{LabError, Result};

/// Longest wait for all daemons to be ready.
const READY: Millis = Millis::from_secs(30);

/// Runs the whole demo.
///
/// # Errors
///
/// When anything fails or an answer is wrong.
pub(super) async fn tell(children: Children, args: Args) -> Result<()> {
    let folder = tempfile::tempdir()?;
    let layout = Layout::default()
        .with_daemons(args.daemons)
        .with_engines(args.engines);
    let mut fleet = Fleet::start(children.daemon, folder.path().into(), layout).await?;
    if !fleet.wait_ready(READY).await {
        return Err(LabError::Wrong("the daemons did not get ready".into()));
    }
    println!(
        "fleet: {} daemons, {} engines, {} services ready",
        fleet.daemons.len(),
        fleet.engines.len(),
        fleet.services.len()
    );
    chats(&fleet, &args).await?;
    book(&fleet).await?;
    kill_one(&mut fleet, &args).await?;
    operate(&fleet, &children.client).await?;
    if args.stay {
        stay(&fleet).await?;
    }
    for daemon in &mut fleet.daemons {
        if !daemon.stop().await? {
            return Err(LabError::Wrong("a daemon did not stop in order".into()));
        }
    }
    println!("stop: all daemons stopped in order");
    Ok(())
}

fn callers(fleet: &Fleet) -> Vec<Caller> {
    (0..fleet.daemons.len())
        .filter_map(|at| fleet.caller(at))
        .collect()
}

async fn chats(fleet: &Fleet, args: &Args) -> Result<()> {
    let outcome = run_chats(callers(fleet), 0..args.chats, args.turns).await;
    report("chats", outcome)
}

async fn run_chats(callers: Vec<Caller>, numbers: std::ops::Range<usize>, turns: usize) -> Outcome {
    let mut chats = JoinSet::new();
    for number in numbers {
        chats.spawn(hold(callers.clone(), number, turns));
    }
    let mut total = Outcome::default();
    for outcome in chats.join_all().await {
        total.add(outcome);
    }
    total
}

fn report(step: &str, outcome: Outcome) -> Result<()> {
    let share = outcome.cached as f64 / outcome.prompt.max(1) as f64;
    println!(
        "{step}: {} answers right, {} wrong, {} calls repeated, {:.0}% of prompt tokens from cache",
        outcome.right,
        outcome.wrong,
        outcome.repeated,
        share * 100.0
    );
    if outcome.wrong > 0 || outcome.right == 0 {
        return Err(LabError::Wrong(format!(
            "{step}: not every answer was right"
        )));
    }
    Ok(())
}

/// Kills a daemon while chats run; a retry at another saves every one.
async fn kill_one(fleet: &mut Fleet, args: &Args) -> Result<()> {
    let callers = callers(fleet);
    let numbers = args.chats..args.chats * 2;
    let running = tokio::spawn(run_chats(callers, numbers, args.turns));
    tokio::time::sleep(Millis(150).as_duration()).await;
    let last = fleet.daemons.len() - 1;
    if let Some(daemon) = fleet.daemons.last_mut() {
        daemon.kill().await?;
    }
    let outcome = running
        .await
        .map_err(|error| LabError::Wrong(error.to_string()))?;
    report("chats with a daemon killed", outcome)?;
    fleet.restart_daemon(last).await?;
    if !fleet.wait_ready(READY).await {
        return Err(LabError::Wrong("the new daemon did not get ready".into()));
    }
    println!("restart: a new daemon took the place of the killed one");
    Ok(())
}
