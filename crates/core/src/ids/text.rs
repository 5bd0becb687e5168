//! Names chosen by people: validated when parsed, cheap to clone.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Debug, Display, Error};
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Maximum length of a name, in bytes.
pub const MAX_NAME: usize = 64;

/// Result of parsing a name.
pub type Result<T> = std::result::Result<T, IdError>;

/// Why a text is not a valid name.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
pub enum IdError {
    /// The name is empty.
    #[display("a name must not be empty")]
    Empty,
    /// The name is longer than `MAX_NAME` bytes.
    #[display("a name has at most {MAX_NAME} bytes, this one has {_0}")]
    Long(#[error(not(source))] usize),
    /// The name has a character outside the allowed set.
    #[display("`{_0}` can't stand in a name: use a-z, A-Z, 0-9, `-`, `_` and `.`")]
    Character(#[error(not(source))] char),
}

fn validate(text: &str) -> Result<()> {
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
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self> {
                validate(text)?;
                Ok(Self(text.into()))
            }
        }
    )+};
}

text_id! {
    /// The name of a client account of an institution.
    AccountId,
    /// The name of a daemon; it survives restarts.
    DaemonId,
    /// The name of a data centre.
    DataCentreId,
    /// The name of an endpoint: one replica of a model or of a plain service.
    EndpointId,
    /// The name of an institution.
    InstitutionId,
    /// The name of a model.
    ModelId,
    /// The name of a pool: endpoints that serve the same model or service.
    PoolId,
    /// The name of a region, a group of data centres.
    RegionId,
    /// The name of a VM in the platform's list.
    VmId,
}
