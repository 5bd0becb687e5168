//! A play of requests that share one part of their prompts and end each endpoint that begins to
//! answer them, beside sound requests of the same account, route and first part.

use std::ops::Range;
use std::time::Duration;

use medlarrill_platform_standin::{Behaviour, Call, Caller, Crash, Endpoint, Outage};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::setup::{Bench, POOL};

pub const DAEMONS: usize = 4;
const ENDPOINTS: usize = 9;
/// Time between two requests.
const STEP: Duration = Duration::from_millis(40);
/// Of so many requests one has the part.
pub const ONE_IN: usize = 6;
/// Time before the first request with the part.
pub const CALM: Duration = Duration::from_millis(2500);
/// Time after which an endpoint that has ended leaves the list, and after which another follows it.
pub const DELISTED: Duration = Duration::from_millis(1000);
pub const REPLACED: Duration = Duration::from_millis(1500);
/// Ends after which the part is known to the fleet, once it had time for it.
pub const ENOUGH: usize = 5;
pub const CONTACT: Duration = Duration::from_millis(3000);
/// Requests with the part that may reach endpoints later than that.
pub const SENT_MAX: usize = 3;
/// Time in which sound requests are judged.
pub const JUDGED: Duration = Duration::from_millis(3000);

pub const BAD: &[&str] = &["bad0"];
pub const TWO: &[&str] = &["bad0", "bad1"];
pub const PACED: Behaviour = Behaviour {
    pace: Duration::from_millis(15),
    crash: Some(Crash::of(BAD)),
    ..Behaviour::DEFAULT
};
pub const LONG: Behaviour = Behaviour {
    pace: Duration::from_millis(130),
    ..PACED
};

/// What is done to the fleet once the part is known.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Event {
    None,
    AnotherDaemon,
    AllKilled,
    Outage,
}

/// Requests with a part that ends endpoints.
#[derive(Clone, Copy)]
pub struct Incident {
    pub path: &'static str,
    pub behaviour: Behaviour,
    /// Prompt of a request that ends endpoints, but for its last part.
    pub bad: fn(usize) -> String,
    /// Prompt of a sound request, but for its last part.
    pub sound: fn(usize) -> String,
    pub event: Event,
}

impl Incident {
    pub const fn new(path: &'static str) -> Self {
        Self {
            path,
            behaviour: PACED,
            bad: |number| format!("aa:200,bad0:300,b{}:80", number % 3),
            sound: |number| format!("aa:200,c{}:300,b{}:80", number % 5, number % 3),
            event: Event::None,
        }
    }
}

/// What is seen from outside.
#[derive(Default)]
pub struct Seen {
    /// When each endpoint was seen to have ended.
    pub ends: Vec<Instant>,
    /// When each sound request was sent, and whether its answer began and was whole.
    pub sound: Vec<(Instant, JoinHandle<bool>)>,
}

pub struct Play {
    pub bench: Bench,
    pub incident: Incident,
    pub seen: Seen,
    /// Endpoints that have ended, and when.
    down: Vec<(usize, Instant)>,
    /// Endpoints that have fallen silent: their connections stay open.
    gone: Vec<Endpoint>,
    number: usize,
    successors: usize,
}

impl Play {
    pub async fn start(incident: Incident) -> Self {
        let mut bench = Bench::without_daemon(ENDPOINTS).await;
        bench.behave(incident.behaviour);
        for number in 0..DAEMONS {
            bench.add_daemon(if number == 0 { &[] } else { &[0] });
            bench.ready(number, ENDPOINTS).await;
        }
        bench.until_all_live(DAEMONS).await;
        Self {
            bench,
            incident,
            seen: Seen::default(),
            down: Vec::new(),
            gone: Vec::new(),
            number: 0,
            successors: 0,
        }
    }

