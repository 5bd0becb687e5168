//! A time written as a plain number of milliseconds, as the protocols of the
//! platform and of endpoints have it.

use medlarrill_core::clock::Millis;
use serde::{Deserialize, Deserializer, Serializer};

/// Writes the number.
pub(crate) fn serialize<S: Serializer>(time: &Millis, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(time.0)
}

/// Reads the number.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Millis, D::Error> {
    u64::deserialize(deserializer).map(Millis)
}
