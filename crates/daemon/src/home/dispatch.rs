//! One dispatched request: the call to the endpoint and the answer on its way back.

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

/// Bytes at the end of an answer in which its usage is looked for.
const TAIL: usize = 2048;
/// Tokens between two messages on progress.
const PROGRESS: u64 = 32;
/// Headers of an answer that travel back.
const TRAVELLING: [&str; 4] = ["content-type", "cache-control", "retry-after", "location"];
const PRIORITY_HEADER: &str = "x-priority";
const REQUEST_HEADER: &str = "x-request-id";
const USAGE_KEY: &[u8] = b"\"usage\":";
/// Status with which an endpoint refuses.
const REFUSED: u16 = 503;
/// Longest wait for an engine to take a cancellation.
const CANCEL_WAIT: Millis = Millis(2000);
/// Times that an engine is told to cancel; a cancellation may be repeated.
const CANCEL_TRIES: u32 = 3;

/// What a dispatched request can be told.
#[derive(Clone, Copy, Debug)]
pub enum Control {
    /// Room for more of the answer, in bytes.
    Credit(u64),
    /// Stop, here and at the endpoint.
    Cancel,
    /// Stop here; the endpoint holds the stream for its own grace.
    Drop,
}

/// A request about to be sent to its endpoint.
pub struct Dispatch {
    /// The try.
    pub id: AttemptId,
    /// The request.
    pub forward: Forward,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its pool.
    pub pool: Pool,
    /// Hint for the engine.
    pub priority: u8,
    /// The way back.
    pub reply: Reply,
}

/// How a dispatched request went.
struct End {
    ending: Ending,
    usage: Option<Usage>,
    /// The last word to the entry, if one is due.
    last: Option<Last>,
}

/// The end of an answer.
#[derive(Clone, Copy)]
struct Last {
    length: u64,
    /// Why it was cut short, if it was.
    reason: Option<Reason>,
}

impl End {
    const fn new(ending: Ending) -> Self {
        Self {
            ending,
            usage: None,
            last: None,
        }
    }
}

impl Dispatch {
    /// Sends the request, carries its answer back and tells the home how it ended.
    pub async fn run(self, context: Arc<Context>, control: mpsc::UnboundedReceiver<Control>) {
        context.metrics.dispatched.inc();
        let id = self.id;
        let room = Room {
            control,
            credit: self.forward.credit,
            cancelled: false,
            tell: false,
        };
        let end = self.call(&context, room).await;
        // The home hears of the end before the caller can come back.
        context.home.send(Message::Finished(Finished {
            id,
            ending: end.ending,
            usage: end.usage,
        }));
        if let Some(last) = end.last {
            self.reply.end(last.length, last.reason).await;
        }
    }

    async fn call(&self, context: &Arc<Context>, mut room: Room) -> End {
        let sent = tokio::select! {
            // A call that is dropped closes its connection, which cancels at the endpoint.
            () = room.cancelled() => None,
            sent = context.endpoints.send(self.address, self.request()) => Some(sent),
        };
        match sent {
            None => End::new(Ending::Failed),
            Some(Err(error)) => self.failed(&error).await,
            Some(Ok(answer)) if answer.status.as_u16() == REFUSED => self.refused(&answer).await,
            Some(Ok(answer)) => self.carry(context, answer, room).await,
        }
    }

    fn request(&self) -> endpoint::Request {
        let method = Method::from_bytes(self.forward.method.as_bytes()).unwrap_or(Method::POST);
        let mut headers = to_map(&self.forward.headers);
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

    async fn failed(&self, error: &endpoint::Error) -> End {
        log::info!(target: "home", "home: {} at {}: {error}", self.id, self.endpoint);
        let sent = error.outcome() != Outcome::NotRun;
        let reason = match error {
            endpoint::Error::Timeout { .. } => Reason::EndpointTimeout,
            _ => Reason::EndpointLost,
        };
        self.refuse(reason, sent, Millis::ZERO).await;
        End::new(Ending::Failed)
    }

    async fn refused(&self, answer: &Answer) -> End {
        let sent = self.pool.refusal != RefusalMeaning::NotRun;
        let after = endpoint::retry_after(&answer.headers);
        let wait = after.unwrap_or_default();
        self.refuse(Reason::EndpointRefused, sent, wait).await;
        End::new(after.map_or(Ending::Full, Ending::Paused))
    }

    async fn refuse(&self, reason: Reason, sent: bool, after: Millis) {
        let refusal = Refusal {
            reason,
            sent,
            after,
            endpoint: Some(self.endpoint.clone()),
        };
        self.reply.refused(refusal).await;
    }

    /// Carries the answer to the entry, as fast as it takes it.
    async fn carry(&self, context: &Arc<Context>, answer: Answer, room: Room) -> End {
        let headers = to_list(&answer.headers);
        let status = answer.status.as_u16();
        let told = self.reply.accepted(&self.endpoint, status, headers).await;
        if told.is_err() {
            return End::new(Ending::Failed);
        }
        let mut carrier = Carrier {
            context,
            dispatch: self,
            room,
            body: answer.body,
            offset: 0,
            tokens: 0,
            told: 0,
            tail: BytesMut::new(),
        };
        let (ending, last) = carrier.carry().await;
        End {
            ending,
            usage: usage(&carrier.tail),
            last,
        }
    }
}

/// The room that the entry gives, and whether it still wants the answer.
struct Room {
    control: mpsc::UnboundedReceiver<Control>,
    credit: u64,
    cancelled: bool,
    /// Whether the endpoint is to be told.
    tell: bool,
}

impl Room {
    /// Waits until the request is cancelled.
    async fn cancelled(&mut self) {
        while !self.cancelled {
            self.hear().await;
        }
    }

