//! Names given by people: checked, cheap to clone.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Debug, Display, Error};
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Longest name, in bytes.
pub const MAX_NAME: usize = 64;

/// Result of reading a name.
pub type Result<T> = std::result::Result<T, IdError>;

/// A name that can't be used.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
pub enum IdError {
    /// No text at all.
    #[display("a name must not be empty")]
    Empty,
    /// Longer than `MAX_NAME` bytes.
    #[display("a name has at most {MAX_NAME} bytes, this one has {_0}")]
    Long(#[error(not(source))] usize),
    /// A character outside the allowed set.
    #[display("`{_0}` can't stand in a name: use a-z, A-Z, 0-9, `-`, `_` and `.`")]
    Character(#[error(not(source))] char),
}

fn check(text: &str) -> Result<()> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_NAME {
        return Err(IdError::Long(text.len()));
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || "-_.".contains(*c);
    match text.chars().find(|c| !allowed(c)) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta] $name:ident),+ $(,)?) => {$(
        #[$doc]
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Debug, Display, SerializeDisplay, DeserializeFromStr)]
        #[debug("{_0}")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }
    )+};
}

text_id! {
    /// A client account of an institution.
    AccountId,
    /// A daemon's name, lasting over restarts.
    DaemonId,
    /// A data centre.
    DataCentreId,
    /// An endpoint: one replica of a model or of a plain service.
    EndpointId,
    /// An institution.
    InstitutionId,
    /// A model.
    ModelId,
    /// A pool of endpoints that serve the same thing.
    PoolId,
    /// A region of data centres.
    RegionId,
    /// A VM in the platform's list.
    VmId,
}
