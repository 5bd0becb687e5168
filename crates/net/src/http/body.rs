//! The body of a response, read chunk by chunk.

use bytes::{Bytes, BytesMut};
use derive_more::Debug;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, Response};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use medlarrill_core::body_end::{BodyEnd, Framing};
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::events::EventSplitter;
use tokio::time::{Instant, timeout_at};

use super::{Error, Result, describe};

/// The body of a response, read on demand.
///
/// Nothing is read ahead of `next` beyond the connection's buffer. Dropping the
/// body before its end closes the connection, which cancels the request at an
/// engine.
#[derive(Debug)]
pub struct Body {
    /// The unread rest of the response; `None` after its end or an error.
    #[debug(skip)]
    incoming: Option<Incoming>,
    framing: Framing,
    /// Whether only a marked end is taken for the end of a complete body.
    needs_mark: bool,
    /// Follows the body if it is a stream of events.
    events: Option<EventSplitter>,
    /// Deadline for the first chunk.
    #[debug(skip)]
    first_deadline: Option<Instant>,
    /// Timeout for each later chunk.
    gap: Millis,
    /// Size limit of the body, in bytes.
    limit: u64,
    /// Bytes read so far.
    read: u64,
}

impl Body {
    pub(crate) fn new(response: Response<Incoming>, first_deadline: Instant, gap: Millis) -> Self {
        let framing = framing(response.headers()).of_body(response.body().is_end_stream());
        let is_stream = is_event_stream(response.headers());
        let events = is_stream.then(EventSplitter::default);
        Self {
            incoming: Some(response.into_body()),
            framing,
            needs_mark: false,
            events,
            first_deadline: Some(first_deadline),
            gap,
            limit: u64::MAX,
            read: 0,
        }
    }

    /// Limits the size of the body, in bytes.
    #[must_use]
    pub const fn with_limit(mut self, limit: u64) -> Self {
        self.limit = limit;
        self
    }

    /// Takes a body for lost whose end isn't marked, even if its connection was closed in order: for
    /// content that doesn't show by itself whether it is complete.
    #[must_use]
    pub const fn with_marked_end(mut self) -> Self {
        self.needs_mark = true;
        self
    }

    /// Bytes read so far.
    pub const fn bytes_read(&self) -> u64 {
        self.read
    }

    /// The next chunk; `None` after the end of a complete body. Cancel safe: no
    /// chunk is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// `Lost` if the body was cut off, `Timeout` and `TooLarge`. An error ends the body and closes
    /// the connection.
    pub async fn next(&mut self) -> Option<Result<Bytes>> {
        let incoming = self.incoming.as_mut()?;
        let gap = Instant::now() + self.gap.as_duration();
        let until = self
            .first_deadline
            .map_or(gap, |first_deadline| first_deadline.max(gap));
        let chunk = match timeout_at(until, data(incoming)).await {
            Ok(chunk) => chunk,
            Err(_) => Some(Err(Error::Timeout { sent: true })),
        };
        self.first_deadline = None;
        self.account(chunk)
    }

    fn account(&mut self, chunk: Option<Result<Bytes>>) -> Option<Result<Bytes>> {
        let result = match chunk {
            Some(Ok(data)) if self.read + data.len() as u64 <= self.limit => {
                self.read += data.len() as u64;
                if let Some(events) = &mut self.events {
                    events.follow(&data);
                }
                return Some(Ok(data));
            }
            Some(Ok(_)) => Some(Err(Error::TooLarge { limit: self.limit })),
            Some(Err(error)) => Some(Err(error)),
            None => self.end_error().map(Err),
        };
        self.incoming = None;
        result
    }

    /// Why a body that has ended isn't complete.
    fn end_error(&self) -> Option<Error> {
        let position = self.events.as_ref().map(EventSplitter::position);
        let end = BodyEnd::of(self.framing, position);
        match end.is_complete() && (end.is_proof() || !self.needs_mark) {
            true => None,
            false => Some(Error::lost(format!("the body ended early: {end}"))),
        }
    }

    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// As for `next`; `TooLarge` if it has more than `limit` bytes.
    pub async fn read_all(mut self, limit: u64) -> Result<Bytes> {
        self.limit = self.limit.min(limit);
        let mut all = BytesMut::new();
        while let Some(chunk) = self.next().await {
            all.extend_from_slice(&chunk?);
        }
        Ok(all.freeze())
    }
}

/// The next chunk of data; skips trailers and empty chunks.
async fn data(incoming: &mut Incoming) -> Option<Result<Bytes>> {
    loop {
        match incoming.frame().await? {
            Err(error) => return Some(Err(Error::lost(describe(&error)))),
            Ok(frame) => match frame.into_data() {
                Ok(data) if !data.is_empty() => return Some(Ok(data)),
                _ => continue,
            },
        }
    }
}

/// How the headers of a response say that the end of its body is marked (RFC 9112, section 6.3).
pub fn framing(headers: &HeaderMap) -> Framing {
    let encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let last = encodings
        .filter_map(|value| value.to_str().ok())
        .next_back();
    match last {
        Some(last) if last.trim_end().to_ascii_lowercase().ends_with("chunked") => Framing::Chunks,
        Some(_) => Framing::Close,
        None if headers.contains_key(CONTENT_LENGTH) => Framing::Length,
        None => Framing::Close,
    }
}

/// Whether the headers of a response announce a stream of events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers
        .get(CONTENT_TYPE)
        .and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}
