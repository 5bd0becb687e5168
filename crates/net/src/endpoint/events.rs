//! Reader of the server-sent events in a response.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use derive_more::{Debug, Display, Error, From};
use futures_util::stream::{Stream, StreamExt, unfold};
use sse_stream::{Sse, SseByteStream};

use super::Body;
use crate::http::{Error, Result};

/// Data of the event that ends a complete stream.
const DONE: &str = "[DONE]";

/// Result of reading an event.
pub type EventResult<T> = std::result::Result<T, EventError>;

/// Why no further event can be read.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error, From)]
pub enum EventError {
    /// The response was cut off, timed out or has an event that is too large.
    #[display("{_0}")]
    Transport(Error),
    /// The bytes are not valid events.
    #[display("the events can't be read: {cause}")]
    #[from(skip)]
    Malformed {
        /// Error of the parser.
        cause: String,
    },
}

/// A server-sent event.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Event {
    /// The `id` field.
    pub id: Option<String>,
    /// The `event` field.
    pub name: Option<String>,
    /// The `data` field.
    pub data: Bytes,
}

impl Event {
    /// Number of tokens up to and including this event, if its id is a number.
    pub fn tokens(&self) -> Option<u64> {
        self.id.as_ref()?.parse().ok()
    }

    /// Whether this event ends a complete stream.
    pub fn is_done(&self) -> bool {
        self.data == DONE.as_bytes()
    }

    /// Encodes the event for the wire.
    ///
    /// # Errors
    ///
    /// `Malformed` if it can't be encoded; never for an event that was read.
    pub fn encode(&self) -> EventResult<Bytes> {
        let data = std::str::from_utf8(&self.data).map_err(malformed)?;
        let sse = Sse {
            event: self.name.clone(),
            data: Some(data.into()),
            id: self.id.clone(),
            retry: None,
        };
        sse.encode().map_err(malformed)
    }
}

impl From<Sse> for Event {
    fn from(sse: Sse) -> Self {
        Self {
            id: sse.id,
            name: sse.event,
            data: sse.data.unwrap_or_default().into(),
        }
    }
}

fn malformed(cause: impl ToString) -> EventError {
    EventError::Malformed {
        cause: cause.to_string(),
    }
}

type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes>> + Send>>;

/// Reads events from a response's body.
///
/// The end of the body alone does not mean that the stream is complete: a complete
/// stream ends with an event that `is_done`. Dropping the reader drops the body.
#[derive(Debug)]
pub struct Events {
    #[debug(skip)]
    inner: SseByteStream<ChunkStream>,
    /// Bytes read since the last event.
    buffered_len: Arc<AtomicUsize>,
}

impl Events {
    /// Reads events of at most `limit` bytes. As a chunk of the body can hold
    /// many events, an event may exceed the limit by one chunk.
    pub fn new(body: Body, limit: usize) -> Self {
        let buffered_len = Arc::new(AtomicUsize::new(0));
        let chunks = limit_event_size(body, buffered_len.clone(), limit);
        Self {
            inner: SseByteStream::new(chunks),
            buffered_len,
        }
    }

    /// The next event; `None` after the end of the body. Cancel safe: no event
    /// is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// As in [`EventError`]; no event follows an error.
    pub async fn next(&mut self) -> Option<EventResult<Event>> {
        let event = self.inner.next().await?;
        self.buffered_len.store(0, Ordering::Relaxed);
        Some(event.map(Event::from).map_err(from_sse_error))
    }
}

/// The chunks of a body; ends with `TooLarge` when more than `limit` bytes have
/// arrived without a complete event.
fn limit_event_size(body: Body, buffered_len: Arc<AtomicUsize>, limit: usize) -> ChunkStream {
    let next = move |mut body: Body| {
        let buffered_len = buffered_len.clone();
        async move {
            if buffered_len.load(Ordering::Relaxed) > limit {
                let limit = limit as u64;
                return Some((Err(Error::TooLarge { limit }), body));
            }
            let chunk = body.next().await?;
            let len = chunk.as_ref().map_or(0, Bytes::len);
            buffered_len.fetch_add(len, Ordering::Relaxed);
            Some((chunk, body))
        }
    };
    Box::pin(unfold(body, next))
}

fn from_sse_error(error: sse_stream::Error) -> EventError {
    let cause = error.to_string();
    if let sse_stream::Error::Body(source) = error
        && let Ok(error) = source.downcast::<Error>()
    {
        return EventError::Transport(*error);
    }
    malformed(cause)
}
