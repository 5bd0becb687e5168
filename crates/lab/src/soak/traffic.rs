//! Callers: they send requests through daemons that the balancer would pick,
//! and keep connections until these are gone.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use derive_more::Debug;
use medlarrill_platform_standin::{Call, Caller, Reply};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::task::JoinSet;

use super::Result;
use super::world::CRASHING;

/// Callers that send at a time.
const CALLERS: u64 = 8;
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
/// Times that a caller takes up a stream.
const TAKE_UPS: usize = 2;
const RESUMES: &str = "resumes";
const LAST_EVENT: &str = "last-event-id";
/// Second parts of the prompts of sound requests; the first one is the same for all.
const SECOND_PARTS: usize = 24;
/// Ids of parts of prompts that end endpoints, where plans say so.
pub const BAD_PARTS: &[&str] = &["bad0"];
/// Begin of the ids of the request that ends endpoints.
pub const CRASHING_ID: &str = "crash-";
/// Paths, and whether their requests may run more than once.
pub const PATHS: [(&str, bool); 4] = [
    ("/plain/x", true),
    ("/once/x", false),
    ("/stream/x", true),
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
}

/// Running callers.
#[derive(Debug)]
pub struct Traffic {
    sent: Arc<Mutex<Vec<Sent>>>,
    ends: Arc<AtomicBool>,
    callers: JoinSet<()>,
}

impl Traffic {
    /// Starts callers; with `takes_up`, they take up streams that broke off.
    pub fn start(doors: Doors, seed: u64, takes_up: bool) -> Self {
        let sent = Arc::<Mutex<Vec<Sent>>>::default();
        let ends = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            let rng = Pcg32::seed_from_u64(seed ^ (number << 32));
            let (doors, sent, ends) = (Arc::clone(&doors), Arc::clone(&sent), Arc::clone(&ends));
            callers.spawn(call(doors, sent, ends, rng, number, takes_up));
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
    takes_up: bool,
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
        let (path, _) = PATHS[rng.random_range(0..PATHS.len())];
        let wait = rng.random_range(500..3000);
        let body = vec![b'x'; rng.random_range(0..2000)];
        let call = Call::new(format!("c{caller}-{number}"), path);
        let second = number % SECOND_PARTS;
        let call = call.with_wait(wait).with_body(body);
        let call = call.with_prompt(&format!("aa:90,c{second:x}:90,{number:x}:9"));
        let from = Instant::now();
        let reply = connection.send(&call).await;
        if reply.status.is_some() {
            kept = Some((daemon, connection));
        }
        let again = next_call(&call, &call, &reply).filter(|_| takes_up);
        note(&sent, call.clone(), reply, from, daemon);
        if let Some(again) = again {
            take_up(&doors, &sent, &mut rng, &call, again).await;
        }
        let pause = rng.random_range(0..PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Takes a stream up that broke off, at most twice.
async fn take_up(
    doors: &Doors,
    sent: &Mutex<Vec<Sent>>,
    rng: &mut Pcg32,
    first: &Call,
    again: Call,
) {
    let mut next = Some(again);
    for _ in 0..TAKE_UPS {
        let Some(call) = next else {
            return;
        };
        let daemon = pick(doors, rng);
        let from = Instant::now();
        let reply = Caller::new(doors[daemon].callers).send(&call).await;
        next = next_call(first, &call, &reply);
        note(sent, call, reply, from, daemon);
    }
}

/// The call that takes a stream up where a reply broke off; none if it didn't, or the stream can't
/// go on.
fn next_call(first: &Call, call: &Call, reply: &Reply) -> Option<Call> {
    if first.path != "/stream/x"
        || reply.whole
        || !reply.status.is_some_and(|status| status.is_success())
    {
        return None;
    }
    let last = events(&reply.body).last().map(|event| event.id);
    let last = last.or_else(|| last_event(call))?;
    let attempt = format!("{}+", call.attempt);
    let next = Call::new(attempt, &first.path).with_body(first.body.clone());
    let next = next
        .with_wait(first.wait)
        .with_header(RESUMES, &first.attempt);
    Some(next.with_header(LAST_EVENT, &last.to_string()))
}

/// An event of a stream, as its endpoint wrote it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct StreamEvent {
    /// Its id.
    pub id: u64,
    /// The request that was run.
    pub attempt: String,
    /// Software version of the endpoint, if it names one.
    pub build: String,
}

/// The complete events in a body.
pub fn events(body: &[u8]) -> Vec<StreamEvent> {
    let text = String::from_utf8_lossy(body);
    let event = |lines: &str| {
        let (id, data) = lines.strip_prefix("id: ")?.split_once("\ndata: ")?;
        let (attempt, rest) = data.split_once('/')?;
        Some(StreamEvent {
            id: id.parse().ok()?,
            attempt: attempt.into(),
            build: rest.split_once('@')?.1.into(),
        })
    };
    let complete = text.split_inclusive("\n\n");
    let complete = complete.filter_map(|lines| lines.strip_suffix("\n\n"));
    complete.filter_map(event).collect()
}

/// A header of a call.
fn header<'a>(call: &'a Call, wanted: &str) -> Option<&'a str> {
    let mut headers = call.headers.iter();
    let found = headers.find(|(name, _)| *name == wanted);
    found.map(|(_, value)| value.as_str())
}

/// The event after which a call goes on with a stream.
pub fn last_event(call: &Call) -> Option<u64> {
    header(call, LAST_EVENT)?.parse().ok()
}

/// The attempt that brought the first event of the stream that a call takes up.
pub fn first_attempt(call: &Call) -> Option<&str> {
    header(call, RESUMES)
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
        let from = Instant::now();
        let reply = Caller::new(doors[daemon].callers).send(&call).await;
        note(&sent, call, reply, from, daemon);
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
                let from = Instant::now();
                let reply = Caller::new(doors[daemon].callers).send(&call).await;
                note(&sent, call, reply, from, daemon);
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

/// Notes a request that has ended now.
fn note(sent: &Mutex<Vec<Sent>>, call: Call, reply: Reply, from: Instant, daemon: usize) {
    let mut sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
    sent.push(Sent {
        call,
        reply,
        from,
        to: Instant::now(),
        daemon,
    });
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
            let from = Instant::now();
            let reply = Caller::new(door.callers).send(&call).await;
            sent.push(Sent {
                call,
                reply,
                from,
                to: Instant::now(),
                daemon,
            });
        }
    }
    sent
}
