//! Parts of a configuration, each stored as one immutable object.

use std::collections::BTreeMap;
use std::str::FromStr;

use derive_more::{Debug, Display, Error};
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::config::{Config, Endpoint, Institution, Pool};
use crate::ids::{DataCentreId, EndpointId, Generation, IdError, InstitutionId, PoolId};

/// Largest part, in bytes: the platform's limit for one object.
pub const MAX_PART: usize = 1 << 20;

/// Name of a part in the head.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display, SerializeDisplay, DeserializeFromStr)]
pub enum PartName {
    /// One institution with its accounts and rules.
    #[display("institution/{_0}")]
    Institution(InstitutionId),
    /// One pool.
    #[display("pool/{_0}")]
    Pool(PoolId),
    /// The endpoints of one pool in one data centre.
    #[display("endpoints/{_0}/{_1}")]
    Endpoints(PoolId, DataCentreId),
}

/// A text that isn't a part's name.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
pub enum PartNameError {
    /// Unknown kind of part.
    #[display("`{_0}` names no part")]
    Kind(#[error(not(source))] String),
    /// An invalid identifier.
    #[display("{_0}")]
    Name(IdError),
}

impl FromStr for PartName {
    type Err = PartNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        use PartNameError::Name;

        let words: Vec<_> = text.split('/').collect();
        match words[..] {
            ["institution", id] => id.parse().map(Self::Institution).map_err(Name),
            ["pool", id] => id.parse().map(Self::Pool).map_err(Name),
            ["endpoints", pool, centre] => {
                let pool = pool.parse().map_err(Name)?;
                Ok(Self::Endpoints(pool, centre.parse().map_err(Name)?))
            }
            _ => Err(PartNameError::Kind(text.into())),
        }
    }
}

/// Contents of a part.
#[derive(Clone, PartialEq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// One institution.
    Institution(Institution),
    /// One pool.
    Pool(Pool),
    /// Endpoints of one pool in one data centre.
    Endpoints(BTreeMap<EndpointId, Endpoint>),
}

/// A part as it is stored.
///
/// The version of the head that it was written for makes its bytes, and so its
/// digest, differ from those of every part that an earlier head may have named.
/// A part that a sweep has found unreferenced is therefore never referenced again.
#[derive(Clone, PartialEq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Version of the head that it was written for; zero for the first.
    pub base: u64,
    /// Contents.
    pub body: Body,
}

/// A part that can't be decoded.
#[derive(Debug, Display, Error)]
pub enum PartError {
    /// Invalid JSON, or JSON that isn't a part.
    #[display("part {name} can't be read: {source}")]
    Json {
        /// The part's name in the head.
        name: PartName,
        /// The decoder's error.
        source: serde_json::Error,
    },
    /// A part whose kind doesn't match its name.
    #[display("part {_0} is of another kind")]
    Kind(#[error(not(source))] PartName),
}

impl Part {
    /// Encodes the part as stored.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("maps with text keys can always be written")
    }

    /// Decodes a stored part.
    ///
    /// # Errors
    ///
    /// Bytes that don't decode to a part, or a part of another kind.
    pub fn read(name: &PartName, bytes: &[u8]) -> Result<Self, PartError> {
        let json = |source| PartError::Json {
            name: name.clone(),
            source,
        };
        let part: Self = serde_json::from_slice(bytes).map_err(json)?;
        let fits = matches!(
            (name, &part.body),
            (PartName::Institution(_), Body::Institution(_))
                | (PartName::Pool(_), Body::Pool(_))
                | (PartName::Endpoints(..), Body::Endpoints(_))
        );
        if fits {
            return Ok(part);
        }
        Err(PartError::Kind(name.clone()))
    }
}

/// Splits a configuration into its parts.
pub fn split(config: &Config) -> BTreeMap<PartName, Body> {
    let mut parts = BTreeMap::new();
    for (id, institution) in &config.institutions {
        let body = Body::Institution(institution.clone());
        parts.insert(PartName::Institution(id.clone()), body);
    }
    for (id, pool) in &config.pools {
        parts.insert(PartName::Pool(id.clone()), Body::Pool(pool.clone()));
    }
    let mut endpoints: BTreeMap<_, BTreeMap<_, _>> = BTreeMap::new();
    for (id, endpoint) in &config.endpoints {
        let name = PartName::Endpoints(endpoint.pool.clone(), endpoint.data_centre.clone());
        let group = endpoints.entry(name).or_default();
        group.insert(id.clone(), endpoint.clone());
    }
    let bodies = endpoints.into_iter();
    parts.extend(bodies.map(|(name, group)| (name, Body::Endpoints(group))));
    parts
}

/// Assembles a configuration from its parts.
pub fn join(generation: Generation, parts: BTreeMap<PartName, Body>) -> Config {
    let mut config = Config {
        generation,
        ..Config::default()
    };
    for (name, body) in parts {
        match (name, body) {
            (PartName::Institution(id), Body::Institution(body)) => {
                config.institutions.insert(id, body);
            }
            (PartName::Pool(id), Body::Pool(body)) => {
                config.pools.insert(id, body);
            }
            (_, Body::Endpoints(group)) => config.endpoints.extend(group),
            // `Part::read` rejects a part whose kind doesn't match its name.
            _ => {}
        }
    }
    config
}
