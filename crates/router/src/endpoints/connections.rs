//! Pool of HTTP/1 connections to endpoints, with one request at a time on each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use derive_more::Debug;
use http::{Request, Response};
use http_body_util::Full;
use hyper::client::conn::TrySendError;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::endpoint::{Endpoint, InstanceId};
use medlarrill_core::routing::proof::Proof;
use medlarrill_core::routing::reach::Resets;
use medlarrill_net::now::{now, wall};
use tokio::io::{AsyncRead, AsyncWrite};

use super::path_taken::{PathTaken, Taken};
use super::paths::{Connected, Paths};
use super::process::{Carrier, Confirmation, Demand, Inquiry, Verdict};
use super::resets::{ResetRecorder, SharedResets};
use super::send_error::{Result, SendError};
use crate::guard::{GuardedBody, GuardedSender as Sender};
use crate::tunnel::carried;

/// Time without a response after which a daemon that hears no endpoint checks whether it is cut off.
const SILENCE_CHECK: Millis = Millis(250);
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
/// New connections on which a process is asked when it started: endpoints close some after a response.
const MAX_ASKED: usize = 2;

#[derive(Debug)]
struct Idle {
    carrier: Carrier,
    /// When its last response was read.
    since: Millis,
    until: Millis,
}

/// Idle connections by endpoint.
#[derive(Debug)]
struct Table {
    connections: HashMap<InstanceId, Vec<Idle>>,
    /// Which of them are proof of their endpoint.
    proof: Proof,
    /// Value of [`Paths::cut_offs`] when they were checked last.
    cut_offs: u64,
}

/// Idle connections to all endpoints.
#[derive(Clone)]
#[derive(Debug)]
pub struct ConnectionPool {
    idle: Arc<Mutex<Table>>,
    paths: Arc<Paths>,
    inquiry: Arc<Inquiry>,
    resets: SharedResets,
}

/// A connection in use by one request.
#[derive(Debug)]
pub struct LeasedConnection {
    carrier: Carrier,
    pool: ConnectionPool,
    id: InstanceId,
    helper: Option<SocketAddr>,
}

/// A sent request whose response head was received.
#[derive(Debug)]
pub struct Sent {
    /// The response; its body is still to be read.
    pub answer: Response<GuardedBody>,
    /// Its connection; closed if dropped before the end of the response.
    pub connection: LeasedConnection,
    /// Whether the connection was opened for this request.
    pub is_new: bool,
    /// When the request was passed to the connection, since the Unix epoch: the process that
    /// answers had started by then.
    pub sent_at: Millis,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(paths: Paths) -> Self {
        Self {
            idle: Arc::new(Mutex::new(Table {
                connections: HashMap::new(),
                proof: Proof::new(now()),
                cut_offs: 0,
            })),
            paths: Arc::new(paths),
            inquiry: Arc::default(),
            resets: Arc::new(Mutex::new(Resets::default())),
        }
    }

    /// This daemon's paths to endpoints.
    pub const fn paths(&self) -> &Arc<Paths> {
        &self.paths
    }

    /// Whether connections that were lost at a time were reset by this daemon's own link.
    pub fn is_link_reset(&self, lost_at: Millis) -> bool {
        let resets = self.resets.lock().unwrap_or_else(PoisonError::into_inner);
        resets.is_own(lost_at)
    }

