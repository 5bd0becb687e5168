//! Direct connections to endpoints, watched for resets.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use derive_more::Debug;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::reach::Resets;
use medlarrill_net::now::now;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::heard::Heard;

/// Resets of all direct connections.
pub(super) type SharedResets = Arc<Mutex<Resets>>;

/// A connection whose reset is recorded.
#[derive(Debug)]
pub(super) struct Recorded {
    stream: Heard<TcpStream>,
    id: InstanceId,
    resets: SharedResets,
}

impl Recorded {
    pub(super) fn new(stream: Heard<TcpStream>, id: InstanceId, resets: SharedResets) -> Self {
        let recorded = Self { stream, id, resets };
        recorded.lock().record_opened(&recorded.id);
        recorded
    }

    fn lock(&self) -> MutexGuard<'_, Resets> {
        self.resets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check(&self, error: &Error) {
        if error.kind() == ErrorKind::ConnectionReset {
            self.lock().record_reset(&self.id, now());
        }
    }

    fn checked<T>(&self, polled: Poll<Result<T>>) -> Poll<Result<T>> {
        if let Poll::Ready(Err(error)) = &polled {
            self.check(error);
        }
        polled
    }
}

impl Drop for Recorded {
    fn drop(&mut self) {
        // A connection that is dropped with its request may have been reset and not read since.
        if let Ok(Some(error)) = self.stream.get_ref().take_error() {
            self.check(&error);
        }
        self.lock().record_closed(&self.id);
    }
}

impl AsyncRead for Recorded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.checked(polled)
    }
}

impl AsyncWrite for Recorded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.checked(polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.checked(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
