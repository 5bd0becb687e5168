//! Connects to endpoints: directly, or through another daemon where this one doesn't reach them.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::{Debug, Display};
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::endpoint::{Endpoint, InstanceId};
use medlarrill_core::routing::losses::Sign;
use medlarrill_core::routing::reach::{HelpFailure, Helpers, Path, Reach, ReachChange};
use medlarrill_net::now::now;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tokio::net::TcpStream;

use super::heard::{Heard, HeardAt};
use super::path_taken::PathTaken;
use crate::metrics::Metrics;
use crate::placement::Placement;
use crate::socket;
use crate::tunnel::{self, OpenError, Opened};

/// Timeout for connecting: endpoints are some milliseconds away and take one to accept.
const CONNECT_TIMEOUT: Millis = Millis(400);
/// Time after which a daemon that may be cut off asks others while it still tries to connect.
const HEAD_START: Millis = Millis(100);
/// Timeout for probes.
const PROBE_TIMEOUT: Millis = Millis(300);
/// Endpoints that are probed at a time.
const PROBES: usize = 3;
/// Interval between checks whether to probe endpoints.
const PROBE_CHECK: Millis = Millis(100);
/// Daemons that may fail to connect to an endpoint before it counts as unreachable.
const UNREACHABLE_MAX: usize = 3;

/// Result of connecting.
pub type Result<T> = std::result::Result<T, ConnectError>;

/// Why there is no connection to an endpoint.
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Display)]
pub enum ConnectError {
    /// Neither this daemon nor others that it asked could connect.
    #[display("{_0}")]
    Unreachable(String),
    /// This daemon is cut off, and no other could connect for it.
    #[display("cut off from all endpoints, {_0}")]
    CutOff(String),
}

/// A connection to an endpoint.
#[derive(Debug)]
pub enum Connected {
    /// A direct one.
    Direct(#[debug(skip)] Heard<TcpStream>),
    /// One that another daemon carries.
    Tunnel(Opened),
}

#[derive(Debug)]
struct State {
    reach: Reach,
    helpers: Helpers,
    #[debug(skip)]
    rng: Pcg32,
}

/// This daemon's paths to endpoints.
#[derive(Debug)]
pub struct Paths {
    state: Mutex<State>,
    heard: HeardAt,
    placement: Arc<Placement>,
    metrics: Arc<Metrics>,
    /// How often this daemon was cut off.
    cut_offs: AtomicU64,
}

impl Paths {
    /// Creates the state of a daemon that has connected to nothing yet.
    pub fn new(placement: Arc<Placement>, metrics: Arc<Metrics>) -> Self {
        let state = State {
            reach: Reach::default(),
            helpers: Helpers::default(),
            rng: Pcg32::seed_from_u64(rand::random()),
        };
        Self {
            state: Mutex::new(state),
            heard: HeardAt::default(),
            placement,
            metrics,
            cut_offs: AtomicU64::new(0),
        }
    }

    /// How often this daemon was cut off. Connections that were idle then may never be heard
    /// again.
    pub fn cut_offs(&self) -> u64 {
        self.cut_offs.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.reach.record_heard(self.heard.get());
        state
    }

    /// Sets the other daemons, those of this daemon's data centre and those elsewhere.
    pub fn set_daemons(&self, near: Vec<SocketAddr>, far: Vec<SocketAddr>) {
        let mut state = self.lock();
        state.helpers.set(near, far);
        state.reach.prune(now());
    }

    /// Whether no other daemon is known that could help.
    pub fn has_no_helpers(&self) -> bool {
        self.lock().helpers.is_empty()
    }

    /// Whether this daemon reaches no endpoint.
    pub fn is_cut_off(&self) -> bool {
        self.lock().reach.is_cut_off()
    }

    /// Whether an idle connection may be used for a request.
    pub fn trusts_idle(&self, is_idempotent: bool) -> bool {
        self.lock().reach.trusts_idle(is_idempotent, now())
    }

    /// Time since any endpoint was last heard directly.
    pub fn silence(&self) -> Millis {
        self.lock().reach.silence(now())
    }

    /// Whether an attempt on a direct connection may have got no answer by this daemon's own link.
    pub fn is_own_silence(&self, id: &InstanceId) -> bool {
        self.lock().reach.is_own_silence(id, now())
    }

