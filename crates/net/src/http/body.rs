//! The body of an answer, read piece by piece.

use bytes::{Bytes, BytesMut};
use derive_more::Debug;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Response};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use medlarrill_core::clock::Millis;
use tokio::time::{Instant, timeout_at};

use super::{Error, Result, describe};

/// The body of an answer.
///
/// Nothing is read ahead of `next` but what the connection's buffer holds.
/// Dropping it before its end closes the connection, which cancels the request
/// at an engine.
#[derive(Debug)]
pub struct Body {
    /// The rest of the answer; none after its end or an error.
    #[debug(skip)]
    rest: Option<Incoming>,
    /// Whether the end of the answer can be told from a cut.
    framed: bool,
    /// When the first piece has to be here.
    #[debug(skip)]
    first: Option<Instant>,
    /// Longest wait for each later piece.
    gap: Millis,
    /// Most bytes of the whole body.
    limit: u64,
    /// Bytes read.
    read: u64,
}

impl Body {
    pub(crate) fn new(response: Response<Incoming>, first: Instant, gap: Millis) -> Self {
        let framed = is_framed(response.headers()) || response.body().is_end_stream();
        Self {
            rest: Some(response.into_body()),
            framed,
            first: Some(first),
            gap,
            limit: u64::MAX,
            read: 0,
        }
    }

    /// Bounds the whole body, in bytes.
    #[must_use]
    pub const fn with_limit(mut self, limit: u64) -> Self {
        self.limit = limit;
        self
    }

    /// Bytes read so far.
    pub const fn bytes_read(&self) -> u64 {
        self.read
    }

    /// The next piece; `None` after the end of a whole body. Can be dropped
    /// while waiting without losing a piece.
    ///
    /// # Errors
    ///
    /// `Lost` if the body was cut or its end can't be told from a cut,
    /// `Timeout` and `TooLarge`. Nothing comes after an error, and the
    /// connection is closed.
    pub async fn next(&mut self) -> Option<Result<Bytes>> {
        let rest = self.rest.as_mut()?;
        let gap = Instant::now() + self.gap.as_duration();
        let until = self.first.map_or(gap, |first| first.max(gap));
        let piece = match timeout_at(until, data(rest)).await {
            Ok(piece) => piece,
            Err(_) => Some(Err(Error::Timeout { sent: true })),
        };
        self.first = None;
        self.take(piece)
    }

    fn take(&mut self, piece: Option<Result<Bytes>>) -> Option<Result<Bytes>> {
        let result = match piece {
            Some(Ok(data)) if self.read + data.len() as u64 <= self.limit => {
                self.read += data.len() as u64;
                return Some(Ok(data));
            }
            Some(Ok(_)) => Some(Err(Error::TooLarge { limit: self.limit })),
            Some(Err(error)) => Some(Err(error)),
            None if self.framed => None,
            None => Some(Err(Error::lost("the end of the answer is not marked"))),
        };
        self.rest = None;
        result
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// As `next`; `TooLarge` if it has more than `limit` bytes.
    pub async fn whole(mut self, limit: u64) -> Result<Bytes> {
        self.limit = self.limit.min(limit);
        let mut all = BytesMut::new();
        while let Some(piece) = self.next().await {
            all.extend_from_slice(&piece?);
        }
        Ok(all.freeze())
    }
}

/// The next piece of data, passing over trailers and empty pieces.
async fn data(rest: &mut Incoming) -> Option<Result<Bytes>> {
    loop {
        match rest.frame().await? {
            Err(error) => return Some(Err(Error::lost(describe(&error)))),
            Ok(frame) => match frame.into_data() {
                Ok(data) if !data.is_empty() => return Some(Ok(data)),
                _ => continue,
            },
        }
    }
}

fn is_framed(headers: &HeaderMap) -> bool {
    let chunked = headers
        .get_all(TRANSFER_ENCODING)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().ends_with("chunked"));
    chunked || headers.contains_key(CONTENT_LENGTH)
}
