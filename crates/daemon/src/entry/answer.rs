//! Turns what a home sends into the caller's response.
//!
//! A stream of events goes out event by event, and is taken up again at its
//! endpoint if the daemon between is lost. Any other answer is held until it
//! is whole, so that it can be tried again, unless it is too large for that.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use futures_util::stream::{self, Stream, StreamExt};
use medlarrill_core::ids::DaemonId;
use medlarrill_core::outcome::Outcome;
use medlarrill_core::reason::Reason;
use medlarrill_core::wire::Header;
use salvo::http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use salvo::http::{HeaderName, HeaderValue, ResBody, StatusCode};

use super::attempt::{Failure, Head};
use super::events::EventCutter;
use super::flight::Flight;
use super::job::{Job, ResumePoint};
use super::problem::Problem;
use super::run::{MAX_RESUMES, Running, resume, run};
use crate::context::Context;

/// Largest answer that is held until it is whole, in bytes.
const HOLD: usize = 1 << 20;
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Ends the caller's connection without an end mark.
#[derive(Clone, Copy, Debug)]
#[derive(Display, Error)]
#[display("the answer was cut short: {reason}")]
pub struct Cut {
    #[error(not(source))]
    reason: Reason,
}

/// An answer that can be written.
pub enum Reply {
    /// All of it.
    Whole(Head, Bytes),
    /// Its start; the rest comes as it is made.
    Stream(Box<AnswerStream>),
}

impl Reply {
    /// The head of the answer.
    pub const fn head(&self) -> &Head {
        match self {
            Self::Whole(head, _) => head,
            Self::Stream(stream) => stream.head(),
        }
    }
}

/// Runs a job until an answer can be written.
///
/// # Errors
///
/// The failure to answer with, when nothing has been written.
pub async fn respond(context: &Arc<Context>, job: Job) -> Result<Reply, Failure> {
    let mut running = run(context, job).await?;
    loop {
        let collected = match is_event_stream(&running.head) {
            true => Ok(Collected::Start(Bytes::new())),
            false => collect(&mut running).await,
        };
        let failure = match collected {
            Ok(collected) => return Ok(reply(context, running, collected)),
            Err(failure) => failure,
        };
        if !running.job.idempotent {
            return Err(failure);
        }
        if !context.limits.spend(running.job.pool.clone()).await {
            return Err(failure.without_retry());
        }
        context.metrics.retry(failure.reason);
        let outcome = failure.outcome;
        let again = run(context, running.job).await;
        running = again.map_err(|failure| failure.with_earlier(outcome))?;
    }
}

fn reply(context: &Arc<Context>, running: Running, collected: Collected) -> Reply {
    match collected {
        Collected::Whole(body) => Reply::Whole(running.head, body),
        Collected::Start(start) => Reply::Stream(Box::new(AnswerStream {
            context: Arc::clone(context),
            running,
            start,
        })),
    }
}

/// An answer whose head is written.
pub struct AnswerStream {
    context: Arc<Context>,
    running: Running,
    start: Bytes,
}

impl AnswerStream {
    /// The head of the answer.
    pub const fn head(&self) -> &Head {
        &self.running.head
    }

    /// The body, which ends the flight with its own end.
    pub fn into_body(self, flight: Flight) -> ResBody {
        ResBody::stream(self.into_pieces(flight))
    }

    /// The pieces of the body, which end the flight with their own end.
    pub fn into_pieces(
        self,
        flight: Flight,
    ) -> impl Stream<Item = Result<Bytes, Cut>> + Send + use<> {
        let events = is_event_stream(&self.running.head);
        let pump = Pump {
            context: self.context,
            stream: Job::stream_name(self.running.attempt.id()),
            running: self.running,
            cutter: EventCutter::default(),
            resumes: 0,
            flight,
        };
        if events {
            return event_stream(pump).left_stream();
        }
        byte_stream(pump, self.start).right_stream()
    }
}

enum Collected {
    Whole(Bytes),
    Start(Bytes),
}

async fn collect(running: &mut Running) -> Result<Collected, Failure> {
    let mut body = BytesMut::new();
    while let Some(piece) = running.attempt.next().await? {
        body.extend_from_slice(&piece);
        if body.len() > HOLD {
            return Ok(Collected::Start(body.freeze()));
        }
    }
    Ok(Collected::Whole(body.freeze()))
}

fn is_event_stream(head: &Head) -> bool {
    let is_type = |header: &&Header| header.name == CONTENT_TYPE.as_str();
    head.headers
        .iter()
        .find(is_type)
        .is_some_and(|header| header.value.starts_with(EVENT_STREAM))
}

/// Writes the head of an answer.
pub fn write_head(head: &Head, response: &mut salvo::Response) {
    let status = StatusCode::from_u16(head.status);
    response.status_code(status.unwrap_or(StatusCode::BAD_GATEWAY));
    for header in &head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value)
            && name != CONTENT_LENGTH
        {
            response.headers_mut().append(name, value);
        }
    }
}

