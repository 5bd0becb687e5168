//! Pool of HTTP/1 connections to endpoints, with one request at a time on each.

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

/// Timeout for connecting: endpoints are some milliseconds away and take one to accept.
const CONNECT_TIMEOUT: Millis = Millis(400);
/// Time for which a connection is kept idle if the endpoint announces none.
const DEFAULT_IDLE: Millis = Millis(4000);
/// Idle connections are closed this long before the endpoint closes them, so that its close
/// doesn't cross a request: a delay by lost packets, plus the second to which the announced time
/// is rounded.
const IDLE_MARGIN: Millis = Millis(1200);
/// Maximum number of idle connections per endpoint.
const MAX_IDLE: u32 = 16;
/// Share of an endpoint's maximum number of connections that all daemons together may keep idle;
/// the rest is for connections in use.
const IDLE_SHARE: f64 = 0.5;

/// Result of sending a request.
pub type Result<T> = std::result::Result<T, SendError>;

/// Why no response head was received.
#[derive(Debug, Display, Error)]
pub enum SendError {
    /// No connection could be made; nothing was sent.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The connection failed after the request was passed to it.
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

/// Idle connections to all endpoints.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct ConnectionPool {
    idle: Arc<Mutex<Table>>,
}

/// A connection in use by one request.
#[derive(Debug)]
pub struct LeasedConnection {
    #[debug(skip)]
    sender: Sender,
    pool: ConnectionPool,
    id: InstanceId,
}

/// A sent request whose response head was received.
#[derive(Debug)]
pub struct Sent {
    /// The response; its body is still to be read.
    pub answer: Response<Incoming>,
    /// Its connection; closed if dropped before the end of the response.
    pub connection: LeasedConnection,
    /// Whether the connection was opened for this request.
    pub is_new: bool,
    /// When the request was passed to the connection, since the Unix epoch: the process that
    /// answers had started by then.
    pub sent_at: Millis,
}

impl ConnectionPool {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// When there is no response; the variant says whether the request may have been sent.
    pub async fn send(&self, endpoint: &Endpoint, request: Request<Full<Bytes>>) -> Result<Sent> {
        let mut request = request;
        while let Some(mut sender) = self.take_idle(&endpoint.id) {
            let sent_at = wall();
            match sender.try_send_request(request).await {
                Ok(answer) => {
                    let connection = self.lease(endpoint, sender);
                    return Ok(Sent {
                        answer,
                        connection,
                        is_new: false,
                        sent_at,
                    });
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Lost(error.into_error().to_string())),
                },
            }
        }
        let mut sender = self.connect(endpoint.address).await?;
        let sent_at = wall();
        match sender.try_send_request(request).await {
            Ok(answer) => Ok(Sent {
                answer,
                connection: self.lease(endpoint, sender),
                is_new: true,
                sent_at,
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

    fn lease(&self, endpoint: &Endpoint, sender: Sender) -> LeasedConnection {
        LeasedConnection {
            sender,
            pool: self.clone(),
            id: endpoint.id.clone(),
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender> {
        let stream = socket::connect(address, CONNECT_TIMEOUT)
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

    /// Takes the most recently used idle connection that is still usable.
    fn take_idle(&self, id: &InstanceId) -> Option<Sender> {
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

    /// Closes connections whose idle time has passed.
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

/// How many idle connections one daemon may keep to an endpoint that accepts `connections` from
/// all `daemons` together.
pub fn idle_limit(connections: u32, daemons: usize) -> usize {
    let share = f64::from(connections) * IDLE_SHARE / daemons.max(1) as f64;
    (share as u32).clamp(1, MAX_IDLE) as usize
}

impl LeasedConnection {
    /// Returns the connection to the pool after the complete response was read, unless `limit`
    /// idle ones are there already.
    pub fn release(self, idle_timeout: Option<Millis>, limit: usize) {
        if self.sender.is_closed() {
            return;
        }
        let until = now() + (idle_timeout.unwrap_or(DEFAULT_IDLE) - IDLE_MARGIN);
        let idle = Idle {
            sender: self.sender,
            until,
        };
        let mut table = self.pool.lock();
        let list = table.entry(self.id).or_default();
        if list.len() < limit {
            list.push(idle);
        }
    }
}
