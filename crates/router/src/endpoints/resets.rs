//! Direct connections to endpoints, watched for resets.

use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::Debug;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::reach::Resets;
use medlarrill_net::now::now;
use tokio::net::TcpStream;

use super::heard::Heard;
use crate::watched::{Watch, Watched};

/// Resets of all direct connections.
pub(super) type SharedResets = Arc<Mutex<Resets>>;

/// Records whether one connection is open, and its reset.
#[derive(Debug)]
pub(super) struct ResetRecorder {
    id: InstanceId,
    resets: SharedResets,
}

impl ResetRecorder {
    /// Watches a new connection to an endpoint.
    pub(super) fn watch(
        resets: &SharedResets,
        id: &InstanceId,
        stream: Heard<TcpStream>,
    ) -> Watched<Heard<TcpStream>, Self> {
        let recorder = Self {
            id: id.clone(),
            resets: Arc::clone(resets),
        };
        recorder.lock().record_opened(id);
        Watched::new(stream, recorder)
    }

    fn lock(&self) -> MutexGuard<'_, Resets> {
        self.resets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Watch<Heard<TcpStream>> for ResetRecorder {
    fn record_error(&self, error: &Error) {
        if error.kind() == ErrorKind::ConnectionReset {
            self.lock().record_reset(&self.id, now());
        }
    }

    fn record_end(&self, stream: &Heard<TcpStream>) {
        // A connection that is dropped with its request may have been reset and not read since.
        if let Ok(Some(error)) = stream.get_ref().take_error() {
            self.record_error(&error);
        }
        self.lock().record_closed(&self.id);
    }
}
