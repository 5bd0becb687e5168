//! Kept connections to endpoints, one request at a time on each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use derive_more::{Debug, Display, Error};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::endpoint::{Endpoint, InstanceId};
use medlarrill_net::now::{now, wall};

use crate::socket;

/// Longest time to connect: endpoints are some milliseconds away and take one to accept.
const CONNECT: Millis = Millis(400);
/// How long a connection is kept idle where the endpoint doesn't say.
const KEEP: Millis = Millis(4000);
/// Kept connections are given up this long before the endpoint does, so that its close doesn't
/// cross a request: a delay of lost packets, and the second to which the time is rounded.
const KEEP_MARGIN: Millis = Millis(1200);
/// Most idle connections kept for one endpoint.
const SPARE: u32 = 16;
/// Part of the connections that an endpoint takes that all daemons may keep idle together; the
/// rest is for those in use.
const IDLE_PART: f64 = 0.5;

/// Result of sending a request.
pub type Result<T> = std::result::Result<T, SendError>;

/// Why there is no head of an answer.
#[derive(Debug, Display, Error)]
pub enum SendError {
    /// There was no connection; nothing was sent.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The exchange broke off after the request was handed to a connection.
    #[display("lost: {_0}")]
    Lost(#[error(not(source))] String),
}

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    #[debug(skip)]
    sender: Sender,
    until: Millis,
}

type Table = HashMap<InstanceId, Vec<Idle>>;

/// Connections to all endpoints.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Connections {
    idle: Arc<Mutex<Table>>,
}

/// A connection whose answer is being read.
#[derive(Debug)]
pub struct Kept {
    #[debug(skip)]
    sender: Sender,
    connections: Connections,
    id: InstanceId,
}

/// A request whose answer has begun.
#[derive(Debug)]
pub struct Sent {
    /// The answer.
    pub answer: Response<Incoming>,
    /// Its connection; closed when this is dropped before the answer's end.
    pub kept: Kept,
    /// Whether the connection was made for this request.
    pub fresh: bool,
    /// When the request was handed to the connection, since the Unix epoch: whoever answers had
    /// started by then.
    pub handed: Millis,
}

impl Connections {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Saying whether anything was sent.
    pub async fn send(&self, endpoint: &Endpoint, request: Request<Full<Bytes>>) -> Result<Sent> {
        let mut request = request;
        while let Some(mut sender) = self.take(&endpoint.id) {
            let handed = wall();
            match sender.try_send_request(request).await {
                Ok(answer) => {
                    let kept = self.kept(endpoint, sender);
                    return Ok(Sent {
                        answer,
                        kept,
                        fresh: false,
                        handed,
                    });
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Lost(error.into_error().to_string())),
                },
            }
        }
        let mut sender = self.connect(endpoint.address).await?;
        let handed = wall();
        match sender.try_send_request(request).await {
            Ok(answer) => Ok(Sent {
                answer,
                kept: self.kept(endpoint, sender),
                fresh: true,
                handed,
            }),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let cause = error.into_error().to_string();
                Err(match unsent {
                    true => SendError::NotSent(cause),
                    false => SendError::Lost(cause),
                })
            }
        }
    }

    fn kept(&self, endpoint: &Endpoint, sender: Sender) -> Kept {
        Kept {
            sender,
            connections: self.clone(),
            id: endpoint.id.clone(),
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender> {
        let stream = socket::connect(address, CONNECT)
            .await
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        let (sender, connection) = Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "endpoints", "endpoints: connection to {address} ended: {error}");
            }
        });
        Ok(sender)
    }

    /// The connection that was used last, if it can be used again.
    fn take(&self, id: &InstanceId) -> Option<Sender> {
        let mut table = self.lock();
        let idle = table.get_mut(id)?;
        let now = now();
        while let Some(Idle { sender, until }) = idle.pop() {
            if now < until && sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        let now = now();
        self.lock().retain(|_, idle| {
            idle.retain(|idle| now < idle.until && !idle.sender.is_closed());
            !idle.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Idle connections that one of some daemons keeps for an endpoint that takes so many.
pub fn spare(connections: u32, daemons: usize) -> usize {
    let part = f64::from(connections) * IDLE_PART / daemons.max(1) as f64;
    (part as u32).clamp(1, SPARE) as usize
}

impl Kept {
    /// Keeps the connection for further requests, after the whole answer was read.
    pub fn release(self, keep: Option<Millis>, spare: usize) {
        if self.sender.is_closed() {
            return;
        }
        let until = now() + (keep.unwrap_or(KEEP) - KEEP_MARGIN);
        let idle = Idle {
            sender: self.sender,
            until,
        };
        let mut table = self.connections.lock();
        let kept = table.entry(self.id).or_default();
        if kept.len() < spare {
            kept.push(idle);
        }
    }
}