    /// Sends a request and waits for the head of the response; sets `taken` when the request is
    /// handed to a connection.
    ///
    /// # Errors
    ///
    /// When there is no response; the variant says whether the request may have been sent.
    pub async fn send(
        &self,
        endpoint: &Endpoint,
        request: Request<Full<Bytes>>,
        demand: Demand,
        taken: &Taken,
    ) -> Result<Sent> {
        let mut request = request;
        let is_idempotent = demand.is_idempotent;
        while self.paths.trusts_idle(is_idempotent)
            && let Some(mut carrier) = self.take_idle(&endpoint.id, is_idempotent)
        {
            if !is_idempotent {
                // Its task may not have read yet that the connection has ended.
                tokio::task::yield_now().await;
                if !carrier.sender.is_ready() {
                    continue;
                }
            }
            let process = demand.process;
            if process != Confirmation::Unneeded
                && !self.confirm_idle(&mut carrier, endpoint, process).await?
            {
                break;
            }
            taken.set(Some(PathTaken::idle(self.paths.silence())));
            let sent_at = wall();
            match self.send_idle(&mut carrier.sender, request).await {
                Ok(answer) => {
                    let connection = self.lease(endpoint, carrier, None);
                    return Ok(Sent {
                        answer,
                        connection,
                        is_new: false,
                        sent_at,
                    });
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) => {
                        taken.set(None);
                        request = unsent;
                    }
                    None => return Err(SendError::Lost(error.into_error().to_string())),
                },
            }
        }
        self.send_new(endpoint, request, demand, taken).await
    }

    /// Sends a request on a new connection.
    async fn send_new(
        &self,
        endpoint: &Endpoint,
        request: Request<Full<Bytes>>,
        demand: Demand,
        taken: &Taken,
    ) -> Result<Sent> {
        let (mut carrier, path_taken) = match demand.process {
            Confirmation::Unneeded => self.open(endpoint).await?,
            process => self.open_confirmed(endpoint, process).await?,
        };
        taken.set(Some(path_taken));
        let sent_at = wall();
        match carrier.sender.try_send_request(request).await {
            Ok(answer) => Ok(Sent {
                answer,
                connection: self.lease(endpoint, carrier, path_taken.helper),
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

    /// Opens a connection.
    async fn open(&self, endpoint: &Endpoint) -> Result<(Carrier, PathTaken)> {
        let connected = self.paths.connect(endpoint).await;
        if connected.is_err() {
            self.end_idle(&endpoint.id);
        }
        let (connected, path_taken) = connected?;
        Ok((
            Carrier::new(self.handshake(connected, &endpoint.id).await?),
            path_taken,
        ))
    }

    /// Opens a connection to the process that is listed, as far as that can be known.
    async fn open_confirmed(
        &self,
        endpoint: &Endpoint,
        process: Confirmation,
    ) -> Result<(Carrier, PathTaken)> {
        for _ in 0..MAX_ASKED {
            let (mut carrier, path_taken) = self.open(endpoint).await?;
            let verdict = self
                .inquiry
                .ask(&mut carrier, endpoint, process, true)
                .await;
            match (verdict, carrier.sender.is_ready()) {
                (Verdict::Replaced(start), _) => return Err(SendError::Replaced(start)),
                (Verdict::Same | Verdict::Unknown, true) => return Ok((carrier, path_taken)),
                (Verdict::Unknown, false) => return self.open(endpoint).await,
                (Verdict::Same, false) | (Verdict::Unproved, _) => {}
            }
        }
        Err(SendError::Unproved)
    }

    /// Whether an idle connection leads to the process that is listed, as far as that can be known,
    /// and takes a request.
    async fn confirm_idle(
        &self,
        carrier: &mut Carrier,
        endpoint: &Endpoint,
        process: Confirmation,
    ) -> Result<bool> {
        let verdict = self.inquiry.ask(carrier, endpoint, process, false).await;
        match verdict {
            Verdict::Replaced(start) => Err(SendError::Replaced(start)),
            Verdict::Same | Verdict::Unknown => Ok(carrier.sender.is_ready()),
            Verdict::Unproved => Ok(false),
        }
    }

    /// Sends a request on an idle connection. It may be dead: if no endpoint is heard, this daemon
    /// finds out whether it is cut off while it waits.
    async fn send_idle(
        &self,
        sender: &mut Sender,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<GuardedBody>, TrySendError<Request<Full<Bytes>>>> {
        let mut sending = pin!(sender.try_send_request(request));
        tokio::select! {
            biased;
            sent = &mut sending => return sent,
            () = tokio::time::sleep(SILENCE_CHECK.as_duration()) => self.paths.probe_if_suspect(),
        }
        sending.await
    }

    /// Starts HTTP on a connection to an endpoint.
    async fn handshake(&self, connected: Connected, id: &InstanceId) -> Result<Sender> {
        match connected {
            Connected::Direct(stream) => {
                start_http(ResetRecorder::watch(&self.resets, id, stream)).await
            }
            Connected::Tunnel(opened) => start_http(carried(opened.link)).await,
        }
    }

    fn lease(
        &self,
        endpoint: &Endpoint,
        carrier: Carrier,
        helper: Option<SocketAddr>,
    ) -> LeasedConnection {
        LeasedConnection {
            carrier,
            pool: self.clone(),
            id: endpoint.id.clone(),
            helper,
        }
    }

    /// Takes the most recently used idle connection that is still usable; none if it isn't proof
    /// enough of the endpoint. It is closed then, since a new one takes its place.
    fn take_idle(&self, id: &InstanceId, is_idempotent: bool) -> Option<Carrier> {
        let mut table = self.lock();
        let cut_offs = self.paths.cut_offs();
        if std::mem::replace(&mut table.cut_offs, cut_offs) != cut_offs {
            table.connections.clear();
        }
        let proof = table.proof;
        let idle = table.connections.get_mut(id)?;
        let now = now();
        while let Some(Idle {
            carrier,
            since,
            until,
        }) = idle.pop()
        {
            if now < until && carrier.sender.is_ready() {
                let is_proof = is_idempotent || proof.accepts(since, now);
                return is_proof.then_some(carrier);
            }
        }
        None
    }

    /// Closes the idle connections to an endpoint that was lost.
    pub fn end_idle(&self, id: &InstanceId) {
        let mut table = self.lock();
        table.connections.remove(id);
        table.proof.record_loss(now());
    }

    /// Closes connections whose idle time has passed, and those to instances that aren't listed.
    pub fn sweep(&self, is_listed: impl Fn(&InstanceId) -> bool) {
        let now = now();
        self.lock().connections.retain(|id, idle| {
            if !is_listed(id) {
                return false;
            }
            idle.retain(|idle| now < idle.until && !idle.carrier.sender.is_closed());
            !idle.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn start_http(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
) -> Result<Sender> {
    let (sender, connection) = Sender::start(stream)
        .await
        .map_err(|error| SendError::NotSent(error.to_string()))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "endpoints", "endpoints: a connection ended: {error}");
        }
    });
    Ok(sender)
}

/// How many idle connections one daemon may keep to an endpoint that accepts `connections` from
/// all `daemons` together.
pub fn idle_limit(connections: u32, daemons: usize) -> usize {
    let share = f64::from(connections) * IDLE_SHARE / daemons.max(1) as f64;
    (share as u32).clamp(1, MAX_IDLE) as usize
}

impl LeasedConnection {
    /// The daemon that carries the connection, if it isn't direct.
    pub const fn helper(&self) -> Option<SocketAddr> {
        self.helper
    }

    /// Returns the connection to the pool after the complete response was read, unless `limit`
    /// idle ones are there already.
    pub fn release(self, idle_timeout: Option<Millis>, limit: usize) {
        if self.carrier.sender.is_closed() || self.helper.is_some() {
            return;
        }
        let since = now();
        let until = since + (idle_timeout.unwrap_or(DEFAULT_IDLE) - IDLE_MARGIN);
        let idle = Idle {
            carrier: self.carrier,
            since,
            until,
        };
        let mut table = self.pool.lock();
        let list = table.connections.entry(self.id).or_default();
        if list.len() < limit {
            list.push(idle);
        }
    }
}
