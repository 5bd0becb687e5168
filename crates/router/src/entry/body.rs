//! Reads the body of an endpoint's response that isn't relayed as it comes.

use bytes::Bytes;
use derive_more::Debug;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use medlarrill_core::body_end::{BodyEnd, EndedBody, Framing, StreamPosition};
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::events::EventSplitter;

/// Maximum size of a body, in bytes.
const MAX_BODY: usize = 8 << 20;

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, FailedBody>;

/// A body that is passed on as complete.
#[derive(Debug)]
pub struct FullBody {
    /// Its bytes.
    #[debug("{} bytes", bytes.len())]
    pub bytes: Bytes,
    /// How it ended.
    pub ended: EndedBody,
}

/// A body that isn't complete.
#[derive(Debug)]
pub struct FailedBody {
    /// What it makes of the attempt.
    pub fault: Fault,
    /// Text for the log.
    pub cause: String,
    /// How it ended.
    pub ended: EndedBody,
}

impl FullBody {
    /// Reads a body to its end; `is_events` if it is a stream of events.
    ///
    /// # Errors
    ///
    /// When it ends early, is larger than 8 MiB, or doesn't end within `wait`.
    pub async fn read(
        body: Incoming,
        framing: Framing,
        is_events: bool,
        wait: Millis,
    ) -> Result<Self> {
        let reading = Limited::new(body, MAX_BODY).collect();
        let (bytes, end, error) = match tokio::time::timeout(wait.as_duration(), reading).await {
            Ok(Ok(body)) => {
                let bytes = body.to_bytes();
                let position = is_events.then(|| position_after(&bytes));
                (bytes, BodyEnd::of(framing, position), None)
            }
            Ok(Err(error)) => (Bytes::new(), BodyEnd::Broken, Some(error.to_string())),
            Err(_) => (Bytes::new(), BodyEnd::Stalled, None),
        };
        let ended = EndedBody { framing, end };
        match Fault::of_end(end) {
            None => Ok(Self { bytes, ended }),
            Some((fault, text)) => Err(FailedBody {
                fault,
                cause: error.unwrap_or_else(|| text.to_owned()),
                ended,
            }),
        }
    }
}

/// Where a stream of events is after these bytes.
fn position_after(bytes: &Bytes) -> StreamPosition {
    let mut events = EventSplitter::default();
    events.follow(bytes);
    events.position()
}
