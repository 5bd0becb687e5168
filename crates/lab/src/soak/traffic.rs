//! Callers: they send requests through daemons that the balancer would pick,
//! and keep connections until these are gone.

mod take_ups;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use derive_more::Debug;
use medlarrill_platform_standin::{Call, Caller, Reply};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::task::JoinSet;

pub use self::take_ups::{events, first_attempt, last_event};
use self::take_ups::{next_call, take_up, wait_patiently};
use super::Result;
use super::plan::Plan;
use super::world::CRASHING;

/// Callers that send at a time.
const CALLERS: u64 = 8;
/// The same where they mostly ask for streams.
const STREAM_CALLERS: u64 = 32;
/// The same where they come back after losses.
const PATIENT_CALLERS: u64 = 64;
/// Pauses of the caller whose request ends endpoints.
const CRASHING_PAUSE_MS: std::ops::Range<u64> = 200..500;
/// Pause of the caller that tries keys of versions, and milliseconds that it waits for a reply.
const VERSION_PAUSE: Duration = Duration::from_millis(60);
/// See [`VERSION_PAUSE`].
const VERSION_WAIT: u64 = 500;
/// Longest pause of a caller between two requests.
const PAUSE_MS: u64 = 60;
/// Requests through each daemon after recovery.
const PROBES: usize = 6;
/// Share of streams that callers leave, and of requests that are for streams, where they do.
const LEAVING: f64 = 0.7;
/// Time after which they leave, in milliseconds.
const LEAVING_MS: std::ops::Range<u64> = 30..600;
/// Share of streams that callers take up at a daemon that hears nothing of others.
const TO_APART: f64 = 0.4;
/// Second parts of the prompts of sound requests; the first one is the same for all.
const SECOND_PARTS: usize = 24;
/// Ids of parts of prompts that end endpoints, where plans say so.
pub const BAD_PARTS: &[&str] = &["bad0"];
/// Begin of the ids of the request that ends endpoints.
pub const CRASHING_ID: &str = "crash-";
/// Path of streams that may go on, and that they may.
pub const STREAM: (&str, bool) = ("/stream/x", true);
/// Paths, and whether their requests may run more than once.
pub const PATHS: [(&str, bool); 4] = [
    ("/plain/x", true),
    ("/once/x", false),
    STREAM,
    ("/stream-once/x", false),
];

/// A daemon as callers and the balancer see it.
#[derive(Debug)]
pub struct Door {
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Whether the balancer gives it new connections.
    pub open: AtomicBool,
}

/// All daemons.
pub type Doors = Arc<Vec<Door>>;

/// What callers do with streams.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Habits {
    /// Whether they take up streams that broke off.
    takes_up: bool,
    /// Whether they mostly ask for streams, and leave many of them.
    leaves: bool,
    /// Whether they come back where nobody answers or a stream is refused.
    is_patient: bool,
    /// A daemon at which they take up more streams than at others.
    apart: Option<usize>,
}

impl Habits {
    /// Habits of the callers of a plan.
    pub const fn of(plan: &Plan) -> Self {
        Self {
            takes_up: plan.builds,
            leaves: plan.leaves,
            is_patient: plan.losses,
            apart: plan.apart,
        }
    }

    /// Draws after which time a caller leaves, if it does.
    fn draw_leaving(self, rng: &mut Pcg32) -> Option<Duration> {
        let leaves = self.leaves && rng.random_bool(LEAVING);
        leaves.then(|| Duration::from_millis(rng.random_range(LEAVING_MS)))
    }

    /// Draws a daemon at which a stream is taken up.
    fn pick(self, doors: &Doors, rng: &mut Pcg32) -> usize {
        let apart = self.apart.filter(|_| rng.random_bool(TO_APART));
        apart.unwrap_or_else(|| pick(doors, rng))
    }
}

/// A request and its reply.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The request.
    pub call: Call,
    /// The reply.
    pub reply: Reply,
    /// When it was sent.
    pub from: Instant,
    /// When the reply ended.
    pub to: Instant,
    /// The daemon.
    pub daemon: usize,
    /// Whether its caller left before the reply had ended.
    pub is_left: bool,
}

