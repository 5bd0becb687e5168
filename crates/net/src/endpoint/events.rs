//! Server-sent events of an answer, one by one.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use derive_more::{Debug, Display, Error, From};
use futures_util::stream::{Stream, StreamExt, unfold};
use sse_stream::{Sse, SseByteStream};

use super::Body;
use crate::http::{Error, Result};

/// The data of the last event of a whole stream.
const DONE: &str = "[DONE]";

/// Result of reading an event.
pub type EventResult<T> = std::result::Result<T, EventError>;

/// Why no further event can be read.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error, From)]
pub enum EventError {
    /// The answer was cut, timed out or has an event that is too large.
    #[display("{_0}")]
    Transport(Error),
    /// The bytes are not events.
    #[display("the events can't be read: {cause}")]
    #[from(skip)]
    Malformed {
        /// What is wrong with them.
        cause: String,
    },
}

/// One event.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Event {
    /// Its id, if it has one.
    pub id: Option<String>,
    /// Its kind, if it names one.
    pub name: Option<String>,
    /// Its data.
    pub data: Bytes,
}

impl Event {
    /// Tokens of the answer up to and with this event, if its id says so.
    pub fn tokens(&self) -> Option<u64> {
        self.id.as_ref()?.parse().ok()
    }

    /// Whether this is the mark that ends a whole stream.
    pub fn is_done(&self) -> bool {
        self.data == DONE.as_bytes()
    }

    /// The event as it goes over a connection.
    ///
    /// # Errors
    ///
    /// `Malformed` if it can't be written, which no event that was read is.
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

type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes>> + Send>>;

/// Reads events from an answer's body.
///
/// The end of the body is not the end of the stream: a whole stream has an
/// event that `is_done`. Dropping the reader drops the body.
#[derive(Debug)]
pub struct Events {
    #[debug(skip)]
    inner: SseByteStream<Pieces>,
    /// Bytes taken in since the last event.
    held: Arc<AtomicUsize>,
}

impl Events {
    /// Reads events that have at most `limit` bytes. As a piece of the body can
    /// hold many events, an event may be larger by one piece.
    pub fn new(body: Body, limit: usize) -> Self {
        let held = Arc::new(AtomicUsize::new(0));
        let pieces = bounded(body, held.clone(), limit);
        Self {
            inner: SseByteStream::new(pieces),
            held,
        }
    }

    /// The next event; `None` after the end of the body. Can be dropped while
    /// waiting without losing an event.
    ///
    /// # Errors
    ///
    /// As in [`EventError`]; nothing comes after an error.
    pub async fn next(&mut self) -> Option<EventResult<Event>> {
        let event = self.inner.next().await?;
        self.held.store(0, Ordering::Relaxed);
        Some(event.map(Event::from).map_err(from_reader))
    }
}

/// The pieces of a body, ending with an error when too many bytes have come in
/// without an event.
fn bounded(body: Body, held: Arc<AtomicUsize>, limit: usize) -> Pieces {
    let next = move |mut body: Body| {
        let held = held.clone();
        async move {
            if held.load(Ordering::Relaxed) > limit {
                let limit = limit as u64;
                return Some((Err(Error::TooLarge { limit }), body));
            }
            let piece = body.next().await?;
            let len = piece.as_ref().map_or(0, Bytes::len);
            held.fetch_add(len, Ordering::Relaxed);
            Some((piece, body))
        }
    };
    Box::pin(unfold(body, next))
}

fn from_reader(error: sse_stream::Error) -> EventError {
    let cause = error.to_string();
    if let sse_stream::Error::Body(source) = error
        && let Ok(error) = source.downcast::<Error>()
    {
        return EventError::Transport(*error);
    }
    malformed(cause)
}
