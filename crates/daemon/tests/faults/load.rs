//! Steady returning chats and bookings, with every answer checked.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use hyper::Response;
use medlarrill_core::clock::Millis;
use medlarrill_testkit::engine::{Message, expected_answer, messages_text};
use medlarrill_testkit::fleet::{CallError, Caller, Fleet};
use medlarrill_testkit::wait::until;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

const CHATS: usize = 8;
const BOOKERS: usize = 3;
const TURNS: usize = 4;
const TOKENS: u64 = 24;
/// Time in which retries must have saved a request.
const SAVED_IN: Millis = Millis::from_secs(60);
const PAUSE: Millis = Millis(50);

/// What a booking came to in the end.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum End {
    /// It was answered.
    Booked,
    /// It was refused for good, with this code and outcome.
    Refused(String, String),
}

/// What the callers saw.
#[derive(Clone, Default, Debug)]
pub struct Tally {
    /// Turns of chats answered right.
    pub right: usize,
    /// Answers with a wrong byte, by chat or key.
    pub wrong: Vec<String>,
    /// Requests that no retry saved.
    pub lost: Vec<String>,
    /// Bookings and their ends.
    pub ends: BTreeMap<String, End>,
    /// What single tries of chats failed with, and how often.
    pub chat_errors: BTreeMap<String, usize>,
    /// What single tries of bookings failed with, and how often.
    pub booking_errors: BTreeMap<String, usize>,
}

impl Tally {
    /// Bookings that were answered.
    pub fn booked(&self) -> usize {
        self.ends
            .values()
            .filter(|end| **end == End::Booked)
            .count()
    }

    /// Errors other than a connection refused before the request was sent.
    pub fn troubles(&self) -> BTreeMap<String, usize> {
        let errors = self.chat_errors.iter().chain(&self.booking_errors);
        let mut troubles = BTreeMap::new();
        for (error, count) in errors.filter(|(error, _)| *error != "refused-connection") {
            *troubles.entry(error.clone()).or_default() += count;
        }
        troubles
    }
}

struct Shared {
    callers: Mutex<Vec<Caller>>,
    next: AtomicUsize,
    stop: AtomicBool,
    /// How long a caller waits for one try.
    patience: Millis,
    tally: Mutex<Tally>,
}

/// A load that goes on until it is finished.
pub struct Load {
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

impl Load {
    /// Starts a load over all daemons, whose callers give up a try after `patience`.
    pub fn start(fleet: &Fleet, patience: Millis) -> Self {
        let shared = Arc::new(Shared {
            callers: Mutex::default(),
            next: AtomicUsize::new(0),
            stop: AtomicBool::new(false),
            patience,
            tally: Mutex::default(),
        });
        let mut load = Self {
            shared,
            tasks: JoinSet::new(),
        };
        load.follow(fleet);
        for number in 0..CHATS {
            load.tasks.spawn(chats(Arc::clone(&load.shared), number));
        }
        for number in 0..BOOKERS {
            load.tasks.spawn(bookings(Arc::clone(&load.shared), number));
        }
        load
    }

    /// Calls the fleet's present daemons.
    pub fn follow(&mut self, fleet: &Fleet) {
        let callers = (0..fleet.daemons.len()).filter_map(|at| fleet.caller(at));
        *self.shared.callers.lock().unwrap() = callers.collect();
    }

    /// What the callers saw so far.
    pub fn tally(&self) -> Tally {
        self.shared.tally.lock().unwrap().clone()
    }

    /// Waits until so many more turns were right.
    pub async fn chats(&self, more: usize) {
        let goal = self.tally().right + more;
        until("chats go on", async || self.tally().right >= goal).await;
    }

    /// Waits until so many more turns were right and bookings made.
    pub async fn progress(&self, more: usize) {
        let goal = self.tally().booked() + more;
        self.chats(more * 4).await;
        until("bookings go on", async || self.tally().booked() >= goal).await;
    }

