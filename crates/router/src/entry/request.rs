//! A request with its route and pool, ready to be sent to endpoints.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use derive_more::Debug;
use http::header::{self, HeaderMap, HeaderValue};
use http::{Method, Request, Uri};
use http_body_util::Full;
use medlarrill_core::body_end::{BodyEnd, Framing};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::PoolId;
use medlarrill_core::routing::ablation::{Mechanism, is_on};
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::choose::Choice;
use medlarrill_core::routing::config::{Account, Configuration, Priority, Route};
use medlarrill_core::routing::endpoint::{Build, InstanceId};
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::losses::Sign;
use medlarrill_core::routing::plan::{Next, Obstacle, RetryPlan};
use medlarrill_core::routing::reach::LOSS_WINDOW;
use medlarrill_core::routing::request::RequestHead;
use medlarrill_core::routing::silence::SeenSilence;
use medlarrill_core::routing::streams::StreamKey;
use medlarrill_net::now::now;
use medlarrill_platform::headers::{self, Outgoing};

use crate::endpoints::{LeasedConnection, idle_limit};
use crate::placement::InFlight;
use crate::shared::Shared;

/// Time in which a process that ends closes its sockets.
const EXIT_TIME: Millis = Millis(20);

/// Time in which other daemons' evidence on the loss of an endpoint arrives: two ticks of the
/// exchange and a hub between.
const EVIDENCE_TIME: Millis = Millis(250);

/// Shortest silence of an endpoint that is counted.
const NOTED_SILENCE: Millis = Millis(300);

/// A failed attempt.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct Failed<'a> {
    /// The endpoint.
    pub id: &'a InstanceId,
    /// How it failed.
    pub fault: Fault,
    /// The daemon that carried the connection, if it wasn't direct.
    pub helper: Option<SocketAddr>,
    /// When the head of the response was received.
    pub began: Option<Millis>,
    /// When the request was sent.
    pub sent: Millis,
    /// The endpoint's silence, if it ended the attempt.
    pub silence: Option<SeenSilence>,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Decision {
    /// Whether to try again.
    pub next: Next,
    /// Why not.
    pub obstacle: Option<Obstacle>,
}

/// A request that was read completely, checked against one configuration and routed to a pool.
#[derive(Debug)]
pub struct RoutedRequest {
    /// State shared by the daemon's tasks.
    #[debug(skip)]
    pub shared: Arc<Shared>,
    /// Configuration against which it was checked.
    #[debug("{}", config.version)]
    pub config: Arc<Configuration>,
    /// Matching route.
    pub route: Arc<Route>,
    /// Account of the caller's key, if there is one.
    pub account: Option<Arc<Account>>,
    /// Pool that serves it.
    pub pool: PoolId,
    /// Software version at which its stream goes on, if the caller takes one up.
    pub build: Option<Build>,
    /// Key of its stream, if it may go on elsewhere.
    pub stream: Option<StreamKey>,
    /// Decoded head.
    pub call: RequestHead,
    /// Fingerprint, equal for requests with the same host, path, query, account and body.
    pub fingerprint: Fingerprint,
    /// HTTP method.
    pub method: Method,
    /// Path and query, without scheme and host.
    pub uri: Uri,
    /// Headers as received.
    #[debug(skip)]
    pub headers: HeaderMap,
    /// Complete body.
    #[debug("{} bytes", body.len())]
    pub body: Bytes,
}

impl RoutedRequest {
    /// Priority of the account if it has one, else of the route.
    pub fn priority(&self) -> Priority {
        let account = self.account.as_ref();
        let rank = account.and_then(|account| account.priority);
        rank.unwrap_or(self.route.priority)
    }

    /// Returns the connection of a response that was read to its end to the pool, unless the end of
    /// the connection ended the response. `idle_timeout` is what the endpoint announced.
    pub fn release(
        &self,
        connection: LeasedConnection,
        framing: Framing,
        idle_timeout: Option<Millis>,
    ) {
        if framing.is_marked() {
            connection.release(idle_timeout, self.idle_limit());
        }
    }

    /// Fixes the software version of its stream when an event of the stream is about to be passed on,
    /// and records it for attempts to come.
    pub async fn record_event(&self, plan: &mut RetryPlan, build: &Build) {
        plan.bind(build.clone());
        let streams = &self.shared.streams;
        let recorded = self
            .stream
            .map(|key| streams.record(key, &self.pool, build));
        if let Some(confirmation) = recorded.flatten() {
            confirmation.wait().await;
        }
    }

