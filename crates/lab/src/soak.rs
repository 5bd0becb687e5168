//! A randomized soak of daemons that route on the platform.
//!
//! The real program runs as several processes; faults come from outside it, in
//! series and on top of each other: signals, proxies that delay, cut, silence
//! or reset connections, stand-ins that misbehave. What callers and endpoints
//! see is checked against what the pages promise. A seed gives the same plan
//! again, though not the same interleaving.

mod check;
mod plan;
mod traffic;
mod world;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Parser;
use derive_more::{Debug, Display, Error, From};
use medlarrill_testkit::fleet::Program;
use medlarrill_testkit::routed::ProcessError;
use rand::SeedableRng;
use rand_pcg::Pcg32;

pub use self::check::Violation;
use self::check::{TakenUp, after_losses, check};
use self::plan::Plan;
use self::traffic::{Habits, Traffic};
use self::world::World;

/// Time after the last fault in which the fleet has to be well again.
const RECOVERY: Duration = Duration::from_secs(4);
/// Time in which an endpoint that ended last is up and known again.
const LAST_CRASH: Duration = Duration::from_millis(2500);
/// Between two looks whether endpoints have ended.
const LOOK: Duration = Duration::from_millis(50);
/// Soaks that run at a time. Each has up to six daemons.
const AT_ONCE: usize = 3;

/// Result of a soak.
pub type Result<T> = std::result::Result<T, SoakError>;

