//! Reads the body of an endpoint's response that isn't relayed as it comes.

use std::sync::{Mutex, PoisonError};

use bytes::{Bytes, BytesMut};
use derive_more::Debug;
use http_body_util::BodyExt;
use medlarrill_core::body_end::{BodyEnd, EndedBody, Framing, StreamPosition};
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::body_room::BodyRoom;
use medlarrill_core::routing::events::EventSplitter;

use crate::guard::{GuardedBody, error_text};

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
    /// When it ends early, is larger than 8 MiB, finds no `room`, or doesn't end within `wait`.
    pub async fn read(
        body: GuardedBody,
        framing: Framing,
        is_events: bool,
        wait: Millis,
        room: &Mutex<BodyRoom>,
    ) -> Result<Self> {
        let reading = collect(body, room);
        let (bytes, end, error) = match tokio::time::timeout(wait.as_duration(), reading).await {
            Ok(Ok(bytes)) => {
                let position = is_events.then(|| position_after(&bytes));
                (bytes, BodyEnd::of(framing, position), None)
            }
            Ok(Err(cause)) => (Bytes::new(), BodyEnd::Broken, Some(cause)),
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

/// Room that a body has taken, until it is read.
struct TakenRoom<'a> {
    room: &'a Mutex<BodyRoom>,
    size: usize,
}

impl TakenRoom<'_> {
    fn grow(&mut self, by: usize) -> bool {
        let mut room = self.room.lock().unwrap_or_else(PoisonError::into_inner);
        let size = self.size + by;
        let is_taken = size <= MAX_BODY && room.grow(self.size, size);
        if is_taken {
            self.size = size;
        }
        is_taken
    }
}

impl Drop for TakenRoom<'_> {
    fn drop(&mut self) {
        let mut room = self.room.lock().unwrap_or_else(PoisonError::into_inner);
        room.release(self.size);
    }
}

/// Reads the bytes of a body; fails with a text for the log.
async fn collect(
    mut body: GuardedBody,
    room: &Mutex<BodyRoom>,
) -> std::result::Result<Bytes, String> {
    let mut taken = TakenRoom { room, size: 0 };
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(|error| error_text(&error))?.into_data();
        let data = data.unwrap_or_default();
        if !taken.grow(data.len()) {
            return Err(format!("no room for more than {} bytes", taken.size));
        }
        if first.is_empty() && rest.is_empty() {
            first = data;
            continue;
        }
        rest.extend_from_slice(&std::mem::take(&mut first));
        rest.extend_from_slice(&data);
    }
    Ok(match rest.is_empty() {
        true => first,
        false => rest.freeze(),
    })
}

/// Where a stream of events is after these bytes.
fn position_after(bytes: &Bytes) -> StreamPosition {
    let mut events = EventSplitter::default();
    events.follow(bytes);
    events.position()
}
