//! Puts a configuration straight into the platform, as the first of a fleet.

use medlarrill_core::change::{Digest, HEAD_KEY, Head, Part, PartRef, split};
use medlarrill_core::config::Config;

use crate::platform::Platform;

/// Stores a configuration and its head; nothing else may have changed it.
pub fn publish(platform: &Platform, config: &Config) {
    let mut head = Head {
        generation: config.generation,
        ..Head::default()
    };
    for (name, body) in split(config) {
        let bytes = Part { base: 0, body }.to_bytes();
        let digest = Digest::of(&bytes);
        platform.put(&digest.key(), bytes);
        let part = PartRef {
            digest,
            generation: config.generation,
        };
        head.parts.insert(name, part);
    }
    platform.put(HEAD_KEY, head.to_bytes());
}