    /// Why the request isn't hedged while an endpoint is silent; if there is no reason, a retry is taken
    /// from the budget.
    pub fn try_hedge(
        &self,
        plan: &RetryPlan,
        id: &InstanceId,
        silence: Option<SeenSilence>,
    ) -> Option<Obstacle> {
        let (placement, now) = (&self.shared.placement, now());
        if let Some(obstacle) = plan.hedge_obstacle(now) {
            return Some(obstacle);
        }
        if silence.is_some_and(|silence| silence.is_common()) {
            return Some(Obstacle::CommonSilence);
        }
        if !placement.has_alternative(&self.pool, plan, id, now) {
            return Some(Obstacle::NoEndpoint);
        }
        let is_spent = placement.spend_retry(&self.pool, now);
        (!is_spent).then_some(Obstacle::Budget)
    }

    /// Records that the request, which was sent at `sent`, left an endpoint that didn't answer it;
    /// `silence` is the endpoint's.
    pub fn record_left(&self, id: &InstanceId, silence: Option<SeenSilence>, sent: Millis) {
        if !self.shared.connections.paths().is_own_silence(id) {
            let placement = &self.shared.placement;
            placement.record_unanswered(id, silence, sent, now());
        }
    }

    /// Records a head or an event of the response, and the silence that it ends.
    pub fn record_sign(&self, in_flight: &InFlight, now: Millis) {
        if let Some(silence) = in_flight.record_sign(now).filter(|s| *s >= NOTED_SILENCE) {
            self.shared.metrics.observe_silence(silence);
        }
    }

    /// Records the first output of a response, and how long its prompt took to read.
    pub fn record_output(&self, in_flight: &InFlight, now: Millis) {
        let Some(time) = in_flight.record_output(now) else {
            return;
        };
        self.shared.metrics.observe_reading(time);
        log::info!(
            target: "entry", request = self.call.attempt, endpoint:% = in_flight.endpoint(),
            tokens = time.tokens.0, expected = time.expected.0, actual = time.actual.0;
            "entry: prompt read"
        );
    }

    /// Maximum number of idle connections that this daemon keeps to each endpoint of the pool.
    fn idle_limit(&self) -> usize {
        let pool = self.config.pools.get(&self.pool);
        let connections = pool.map_or(0, |pool| pool.connections);
        idle_limit(connections, self.shared.placement.daemon_count())
    }

    /// Records a failed attempt; returns whether to try again. If no other endpoint is left to
    /// try, the retry budget isn't charged. What probably crashed its endpoint isn't tried again.
    pub async fn record_failure(&self, plan: &mut RetryPlan, failed: Failed<'_>) -> Decision {
        let Failed { id, fault, .. } = failed;
        if fault.is_loss() {
            // Connections that were reset at the same time are noticed first.
            tokio::task::yield_now().await;
        }
        self.record_fault(plan, failed, now());
        let placement = &self.shared.placement;
        let is_suspect = || fault.is_loss() && placement.is_prime_suspect(plan, id);
        if is_suspect() {
            tokio::time::sleep(EVIDENCE_TIME.as_duration()).await;
        }
        let may_spread = is_suspect();
        let now = now();
        let has_other = placement.has_alternative(&self.pool, plan, id, now);
        let mut obstacle = None;
        let spend = || {
            obstacle = match (may_spread, has_other) {
                (true, _) => Some(Obstacle::Suspect),
                (false, false) => Some(Obstacle::NoEndpoint),
                (false, true) => {
                    let is_spent = placement.spend_retry(&self.pool, now);
                    (!is_spent).then_some(Obstacle::Budget)
                }
            };
            obstacle.is_none()
        };
        let next = plan.record_failure(id, fault, spend, now);
        let obstacle = obstacle.or_else(|| {
            let gives_up = next != Next::Retry;
            gives_up.then(|| plan.obstacle(fault, now))
        });
        Decision { next, obstacle }
    }

    /// Records a response that was passed on as complete. One whose end was marked speaks for the
    /// request; the other end looks the same if its endpoint failed just then.
    pub fn record_complete(
        &self,
        plan: &RetryPlan,
        in_flight: &InFlight,
        began: Millis,
        end: BodyEnd,
    ) {
        let (placement, id) = (&self.shared.placement, in_flight.endpoint());
        if end.is_proof() {
            return placement.record_response(plan, id, began);
        }
        in_flight.record_unmarked(now());
        placement.record_unmarked(plan, id, now());
        if placement.is_suspect(plan, id) {
            self.check_endpoint(plan, id, Some(began));
        }
    }

