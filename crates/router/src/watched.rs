//! Streams of connections whose reads or flushes are noticed.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};

use derive_more::Debug;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What notices the reads or flushes of a stream.
pub trait Watch: Unpin {
    /// Reads from the stream.
    fn poll_read<S: AsyncRead + Unpin>(
        &mut self,
        stream: &mut S,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(stream).poll_read(context, buffer)
    }

    /// Records that all that was written is flushed, or that this failed.
    fn record_flush(&self) {}
}

/// A stream that is watched.
#[derive(Debug)]
pub struct Watched<S, W> {
    #[debug(skip)]
    stream: S,
    watch: W,
}

impl<S, W> Watched<S, W> {
    /// Watches a stream.
    pub const fn new(stream: S, watch: W) -> Self {
        Self { stream, watch }
    }

    /// The stream itself, borrowed.
    pub const fn get_ref(&self) -> &S {
        &self.stream
    }

    /// The stream itself.
    pub fn into_inner(self) -> S {
        self.stream
    }
}

impl<S: AsyncRead + Unpin, W: Watch> AsyncRead for Watched<S, W> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let Self { stream, watch } = &mut *self;
        watch.poll_read(stream, context, buffer)
    }
}

impl<S: AsyncWrite + Unpin, W: Watch> AsyncWrite for Watched<S, W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if flushed.is_ready() {
            self.watch.record_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
