//! Turns the frames of a home into the caller's response.
//!
//! An event stream is sent event by event, and is resumed at its endpoint if
//! the daemon in between is lost. Any other response is buffered until it is
//! complete, so that the request can be retried, unless it is too large.

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
use super::events::EventSplitter;
use super::flight::InFlight;
use super::job::{Job, ResumePoint};
use super::problem::Problem;
use super::run::{MAX_RESUMES, Running, resume, run};
use crate::context::Context;

/// Largest response that is buffered until it is complete, in bytes.
const MAX_BUFFERED: usize = 1 << 20;
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Error that closes the caller's connection before the end of the response.
#[derive(Clone, Copy, Debug)]
#[derive(Display, Error)]
#[display("the answer was cut short: {reason}")]
pub struct Truncated {
    #[error(not(source))]
    reason: Reason,
}

/// A response that is ready to be written.
pub enum Reply {
    /// The complete response.
    Complete(Head, Bytes),
    /// The head; the body is streamed.
    Stream(Box<AnswerStream>),
}

impl Reply {
    /// The head of the response.
    pub const fn head(&self) -> &Head {
        match self {
            Self::Complete(head, _) => head,
            Self::Stream(stream) => stream.head(),
        }
    }
}

/// Runs a job, with retries, until a response can be written.
///
/// # Errors
///
/// The failure to report to the caller, if nothing has been written.
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
        if !context.limits.take_retry(running.job.pool.clone()).await {
            return Err(failure.without_retry());
        }
        context.metrics.record_retry(failure.reason);
        let outcome = failure.outcome;
        let retried = run(context, running.job).await;
        running = retried.map_err(|failure| failure.with_earlier(outcome))?;
    }
}

fn reply(context: &Arc<Context>, running: Running, collected: Collected) -> Reply {
    match collected {
        Collected::Complete(body) => Reply::Complete(running.head, body),
        Collected::Start(start) => Reply::Stream(Box::new(AnswerStream {
            context: Arc::clone(context),
            running,
            start,
        })),
    }
}

/// A response whose body is streamed to the caller.
pub struct AnswerStream {
    context: Arc<Context>,
    running: Running,
    start: Bytes,
}

impl AnswerStream {
    /// The head of the response.
    pub const fn head(&self) -> &Head {
        &self.running.head
    }

    /// The body; `flight` ends when the body ends.
    pub fn into_body(self, flight: InFlight) -> ResBody {
        ResBody::stream(self.into_chunks(flight))
    }

    /// The chunks of the body; `flight` ends when they end.
    pub fn into_chunks(
        self,
        flight: InFlight,
    ) -> impl Stream<Item = Result<Bytes, Truncated>> + Send + use<> {
        let events = is_event_stream(&self.running.head);
        let relay = StreamRelay {
            context: self.context,
            stream: Job::stream_name(self.running.attempt.id()),
            running: self.running,
            splitter: EventSplitter::default(),
            resumes: 0,
            flight,
        };
        if events {
            return event_stream(relay).left_stream();
        }
        byte_stream(relay, self.start).right_stream()
    }
}

enum Collected {
    Complete(Bytes),
    Start(Bytes),
}

async fn collect(running: &mut Running) -> Result<Collected, Failure> {
    let mut body = BytesMut::new();
    while let Some(chunk) = running.attempt.next().await? {
        body.extend_from_slice(&chunk);
        if body.len() > MAX_BUFFERED {
            return Ok(Collected::Start(body.freeze()));
        }
    }
    Ok(Collected::Complete(body.freeze()))
}

fn is_event_stream(head: &Head) -> bool {
    let is_type = |header: &&Header| header.name == CONTENT_TYPE.as_str();
    head.headers
        .iter()
        .find(is_type)
        .is_some_and(|header| header.value.starts_with(EVENT_STREAM))
}

/// Writes status and headers of a response.
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

