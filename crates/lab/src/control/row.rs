//! One fleet: it settles, is read in peace and under churn, and changes its configuration.

use std::time::{Duration, Instant};

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::Generation;
use medlarrill_testkit::engine::Message;
use medlarrill_testkit::fleet::{Caller, Fleet, Layout, Program};
use serde::Serialize;
use tokio::task::JoinSet;

use super::args::Args;
use super::exchange::Exchange;
use super::grow::{Shape, advance, grow};
use super::window::{Reading, Spending};
use crate::error::{LabError, Result};
use crate::sample::Counters;

/// Engines that all endpoints share.
const ENGINES: usize = 4;
const SERVICES: usize = 3;
const CENTRES: usize = 3;
/// Longest wait for a fleet to get ready.
const READY: Millis = Millis::from_secs(120);
/// Longest wait for a change to be in force.
const CHANGE: Duration = Duration::from_secs(60);
/// Time between two looks at a daemon's generation.
const LOOK: Duration = Duration::from_millis(10);
/// Changes that are timed.
const CHANGES: usize = 3;
const TOKENS: u64 = 16;

/// The figures of one fleet.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Row {
    /// Daemons.
    pub daemons: usize,
    /// Endpoints, plain services included.
    pub endpoints: usize,
    /// Accounts.
    pub accounts: usize,
    /// The mean daemon in peace.
    pub peace: Spending,
    /// Bytes of exchanges with endpoints and platform.
    pub exchange: Exchange,
    /// Bytes of control of the busiest daemon in peace.
    pub most: f64,
    /// The mean daemon under churn and light load.
    pub churn: Option<Spending>,
    /// Times until all daemons had a change in force, in milliseconds.
    pub changes: Vec<u64>,
}

/// Measures one fleet.
///
/// # Errors
///
/// When the fleet doesn't start or settle.
pub async fn run(program: &Program, args: &Args, shape: Shape) -> Result<Row> {
    let folder = tempfile::tempdir()?;
    let mut layout = Layout::default()
        .with_daemons(shape.daemons)
        .with_engines(ENGINES);
    layout.services = SERVICES;
    layout.centres = CENTRES;
    let mut fleet = Fleet::start(program.clone(), folder.path().into(), layout).await?;
    grow(&mut fleet, shape)?;
    in_force(&fleet, fleet.config.generation).await?;
    if !fleet.wait_ready(READY).await {
        return Err(LabError::Wrong("the daemons did not get ready".into()));
    }
    tokio::time::sleep(Duration::from_secs(args.settle)).await;
    let peace = window(&fleet, args).await?;
    let churn = match args.peace {
        true => None,
        false => Some(churn(&mut fleet, args).await?),
    };
    let mut changes = Vec::new();
    for _ in 0..CHANGES {
        let start = Instant::now();
        let generation = advance(&mut fleet);
        in_force(&fleet, generation).await?;
        changes.push(u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX));
    }
    let exchange = Exchange::measure(&fleet).await?;
    let busiest = peace.iter().map(|one| one.total(exchange));
    let row = Row {
        daemons: shape.daemons,
        endpoints: fleet.config.endpoints.len(),
        accounts: shape.accounts,
        exchange,
        most: busiest.fold(0.0, f64::max),
        peace: Spending::mean(&peace),
        churn: churn.map(|all| Spending::mean(&all)),
        changes,
    };
    eprintln!(
        "control: {} daemons, {} endpoints, {} accounts done",
        row.daemons, row.endpoints, row.accounts
    );
    Ok(row)
}

async fn window(fleet: &Fleet, args: &Args) -> Result<Vec<Spending>> {
    let before = Reading::of(fleet).await?;
    tokio::time::sleep(Duration::from_secs(args.window)).await;
    Ok(Reading::of(fleet).await?.since(&before))
}

/// Reads while a daemon is killed and started anew, an endpoint is drained, and chats go on.
async fn churn(fleet: &mut Fleet, args: &Args) -> Result<Vec<Spending>> {
    let callers: Vec<Caller> = (0..fleet.daemons.len().saturating_sub(1))
        .filter_map(|at| fleet.caller(at))
        .collect();
    let load = tokio::spawn(load(callers, args.clone()));
    let before = Reading::of(fleet).await?;
    let third = Duration::from_secs(args.window) / 3;
    let last = fleet.daemons.len().saturating_sub(1);
    if let Some(daemon) = fleet.daemons.last_mut() {
        daemon.kill().await?;
    }
    tokio::time::sleep(third).await;
    fleet.restart_daemon(last).await?;
    tokio::time::sleep(third).await;
    if let Some(endpoint) = fleet.config.endpoints.values_mut().next() {
        endpoint.drained = true;
    }
    advance(fleet);
    tokio::time::sleep(third).await;
    let mut spent = Reading::of(fleet).await?.since(&before);
    // The killed daemon's two processes can't be told apart by their counters.
    spent.truncate(last);
    let failed = load.await.unwrap_or_default();
    if failed > 0 {
        eprintln!("control: {failed} turns failed under churn");
    }
    Ok(spent)
}

/// Chats at a set rate; how many turns failed.
async fn load(callers: Vec<Caller>, args: Args) -> u64 {
    let mut turns = JoinSet::new();
    let pause = Duration::from_secs(1) / u32::try_from(args.rate.max(1)).unwrap_or(1);
    for at in 0..args.rate * args.window {
        let place = usize::try_from(at).unwrap_or(0) % callers.len().max(1);
        if let Some(caller) = callers.get(place).cloned() {
            turns.spawn(turn(caller, at % args.rate.max(1)));
        }
        tokio::time::sleep(pause).await;
    }
    let done = turns.join_all().await;
    done.into_iter().filter(|right| !right).count() as u64
}

async fn turn(caller: Caller, chat: u64) -> bool {
    let messages = [Message::new(
        "user",
        &format!("Which stops has trip {chat}?"),
    )];
    let answer = caller
        .chat(&format!("trip-{chat}"), &messages, TOKENS)
        .await;
    answer.is_ok()
}

/// Waits until a generation is in force on all daemons.
async fn in_force(fleet: &Fleet, generation: Generation) -> Result<()> {
    let mut waits = JoinSet::new();
    for daemon in &fleet.daemons {
        let address = daemon.started.callers;
        waits.spawn(async move {
            while generation_at(address).await < generation.0 as f64 {
                tokio::time::sleep(LOOK).await;
            }
        });
    }
    let all = tokio::time::timeout(CHANGE, waits.join_all()).await;
    all.map(|_| ())
        .map_err(|_| LabError::Wrong("a change did not come into force".into()))
}

async fn generation_at(address: std::net::SocketAddr) -> f64 {
    let counters = Counters::read(address).await.unwrap_or_default();
    counters.sum("medlarrill_generation", &[])
}
