//! Identifiers drawn by the fleet, shown in hexadecimal.

use std::str::FromStr;

use derive_more::{Debug, Display, Error, From, Into};
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Result of reading a number.
pub type Result<T> = std::result::Result<T, NumberError>;

/// A number that can't be read.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
#[display("`{text}` is not an identifier of this kind")]
pub struct NumberError {
    /// The text as given.
    text: String,
}

impl NumberError {
    fn new(text: &str) -> Self {
        Self { text: text.into() }
    }
}

/// One run of a daemon process, drawn at its start.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display, SerializeDisplay, DeserializeFromStr)]
#[debug("{_0:016x}")]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);

/// A caller's request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display, SerializeDisplay, DeserializeFromStr)]
#[debug("{_0:032x}")]
#[display("{_0:032x}")]
pub struct RequestId(pub u128);

/// An operator's change, drawn by the client that asks for it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display, SerializeDisplay, DeserializeFromStr)]
#[debug("{_0:032x}")]
#[display("{_0:032x}")]
pub struct ChangeId(pub u128);

/// Hash of an institution and its chat's name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display, SerializeDisplay, DeserializeFromStr)]
#[debug("{_0:016x}")]
#[display("{_0:016x}")]
pub struct ChatHash(pub u64);

/// Number of an accepted configuration, counting up.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display, From, Into, SerializeDisplay, DeserializeFromStr)]
#[debug("{_0}")]
#[display("{_0}")]
pub struct Generation(pub u64);

/// One try of a request, as one sender made it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
#[debug("{request}.{number}@{sender}")]
#[display("{request}.{number}@{sender}")]
pub struct AttemptId {
    /// The request tried.
    pub request: RequestId,
    /// Which try this is, from 0.
    pub number: u32,
    /// The sending process.
    pub sender: Incarnation,
}

macro_rules! from_hex {
    ($($name:ident($number:ty)),+ $(,)?) => {$(
        impl FromStr for $name {
            type Err = NumberError;

            fn from_str(text: &str) -> Result<Self> {
                let number = <$number>::from_str_radix(text, 16);
                number.map(Self).map_err(|_| NumberError::new(text))
            }
        }
    )+};
}

from_hex! {
    Incarnation(u64),
    RequestId(u128),
    ChangeId(u128),
    ChatHash(u64),
}

impl FromStr for Generation {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self> {
        text.parse().map(Self).map_err(|_| NumberError::new(text))
    }
}

impl RequestId {
    /// The number in network byte order.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }

    /// Reads a number in network byte order; `None` unless 16 bytes are given.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(u128::from_be_bytes).map(Self)
    }
}
