//! Monotonic and wall-clock time in milliseconds.

use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use medlarrill_core::clock::Millis;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Monotonic time since the first call in this process, in milliseconds.
pub fn now() -> Millis {
    START.elapsed().into()
}

/// Time since the Unix epoch, in milliseconds.
pub fn wall() -> Millis {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map(Millis::from)
        .unwrap_or_default()
}
