//! One dispatched request: calls the endpoint and relays its answer to the entry.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use medlarrill_core::admission::Ending;
use medlarrill_core::clock::Millis;
use medlarrill_core::config::{Pool, RefusalMeaning};
use medlarrill_core::ids::{AttemptId, EndpointId};
use medlarrill_core::outcome::Outcome;
use medlarrill_core::reason::Reason;
use medlarrill_core::units::Tokens;
use medlarrill_core::wire::{Forward, Header};
use medlarrill_net::endpoint::{self, Answer, Reuse};
use serde::Deserialize;
use tokio::sync::mpsc;

use super::message::{Finished, Message, Usage};
use super::reply::{Refusal, Reply};
use crate::context::Context;
use crate::entry::last_id;

/// Bytes kept of the end of an answer, to find its last event id and its usage.
const TAIL_SIZE: usize = 2048;
/// Tokens between two progress messages.
const PROGRESS_INTERVAL: u64 = 32;
/// Headers of an answer that are returned to the entry.
const RETURNED_HEADERS: [&str; 4] = ["content-type", "cache-control", "retry-after", "location"];
const PRIORITY_HEADER: &str = "x-priority";
const REQUEST_HEADER: &str = "x-request-id";
const USAGE_KEY: &[u8] = b"\"usage\":";
/// Status by which an endpoint refuses a request.
const REFUSED_STATUS: u16 = 503;
/// Longest wait for an engine to acknowledge a cancellation.
const CANCEL_TIMEOUT: Millis = Millis(2000);
/// Attempts to cancel at an engine; cancellations are idempotent.
const CANCEL_ATTEMPTS: u32 = 3;

/// Control messages to a dispatched request.
#[derive(Clone, Copy, Debug)]
pub enum Control {
    /// Credit for more of the answer, in bytes.
    Credit(u64),
    /// Stop here and cancel at the endpoint.
    Cancel,
    /// Stop here; the endpoint keeps the stream for its grace period.
    Detach,
}

/// A request about to be sent to its endpoint.
pub struct Dispatch {
    /// The attempt.
    pub id: AttemptId,
    /// The request.
    pub forward: Forward,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// Its pool.
    pub pool: Pool,
    /// Priority hint for the engine.
    pub priority: u8,
    /// Sends to the entry.
    pub reply: Reply,
}

/// How a dispatched request ended.
struct CallEnd {
    ending: Ending,
    usage: Option<Usage>,
    /// The end of the answer, if the entry is to be sent one.
    stream_end: Option<StreamEnd>,
}

/// The end of an answer.
#[derive(Clone, Copy)]
struct StreamEnd {
    length: u64,
    /// Why it was cut short, if it was.
    reason: Option<Reason>,
}

impl CallEnd {
    const fn new(ending: Ending) -> Self {
        Self {
            ending,
            usage: None,
            stream_end: None,
        }
    }
}

impl Dispatch {
    /// Sends the request, relays its answer and reports to the home how it ended.
    pub async fn run(self, context: Arc<Context>, control: mpsc::UnboundedReceiver<Control>) {
        context.metrics.dispatched.inc();
        let id = self.id;
        let flow = FlowControl {
            control,
            credit: self.forward.credit,
            cancelled: false,
            cancel_endpoint: false,
        };
        let end = self.call(&context, flow).await;
        // Reported to the home before the caller sees the end and can send its next request.
        context.home.send(Message::Finished(Finished {
            id,
            ending: end.ending,
            usage: end.usage,
        }));
        if let Some(last) = end.stream_end {
            self.reply.end(last.length, last.reason).await;
        }
    }

    async fn call(&self, context: &Arc<Context>, mut flow: FlowControl) -> CallEnd {
        let sent = tokio::select! {
            // A call that is dropped closes its connection, which cancels at the endpoint.
            () = flow.wait_for_cancel() => None,
            sent = context.endpoints.send(self.address, self.request()) => Some(sent),
        };
        match sent {
            None => CallEnd::new(Ending::Failed),
            Some(Err(error)) => self.failed(&error).await,
            Some(Ok(answer)) if answer.status.as_u16() == REFUSED_STATUS => {
                self.refused(&answer).await
            }
            Some(Ok(answer)) => self.relay(context, answer, flow).await,
        }
    }

