//! Reads the stored configuration from the platform.

use bytes::Bytes;
use medlarrill_core::change::committer::Stored;
use medlarrill_core::change::{Digest, HEAD_KEY};
use medlarrill_core::clock::Millis;
use medlarrill_net::platform::{Client, Error, Object, Read, Result, Role};

/// Timeout of one call.
pub const CALL_TIMEOUT: Millis = Millis::from_secs(2);

/// Reads the head; `None` if there is none.
///
/// # Errors
///
/// Those of the platform's client.
pub async fn read_head(platform: &Client, timeout: Millis) -> Result<Option<Stored>> {
    let object = read(platform, HEAD_KEY, timeout).await?;
    Ok(object.map(|object| Stored {
        version: object.version.0,
        bytes: object.value,
    }))
}

/// Reads a part, unchecked; `None` if there is none.
///
/// # Errors
///
/// Those of the platform's client.
pub async fn read_part(
    platform: &Client,
    digest: Digest,
    timeout: Millis,
) -> Result<Option<Bytes>> {
    let object = read(platform, &digest.key(), timeout).await?;
    Ok(object.map(|object| object.value))
}

async fn read(platform: &Client, key: &str, timeout: Millis) -> Result<Option<Object>> {
    match platform.get(Role::Config, key, None, timeout).await {
        Ok(Read::Object(object)) => Ok(Some(object)),
        // Returned only if a version is given, and none is.
        Ok(Read::NotModified) | Err(Error::NotFound) => Ok(None),
        Err(error) => Err(error),
    }
}
