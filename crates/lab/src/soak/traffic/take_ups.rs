//! Callers that take up streams which broke off.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use derive_more::Debug;
use medlarrill_platform_standin::{Call, Caller, Reply};
use rand::RngExt;
use rand_pcg::Pcg32;

use super::{Doors, Habits, STREAM, Sent, note, send};

/// Answers for which a caller takes up a stream.
const TAKE_UPS: usize = 2;
/// Time after which a patient caller takes up a stream.
const PATIENCE_MS: std::ops::Range<u64> = 0..3000;
/// Time after which it comes back.
const BACK_MS: std::ops::Range<u64> = 50..400;
/// Longest time for which it comes back.
const LONGEST_WAIT: Duration = Duration::from_secs(8);
const RESUMES: &str = "resumes";
const LAST_EVENT: &str = "last-event-id";

/// Waits before a stream is taken up whose daemon may be lost.
pub(super) async fn wait_patiently(rng: &mut Pcg32) {
    pause(rng, PATIENCE_MS).await;
}

/// Takes a stream up that broke off, at most twice; a patient caller comes back after a refusal or
/// where nobody answers.
pub(super) async fn take_up(
    doors: &Doors,
    sent: &Mutex<Vec<Sent>>,
    rng: &mut Pcg32,
    habits: Habits,
    first: &Call,
    again: Call,
) {
    let until = Instant::now() + LONGEST_WAIT;
    let mut next = Some(again);
    let mut answers = 0;
    while let Some(call) = next.take().filter(|_| answers < TAKE_UPS) {
        let daemon = habits.pick(doors, rng);
        let mut connection = Caller::new(doors[daemon].callers);
        let leaving = habits.draw_leaving(rng);
        let noted = send(&mut connection, call, leaving, daemon).await;
        let is_answered = noted.reply.status.is_some();
        answers += usize::from(is_answered || !habits.is_patient);
        next = next_call(first, &noted.call, &noted.reply);
        let is_success = noted.reply.status.is_some_and(|status| status.is_success());
        if habits.is_patient && !is_success && Instant::now() < until {
            next = call_again(first, &noted.call);
            pause(rng, BACK_MS).await;
        }
        note(sent, noted);
    }
}

/// The same call as another attempt.
fn call_again(first: &Call, call: &Call) -> Option<Call> {
    Some(take_up_after(first, call, last_event(call)?))
}

async fn pause(rng: &mut Pcg32, millis: std::ops::Range<u64>) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(millis))).await;
}

/// The call that takes a stream up where a reply broke off; none if it didn't, or the stream can't
/// go on.
pub(super) fn next_call(first: &Call, call: &Call, reply: &Reply) -> Option<Call> {
    if first.path != STREAM.0
        || reply.whole
        || !reply.status.is_some_and(|status| status.is_success())
    {
        return None;
    }
    let last = events(&reply.body).last().map(|event| event.id);
    let last = last.or_else(|| last_event(call))?;
    Some(take_up_after(first, call, last))
}

fn take_up_after(first: &Call, call: &Call, last: u64) -> Call {
    let attempt = format!("{}+", call.attempt);
    let next = Call::new(attempt, &first.path).with_body(first.body.clone());
    let next = next
        .with_wait(first.wait)
        .with_header(RESUMES, &first.attempt);
    next.with_header(LAST_EVENT, &last.to_string())
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