/// Carries one answer to the caller.
struct Pump {
    context: Arc<Context>,
    running: Running,
    cutter: EventCutter,
    /// The endpoint's name for the stream.
    stream: String,
    resumes: u32,
    flight: Flight,
}

impl Pump {
    /// The next whole events; `None` at the end.
    async fn events(&mut self) -> Option<Bytes> {
        while !self.flight.is_over() {
            let failure = match self.running.attempt.next().await {
                Ok(Some(piece)) => match self.cutter.push(&piece) {
                    Ok(events) if events.is_empty() => continue,
                    Ok(events) => {
                        self.resumes = 0;
                        // The state is known before the caller can ask for it.
                        if self.cutter.is_done() {
                            self.flight.answered();
                        }
                        return Some(events);
                    }
                    Err(disorder) => {
                        log::error!(target: "entry", "entry: {}: {disorder}", self.running.job.request);
                        return Some(self.fail(&Failure::new(Reason::StreamCut)));
                    }
                },
                Ok(None) if !self.running.job.is_model() => return self.whole(),
                Ok(None) => Failure::new(Reason::StreamCut),
                Err(failure) => failure,
            };
            if let Err(failure) = self.take_up(failure).await {
                return Some(self.fail(&failure));
            }
        }
        // The home hears no cancellation of what it has nearly ended. An end mark
        // is the end, however the connection behind it ends.
        while self.cutter.is_done() && matches!(self.running.attempt.next().await, Ok(Some(_))) {}
        None
    }

    fn whole(&mut self) -> Option<Bytes> {
        self.flight.answered();
        let rest = self.cutter.rest();
        (!rest.is_empty()).then_some(rest)
    }

    /// Takes the stream up again after the last token that the caller has.
    async fn take_up(&mut self, failure: Failure) -> Result<(), Failure> {
        let possible = self.running.job.is_model() && self.cutter.is_resumable();
        let endpoint = self.running.head.endpoint.clone();
        let Some(endpoint) = endpoint.filter(|_| possible) else {
            return Err(failure);
        };
        // Word to the lost home would end the stream that is taken up.
        self.running.attempt.forget();
        let mut lost: Vec<DaemonId> = failure.lost.iter().cloned().collect();
        while self.resumes < MAX_RESUMES {
            self.resumes += 1;
            let point = ResumePoint {
                endpoint: endpoint.clone(),
                stream: self.stream.clone(),
                from: self.cutter.last(),
            };
            let tries = self.running.tries;
            self.running.tries += 1;
            match resume(&self.context, &self.running.job, tries, &point, &lost).await {
                Ok(attempt) => {
                    log::info!(target: "entry", "entry: {} resumed after token {}", self.running.job.request, point.from);
                    self.context.metrics.resumed.inc();
                    self.cutter.cut();
                    self.running.attempt = attempt;
                    return Ok(());
                }
                Err(again) => {
                    log::info!(target: "entry", "entry: {} can't resume: {}", self.running.job.request, again.reason);
                    lost.extend(again.lost);
                    tokio::time::sleep(RESUME_PAUSE).await;
                }
            }
        }
        Err(failure)
    }

    /// The event that tells the caller of a cut.
    fn fail(&mut self, failure: &Failure) -> Bytes {
        let failure = failure.clone().with_outcome(Outcome::Ran);
        self.flight.failed(&failure);
        let problem = Problem::of(&failure).with_request(self.running.job.request);
        let mut event = BytesMut::from(&b"event: error\ndata: "[..]);
        event.extend_from_slice(&problem.json());
        event.extend_from_slice(b"\n\n");
        event.freeze()
    }
}

/// Pause before a stream is taken up once more.
const RESUME_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

fn event_stream(pump: Pump) -> impl Stream<Item = Result<Bytes, Cut>> + Send {
    stream::unfold(pump, |mut pump| async move {
        let events = pump.events().await?;
        Some((Ok(events), pump))
    })
}

fn byte_stream(pump: Pump, start: Bytes) -> impl Stream<Item = Result<Bytes, Cut>> + Send {
    stream::unfold((pump, Some(start)), |(mut pump, start)| async move {
        if let Some(start) = start {
            return Some((Ok(start), (pump, None)));
        }
        if pump.flight.is_over() {
            return None;
        }
        match pump.running.attempt.next().await {
            Ok(Some(piece)) => Some((Ok(piece), (pump, None))),
            Ok(None) => {
                pump.flight.answered();
                None
            }
            Err(failure) => {
                pump.fail(&failure);
                let reason = failure.reason;
                Some((Err(Cut { reason }), (pump, None)))
            }
        }
    })
}
