//! Terms of an item, as given in a `create` or `alter` statement.
//!
//! `alter` leaves a term that isn't given unchanged; `create` sets it to its
//! default.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::config::{AccountPath, Fencing, KeyHash, PoolKind, RefusalMeaning, RulePath};
use crate::ids::{DataCentreId, EndpointId, InstitutionId, ModelId, PoolId, VmId};
use crate::units::Rate;

/// Terms of an institution.
#[derive(Clone, PartialEq, Debug)]
pub struct InstitutionTerms {
    /// The institution.
    pub id: InstitutionId,
    /// Weight in an endpoint's queue.
    pub share: Option<u32>,
    /// How long a claimed idempotency key is retained.
    pub key_lifetime: Option<Millis>,
    /// Longest time in a queue.
    pub queue_wait: Option<Millis>,
}

impl InstitutionTerms {
    /// Terms with only the identifier set.
    pub const fn new(id: InstitutionId) -> Self {
        Self {
            id,
            share: None,
            key_lifetime: None,
            queue_wait: None,
        }
    }
}

/// Terms of a client account.
#[derive(Clone, PartialEq, Debug)]
pub struct AccountTerms {
    /// The account.
    pub path: AccountPath,
    /// Hash of its bearer key.
    pub key: Option<KeyHash>,
    /// Requests per second.
    pub rate: Option<Rate>,
    /// Requests in flight.
    pub concurrency: Option<u32>,
}

impl AccountTerms {
    /// Terms with only the identifier set.
    pub const fn new(path: AccountPath) -> Self {
        Self {
            path,
            key: None,
            rate: None,
            concurrency: None,
        }
    }
}

/// Terms of a pool.
#[derive(Clone, PartialEq, Debug)]
pub struct PoolTerms {
    /// The pool.
    pub id: PoolId,
    /// What kind of endpoints it holds.
    pub kind: Option<PoolKind>,
    /// The model served.
    pub model: Option<ModelId>,
    /// Requests that an endpoint runs at once.
    pub slots: Option<u32>,
    /// Largest load as a multiple of the mean.
    pub load_bound: Option<f64>,
    /// Requests that may wait for one endpoint.
    pub queue: Option<u32>,
    /// Whether a refused request may have run.
    pub refusal: Option<RefusalMeaning>,
    /// Longest wait for the first byte.
    pub first_byte: Option<Millis>,
    /// Longest gap between two pieces of a response.
    pub gap: Option<Millis>,
}

impl PoolTerms {
    /// Terms with only the identifier set.
    pub const fn new(id: PoolId) -> Self {
        Self {
            id,
            kind: None,
            model: None,
            slots: None,
            load_bound: None,
            queue: None,
            refusal: None,
            first_byte: None,
            gap: None,
        }
    }
}

/// Terms of an endpoint.
#[derive(Clone, PartialEq, Debug)]
pub struct EndpointTerms {
    /// The endpoint.
    pub id: EndpointId,
    /// Its pool.
    pub pool: Option<PoolId>,
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// The data centre it is in.
    pub data_centre: Option<DataCentreId>,
    /// The VM it runs on.
    pub vm: Option<VmId>,
    /// Whether it checks fencing tokens.
    pub fencing: Option<Fencing>,
}

impl EndpointTerms {
    /// Terms with only the identifier set.
    pub const fn new(id: EndpointId) -> Self {
        Self {
            id,
            pool: None,
            address: None,
            data_centre: None,
            vm: None,
            fencing: None,
        }
    }
}

/// Terms of a rule.
#[derive(Clone, PartialEq, Debug)]
pub struct RuleTerms {
    /// The rule.
    pub path: RulePath,
    /// The pool that serves it.
    pub pool: Option<PoolId>,
    /// Whether requests may safely run twice.
    pub idempotent: Option<bool>,
}

impl RuleTerms {
    /// Terms with only the identifier set.
    pub const fn new(path: RulePath) -> Self {
        Self {
            path,
            pool: None,
            idempotent: None,
        }
    }
}
