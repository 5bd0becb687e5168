//! Identifiers of a configuration's items, which operators create and drop.

use std::str::FromStr;

use derive_more::{Debug, Display, Error};

use crate::ids::{AccountId, EndpointId, IdError, InstitutionId, PoolId};
use crate::operator::Quoted;

/// Result of parsing a path.
pub type Result<T> = std::result::Result<T, PathError>;

/// A text that isn't an account's path.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
pub enum PathError {
    /// No dot between institution and account.
    #[display("write an account as `<institution>.<account>`")]
    NoDot,
    /// An invalid identifier.
    #[display("{_0}")]
    Name(IdError),
}

/// Path of an account: its institution and its name.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
#[debug("{institution}.{account}")]
#[display("{institution}.{account}")]
pub struct AccountPath {
    /// The institution it belongs to.
    pub institution: InstitutionId,
    /// The account.
    pub account: AccountId,
}

impl FromStr for AccountPath {
    type Err = PathError;

    fn from_str(text: &str) -> Result<Self> {
        let (institution, account) = text.split_once('.').ok_or(PathError::NoDot)?;
        Ok(Self {
            institution: institution.parse().map_err(PathError::Name)?,
            account: account.parse().map_err(PathError::Name)?,
        })
    }
}

/// Path of a rule: its institution, route and model, which are unique together.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug)]
pub struct RulePath {
    /// The institution it belongs to.
    pub institution: InstitutionId,
    /// The route it matches.
    pub route: String,
    /// The model it matches; any if absent.
    pub model: Option<String>,
}

impl std::fmt::Display for RulePath {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} route {}", self.institution, Quoted(&self.route))?;
        match &self.model {
            Some(model) => write!(f, " model {}", Quoted(model)),
            None => Ok(()),
        }
    }
}

/// Identifier of an item.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
pub enum ItemId {
    /// An institution.
    #[display("institution {_0}")]
    Institution(InstitutionId),
    /// A client account.
    #[display("account {_0}")]
    Account(AccountPath),
    /// A pool.
    #[display("pool {_0}")]
    Pool(PoolId),
    /// An endpoint.
    #[display("endpoint {_0}")]
    Endpoint(EndpointId),
    /// A rule.
    #[display("rule {_0}")]
    Rule(RulePath),
}