    /// Sends requests for a time; those with the part only if `is_bad`.
    pub async fn run(&mut self, time: Duration, is_bad: bool) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.number += 1;
            let number = self.number;
            match number.is_multiple_of(ONE_IN) {
                true if is_bad => self.send_bad(number),
                true => {}
                false => self.send_sound(number),
            }
            tokio::time::sleep(STEP).await;
            self.replace().await;
        }
    }

    fn caller(&self, number: usize) -> Caller {
        // Neighbouring requests meet different daemons.
        let daemon = (number * 7 / 3) % self.bench.daemons.len();
        Caller::new(self.bench.daemons[daemon].callers())
    }

    pub fn call(&self, kind: &str, number: usize, prompt: &str) -> Call {
        let call = Call::new(format!("{kind}-{number}"), self.incident.path);
        let call = call.with_body(format!("{kind} {number}"));
        let prompt = format!("{prompt},{:x}:40", 0xd000_0000_usize + number);
        call.with_header("medlarrill-model", "m")
            .with_prompt(&prompt)
    }

    fn send_bad(&self, number: usize) {
        let call = self.call("bad", number, &(self.incident.bad)(number));
        let mut caller = self.caller(number);
        tokio::spawn(async move { caller.send(&call).await });
    }

    fn send_sound(&mut self, number: usize) {
        let call = self.call("sound", number, &(self.incident.sound)(number));
        let mut caller = self.caller(number);
        let sent = tokio::spawn(async move { caller.send(&call).await.is_success() });
        self.seen.sound.push((Instant::now(), sent));
    }

    /// Takes endpoints that have ended off the list, and starts others in their places.
    async fn replace(&mut self) {
        let now = Instant::now();
        for (number, endpoint) in self.bench.endpoints.iter().enumerate() {
            let is_known = self.down.iter().any(|(down, _)| *down == number);
            if endpoint.has_crashed() && !is_known {
                self.seen.ends.push(now);
                self.down.push((number, now));
            }
        }
        let Bench {
            store, endpoints, ..
        } = &mut self.bench;
        for (number, ended) in &self.down {
            if now - *ended >= DELISTED {
                store.remove("servers", endpoints[*number].id());
            }
        }
        let due = |(_, ended): &(usize, Instant)| now - *ended >= REPLACED;
        let due: Vec<usize> = self
            .down
            .extract_if(.., |down| due(down))
            .map(|(number, _)| number)
            .collect();
        for number in due {
            self.successors += 1;
            let id = format!("s-{}", self.successors);
            let next = Endpoint::start(&id, self.bench.ledger.clone(), self.successors as u64);
            let next = next.await.expect("an endpoint");
            next.behave(self.incident.behaviour);
            self.bench
                .store
                .put("servers", &id, next.entry(POOL, "ready"));
            self.gone
                .push(std::mem::replace(&mut self.bench.endpoints[number], next));
        }
    }

    /// Runs until so many endpoints have ended, or a time has passed.
    pub async fn run_until_ended(&mut self, count: usize, most: Duration) {
        let end = Instant::now() + most;
        while self.seen.ends.len() < count && Instant::now() < end {
            self.run(STEP, true).await;
        }
    }

    pub async fn cause(&mut self, event: Event) {
        match event {
            Event::None => {}
            Event::Outage => self.bench.store.fail(Outage::Silent),
            Event::AnotherDaemon => {
                self.bench.add_daemon(&[0]);
                self.bench.takes_connections(DAEMONS).await;
            }
            Event::AllKilled => {
                self.bench.restart_all();
                for number in 0..DAEMONS {
                    self.bench.takes_connections(number).await;
                }
            }
        }
    }

    /// When requests with the part were sent to endpoints.
    pub fn bad_runs(&self) -> Vec<Instant> {
        let runs = self.bench.ledger.all();
        let bad = runs.iter().filter(|run| run.attempt.starts_with("bad-"));
        bad.map(|run| run.at).collect()
    }

    /// The share of sound requests sent in a time that were answered, and how many there were.
    pub async fn served(&mut self, times: Range<Instant>) -> (f64, usize) {
        let sent = self.seen.sound.extract_if(.., |(at, _)| times.contains(at));
        let (mut served, mut all) = (0, 0);
        for (_, reply) in sent.collect::<Vec<_>>() {
            all += 1;
            served += usize::from(reply.await.expect("a reply"));
        }
        (served as f64 / all.max(1) as f64, all)
    }
}
