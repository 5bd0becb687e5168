//! HTTP servers for callers, for readiness checks, and for metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Version};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::undelivered::Limits;
use medlarrill_core::units::ByteSize;
use medlarrill_net::now::now;
use tokio::net::{TcpListener, TcpStream};

use super::handler::handle;
use super::unwritten::Unwritten;
use crate::guard::Guard;
use crate::shared::Shared;
use crate::socket;

/// Idle timeout of callers' connections until a configuration sets it.
const DEFAULT_IDLE: Millis = Millis::from_secs(15);
/// Maximum size of a request's head until a configuration sets it.
const DEFAULT_HEAD: ByteSize = ByteSize(16 << 10);
/// Read buffer of one connection, in bytes.
const READ_BUFFER: usize = 64 << 10;

/// Serves callers' connections until the process ends.
pub async fn serve_callers(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let stream = socket::accept(&listener).await;
        if !shared.crowd.takes() {
            // Its caller knows that nothing has run, and meets another daemon at the next try.
            drop(stream);
            continue;
        }
        let shared = Arc::clone(&shared);
        shared.metrics.connections.inc();
        tokio::spawn(async move {
            serve_caller(stream, &shared).await;
            shared.metrics.connections.dec();
        });
    }
}

async fn serve_caller(stream: TcpStream, shared: &Arc<Shared>) {
    let limits = shared.config.borrow().as_ref().map(|config| config.limits);
    let (head, idle) = limits.map_or((DEFAULT_HEAD, DEFAULT_IDLE), |limits| {
        (limits.head, limits.idle)
    });
    let head = usize::try_from(head.0).unwrap_or(usize::MAX);
    let guard = Guard::new(Limits {
        head,
        head_wait: idle,
    });
    let unwritten = Unwritten::new(&shared.metrics, shared.crowd.add_connection());
    let stream = guard.clone().watch(Arc::clone(&unwritten).watch(stream));
    // Callers that know no chunks tell the end of a stream by that of its connection.
    let ends_by_close = AtomicBool::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        ends_by_close.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
        let shared = Arc::clone(shared);
        let request = request.map(|body| guard.deliver(body));
        let pending = unwritten.begin();
        Box::pin(async move {
            let answer = handle(shared, request).await;
            Ok::<_, Infallible>(answer.map(|body| pending.body(body)))
        })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle.as_duration())
        .max_header_size(head)
        .max_buf_size(READ_BUFFER.max(head))
        .serve_connection(TokioIo::new(stream), service);
    let mut closing = shared.closing.subscribe();
    // A connection that is opened after closing began still has its first request served.
    let is_closing = *closing.borrow_and_update();
    let ending = async {
        tokio::select! {
            Ok(()) = closing.changed(), if !is_closing => {}
            () = unwritten.closed() => {}
        }
    };
    let served = tokio::select! {
        served = &mut connection => served,
        () = ending => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    if let Err(error) = served {
        let stream = connection.into_parts().io.into_inner();
        let stream = stream.get_ref().get_ref();
        abandon_caller(stream, &error, ends_by_close.into_inner());
    }
}

/// Leaves a caller's connection that failed. One that is closed in order ends a response without
/// chunks, so that a response that failed needs a reset.
fn abandon_caller(stream: &TcpStream, error: &hyper::Error, ends_by_close: bool) {
    log::debug!(target: "entry", "entry: caller's connection ended: {error}");
    if error.is_user()
        && ends_by_close
        && let Err(error) = stream.set_zero_linger()
    {
        log::debug!(target: "entry", "entry: caller's connection isn't reset: {error}");
    }
}

/// Serves readiness checks: 200 if the load balancer should send connections here, else 503.
pub async fn serve_ready(listener: TcpListener, shared: Arc<Shared>) {
    let respond = move |_: &Request<Incoming>| match shared.is_ready(now()) {
        true => Response::new(Full::default()),
        false => empty(StatusCode::SERVICE_UNAVAILABLE),
    };
    serve_simple(listener, Arc::new(respond)).await;
}

/// Serves the metrics as text.
pub async fn serve_metrics(listener: TcpListener, shared: Arc<Shared>) {
    let respond = move |request: &Request<Incoming>| match *request.method() {
        Method::GET => Response::new(Full::new(shared.metrics.text().into())),
        _ => empty(StatusCode::METHOD_NOT_ALLOWED),
    };
    serve_simple(listener, Arc::new(respond)).await;
}

/// Creates a response without a body.
fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Serves requests with a synchronous function.
async fn serve_simple<F>(listener: TcpListener, respond: Arc<F>)
where
    F: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Send + Sync + 'static,
{
    loop {
        let stream = socket::accept(&listener).await;
        let respond = Arc::clone(&respond);
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let response = respond(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE.as_duration())
                .max_buf_size(DEFAULT_HEAD.0 as usize)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!(target: "entry", "entry: connection ended: {error}");
            }
        });
    }
}
