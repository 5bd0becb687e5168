//! A request that was read and may be sent to endpoints.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Debug;
use http::header::{self, HeaderMap, HeaderValue};
use http::{Method, Request, Uri};
use http_body_util::Full;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::PoolId;
use medlarrill_core::routing::ablation::{Mechanism, is_on};
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::choose::Choice;
use medlarrill_core::routing::config::{Account, Configuration, Priority, Route};
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::plan::{Next, RetryPlan};
use medlarrill_core::routing::request::RequestHead;
use medlarrill_platform::headers::{self, Outgoing};

use crate::endpoints::spare;
use crate::shared::Shared;

/// A request, checked against one configuration.
#[derive(Debug)]
pub struct Order {
    /// What the daemon's tasks share.
    #[debug(skip)]
    pub shared: Arc<Shared>,
    /// The configuration it was checked against.
    #[debug("{}", config.version)]
    pub config: Arc<Configuration>,
    /// Its route.
    pub route: Arc<Route>,
    /// Its account.
    pub account: Option<Arc<Account>>,
    /// The pool that serves it.
    pub pool: PoolId,
    /// Its head, decoded.
    pub call: RequestHead,
    /// What tells whether another request asks for the same.
    pub fingerprint: Fingerprint,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers as they came.
    #[debug(skip)]
    pub headers: HeaderMap,
    /// Its body.
    #[debug("{} bytes", body.len())]
    pub body: Bytes,
}

impl Order {
    /// Its rank, by the account before the route.
    pub fn priority(&self) -> Priority {
        let account = self.account.as_ref();
        let rank = account.and_then(|account| account.priority);
        rank.unwrap_or(self.route.priority)
    }

    /// Idle connections that this daemon keeps for an endpoint of the pool.
    pub fn spare(&self) -> usize {
        let pool = self.config.pools.get(&self.pool);
        let connections = pool.map_or(0, |pool| pool.connections);
        spare(connections, self.shared.placement.daemons())
    }

    /// Takes note of a failed attempt and says what follows. Where no endpoint is left to try,
    /// the budget of repeats isn't charged.
    pub fn fail(&self, plan: &mut RetryPlan, id: &InstanceId, fault: Fault, now: Millis) -> Next {
        self.note_fault(plan, id, fault, now);
        let placement = &self.shared.placement;
        let has_other = placement.has_other(&self.pool, plan, id, now);
        let spend = || has_other && placement.spend(&self.pool, now);
        plan.record_failure(id, fault, spend, now)
    }

    /// Takes note of a failed attempt, and of an endpoint that was lost with it.
    pub fn note_fault(&self, plan: &RetryPlan, id: &InstanceId, fault: Fault, now: Millis) {
        let placement = &self.shared.placement;
        placement.bad(id, fault, now);
        if fault.is_loss() {
            placement.lost(plan, id, now);
        }
    }

    /// The request as an endpoint gets it.
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
