//! The configuration that operators define: institutions, pools, endpoints.
//!
//! A configuration consists of parts, each stored as one immutable object and
//! referenced by its digest in the head. A part contains what usually changes
//! together, and stays small: one institution, one pool, or the endpoints of
//! one pool in one data centre.

mod check;
mod endpoint;
mod institution;
mod item;
mod pool;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, Generation, InstitutionId, PoolId};

pub use check::Finding;
pub use endpoint::{Endpoint, Fencing};
pub use institution::{Account, Contract, Institution, KeyHash, Rule};
pub use item::{AccountPath, ItemId, PathError, RulePath};
pub use pool::{DEFAULT_LOAD_BOUND, Pool, PoolKind, RefusalMeaning};

/// The complete configuration of one generation.
#[derive(Clone, PartialEq, Default, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// The accepted generation; zero before the first.
    pub generation: Generation,
    /// Institutions with their contracts, accounts and rules.
    pub institutions: BTreeMap<InstitutionId, Institution>,
    /// Pools of endpoints.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Endpoints of all pools.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
}

impl Config {
    /// The endpoints of one pool.
    pub fn pool_endpoints(&self, pool: &PoolId) -> impl Iterator<Item = (&EndpointId, &Endpoint)> {
        let pool = pool.clone();
        self.endpoints
            .iter()
            .filter(move |(_, endpoint)| endpoint.pool == pool)
    }
}
