//! Streams of connections of which something is noticed: reads, flushes, errors, or the end.

use std::io::{Error, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};

use derive_more::Debug;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What notices something of a stream.
pub trait Watch<S>: Unpin {
    /// Reads from the stream.
    fn poll_read(
        &mut self,
        stream: &mut S,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>>
    where
        S: AsyncRead + Unpin,
    {
        Pin::new(stream).poll_read(context, buffer)
    }

    /// Records that a read or a write failed.
    fn record_error(&self, _error: &Error) {}

    /// Records that all that was written is flushed, or that this failed.
    fn record_flush(&self) {}

    /// Records that the stream is about to be dropped.
    fn record_end(&self, _stream: &S) {}
}

/// A stream that is watched.
#[derive(Debug)]
pub struct Watched<S, W: Watch<S>> {
    #[debug(skip)]
    stream: S,
    watch: W,
}

impl<S, W: Watch<S>> Watched<S, W> {
    /// Watches a stream.
    pub const fn new(stream: S, watch: W) -> Self {
        Self { stream, watch }
    }

    /// The stream itself.
    pub const fn get_ref(&self) -> &S {
        &self.stream
    }

    /// Reports an error of a read or a write.
    fn checked<T>(&self, polled: Poll<Result<T>>) -> Poll<Result<T>> {
        if let Poll::Ready(Err(error)) = &polled {
            self.watch.record_error(error);
        }
        polled
    }
}

impl<S, W: Watch<S>> Drop for Watched<S, W> {
    fn drop(&mut self) {
        self.watch.record_end(&self.stream);
    }
}

impl<S: AsyncRead + Unpin, W: Watch<S>> AsyncRead for Watched<S, W> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let Self { stream, watch } = &mut *self;
        let polled = watch.poll_read(stream, context, buffer);
        self.checked(polled)
    }
}

impl<S: AsyncWrite + Unpin, W: Watch<S>> AsyncWrite for Watched<S, W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.checked(polled)
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
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.checked(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