    /// Records a failed attempt, and the loss of its endpoint if it was lost. An attempt that failed
    /// by this daemon's own links isn't counted against the endpoint.
    pub fn record_fault(&self, plan: &RetryPlan, failed: Failed<'_>, now: Millis) {
        let Failed {
            id, fault, helper, ..
        } = failed;
        if fault.is_loss() {
            self.record_loss(plan, failed, now);
        } else if fault != Fault::Slow {
            self.shared.placement.record_failure(id, fault, now);
        } else if helper.is_none() {
            self.record_left(id, failed.silence, failed.sent);
        }
        if fault == Fault::NoEvent {
            self.check_endpoint(plan, id, failed.began);
        }
    }

    /// Connects to an endpoint that ended a response too early, or whose connection was reset with
    /// many others, to learn whether it is gone. If so, it was lost with the request.
    fn check_endpoint(&self, plan: &RetryPlan, id: &InstanceId, began: Option<Millis>) {
        let Some(endpoint) = self.shared.placement.open_endpoint(id) else {
            return;
        };
        let (shared, plan, ended_at) = (Arc::clone(&self.shared), plan.clone(), now());
        tokio::spawn(async move {
            tokio::time::sleep(EXIT_TIME.as_duration()).await;
            let (paths, id) = (shared.connections.paths(), &endpoint.id);
            let connected = paths.connect_for_check(&endpoint).await;
            if connected.is_err() && !paths.is_own_loss(id, ended_at) {
                shared.placement.record_failure(id, Fault::NotSent, now());
                shared.placement.record_loss(&plan, id, began, ended_at);
            }
        });
    }

    /// Records that a connection was lost. It counts against the endpoint a moment later, when it is
    /// known whether others were lost at the same time; against the request at once, since it may be
    /// sent again.
    fn record_loss(&self, plan: &RetryPlan, failed: Failed<'_>, lost_at: Millis) {
        let Failed {
            id, fault, began, ..
        } = failed;
        let shared = &self.shared;
        let paths = shared.connections.paths();
        // A helper that is lost looks the same as an endpoint that is.
        if failed.helper.is_some() {
            return shared.placement.record_loss(plan, id, began, lost_at);
        }
        paths.record_loss(id);
        if paths.is_own_loss(id, lost_at) {
            return shared.placement.withdraw_losses(lost_at);
        }
        if fault == Fault::Lost {
            shared.connections.end_idle(id);
            let placement = &shared.placement;
            placement.record_loss_sign(id, Sign::Lost, lost_at);
        }
        shared.placement.doubt(id, lost_at);
        let is_link_reset = shared.connections.is_link_reset(lost_at);
        self.log_loss(plan, failed, is_link_reset);
        match is_link_reset {
            // The endpoint counts as lost only if it can't be connected to any more.
            true => self.check_endpoint(plan, id, began),
            false => shared.placement.record_loss(plan, id, began, lost_at),
        }
        let (shared, id) = (Arc::clone(shared), id.clone());
        tokio::spawn(async move {
            tokio::time::sleep(LOSS_WINDOW.as_duration()).await;
            let placement = &shared.placement;
            match shared.connections.paths().is_own_loss(&id, lost_at) {
                true => {
                    placement.trust(&id);
                    placement.withdraw_losses(now());
                }
                false => placement.record_failure(&id, fault, now()),
            }
        });
    }

    /// Logs what a lost endpoint counts against.
    fn log_loss(&self, plan: &RetryPlan, failed: Failed<'_>, is_link_reset: bool) {
        let Failed { id, began, .. } = failed;
        let ran = began.map(|began| now().since(began).0);
        let causes = self.shared.placement.causes(plan, id).join(", ");
        log::info!(
            target: "quarantine", request = self.call.attempt, endpoint:% = id, ran, is_link_reset, causes;
            "quarantine: endpoint lost with a request"
        );
    }

    /// Builds the request that is sent to an endpoint.
    pub fn to_endpoint(
        &self,
        choice: &Choice,
        wait: Millis,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let is_urgent = self.route.cached && is_on(Mechanism::Urgency);
        let outgoing = Outgoing {
            endpoint: &choice.endpoint.id.endpoint,
            wait,
            account: self.account.as_ref().map(|account| &account.id),
            priority: is_urgent.then(|| self.priority()),
            source: choice.source.as_ref().map(|source| source.address),
            last_event,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers::to_endpoint(&self.headers, &outgoing);
        if self.body.is_empty() && self.headers.contains_key(header::CONTENT_LENGTH) {
            let none = HeaderValue::from_static("0");
            request.headers_mut().insert(header::CONTENT_LENGTH, none);
        }
        request
    }
}
