//! 32-bit forms of ids in messages.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::routing::endpoint::InstanceId;

/// Short form of a 64-bit key: its upper half.
pub const fn short_key(key: u64) -> u32 {
    (key >> u32::BITS) as u32
}

/// Short form of an instance's id. Includes the start time, so that reports on one instance don't
/// count for the next one.
pub fn short_id(id: &InstanceId) -> u32 {
    let started = id.started.map_or(0, |started| started.0);
    // Among 4,500 endpoints two share a short id with a probability of 1 in 400.
    short_key(xxh3_64_with_seed(id.endpoint.as_str().as_bytes(), started))
}
