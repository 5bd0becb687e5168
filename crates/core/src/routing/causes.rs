//! What in a request may crash the endpoint that runs it.
//!
//! Either its whole content, or one of the parts of its prompt that other
//! requests may have too. What is known of a part holds for one model at one
//! software version of one pool: another one may read the same part without
//! harm.

use std::sync::Arc;

use derive_more::Debug;

use crate::ids::PoolId;
use crate::routing::endpoint::Build;
use crate::routing::fingerprint::{Fingerprint, hash_parts};
use crate::routing::request::RequestHead;

/// Parts of a prompt that are considered at either end of it.
const PARTS_AT_END: usize = 8;

/// What in one request may crash an endpoint.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Causes {
    request: Option<Fingerprint>,
    parts: Arc<[Part]>,
}

/// A shared part of a prompt.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
struct Part {
    id: u64,
    /// Hash of the pool, the model and the id.
    hash: u64,
}

impl Part {
    fn at(self, build: &Build) -> Fingerprint {
        let build = build.as_str().as_bytes();
        Fingerprint(hash_parts([&self.hash.to_le_bytes(), build]))
    }
}

impl Causes {
    /// The whole request.
    pub fn of_request(request: Fingerprint) -> Self {
        Self {
            request: Some(request),
            parts: Arc::default(),
        }
    }

    /// A request with a fingerprint and its shared parts, in a pool.
    pub fn new(request: Fingerprint, call: &RequestHead, pool: &PoolId) -> Self {
        let shared = call.shared_parts();
        let later = shared.len().saturating_sub(PARTS_AT_END).max(PARTS_AT_END);
        let first = shared.iter().take(PARTS_AT_END);
        let considered = first.chain(shared.iter().skip(later));
        let (pool, model) = (pool.as_str().as_bytes(), call.model.as_bytes());
        let part = |id: u64| Part {
            id,
            hash: hash_parts([pool, model, &id.to_le_bytes()]),
        };
        let mut parts: Vec<Part> = considered.map(|known| part(known.id)).collect();
        parts.sort_unstable_by_key(|part| part.id);
        parts.dedup();
        Self {
            request: Some(request),
            parts: parts.into(),
        }
    }

    /// Fingerprint of the whole request, if known.
    pub const fn request(&self) -> Option<Fingerprint> {
        self.request
    }

    /// What may crash an endpoint of a software version.
    pub fn at(&self, build: &Build) -> Vec<Fingerprint> {
        let parts = self.parts.iter().map(|part| part.at(build));
        self.request.into_iter().chain(parts).collect()
    }

    /// Id of the part that is a cause at a software version; `None` if it is the whole request.
    pub fn part(&self, cause: Fingerprint, build: &Build) -> Option<u64> {
        let part = self.parts.iter().find(|part| part.at(build) == cause);
        part.map(|part| part.id)
    }
}