    fn request(&self) -> endpoint::Request {
        let method = Method::from_bytes(self.forward.method.as_bytes()).unwrap_or(Method::POST);
        let mut headers = header_map(&self.forward.headers);
        headers.insert(PRIORITY_HEADER, u16::from(self.priority).into());
        let reuse = match self.forward.idempotent {
            true => Reuse::Pooled,
            false => Reuse::Fresh,
        };
        endpoint::Request::new(method, self.forward.path.clone())
            .with_headers(headers)
            .with_body(self.forward.body.clone())
            .with_reuse(reuse)
            .with_timeouts(self.pool.first_byte, self.pool.gap)
    }

    async fn failed(&self, error: &endpoint::Error) -> CallEnd {
        log::info!(target: "home", "home: {} at {}: {error}", self.id, self.endpoint);
        let sent = error.outcome() != Outcome::NotRun;
        let reason = match error {
            endpoint::Error::Timeout { .. } => Reason::EndpointTimeout,
            _ => Reason::EndpointLost,
        };
        self.refuse(reason, sent, Millis::ZERO).await;
        CallEnd::new(Ending::Failed)
    }

    async fn refused(&self, answer: &Answer) -> CallEnd {
        let sent = self.pool.refusal != RefusalMeaning::NotRun;
        let after = endpoint::retry_after(&answer.headers);
        let retry_after = after.unwrap_or_default();
        self.refuse(Reason::EndpointRefused, sent, retry_after)
            .await;
        CallEnd::new(after.map_or(Ending::Full, Ending::Paused))
    }

    async fn refuse(&self, reason: Reason, sent: bool, retry_after: Millis) {
        let refusal = Refusal {
            reason,
            sent,
            retry_after,
            endpoint: Some(self.endpoint.clone()),
        };
        self.reply.refused(refusal).await;
    }

    /// Relays the answer to the entry, as fast as its credit allows.
    async fn relay(&self, context: &Arc<Context>, answer: Answer, flow: FlowControl) -> CallEnd {
        let headers = returned_headers(&answer.headers);
        let status = answer.status.as_u16();
        let accepted = self.reply.accepted(&self.endpoint, status, headers).await;
        if accepted.is_err() {
            return CallEnd::new(Ending::Failed);
        }
        let mut relay = Relay {
            context,
            dispatch: self,
            flow,
            body: answer.body,
            offset: 0,
            tokens: 0,
            reported: 0,
            tail: BytesMut::new(),
        };
        let (ending, stream_end) = relay.run().await;
        CallEnd {
            ending,
            usage: parse_usage(&relay.tail),
            stream_end,
        }
    }
}

/// The entry's credit, and whether it has cancelled the request.
struct FlowControl {
    control: mpsc::UnboundedReceiver<Control>,
    credit: u64,
    cancelled: bool,
    /// Whether the request is to be cancelled at the endpoint.
    cancel_endpoint: bool,
}

impl FlowControl {
    /// Waits until the request is cancelled.
    async fn wait_for_cancel(&mut self) {
        while !self.cancelled {
            self.receive().await;
        }
    }

    /// Waits until there is credit or the request is cancelled.
    async fn wait_for_credit(&mut self) {
        while self.credit == 0 && !self.cancelled {
            self.receive().await;
        }
    }

    async fn receive(&mut self) {
        match self.control.recv().await {
            Some(Control::Credit(bytes)) => self.credit = self.credit.saturating_add(bytes),
            Some(Control::Cancel) => {
                self.cancelled = true;
                self.cancel_endpoint = true;
            }
            Some(Control::Detach) | None => self.cancelled = true,
        }
    }
}

/// Relays one answer to the entry.
struct Relay<'a> {
    context: &'a Arc<Context>,
    dispatch: &'a Dispatch,
    flow: FlowControl,
    body: endpoint::Body,
    offset: u64,
    tokens: u64,
    /// Tokens at the last progress message.
    reported: u64,
    /// The last bytes of the answer.
    tail: BytesMut,
}

