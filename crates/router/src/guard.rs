//! Ends connections whose peer sends bytes that become no message, without end.

use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use derive_more::Debug;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use medlarrill_core::routing::undelivered::{Endless, Limits, Undelivered};
use medlarrill_net::now::now;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use crate::watched::{Watch, Watched};

/// Counts what one connection reads between deliveries.
#[derive(Clone)]
#[derive(Debug)]
pub struct Guard(Arc<Mutex<Undelivered>>);

impl Guard {
    /// Guards a connection with limits.
    pub fn new(limits: Limits) -> Self {
        Self(Arc::new(Mutex::new(Undelivered::new(limits))))
    }

    fn lock(&self) -> MutexGuard<'_, Undelivered> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts the bytes of the connection's stream.
    pub const fn watch<S: AsyncRead + Unpin>(self, stream: S) -> Guarded<S> {
        let counter = ByteCounter {
            guard: self,
            head_due: None,
        };
        Watched::new(stream, counter)
    }

    /// Records that a head was delivered, whose body is this one.
    pub fn deliver(&self, body: Incoming) -> GuardedBody {
        self.lock().record_delivery();
        let guard = self.clone();
        GuardedBody { body, guard }
    }

    /// Awaits the head of the next message.
    pub fn begin_head(&self) {
        self.lock().begin_head();
    }
}

/// A stream whose bytes are counted.
pub type Guarded<S> = Watched<S, ByteCounter>;

/// Counts the bytes of a stream.
#[derive(Debug)]
pub struct ByteCounter {
    guard: Guard,
    /// Fires when a head that has begun has to be complete.
    head_due: Option<Pin<Box<Sleep>>>,
}

impl ByteCounter {
    /// Fails when a head that has begun isn't complete in time.
    fn poll_head(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        let Some(due) = self.guard.lock().head_due() else {
            self.head_due = None;
            return Poll::Pending;
        };
        let wait = due.since(now()).as_duration();
        let sleep = || Box::pin(tokio::time::sleep(wait));
        ready!(
            self.head_due
                .get_or_insert_with(sleep)
                .as_mut()
                .poll(context)
        );
        // Another head may be due by now than the one for which the timer was set.
        self.head_due = None;
        self.guard.lock().check_head(now()).map_err(failed)?;
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

fn failed(error: Endless) -> Error {
    log::info!(target: "guard", cause:% = error; "guard: a connection is left, its bytes become no message");
    Error::new(ErrorKind::InvalidData, error)
}

/// An error of the HTTP library with what lies behind it, which it leaves out itself.
pub fn error_text(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

impl<S: AsyncRead + Unpin> Watch<S> for ByteCounter {
    fn poll_read(
        &mut self,
        stream: &mut S,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let size = self.guard.lock().read_size().min(buffer.remaining());
        // Only initialized memory can be lent in part without unsafe code.
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(size));
        let read = Pin::new(stream).poll_read(context, &mut part);
        let size = part.filled().len();
        if read.is_pending() {
            return self.poll_head(context);
        }
        ready!(read)?;
        let start = buffer.filled().len();
        buffer.advance(size);
        if size > 0 {
            let bytes = &buffer.filled()[start..];
            let read = self.guard.lock().record_read(bytes, now());
            read.map_err(failed)?;
        }
        Poll::Ready(Ok(()))
    }
}

/// A body each of whose parts is a delivery.
#[derive(Debug)]
pub struct GuardedBody {
    body: Incoming,
    guard: Guard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if matches!(frame, Some(Ok(_))) {
            self.guard.lock().record_delivery();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Sends requests on a connection to an endpoint whose responses are bounded.
#[derive(Debug)]
pub struct GuardedSender {
    #[debug(skip)]
    sender: SendRequest<Full<Bytes>>,
    guard: Guard,
}

impl GuardedSender {
    /// Starts HTTP on a connection; the second part has to be run.
    ///
    /// # Errors
    ///
    /// When that fails.
    pub async fn start<S>(
        stream: S,
    ) -> hyper::Result<(Self, Connection<TokioIo<Guarded<S>>, Full<Bytes>>)>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let guard = Guard::new(Limits::RESPONSE);
        let stream = TokioIo::new(guard.clone().watch(stream));
        let (sender, connection) = Builder::new()
            .max_buf_size(Limits::RESPONSE.head)
            .handshake(stream)
            .await?;
        Ok((Self { sender, guard }, connection))
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// When there is none; with the request if it wasn't sent.
    pub async fn try_send_request(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<GuardedBody>, TrySendError<Request<Full<Bytes>>>> {
        self.guard.begin_head();
        let guard = self.guard.clone();
        on_informational(&mut request, move |_| guard.lock().record_interim());
        let response = self.sender.try_send_request(request).await?;
        Ok(response.map(|body| self.guard.deliver(body)))
    }

    /// Waits until the connection takes a request.
    ///
    /// # Errors
    ///
    /// When it is closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Whether the connection takes a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}
