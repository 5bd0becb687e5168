//! A caller's request, read and classified.

use bytes::Bytes;
use medlarrill_core::clock::Millis;
use medlarrill_core::config::{Pool, PoolKind};
use medlarrill_core::ids::{
    AccountId, AttemptId, ChatHash, EndpointId, Incarnation, InstitutionId, PoolId, RequestId,
};
use medlarrill_core::limits::{AccountHash, Limits};
use medlarrill_core::units::Tokens;
use medlarrill_core::wire::{Forward, Header};

use super::keyed::Keyed;
use crate::limits::PermitRequest;

/// Bytes of text counted as one token, where the token count isn't known.
pub const BYTES_PER_TOKEN: u64 = 4;

/// A request with all that is needed to send it to homes.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its identifier.
    pub request: RequestId,
    /// The institution that sent it.
    pub institution: InstitutionId,
    /// The account that sent it.
    pub account: AccountId,
    /// The account's limits over the whole fleet.
    pub limits: Limits,
    /// The pool that serves it.
    pub pool: PoolId,
    /// The pool's settings.
    pub pool_settings: Pool,
    /// The chat, if it belongs to one.
    pub chat: Option<ChatHash>,
    /// Estimated prompt.
    pub prompt: Tokens,
    /// Most tokens to generate.
    pub output: Tokens,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// What makes it safe to retry, if a second run does harm.
    pub keyed: Option<Keyed>,
    /// Longest wait before it runs.
    pub patience: Millis,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers forwarded to the endpoint.
    pub headers: Vec<Header>,
    /// Request body.
    pub body: Bytes,
}

impl Job {
    /// The request for a permit within the account's limits.
    pub fn permit_request(&self, sender: Incarnation) -> PermitRequest {
        PermitRequest {
            id: AttemptId {
                request: self.request,
                number: 0,
                sender,
            },
            account: AccountHash::of(&self.institution, &self.account),
            limits: self.limits,
        }
    }

    /// The key that ranks the pool's endpoints: the chat, else the request itself.
    pub const fn ranking_key(&self) -> u64 {
        match self.chat {
            Some(chat) => chat.0,
            None => self.request.0 as u64,
        }
    }

    /// Whether a model engine serves it.
    pub fn is_model(&self) -> bool {
        self.pool_settings.kind == PoolKind::Model
    }

    /// The name of the stream of one attempt at its engine.
    pub fn stream_name(id: AttemptId) -> String {
        format!("{}-{}", id.request, id.number)
    }

    /// The message that sends one attempt to a home.
    pub fn forward(
        &self,
        id: AttemptId,
        origin: &str,
        tried: &[EndpointId],
        credit: u64,
    ) -> Forward {
        let mut headers = self.headers.clone();
        headers.push(stream_header(&Self::stream_name(id)));
        Forward {
            attempt: Some(id.into()),
            origin: origin.into(),
            hops: 0,
            institution: self.institution.to_string(),
            account: self.account.to_string(),
            pool: self.pool.to_string(),
            endpoint: String::new(),
            tried: tried.iter().map(ToString::to_string).collect(),
            chat: self.chat.map_or(0, |chat| chat.0),
            prompt: self.prompt.0,
            output: self.output.0,
            idempotent: self.idempotent,
            max_wait: self.patience.0,
            credit,
            method: self.method.clone(),
            path: self.path.clone(),
            headers,
            body: self.body.clone(),
            cached: 0,
            resume: false,
        }
    }

    /// The message that resumes a stream at its endpoint after token `point.from`.
    pub fn resume(&self, id: AttemptId, origin: &str, point: &ResumePoint, credit: u64) -> Forward {
        Forward {
            endpoint: point.endpoint.to_string(),
            resume: true,
            method: "GET".into(),
            path: format!("/v1/streams/{}?from={}", point.stream, point.from),
            body: Bytes::new(),
            headers: vec![stream_header(&point.stream)],
            prompt: 0,
            ..self.forward(id, origin, &[], credit)
        }
    }
}

/// The header that gives an engine the name of a stream.
fn stream_header(name: &str) -> Header {
    Header {
        name: "x-request-id".into(),
        value: name.to_owned().into(),
    }
}

/// Where a broken stream can be resumed.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ResumePoint {
    /// The endpoint that holds it.
    pub endpoint: EndpointId,
    /// Its name there.
    pub stream: String,
    /// Tokens that the caller has.
    pub from: u64,
}