impl Relay<'_> {
    async fn run(&mut self) -> (Ending, Option<StreamEnd>) {
        loop {
            self.flow.wait_for_credit().await;
            let chunk = tokio::select! {
                () = self.flow.wait_for_cancel() => None,
                chunk = self.body.next() => Some(chunk),
            };
            let Some(chunk) = chunk else {
                self.cancel().await;
                return (Ending::Failed, None);
            };
            match chunk {
                None => {
                    return (Ending::Done, Some(self.stream_end(None)));
                }
                Some(Err(error)) => {
                    log::info!(target: "home", "home: {} at {}: {error}", self.dispatch.id, self.dispatch.endpoint);
                    let reason = Some(Reason::EndpointLost);
                    return (Ending::Failed, Some(self.stream_end(reason)));
                }
                Some(Ok(data)) => {
                    if self.send(data).await.is_err() {
                        return (Ending::Failed, None);
                    }
                }
            }
        }
    }

    async fn send(&mut self, data: Bytes) -> medlarrill_net::link::Result<()> {
        self.track_progress(&data);
        let size = data.len() as u64;
        self.dispatch.reply.chunk(self.offset, data).await?;
        self.offset += size;
        self.flow.credit = self.flow.credit.saturating_sub(size);
        Ok(())
    }

    fn track_progress(&mut self, data: &Bytes) {
        self.tail.extend_from_slice(data);
        let excess = self.tail.len().saturating_sub(TAIL_SIZE);
        self.tail.advance(excess);
        // An event may contain many tokens; its id is the total so far.
        self.tokens = last_id(&self.tail).unwrap_or(self.tokens);
        if self.tokens >= self.reported + PROGRESS_INTERVAL {
            self.reported = self.tokens;
            let tokens = Tokens(self.tokens);
            let message = Message::Progress(self.dispatch.id, tokens);
            self.context.home.send(message);
        }
    }

    const fn stream_end(&self, reason: Option<Reason>) -> StreamEnd {
        StreamEnd {
            length: self.offset,
            reason,
        }
    }

    /// Cancels at the engine at once, as it would keep the stream for its grace period.
    async fn cancel(&self) {
        let name = stream_name(&self.dispatch.forward);
        if let Some(name) = name.filter(|_| self.flow.cancel_endpoint) {
            let timeout = CANCEL_TIMEOUT;
            let address = self.dispatch.address;
            for _ in 0..CANCEL_ATTEMPTS {
                match self.context.endpoints.cancel(address, &name, timeout).await {
                    Ok(_) => return,
                    // If all attempts are lost, the engine ends the stream after its grace period.
                    Err(error) => {
                        let id = self.dispatch.id;
                        log::info!(target: "home", "home: can't cancel {id} at its endpoint: {error}");
                    }
                }
            }
        }
    }
}

fn stream_name(forward: &Forward) -> Option<String> {
    let header = |header: &&Header| header.name == REQUEST_HEADER;
    let value = forward.headers.iter().find(header)?;
    String::from_utf8(value.value.to_vec()).ok()
}

fn header_map(headers: &[Header]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}

fn returned_headers(headers: &HeaderMap) -> Vec<Header> {
    let header = |name: &&str| {
        let value = headers.get(*name)?;
        Some(Header {
            name: (*name).into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
    };
    RETURNED_HEADERS.iter().filter_map(header).collect()
}

#[derive(Deserialize)]
struct UsageText {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Details,
}

#[derive(Default)]
#[derive(Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: u64,
}

/// The usage at the end of an engine's answer.
fn parse_usage(tail: &[u8]) -> Option<Usage> {
    let at = tail
        .windows(USAGE_KEY.len())
        .rposition(|w| w == USAGE_KEY)?;
    let text = tail.get(at + USAGE_KEY.len()..)?;
    let mut values = serde_json::Deserializer::from_slice(text).into_iter::<UsageText>();
    let text = values.next()?.ok()?;
    Some(Usage {
        prompt: Tokens(text.prompt_tokens),
        cached: Tokens(text.prompt_tokens_details.cached_tokens),
        output: Tokens(text.completion_tokens),
    })
}
