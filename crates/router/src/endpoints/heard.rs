//! Notes when bytes of any endpoint last arrived.

use std::io::Result;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_net::now::now;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// When bytes last arrived on any of the watched connections.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct HeardAt(Arc<AtomicU64>);

impl HeardAt {
    /// The time; zero if none have arrived yet.
    pub fn get(&self) -> Millis {
        Millis(self.0.load(Ordering::Relaxed))
    }

    /// Watches a connection.
    pub fn watch<S>(&self, stream: S) -> Heard<S> {
        Heard {
            stream,
            at: self.clone(),
        }
    }
}

/// A watched connection.
#[derive(Debug)]
pub struct Heard<S> {
    #[debug(skip)]
    stream: S,
    at: HeardAt,
}

impl<S> Heard<S> {
    /// The connection itself.
    pub const fn get_ref(&self) -> &S {
        &self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Heard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.at.0.store(now().0, Ordering::Relaxed);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Heard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
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
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
