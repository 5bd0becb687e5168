//! Newtypes for sizes and rates, each with `Display` and `FromStr`.

use std::str::FromStr;

use derive_more::{Add, AddAssign, Debug, Display, Error, Sub, Sum};
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Result of parsing a size or rate.
pub type Result<T> = std::result::Result<T, UnitError>;

/// A size or rate that can't be parsed.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
#[display("`{text}` is not {wanted}")]
pub struct UnitError {
    /// The rejected text.
    text: String,
    /// Description of the expected format.
    #[error(not(source))]
    wanted: &'static str,
}

impl UnitError {
    fn new(text: &str, wanted: &'static str) -> Self {
        Self {
            text: text.into(),
            wanted,
        }
    }
}

/// A size in bytes, written `512B`, `64KiB`, `8MiB` or `1GiB`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Add, AddAssign, Sub, Sum, SerializeDisplay, DeserializeFromStr)]
pub struct ByteSize(pub u64);

/// A number of tokens, written as a plain integer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(
    Debug,
    Display,
    Add,
    AddAssign,
    Sub,
    Sum,
    SerializeDisplay,
    DeserializeFromStr
)]
#[display("{_0}")]
pub struct Tokens(pub u64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// The sum of two numbers, at most the largest one.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

/// A rate in events per second, written `50/s`.
#[derive(Clone, Copy, PartialEq, PartialOrd, Default)]
#[derive(Debug, Display, SerializeDisplay, DeserializeFromStr)]
#[display("{_0}/s")]
pub struct Rate(pub f64);

/// The bandwidth of a link in Mbit/s, written `200Mbit/s`.
#[derive(Clone, Copy, PartialEq, PartialOrd, Default)]
#[derive(Debug, Display, SerializeDisplay, DeserializeFromStr)]
#[display("{_0}Mbit/s")]
pub struct LinkRate(pub f64);

/// Units of [`ByteSize`] and their sizes in bytes, largest first.
const UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

impl std::fmt::Display for ByteSize {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let fits = |scale: u64| self.0 >= scale && self.0.is_multiple_of(scale);
        let (unit, scale) = UNITS
            .into_iter()
            .find(|(_, scale)| fits(*scale))
            .unwrap_or(("B", 1));
        write!(f, "{}{unit}", self.0 / scale)
    }
}

impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || UnitError::new(text, "a size: write a number and B, KiB, MiB or GiB");
        let (number, scale) = UNITS
            .into_iter()
            .find_map(|(unit, scale)| Some((text.trim().strip_suffix(unit)?, scale)))
            .ok_or_else(invalid)?;
        let number: u64 = number.trim().parse().map_err(|_| invalid())?;
        number.checked_mul(scale).map(Self).ok_or_else(invalid)
    }
}

impl FromStr for Tokens {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = |_| UnitError::new(text, "a number of tokens");
        text.trim().parse().map(Self).map_err(invalid)
    }
}

impl FromStr for Rate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || UnitError::new(text, "a rate: write a number and /s");
        parse_with_unit(text, "/s").map(Self).ok_or_else(invalid)
    }
}

impl FromStr for LinkRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || UnitError::new(text, "a link's rate: write a number and Mbit/s");
        parse_with_unit(text, "Mbit/s")
            .map(Self)
            .ok_or_else(invalid)
    }
}

/// Parses a finite, non-negative number followed by `unit`.
fn parse_with_unit(text: &str, unit: &str) -> Option<f64> {
    let number: f64 = text.trim().strip_suffix(unit)?.trim().parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}
