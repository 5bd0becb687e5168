//! Listens for callers, for the balancer's question, and for metrics.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use medlarrill_core::clock::Millis;
use medlarrill_core::units::ByteSize;
use medlarrill_net::now::now;
use tokio::net::{TcpListener, TcpStream};

use super::handler::handle;
use crate::shared::Shared;
use crate::socket;

/// Idle time of callers' connections before a configuration says it.
const IDLE: Millis = Millis::from_secs(15);
/// Largest head before a configuration says it.
const HEAD: ByteSize = ByteSize(16 << 10);
/// Bytes read ahead on one connection.
const BUFFER: usize = 64 << 10;

/// Takes callers' connections until the process ends.
pub async fn serve_callers(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let stream = socket::accept(&listener).await;
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            shared.metrics.connections.inc();
            serve_caller(stream, &shared).await;
            shared.metrics.connections.dec();
        });
    }
}

async fn serve_caller(stream: TcpStream, shared: &Arc<Shared>) {
    let limits = shared.config.borrow().as_ref().map(|config| config.limits);
    let (head, idle) = limits.map_or((HEAD, IDLE), |limits| (limits.head, limits.idle));
    let head = usize::try_from(head.0).unwrap_or(usize::MAX);
    let service = service_fn(|request| {
        let shared = Arc::clone(shared);
        async move { Ok::<_, Infallible>(handle(shared, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle.as_duration())
        .max_header_size(head)
        .max_buf_size(BUFFER.max(head))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut closing = shared.closing.subscribe();
    // A connection that is made later still has its first request served.
    let is_closing = *closing.borrow_and_update();
    let served = tokio::select! {
        served = connection.as_mut() => served,
        Ok(()) = closing.changed(), if !is_closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!(target: "entry", "entry: caller's connection ended: {error}");
    }
}

/// Answers whether this daemon should be given connections.
pub async fn serve_ready(listener: TcpListener, shared: Arc<Shared>) {
    let answer = move |_: &Request<Incoming>| match shared.is_ready(now()) {
        true => Response::new(Full::default()),
        false => status(StatusCode::SERVICE_UNAVAILABLE),
    };
    serve_simple(listener, Arc::new(answer)).await;
}

/// Answers with the metrics as text.
pub async fn serve_metrics(listener: TcpListener, shared: Arc<Shared>) {
    let answer = move |request: &Request<Incoming>| match *request.method() {
        Method::GET => Response::new(Full::new(shared.metrics.text().into())),
        _ => status(StatusCode::METHOD_NOT_ALLOWED),
    };
    serve_simple(listener, Arc::new(answer)).await;
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

async fn serve_simple<F>(listener: TcpListener, answer: Arc<F>)
where
    F: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Send + Sync + 'static,
{
    loop {
        let stream = socket::accept(&listener).await;
        let answer = Arc::clone(&answer);
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let answered = answer(&request);
                async move { Ok::<_, Infallible>(answered) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE.as_duration())
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!(target: "entry", "entry: connection ended: {error}");
            }
        });
    }
}
