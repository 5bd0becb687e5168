//! Hedged requests: a second attempt is sent while the first one is silent, and who answers first is
//! kept.

use std::pin::Pin;

use derive_more::Debug;
use futures_util::stream::{FuturesUnordered, StreamExt};
use medlarrill_core::clock::Millis;
use medlarrill_core::outcome::Outcome;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::plan::{Obstacle, RetryPlan};
use medlarrill_core::routing::request::SharedPrefix;
use medlarrill_core::routing::view;
use medlarrill_net::now::now;

use super::dispatch::{Dispatched, Result, attempt};
use super::failed_attempt::FailedAttempt;
use super::request::RoutedRequest;
use super::trace::Trace;
use crate::endpoints::PathTaken;

/// Interval between two tries to hedge a request whose endpoint is silent.
pub const HEDGE_INTERVAL: Millis = Millis(250);
/// Attempts in flight at a time.
const MAX_ATTEMPTS: usize = 2;

/// An attempt that has ended, or begun to be answered.
#[derive(Debug)]
pub struct Done {
    /// Its endpoint.
    pub id: InstanceId,
    /// When it was sent.
    pub sent: Millis,
    /// How it got there, if it was sent.
    pub path_taken: Option<PathTaken>,
}

type Running<'a> = Pin<Box<dyn Future<Output = (Done, Result<Dispatched>)> + Send + 'a>>;

/// A request with the attempts that are in flight.
#[derive(Debug)]
pub struct HedgedRequest<'a> {
    routed: &'a RoutedRequest,
    shared_prefix: Option<SharedPrefix>,
    last_event: Option<u64>,
    #[debug(skip)]
    running: FuturesUnordered<Running<'a>>,
    /// Their endpoints and when they were sent, in this order.
    sent: Vec<(InstanceId, Millis)>,
    /// When to hedge it next.
    hedge_at: Option<Millis>,
}

impl<'a> HedgedRequest<'a> {
    /// No attempt yet; streams go on after `last_event`.
    pub fn new(routed: &'a RoutedRequest, last_event: Option<u64>) -> Self {
        Self {
            routed,
            shared_prefix: routed.call.shared().filter(|_| routed.route.cached),
            last_event,
            running: FuturesUnordered::new(),
            sent: Vec::new(),
            hedge_at: None,
        }
    }

    /// Whether no attempt is in flight.
    pub const fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Sends the request to an endpoint, to be hedged if that is silent.
    ///
    /// # Errors
    ///
    /// When no endpoint is chosen.
    pub fn start(&mut self, plan: &mut RetryPlan, trace: &mut Trace) -> view::Result<()> {
        let sent = now();
        let patience = plan.attempt_timeout(sent);
        self.send(plan, trace)?;
        let is_short = patience < plan.deadline().since(sent);
        self.hedge_at = is_short.then_some(sent + patience);
        Ok(())
    }

    /// Sends the request to an endpoint.
    ///
    /// # Errors
    ///
    /// When no endpoint is chosen.
    pub fn send(&mut self, plan: &mut RetryPlan, trace: &mut Trace) -> view::Result<()> {
        let (routed, prefix, sent) = (self.routed, self.shared_prefix.as_ref(), now());
        let placement = &routed.shared.placement;
        let (choice, in_flight) = placement.choose(&routed.pool, prefix, plan, sent)?;
        let left = plan.deadline().since(sent);
        trace.log_attempt(&choice, prefix, left);
        let id = choice.endpoint.id.clone();
        plan.begin(&id);
        let request = routed.to_endpoint(&choice, left, self.last_event);
        let (plan, endpoint) = (plan.clone(), choice.endpoint);
        self.sent.push((id, sent));
        self.running.push(Box::pin(async move {
            let (result, path_taken) = attempt(routed, &plan, &endpoint, in_flight, request).await;
            let done = Done {
                id: endpoint.id.clone(),
                sent,
                path_taken,
            };
            (done, result)
        }));
        Ok(())
    }

    /// Waits for the next attempt that is done; none if it is time to hedge.
    pub async fn next(&mut self) -> Option<(Done, Result<Dispatched>)> {
        let done = match self.hedge_at {
            None => self.running.next().await,
            Some(at) => {
                let wait = at.since(now()).as_duration();
                let next = tokio::time::timeout(wait, self.running.next()).await;
                next.unwrap_or_default()
            }
        };
        if let Some((done, _)) = &done {
            self.sent.retain(|(id, _)| *id != done.id);
        }
        done
    }

    /// Sends the request to a second endpoint, unless something is against it.
    pub fn hedge(&mut self, plan: &mut RetryPlan, trace: &mut Trace) {
        self.hedge_at = Some(now() + HEDGE_INTERVAL);
        if self.sent.len() >= MAX_ATTEMPTS {
            return;
        }
        let Some((id, _)) = self.sent.first() else {
            return;
        };
        let silence = self.routed.shared.placement.silence(id, now());
        let obstacle = self.routed.try_hedge(plan, id, silence);
        trace.log_hedge(id, silence, obstacle);
        match obstacle {
            None => {
                let id = id.clone();
                if self.send(plan, trace).is_err() {
                    trace.log_hedge(&id, silence, Some(Obstacle::NoEndpoint));
                }
            }
            Some(Obstacle::NotIdempotent | Obstacle::Attempts) => self.hedge_at = None,
            Some(_) => {}
        }
    }

    /// Drops the other attempts. Those that were sent before the one that is answered were silent.
    pub fn drop_others(&mut self, done: &Done, plan: &mut RetryPlan, trace: &Trace) {
        let placement = &self.routed.shared.placement;
        for (id, sent) in std::mem::take(&mut self.sent) {
            plan.abandon(&id);
            let silence = placement.silence(&id, now());
            if sent < done.sent {
                trace.log_left(&id, silence, None);
                self.routed.record_left(&id, silence, sent);
            } else if let Some(prefix) = &self.shared_prefix {
                placement.retract_prefix(prefix, &id);
            }
        }
    }

    /// Withdraws that an endpoint has the prefix, if it hasn't run the request.
    pub fn retract_prefix(&self, id: &InstanceId, failed: &FailedAttempt) {
        let unread = failed.fault.outcome() != Outcome::Ran;
        if let Some(prefix) = self.shared_prefix.as_ref().filter(|_| unread) {
            self.routed.shared.placement.retract_prefix(prefix, id);
        }
    }
}