/// Relays the body of one response to the caller.
struct StreamRelay {
    context: Arc<Context>,
    running: Running,
    splitter: EventSplitter,
    /// Name of the stream at the endpoint.
    stream: String,
    /// Attempts to resume since the last complete event.
    resumes: u32,
    flight: InFlight,
}

impl StreamRelay {
    /// The next complete events; `None` at the end.
    async fn next_events(&mut self) -> Option<Bytes> {
        while !self.flight.is_ended() {
            let failure = match self.running.attempt.next().await {
                Ok(Some(chunk)) => match self.splitter.push(&chunk) {
                    Ok(events) if events.is_empty() => continue,
                    Ok(events) => {
                        self.resumes = 0;
                        // Recorded before the caller sees the end and can query the state.
                        if self.splitter.is_done() {
                            self.flight.answered();
                        }
                        return Some(events);
                    }
                    Err(error) => {
                        log::error!(target: "entry", "entry: {}: {error}", self.running.job.request);
                        return Some(self.fail(&Failure::new(Reason::StreamCut)));
                    }
                },
                Ok(None) if !self.running.job.is_model() => return self.finish(),
                Ok(None) => Failure::new(Reason::StreamCut),
                Err(failure) => failure,
            };
            if let Err(failure) = self.resume_stream(failure).await {
                return Some(self.fail(&failure));
            }
        }
        // Drains the attempt: dropping it early would cancel a request that the home is about
        // to end. After the end mark, how the connection ends doesn't matter.
        while self.splitter.is_done() && matches!(self.running.attempt.next().await, Ok(Some(_))) {}
        None
    }

    fn finish(&mut self) -> Option<Bytes> {
        self.flight.answered();
        let rest = self.splitter.take_rest();
        (!rest.is_empty()).then_some(rest)
    }

    /// Resumes the stream after the last token that the caller has.
    async fn resume_stream(&mut self, failure: Failure) -> Result<(), Failure> {
        let possible = self.running.job.is_model() && self.splitter.is_resumable();
        let endpoint = self.running.head.endpoint.clone();
        let Some(endpoint) = endpoint.filter(|_| possible) else {
            return Err(failure);
        };
        // A cancellation at the lost home would end the stream that is being resumed.
        self.running.attempt.detach();
        let mut lost: Vec<DaemonId> = failure.lost.iter().cloned().collect();
        while self.resumes < MAX_RESUMES {
            self.resumes += 1;
            let point = ResumePoint {
                endpoint: endpoint.clone(),
                stream: self.stream.clone(),
                from: self.splitter.last_token(),
            };
            let attempts = self.running.attempts;
            self.running.attempts += 1;
            match resume(&self.context, &self.running.job, attempts, &point, &lost).await {
                Ok(attempt) => {
                    log::info!(target: "entry", "entry: {} resumed after token {}", self.running.job.request, point.from);
                    self.context.metrics.resumed.inc();
                    self.splitter.discard_partial();
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

    /// Records the failure; returns the event that reports it to the caller.
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

/// Pause between two attempts to resume a stream.
const RESUME_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

fn event_stream(relay: StreamRelay) -> impl Stream<Item = Result<Bytes, Truncated>> + Send {
    stream::unfold(relay, |mut relay| async move {
        let events = relay.next_events().await?;
        Some((Ok(events), relay))
    })
}

fn byte_stream(
    relay: StreamRelay,
    start: Bytes,
) -> impl Stream<Item = Result<Bytes, Truncated>> + Send {
    stream::unfold((relay, Some(start)), |(mut relay, start)| async move {
        if let Some(start) = start {
            return Some((Ok(start), (relay, None)));
        }
        if relay.flight.is_ended() {
            return None;
        }
        match relay.running.attempt.next().await {
            Ok(Some(chunk)) => Some((Ok(chunk), (relay, None))),
            Ok(None) => {
                relay.flight.answered();
                None
            }
            Err(failure) => {
                relay.fail(&failure);
                let reason = failure.reason;
                Some((Err(Truncated { reason }), (relay, None)))
            }
        }
    })
}