    /// Waits until there is room or the request is cancelled.
    async fn wait(&mut self) {
        while self.credit == 0 && !self.cancelled {
            self.hear().await;
        }
    }

    async fn hear(&mut self) {
        match self.control.recv().await {
            Some(Control::Credit(bytes)) => self.credit = self.credit.saturating_add(bytes),
            Some(Control::Cancel) => {
                self.cancelled = true;
                self.tell = true;
            }
            Some(Control::Drop) | None => self.cancelled = true,
        }
    }
}

/// Carries one answer.
struct Carrier<'a> {
    context: &'a Arc<Context>,
    dispatch: &'a Dispatch,
    room: Room,
    body: endpoint::Body,
    offset: u64,
    tokens: u64,
    told: u64,
    tail: BytesMut,
}

impl Carrier<'_> {
    async fn carry(&mut self) -> (Ending, Option<Last>) {
        loop {
            self.room.wait().await;
            let piece = tokio::select! {
                () = self.room.cancelled() => None,
                piece = self.body.next() => Some(piece),
            };
            let Some(piece) = piece else {
                self.cancel().await;
                return (Ending::Failed, None);
            };
            match piece {
                None => {
                    return (Ending::Done, Some(self.last(None)));
                }
                Some(Err(error)) => {
                    log::info!(target: "home", "home: {} at {}: {error}", self.dispatch.id, self.dispatch.endpoint);
                    let reason = Some(Reason::EndpointLost);
                    return (Ending::Failed, Some(self.last(reason)));
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
        self.note(&data);
        let size = data.len() as u64;
        self.dispatch.reply.chunk(self.offset, data).await?;
        self.offset += size;
        self.room.credit = self.room.credit.saturating_sub(size);
        Ok(())
    }

    fn note(&mut self, data: &Bytes) {
        self.tail.extend_from_slice(data);
        let excess = self.tail.len().saturating_sub(TAIL);
        self.tail.advance(excess);
        // An event may hold many tokens; its id counts them.
        self.tokens = last_id(&self.tail).unwrap_or(self.tokens);
        if self.tokens >= self.told + PROGRESS {
            self.told = self.tokens;
            let tokens = Tokens(self.tokens);
            let message = Message::Progress(self.dispatch.id, tokens);
            self.context.home.send(message);
        }
    }

    const fn last(&self, reason: Option<Reason>) -> Last {
        Last {
            length: self.offset,
            reason,
        }
    }

    /// Tells the engine at once, without its grace for a lost connection.
    async fn cancel(&self) {
        let name = stream_name(&self.dispatch.forward);
        if let Some(name) = name.filter(|_| self.room.tell) {
            let wait = CANCEL_WAIT;
            let address = self.dispatch.address;
            for _ in 0..CANCEL_TRIES {
                match self.context.endpoints.cancel(address, &name, wait).await {
                    Ok(_) => return,
                    // The engine's own grace ends the stream if all are lost.
                    Err(error) => {
                        let id = self.dispatch.id;
                        log::info!(target: "home", "home: {id} can't be cancelled: {error}");
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

fn to_map(headers: &[Header]) -> HeaderMap {
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

fn to_list(headers: &HeaderMap) -> Vec<Header> {
    let header = |name: &&str| {
        let value = headers.get(*name)?;
        Some(Header {
            name: (*name).into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
    };
    TRAVELLING.iter().filter_map(header).collect()
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
fn usage(tail: &[u8]) -> Option<Usage> {
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
