//! Short forms of names in messages.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::routing::endpoint::InstanceId;

/// Short form of a prefix's key in messages.
pub const fn short_key(key: u64) -> u32 {
    (key >> u32::BITS) as u32
}

/// Short form of an endpoint's instance in messages: what is told of one instance doesn't count
/// for the next one.
pub fn short_id(id: &InstanceId) -> u32 {
    let born = id.started.map_or(0, |born| born.0);
    // The upper half of a 64-bit hash; among 4,500 endpoints two share one with odds of 1 in 400.
    short_key(xxh3_64_with_seed(id.endpoint.as_str().as_bytes(), born))
}
