//! Durations and points in time, in milliseconds.
//!
//! A [`Millis`] is a duration or a point in time. Points in time passed to the
//! state machines of this crate are monotonic and count from the start of the
//! process. Those exchanged between processes count from the Unix epoch, and
//! variables that hold them are named `wall`.

use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;

use derive_more::{Debug, Display, Error};
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// A duration or a point in time, in milliseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display, SerializeDisplay, DeserializeFromStr)]
#[debug("{_0}ms")]
#[display("{_0}ms")]
pub struct Millis(pub u64);

/// Result of parsing a duration.
pub type Result<T> = std::result::Result<T, TimeError>;

/// A duration that can't be parsed.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
#[display("`{text}` is not a time: write a number and ms, s, m, h or d")]
pub struct TimeError {
    /// The rejected text.
    text: String,
}

impl Millis {
    /// The zero duration, or the start of the clock.
    pub const ZERO: Self = Self(0);
    /// The largest value; as a point in time, one that is never reached.
    pub const MAX: Self = Self(u64::MAX);

    /// The exponential decay factor for this duration: 1 at zero, halved with each `half_life`.
    pub fn decay_factor(self, half_life: Self) -> f64 {
        0.5_f64.powf(self.as_secs_f64() / half_life.as_secs_f64())
    }

    /// A duration of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// The duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// The duration since `earlier`, zero if `earlier` is in the future.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// The duration as the standard library's type.
    pub const fn as_duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl From<std::time::Duration> for Millis {
    fn from(duration: std::time::Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.since(other)
    }
}

impl FromStr for Millis {
    type Err = TimeError;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || TimeError { text: text.into() };
        let trimmed = text.trim();
        let end = trimmed
            .find(|c: char| !c.is_ascii_digit())
            .ok_or_else(invalid)?;
        let (number, unit) = trimmed.split_at(end);
        let number: u64 = number.parse().map_err(|_| invalid())?;
        let scale = match unit.trim() {
            "ms" => 1,
            "s" => 1000,
            "m" => 60_000,
            "h" => 3_600_000,
            "d" => 86_400_000,
            _ => return Err(invalid()),
        };
        number.checked_mul(scale).map(Self).ok_or_else(invalid)
    }
}