/// Running callers.
#[derive(Debug)]
pub struct Traffic {
    sent: Arc<Mutex<Vec<Sent>>>,
    ends: Arc<AtomicBool>,
    callers: JoinSet<()>,
}

impl Traffic {
    /// Starts callers.
    pub fn start(doors: Doors, seed: u64, habits: Habits) -> Self {
        let sent = Arc::<Mutex<Vec<Sent>>>::default();
        let ends = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        let count = match habits.leaves {
            true if habits.is_patient => PATIENT_CALLERS,
            true => STREAM_CALLERS,
            false => CALLERS,
        };
        for number in 0..count {
            let rng = Pcg32::seed_from_u64(seed ^ (number << 32));
            let (doors, sent, ends) = (Arc::clone(&doors), Arc::clone(&sent), Arc::clone(&ends));
            callers.spawn(call(doors, sent, ends, rng, number, habits));
        }
        Self {
            sent,
            ends,
            callers,
        }
    }

    /// Has one caller more send a request that ends endpoints, again and again; with `is_part` it has
    /// a bad part in its prompt, and another body each time.
    pub fn with_crashing(
        mut self,
        doors: Doors,
        seed: u64,
        path: &'static str,
        is_part: bool,
    ) -> Self {
        let rng = Pcg32::seed_from_u64(seed ^ u64::MAX);
        let (sent, ends) = (Arc::clone(&self.sent), Arc::clone(&self.ends));
        self.callers
            .spawn(crash(doors, sent, ends, rng, path, is_part));
        self
    }

    /// Has one caller more send requests with the keys of the newest version and of the one before to
    /// all daemons.
    pub fn with_versions(mut self, doors: Doors, newest: Arc<AtomicU64>) -> Self {
        let (sent, ends) = (Arc::clone(&self.sent), Arc::clone(&self.ends));
        self.callers.spawn(call_versions(doors, sent, ends, newest));
        self
    }

    /// Lets callers finish; returns what they sent.
    pub async fn stop(mut self) -> Result<Vec<Sent>> {
        self.ends.store(true, Ordering::Relaxed);
        while let Some(ended) = self.callers.join_next().await {
            ended?;
        }
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(std::mem::take(&mut *sent))
    }
}