    /// Ends the load and checks what must hold after any fault: every answer
    /// right, no request lost, no booking run twice, no word about one untrue.
    pub async fn finish(mut self, fleet: &Fleet) -> Tally {
        self.shared.stop.store(true, Ordering::Relaxed);
        while let Some(ended) = self.tasks.join_next().await {
            ended.unwrap();
        }
        let tally = self.tally();
        eprintln!(
            "{} turns right, {} bookings of {}, chats {:?}, bookings {:?}",
            tally.right,
            tally.booked(),
            tally.ends.len(),
            tally.chat_errors,
            tally.booking_errors
        );
        assert_eq!(tally.wrong, Vec::<String>::new());
        assert_eq!(tally.lost, Vec::<String>::new());
        for (key, end) in &tally.ends {
            let runs = runs(fleet, key);
            let true_word = match end {
                End::Booked => runs == 1,
                End::Refused(_, outcome) if outcome == "ran" => runs == 1,
                End::Refused(_, outcome) if outcome == "not-run" => runs == 0,
                End::Refused(..) => runs <= 1,
            };
            assert!(true_word, "{key}: {end:?} with {runs} runs");
        }
        tally
    }
}

/// How often a key has run at all services.
pub fn runs(fleet: &Fleet, key: &str) -> usize {
    let services = fleet.services.iter();
    let all = services.flat_map(medlarrill_testkit::Service::runs);
    all.filter(|run| run.key.as_deref() == Some(key)).count()
}

async fn chats(shared: Arc<Shared>, number: usize) {
    for trip in 0.. {
        let chat = format!("trip-{number}-{trip}");
        let mut messages = vec![Message::new("user", &format!("{chat} ").repeat(60))];
        for turn in 0..TURNS {
            if shared.stop.load(Ordering::Relaxed) {
                return;
            }
            let Some(text) = shared.turn(&chat, &messages).await else {
                return;
            };
            messages.push(Message::new("assistant", &text));
            messages.push(Message::new("user", &format!("and stop {turn}?")));
        }
    }
}

async fn bookings(shared: Arc<Shared>, number: usize) {
    for note in 0.. {
        if shared.stop.load(Ordering::Relaxed) {
            return;
        }
        shared.book(&format!("note-{number}-{note}")).await;
        tokio::time::sleep(PAUSE.as_duration()).await;
    }
}

impl Shared {
    fn caller(&self) -> Caller {
        let callers = self.callers.lock().unwrap();
        let at = self.next.fetch_add(1, Ordering::Relaxed);
        callers[at % callers.len()].clone()
    }

    fn note(&self, change: impl FnOnce(&mut Tally)) {
        change(&mut self.tally.lock().unwrap());
    }

    /// One turn, with retries at other daemons.
    async fn turn(&self, chat: &str, messages: &[Message]) -> Option<String> {
        let right = expected_answer(&messages_text(messages), TOKENS);
        let end = Instant::now() + SAVED_IN.as_duration();
        while Instant::now() < end {
            let caller = self.caller();
            let call = caller.chat(chat, messages, TOKENS);
            let error = match timeout(self.patience.as_duration(), call).await {
                Ok(Ok(answer)) if answer.text == right => {
                    self.note(|tally| tally.right += 1);
                    return Some(answer.text);
                }
                Ok(Ok(answer)) => {
                    self.note(|tally| tally.wrong.push(format!("{chat}: {}", answer.text)));
                    return None;
                }
                Ok(Err(error)) => name(&error),
                Err(_) => "caller-timeout".into(),
            };
            self.note(|tally| *tally.chat_errors.entry(error).or_default() += 1);
            tokio::time::sleep(PAUSE.as_duration()).await;
        }
        self.note(|tally| tally.lost.push(chat.into()));
        None
    }

    /// One booking, repeated under its key until it has an end.
    async fn book(&self, key: &str) {
        let end = Instant::now() + SAVED_IN.as_duration();
        while Instant::now() < end {
            let caller = self.caller();
            let call = caller.call("/bookings/room", Some(key), key);
            let error = match timeout(self.patience.as_duration(), call).await {
                Ok(Ok(answer)) => {
                    let wrong = !is_receipt(&answer, key);
                    self.note(|tally| {
                        tally.wrong.extend(wrong.then(|| key.into()));
                        tally.ends.insert(key.into(), End::Booked);
                    });
                    return;
                }
                Ok(Err(CallError::Problem(problem))) if problem.retry_after.is_none() => {
                    let refused = End::Refused(problem.code.clone(), problem.outcome);
                    self.note(|tally| {
                        tally.ends.insert(key.into(), refused);
                        *tally.booking_errors.entry(problem.code).or_default() += 1;
                    });
                    return;
                }
                Ok(Err(error)) => name(&error),
                Err(_) => "caller-timeout".into(),
            };
            self.note(|tally| *tally.booking_errors.entry(error).or_default() += 1);
            tokio::time::sleep(PAUSE.as_duration()).await;
        }
        self.note(|tally| tally.lost.push(key.into()));
    }
}

fn is_receipt(answer: &Response<bytes::Bytes>, note: &str) -> bool {
    let body: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
    body["echo"] == blake3::hash(note.as_bytes()).to_hex().as_str()
}

fn name(error: &CallError) -> String {
    match error {
        CallError::Problem(problem) => format!("{} {}", problem.code, problem.outcome),
        CallError::Client(medlarrill_testkit::client::ClientError::Connect(_)) => {
            "refused-connection".into()
        }
        CallError::Client(_) => "broken-connection".into(),
        CallError::Body(_) | CallError::Json(_) => "broken-answer".into(),
        CallError::Unfinished => "unfinished-stream".into(),
    }
}
