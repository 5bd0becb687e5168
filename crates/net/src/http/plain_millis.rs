//! Serde helpers for a time as a plain number of milliseconds, the format in the
//! protocols of the platform and of endpoints.

use medlarrill_core::clock::Millis;
use serde::{Deserialize, Deserializer, Serializer};

/// Serialises the time as an integer.
pub(crate) fn serialize<S: Serializer>(time: &Millis, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(time.0)
}

/// Deserialises the time from an integer.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Millis, D::Error> {
    u64::deserialize(deserializer).map(Millis)
}