/// Why a soak can't be run, or what it found.
#[derive(Debug, Display, Error, From)]
pub enum SoakError {
    /// A stand-in or a file fails.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A daemon can't be handled.
    #[display("{_0}")]
    Process(ProcessError),
    /// A task of the soak failed.
    #[display("{_0}")]
    Task(tokio::task::JoinError),
    /// A daemon didn't do in time what was waited for.
    #[display("{_0} didn't happen in time")]
    #[from(skip)]
    Late(#[error(not(source))] String),
    /// Promises were broken.
    #[display("{} of the seeds broke a promise: {_0:?}", _0.len())]
    #[from(skip)]
    Broken(#[error(not(source))] Vec<u64>),
}

/// What to soak.
#[derive(Clone, Debug)]
#[derive(Parser)]
pub struct Options {
    /// Seeds, each one soak; fresh ones if none is given.
    #[arg(long, value_delimiter = ',')]
    pub seeds: Vec<u64>,
    /// How many fresh seeds.
    #[arg(long, default_value_t = 10)]
    pub count: u64,
    /// Seconds of each soak.
    #[arg(long, default_value_t = 12)]
    pub seconds: u64,
    /// Only daemons that lose their paths to endpoints.
    #[arg(long, group = "kind")]
    pub cuts: bool,
    /// Only endpoints of several software versions, and callers that take up streams.
    #[arg(long, group = "kind")]
    pub builds: bool,
    /// Only releases of software versions, beside a daemon that is out of step.
    #[arg(long, group = "kind")]
    pub releases: bool,
    /// Only losses of all daemons after releases of software versions.
    #[arg(long, group = "kind")]
    pub losses: bool,
    /// Only requests that share a part of their prompts and end endpoints.
    #[arg(long, group = "kind")]
    pub parts: bool,
    /// Only parties that stand still for a while and go on, beside planned work.
    #[arg(long, group = "kind")]
    pub silences: bool,
    /// Only a store that is restored from copies of its own, beside planned work.
    #[arg(long, group = "kind")]
    pub restores: bool,
    /// Only endpoints that write bytes without end, or end under kept connections.
    #[arg(long, group = "kind")]
    pub endless: bool,
    /// Only odd entries of other writers among those of endpoints, beside planned work.
    #[arg(long, group = "kind")]
    pub odd: bool,
    /// Only endpoints whose answers break off in their heads.
    #[arg(long, group = "kind")]
    pub heads: bool,
    /// Daemon of an earlier build, which every second daemon runs.
    #[arg(long)]
    pub beside: Option<PathBuf>,
    /// Where logs of seeds that broke a promise are kept.
    #[arg(long, default_value = "target/soak")]
    pub keep: PathBuf,
}

/// What one soak saw.
#[derive(Debug)]
pub struct Outcome {
    /// Its seed.
    pub seed: u64,
    /// Faults that were injected.
    pub faults: usize,
    /// Requests sent, and those answered with success.
    pub requests: (usize, usize),
    /// Streams that callers took up after each loss of all daemons.
    pub taken_up: Vec<TakenUp>,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

/// Runs soaks, a few at a time, and prints a line for each.
///
/// # Errors
///
/// When one can't be run, or with the seeds that broke a promise.
pub async fn run(program: Program, options: Options) -> Result<()> {
    let fresh = || (0..options.count).map(|_| rand::random::<u32>().into());
    let seeds: Vec<u64> = match options.seeds.is_empty() {
        true => fresh().collect(),
        false => options.seeds.clone(),
    };
    let mut broken = Vec::new();
    for group in seeds.chunks(AT_ONCE) {
        let mut running = tokio::task::JoinSet::new();
        for seed in group {
            running.spawn(soak(program.clone(), *seed, options.clone()));
        }
        while let Some(outcome) = running.join_next().await {
            let outcome = outcome??;
            tell(&outcome);
            if !outcome.violations.is_empty() {
                broken.push(outcome.seed);
            }
        }
    }
    println!(
        "{} passed, {} failed",
        seeds.len() - broken.len(),
        broken.len()
    );
    match broken.is_empty() {
        true => Ok(()),
        false => Err(SoakError::Broken(broken)),
    }
}

fn tell(outcome: &Outcome) {
    let (sent, served) = outcome.requests;
    println!(
        "seed {}: {} faults, {served} of {sent} served, {} broken promises",
        outcome.seed,
        outcome.faults,
        outcome.violations.len()
    );
    for taken_up in &outcome.taken_up {
        let TakenUp { count, went_on } = taken_up;
        println!("    {went_on} of {count} streams went on after a loss of all daemons");
    }
    for violation in &outcome.violations {
        println!("    {violation}");
    }
}

/// Draws a plan of all kinds of faults.
fn draw(rng: &mut Pcg32, seed: u64, length: Duration) -> Plan {
    let plan = Plan::new(rng, length);
    let plan = plan.with_entries(&mut Pcg32::seed_from_u64(!seed), length);
    let plan = plan.with_crashing(&mut Pcg32::seed_from_u64(seed.rotate_left(32)));
    let plan = plan.with_places(&mut Pcg32::seed_from_u64(!seed.rotate_left(32)), length);
    let plan = plan.with_notices(&mut Pcg32::seed_from_u64(seed.rotate_left(16)), length);
    let plan = plan.with_cuts(&mut Pcg32::seed_from_u64(seed.rotate_left(8)), length);
    plan.with_forms(&mut Pcg32::seed_from_u64(seed.rotate_left(24)), length)
}

/// Draws a plan of the kind of faults that was asked for.
fn draw_chosen(seed: u64, options: &Options) -> Plan {
    let mut rng = Pcg32::seed_from_u64(seed);
    let length = Duration::from_secs(options.seconds);
    match options.cuts {
        true => Plan::of_cuts(&mut rng, length),
        false if options.builds => Plan::of_builds(&mut rng, length),
        false if options.losses => Plan::of_losses(&mut rng, length),
        false if options.releases => Plan::of_releases(&mut rng, length),
        false if options.parts => Plan::of_parts(&mut rng, length),
        false if options.silences => Plan::of_silences(&mut rng, length),
        false if options.restores => Plan::of_restores(&mut rng, length),
        false if options.endless => Plan::of_endless(&mut rng, length),
        false if options.odd => Plan::of_odd(&mut rng, length),
        false if options.heads => Plan::of_heads(&mut rng, length),
        false => draw(&mut rng, seed, length),
    }
}

async fn soak(program: Program, seed: u64, options: Options) -> Result<Outcome> {
    let plan = draw_chosen(seed, &options);
    let earlier = options.beside.as_deref().map(Program::new);
    let programs = std::iter::once(program).chain(earlier).collect();
    let mut world = World::start(programs, seed, &plan).await?;
    let from = Instant::now();
    let mut traffic = Traffic::start(world.doors.clone(), seed, Habits::of(&plan));
    if let Some(path) = plan.crashing {
        let is_part = plan.part.is_some();
        traffic = traffic.with_crashing(world.doors.clone(), seed, path, is_part);
    }
    if plan.restores {
        traffic = traffic.with_versions(world.doors.clone(), Arc::clone(&world.newest));
    }
    for step in plan.steps() {
        wait(&mut world, seed, from + step.at).await?;
        match step.begins {
            true => world.begin(step.event).await?,
            false => world.end_of(step.event).await?,
        }
    }
    world.settle().await?;
    wait(&mut world, seed, Instant::now() + RECOVERY).await?;
    let calls = traffic.stop().await?;
    if plan.crashing.is_some() {
        wait(&mut world, seed, Instant::now() + LAST_CRASH).await?;
    }
    let recovered = traffic::probe(&world.doors, seed).await;
    let violations = check(&world, &calls, &recovered);
    if !violations.is_empty() {
        world.keep(&options.keep, seed, &violations).await?;
    }
    Ok(Outcome {
        seed,
        faults: plan.events.len(),
        requests: (
            calls.len(),
            calls.iter().filter(|sent| sent.reply.is_success()).count(),
        ),
        taken_up: after_losses(&world, &calls),
        violations,
    })
}

/// Waits, and starts endpoints again that a request has ended.
async fn wait(world: &mut World, seed: u64, until: Instant) -> Result<()> {
    loop {
        world.watch_crashes(seed).await?;
        if world.has_restores {
            world.watch_restores();
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(());
        }
        tokio::time::sleep(left.min(LOOK)).await;
    }
}
