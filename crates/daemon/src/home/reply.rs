//! Sends a home's answers to the entry of a request.

use std::sync::Arc;

use bytes::Bytes;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, DaemonId, EndpointId};
use medlarrill_core::reason::Reason;
use medlarrill_core::wire::{Accepted, Body, Chunk, End, Header, Refused, Rerouted};
use medlarrill_net::link::Result;

use crate::context::Context;

/// Sends the answer of one attempt to its entry.
#[derive(Clone)]
pub struct Reply {
    context: Arc<Context>,
    id: AttemptId,
    origin: DaemonId,
}

impl Reply {
    /// A reply to the entry at `origin`.
    pub const fn new(context: Arc<Context>, id: AttemptId, origin: DaemonId) -> Self {
        Self {
            context,
            id,
            origin,
        }
    }

    /// Reports that the endpoint answers, with the head of its response.
    ///
    /// # Errors
    ///
    /// When the entry can't be reached.
    pub async fn accepted(
        &self,
        endpoint: &EndpointId,
        status: u16,
        headers: Vec<Header>,
    ) -> Result<()> {
        self.send(Body::Accepted(Accepted {
            attempt: Some(self.id.into()),
            endpoint: endpoint.to_string(),
            status: status.into(),
            headers,
        }))
        .await
    }

    /// Reports that the request is passed to another home.
    ///
    /// # Errors
    ///
    /// When the entry can't be reached.
    pub async fn passed(&self, to: &DaemonId) -> Result<()> {
        self.send(Body::Rerouted(Rerouted {
            attempt: Some(self.id.into()),
            to: to.to_string(),
        }))
        .await
    }

    /// Reports, on behalf of a home that can't be reached, that the request stays here.
    ///
    /// # Errors
    ///
    /// When the entry can't be reached.
    pub async fn passed_back(&self, to: &DaemonId, from: &DaemonId) -> Result<()> {
        log::info!(target: "home", "home: {} stays here, {from} can't be reached", self.id);
        self.passed(to).await
    }

    /// Refuses the request.
    pub async fn refused(&self, refusal: Refusal) {
        let frame = Refused {
            attempt: Some(self.id.into()),
            reason: refusal.reason.code().into(),
            sent: refusal.sent,
            retry_after: refusal.retry_after.0,
            endpoint: refusal
                .endpoint
                .map(|id| id.to_string())
                .unwrap_or_default(),
        };
        // A lost entry needs no answer.
        let _ = self.send(Body::Refused(frame)).await;
    }

    /// Sends a chunk of the answer.
    ///
    /// # Errors
    ///
    /// When the entry can't be reached.
    pub async fn chunk(&self, offset: u64, data: Bytes) -> Result<()> {
        self.send(Body::Chunk(Chunk {
            attempt: Some(self.id.into()),
            offset,
            data,
        }))
        .await
    }

    /// Ends the answer; it is complete if there is no reason.
    pub async fn end(&self, length: u64, reason: Option<Reason>) {
        let frame = End {
            attempt: Some(self.id.into()),
            length,
            reason: reason
                .map(|reason| reason.code().into())
                .unwrap_or_default(),
        };
        let _ = self.send(Body::End(frame)).await;
    }

    async fn send(&self, body: Body) -> Result<()> {
        self.context.peers.send(&self.origin, body).await
    }
}

/// Why a home refuses.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Whether an endpoint may have run it.
    pub sent: bool,
    /// Time after which to retry; zero if unknown.
    pub retry_after: Millis,
    /// The endpoint that was attempted.
    pub endpoint: Option<EndpointId>,
}

impl Refusal {
    /// A refusal of a request that wasn't sent to any endpoint.
    pub const fn new(reason: Reason) -> Self {
        Self {
            reason,
            sent: false,
            retry_after: Millis::ZERO,
            endpoint: None,
        }
    }
}
