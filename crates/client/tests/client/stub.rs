//! A stub daemon that sends prepared replies and records the requests.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::runtime::Runtime;

/// Reaction to one request.
#[derive(Clone)]
pub enum Reply {
    /// Sends a status and a body.
    Status(u16, Value),
    /// Closes the connection after reading the request.
    Cut,
}

/// A received request.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub path: String,
    pub bearer: String,
    pub body: Value,
}

#[derive(Default)]
struct State {
    replies: VecDeque<Reply>,
    received: Vec<ReceivedRequest>,
}

pub struct Stub {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    _runtime: Runtime,
}

impl Stub {
    /// Sends the replies in order; then closes connections without a reply.
    pub fn new(replies: impl IntoIterator<Item = Reply>) -> Self {
        let runtime = Runtime::new().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let state = State {
            replies: replies.into_iter().collect(),
            received: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        runtime.spawn(async move {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            while let Ok((stream, _)) = listener.accept().await {
                let shared = shared.clone();
                let service = service_fn(move |request| serve(shared.clone(), request));
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                tokio::spawn(connection);
            }
        });
        Self {
            address,
            state,
            _runtime: runtime,
        }
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state.lock().unwrap().received.clone()
    }
}

async fn serve(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    let bearer = head.headers["authorization"].to_str().unwrap().into();
    let reply = {
        let mut state = state.lock().unwrap();
        state.received.push(ReceivedRequest {
            path: head.uri.path().into(),
            bearer,
            body: serde_json::from_slice(&body).unwrap(),
        });
        state.replies.pop_front()
    };
    match reply {
        Some(Reply::Status(status, body)) => {
            let body = Full::from(body.to_string());
            Ok(Response::builder().status(status).body(body).unwrap())
        }
        // A panic in the service closes the connection, as a killed daemon does.
        _ => std::panic::panic_any("cut"),
    }
}