    /// Records that a direct connection was lost with a request.
    pub fn record_loss(&self, id: &InstanceId) {
        self.lock().reach.record_loss(id, now());
    }

    /// Whether a connection that was lost at a time was lost by this daemon's own link.
    pub fn is_own_loss(&self, id: &InstanceId, lost_at: Millis) -> bool {
        self.lock().reach.is_own_loss(id, lost_at, now())
    }

    /// Connects to an endpoint; returns how.
    ///
    /// # Errors
    ///
    /// When neither this daemon nor another one that it asked could connect.
    pub async fn connect(self: &Arc<Self>, endpoint: &Endpoint) -> Result<(Connected, PathTaken)> {
        let (path, silence) = {
            let state = self.lock();
            let path = state.reach.path(&endpoint.id, now());
            (path, state.reach.silence(now()))
        };
        let connected = match path {
            Path::Direct => self.race(endpoint).await,
            Path::Tunnel => match self.tunnel(endpoint).await {
                Err(_) => self.direct(endpoint).await,
                opened => opened,
            },
            Path::CutOff => self.tunnel(endpoint).await,
        }?;
        let helper = match &connected {
            Connected::Direct(_) => None,
            Connected::Tunnel(opened) => Some(opened.helper),
        };
        let path_taken = PathTaken {
            path: Some(path),
            helper,
            silence,
        };
        Ok((connected, path_taken))
    }

    /// Connects directly, or through another daemon if that takes long or fails.
    async fn race(self: &Arc<Self>, endpoint: &Endpoint) -> Result<Connected> {
        let mut direct = pin!(self.direct(endpoint));
        loop {
            tokio::select! {
                biased;
                connected = &mut direct => match connected {
                    Err(error) if self.asks_others(&endpoint.id) => {
                        return self.tunnel(endpoint).await.map_err(|other| match other {
                            ConnectError::CutOff(_) if !self.is_cut_off() => error,
                            other => other,
                        });
                    }
                    connected => return connected,
                },
                () = tokio::time::sleep(HEAD_START.as_duration()) => {}
            }
            self.probe_if_suspect();
            if self.asks_others(&endpoint.id) {
                break;
            }
        }
        let mut tunnel = pin!(self.tunnel(endpoint));
        tokio::select! {
            biased;
            connected = &mut direct => match connected {
                Ok(connected) => Ok(connected),
                Err(error) => tunnel.await.map_err(|_| error),
            },
            opened = &mut tunnel => match opened {
                Ok(opened) => {
                    self.record_unconnected(&endpoint.id);
                    Ok(opened)
                }
                Err(_) => direct.await,
            },
        }
    }

    fn asks_others(&self, id: &InstanceId) -> bool {
        self.lock().reach.asks_others(id, now())
    }

    async fn direct(self: &Arc<Self>, endpoint: &Endpoint) -> Result<Connected> {
        let stream = self.open(endpoint, CONNECT_TIMEOUT).await;
        match stream {
            Ok(stream) => Ok(Connected::Direct(self.heard.watch(stream))),
            Err(error) => {
                self.probe_if_suspect();
                Err(ConnectError::Unreachable(error.to_string()))
            }
        }
    }

    /// Connects directly, and records whether that worked.
    async fn open(&self, endpoint: &Endpoint, wait: Millis) -> std::io::Result<TcpStream> {
        let stream = socket::connect(endpoint.address, wait).await;
        match &stream {
            Ok(_) => self.record_connected(&endpoint.id),
            Err(_) => self.record_unconnected(&endpoint.id),
        }
        stream
    }

    /// Connects to an endpoint for another daemon.
    ///
    /// # Errors
    ///
    /// When that fails, or takes long.
    pub async fn connect_for_other(&self, endpoint: &Endpoint) -> std::io::Result<TcpStream> {
        self.open(endpoint, tunnel::CONNECT_TIMEOUT).await
    }

    /// Connects to an endpoint only to learn whether that works.
    ///
    /// # Errors
    ///
    /// When it doesn't, or takes long.
    pub async fn connect_for_check(&self, endpoint: &Endpoint) -> std::io::Result<()> {
        self.open(endpoint, PROBE_TIMEOUT).await.map(drop)
    }

