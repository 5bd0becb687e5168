//! One round: workers take turns on both ways while the daemons' spending is read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use medlarrill_testkit::Engine;
use medlarrill_testkit::fleet::Fleet;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::task::JoinSet;

use super::args::Args;
use super::chat::Chat;
use super::line::Line;
use crate::error::{LabError, Result};
use crate::sample::Sample;

const KEY: &str = "padkos-leaders-key";
const PATH: &str = "/v1/chat/completions";
const READ: &str = "/records/today";

/// Where the two ways begin.
pub struct Targets {
    engines: Vec<SocketAddr>,
    daemons: Vec<SocketAddr>,
}

impl Targets {
    /// Those of a fleet.
    pub fn of(fleet: &Fleet) -> Self {
        let daemons = fleet.daemons.iter();
        Self {
            engines: fleet.engines.iter().map(Engine::address).collect(),
            daemons: daemons.map(|daemon| daemon.started.callers).collect(),
        }
    }
}

/// The answers of one way.
#[derive(Clone, Default, Debug)]
pub struct Way {
    /// Times to the first byte.
    pub first: Vec<Duration>,
    /// Times to the end.
    pub whole: Vec<Duration>,
    /// Prompt tokens.
    pub prompt: u64,
    /// Prompt tokens from a cache.
    pub cached: u64,
    /// Bytes of bodies.
    pub bytes: u64,
    /// Reads of plain services.
    pub reads: u64,
}

impl Way {
    fn add(&mut self, other: Self) {
        self.first.extend(other.first);
        self.whole.extend(other.whole);
        self.prompt += other.prompt;
        self.cached += other.cached;
        self.bytes += other.bytes;
        self.reads += other.reads;
    }
}

/// What a round gave.
pub struct Outcome {
    /// Straight at the engines.
    pub direct: Way,
    /// Through the fleet.
    pub fleet: Way,
    /// The daemons before.
    pub before: Vec<Sample>,
    /// The daemons after.
    pub after: Vec<Sample>,
    /// How long it took.
    pub lasted: Duration,
    /// Processor time of the idle daemons in one second.
    pub idle: Duration,
    /// Tokens of each answer.
    pub tokens_each: u64,
}

/// Runs one round.
///
/// # Errors
///
/// When any answer is missing or wrong.
pub async fn run(
    fleet: &Fleet,
    targets: &Arc<Targets>,
    args: &Args,
    number: u64,
) -> Result<Outcome> {
    let idle = idle(fleet).await?;
    let before = samples(fleet).await?;
    let start = Instant::now();
    let mut workers = JoinSet::new();
    for at in 0..args.concurrency {
        workers.spawn(work(Arc::clone(targets), args.clone(), number, at));
    }
    let mut direct = Way::default();
    let mut through = Way::default();
    while let Some(done) = workers.join_next().await {
        let done = done.map_err(|error| LabError::Wrong(error.to_string()))?;
        let (a, b) = done?.into_parts();
        direct.add(a);
        through.add(b);
    }
    Ok(Outcome {
        direct,
        fleet: through,
        before,
        lasted: start.elapsed(),
        after: samples(fleet).await?,
        idle,
        tokens_each: args.tokens,
    })
}

async fn samples(fleet: &Fleet) -> Result<Vec<Sample>> {
    let mut samples = Vec::new();
    for daemon in &fleet.daemons {
        samples.push(Sample::of(daemon).await?);
    }
    Ok(samples)
}

/// Processor time of all daemons in a second without requests.
async fn idle(fleet: &Fleet) -> Result<Duration> {
    let total = |samples: &[Sample]| -> Duration {
        let spent = samples.iter().map(|sample| sample.spent.processor);
        spent.sum()
    };
    let before = total(&samples(fleet).await?);
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(total(&samples(fleet).await?).saturating_sub(before))
}

/// The two ways of one worker.
struct Worker {
    direct: Way,
    fleet: Way,
}

impl Worker {
    fn into_parts(self) -> (Way, Way) {
        (self.direct, self.fleet)
    }
}

async fn work(targets: Arc<Targets>, args: Args, round: u64, at: usize) -> Result<Worker> {
    let mut rng = Pcg32::seed_from_u64(args.seed ^ (round << 32) ^ at as u64);
    let mut direct = Side::new(&targets.engines, at, false);
    let mut fleet = Side::new(&targets.daemons, at, true);
    for number in 0..args.requests {
        let read = rng.random_bool(args.reads.clamp(0.0, 1.0));
        // Which way goes first is drawn, so that neither always follows the other.
        if rng.random_bool(0.5) {
            direct.turn(&args, round, number).await?;
            fleet.turn(&args, round, number).await?;
        } else {
            fleet.turn(&args, round, number).await?;
            direct.turn(&args, round, number).await?;
        }
        if read {
            fleet.read().await?;
        }
    }
    Ok(Worker {
        direct: direct.way,
        fleet: fleet.way,
    })
}

/// One way of one worker: its connections, its present chat and what came.
struct Side {
    lines: Vec<Line>,
    at: usize,
    /// Whether each turn goes to another target, as a balancer would have it.
    roams: bool,
    chat: Option<Chat>,
    chats: usize,
    way: Way,
}

impl Side {
    fn new(targets: &[SocketAddr], at: usize, roams: bool) -> Self {
        Self {
            lines: targets.iter().map(|to| Line::new(*to, KEY)).collect(),
            at,
            roams,
            chat: None,
            chats: 0,
            way: Way::default(),
        }
    }

    async fn turn(&mut self, args: &Args, round: u64, number: usize) -> Result<()> {
        let mut chat = match self.chat.take().filter(|chat| chat.turns() < args.turns) {
            Some(chat) => chat,
            None => self.begin(args, round),
        };
        let step = if self.roams { number } else { self.chats };
        let place = (self.at + step) % self.lines.len();
        let Some(line) = self.lines.get_mut(place) else {
            return Err(LabError::Wrong("there is no target".into()));
        };
        let request = chat.request(args.tokens);
        let timed = line.ask(Method::POST, PATH, request).await?;
        let used = chat.take(&timed.body, args.tokens)?;
        self.way.first.push(timed.first);
        self.way.whole.push(timed.whole);
        self.way.prompt += used.prompt;
        self.way.cached += used.cached;
        self.way.bytes += timed.body.len() as u64;
        self.chat = Some(chat);
        Ok(())
    }

    fn begin(&mut self, args: &Args, round: u64) -> Chat {
        self.chats += 1;
        let way = if self.roams { "fleet" } else { "direct" };
        let (at, count) = (self.at, self.chats);
        let name = format!("{way}-{}-{round}-{at}-{count}", args.seed);
        Chat::new(name, args.words)
    }

    async fn read(&mut self) -> Result<()> {
        let place = self.at % self.lines.len();
        if let Some(line) = self.lines.get_mut(place) {
            line.ask(Method::GET, READ, Bytes::new()).await?;
            self.way.reads += 1;
        }
        Ok(())
    }
}