async fn call(
    doors: Doors,
    sent: Arc<Mutex<Vec<Sent>>>,
    ends: Arc<AtomicBool>,
    mut rng: Pcg32,
    caller: u64,
    habits: Habits,
) {
    let mut kept: Option<(usize, Caller)> = None;
    let mut number = 0;
    while !ends.load(Ordering::Relaxed) {
        number += 1;
        let (daemon, mut connection) = match kept.take().filter(|_| rng.random_bool(0.8)) {
            Some(kept) => kept,
            None => {
                let daemon = pick(&doors, &mut rng);
                (daemon, Caller::new(doors[daemon].callers))
            }
        };
        let (path, _) = match habits.leaves && rng.random_bool(LEAVING) {
            true => STREAM,
            false => PATHS[rng.random_range(0..PATHS.len())],
        };
        let wait = rng.random_range(500..3000);
        let body = vec![b'x'; rng.random_range(0..2000)];
        let call = Call::new(format!("c{caller}-{number}"), path);
        let second = number % SECOND_PARTS;
        let call = call.with_wait(wait).with_body(body);
        let call = call.with_prompt(&format!("aa:90,c{second:x}:90,{number:x}:9"));
        let leaving = habits.draw_leaving(&mut rng);
        let noted = send(&mut connection, call.clone(), leaving, daemon).await;
        if noted.reply.status.is_some() {
            kept = Some((daemon, connection));
        }
        let is_left = noted.is_left;
        let again = next_call(&call, &call, &noted.reply).filter(|_| habits.takes_up);
        note(&sent, noted);
        if let Some(again) = again {
            if habits.is_patient && !is_left {
                wait_patiently(&mut rng).await;
            }
            take_up(&doors, &sent, &mut rng, habits, &call, again).await;
        }
        let pause = rng.random_range(0..PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

async fn crash(
    doors: Doors,
    sent: Arc<Mutex<Vec<Sent>>>,
    ends: Arc<AtomicBool>,
    mut rng: Pcg32,
    path: &'static str,
    is_part: bool,
) {
    let mut number = 0;
    while !ends.load(Ordering::Relaxed) {
        number += 1;
        let daemon = pick(&doors, &mut rng);
        let call = Call::new(format!("{CRASHING_ID}{number}"), path);
        let call = match is_part {
            false => call.with_body(CRASHING),
            true => bad_part(call, number, &mut rng),
        };
        let mut connection = Caller::new(doors[daemon].callers);
        note(&sent, send(&mut connection, call, None, daemon).await);
        let pause = rng.random_range(CRASHING_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

async fn call_versions(
    doors: Doors,
    sent: Arc<Mutex<Vec<Sent>>>,
    ends: Arc<AtomicBool>,
    newest: Arc<AtomicU64>,
) {
    let mut number = 0;
    while !ends.load(Ordering::Relaxed) {
        for daemon in (0..doors.len()).filter(|daemon| doors[*daemon].open.load(Ordering::Relaxed))
        {
            let newest = newest.load(Ordering::Relaxed);
            for version in [newest, newest.saturating_sub(1)] {
                number += 1;
                let key = format!("v{version}");
                let call = Call::new(format!("v-{number}"), "/plain/x").with_key(Some(&key));
                let call = call.with_wait(VERSION_WAIT);
                let mut connection = Caller::new(doors[daemon].callers);
                note(&sent, send(&mut connection, call, None, daemon).await);
            }
        }
        tokio::time::sleep(VERSION_PAUSE).await;
    }
}

/// A request with a bad part somewhere in its prompt, no two alike.
fn bad_part(call: Call, number: usize, rng: &mut Pcg32) -> Call {
    let mut parts = vec!["aa:90".to_owned(), format!("c{number:x}:90")];
    parts.insert(rng.random_range(0..=2), format!("{}:90", BAD_PARTS[0]));
    let prompt = format!("{},{number:x}:9", parts.join(","));
    let call = call.with_body(format!("body {number}"));
    call.with_prompt(&prompt)
}

/// Sends a request; its caller leaves after a time, if one is given.
async fn send(
    connection: &mut Caller,
    call: Call,
    leaving: Option<Duration>,
    daemon: usize,
) -> Sent {
    let from = Instant::now();
    let reply = match leaving {
        Some(leaving) => connection.send_within(&call, leaving).await,
        None => connection.send(&call).await,
    };
    let to = Instant::now();
    let is_left = !reply.whole && leaving.is_some_and(|leaving| to - from >= leaving);
    Sent {
        call,
        reply,
        from,
        to,
        daemon,
        is_left,
    }
}

fn note(sent: &Mutex<Vec<Sent>>, noted: Sent) {
    let mut sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
    sent.push(noted);
}

fn pick(doors: &Doors, rng: &mut Pcg32) -> usize {
    let open: Vec<usize> = (0..doors.len())
        .filter(|daemon| doors[*daemon].open.load(Ordering::Relaxed))
        .collect();
    match open.is_empty() {
        true => rng.random_range(0..doors.len()),
        false => open[rng.random_range(0..open.len())],
    }
}

/// Requests through each daemon, one after the other, when all should be well.
pub async fn probe(doors: &Doors, seed: u64) -> Vec<Sent> {
    let mut sent = Vec::new();
    for (daemon, door) in doors.iter().enumerate() {
        for number in 0..PROBES {
            let (path, _) = PATHS[number % PATHS.len()];
            let call = Call::new(format!("p{seed}-{daemon}-{number}"), path);
            let mut connection = Caller::new(door.callers);
            sent.push(send(&mut connection, call, None, daemon).await);
        }
    }
    sent
}