    /// Connects through another daemon.
    async fn tunnel(&self, endpoint: &Endpoint) -> Result<Connected> {
        let candidates = {
            let State { helpers, rng, .. } = &mut *self.lock();
            helpers.candidates(now(), rng)
        };
        if candidates.is_empty() {
            return Err(ConnectError::CutOff("no other daemon to ask".into()));
        }
        let mut last = String::new();
        let mut unreachable: Vec<SocketAddr> = Vec::new();
        for helper in candidates {
            let is_futile = {
                let helpers = &self.lock().helpers;
                helpers.is_likely_unreachable(&helper, &unreachable)
            };
            if is_futile || unreachable.len() >= UNREACHABLE_MAX {
                continue;
            }
            match tunnel::open(helper, &endpoint.id).await {
                Ok(opened) => {
                    self.record_tunnel(helper, &endpoint.id);
                    return Ok(Connected::Tunnel(opened));
                }
                Err(error) => {
                    if self.record_refusal(helper, &error) == Some(HelpFailure::Unreachable) {
                        unreachable.push(helper);
                    }
                    last = format!("{helper}: {error}");
                }
            }
        }
        if !unreachable.is_empty() {
            return Err(ConnectError::Unreachable(last));
        }
        self.lock().helpers.record_none(now());
        Err(ConnectError::CutOff(last))
    }

    fn record_tunnel(&self, helper: SocketAddr, id: &InstanceId) {
        Metrics::count(&self.metrics.tunnels, "open");
        // Others reach what this daemon doesn't.
        self.placement.withdraw_losses(now());
        let mut state = self.lock();
        state.helpers.record_help(helper);
        state.reach.record_tunnel(id, now());
    }

    fn record_refusal(&self, helper: SocketAddr, error: &OpenError) -> Option<HelpFailure> {
        let failure = error.failure();
        let reason = match failure {
            None => "unknown",
            Some(HelpFailure::Unreachable) => "unreachable",
            Some(HelpFailure::Busy) => "busy",
            Some(HelpFailure::CutOff) => "cut-off",
            Some(HelpFailure::Silent) => "silent",
        };
        Metrics::count(&self.metrics.tunnels, reason);
        if let Some(failure) = failure {
            self.lock()
                .helpers
                .record_failure_of(helper, failure, now());
        }
        failure
    }

    fn record_connected(&self, id: &InstanceId) {
        let change = self.lock().reach.record_connected(id, now());
        self.apply(change);
    }

    fn record_unconnected(&self, id: &InstanceId) {
        let (placement, now) = (&self.placement, now());
        if !self.is_own_loss(id, now) {
            placement.record_loss_sign(id, Sign::Refused, now);
        }
        if placement.is_lost_to_others(id, now) {
            return;
        }
        let known = self.placement.endpoint_count();
        let change = self.lock().reach.record_unconnected(id, known, now);
        self.apply(change);
    }

    /// Logs that this daemon is cut off, or isn't any more.
    fn apply(&self, change: Option<ReachChange>) {
        let Some(change) = change else {
            return;
        };
        self.placement.end_pauses();
        match change {
            ReachChange::CutOff { endpoints, silence } => {
                self.placement.withdraw_losses(now());
                self.metrics.cut_off.set(1);
                self.cut_offs.fetch_add(1, Ordering::Relaxed);
                log::warn!(
                    target: "endpoints", endpoints, silence = silence.0;
                    "endpoints: none can be reached, others are asked to connect"
                );
            }
            ReachChange::Restored { span } => {
                self.metrics.cut_off.set(0);
                log::info!(target: "endpoints", span = span.0; "endpoints: reached again");
            }
        }
    }

    /// Probes endpoints if this daemon may be cut off.
    pub fn probe_if_suspect(self: &Arc<Self>) {
        if self.lock().reach.should_probe(true, now()) {
            tokio::spawn(Arc::clone(self).probe());
        }
    }

    /// Connects to some endpoints, to learn whether this daemon reaches any.
    async fn probe(self: Arc<Self>) {
        let endpoints = self.placement.sample(PROBES);
        let probes = endpoints
            .iter()
            .map(|endpoint| self.connect_for_check(endpoint));
        futures_util::future::join_all(probes).await;
    }

    /// Probes endpoints while this daemon is cut off, until the process ends.
    pub async fn keep_probing(self: Arc<Self>) {
        loop {
            tokio::time::sleep(PROBE_CHECK.as_duration()).await;
            if self.lock().reach.should_probe(false, now()) {
                Arc::clone(&self).probe().await;
            }
        }
    }
}
