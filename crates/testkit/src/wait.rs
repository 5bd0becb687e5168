//! Waiting for a condition in tests.

use std::time::Duration;

use tokio::time::Instant;

/// Time after which a condition that doesn't hold fails its test.
const LIMIT: Duration = Duration::from_secs(60);
/// Pause between looks.
const PAUSE: Duration = Duration::from_millis(1);

/// Waits until `holds`.
///
/// # Panics
///
/// Fails the test with `what` if it doesn't hold within a minute.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !holds().await {
        assert!(Instant::now() < end, "never came: {what}");
        tokio::time::sleep(PAUSE).await;
    }
}
