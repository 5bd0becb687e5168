//! Calls to the platform for the claim log; each returns exactly one reply.

use bytes::Bytes;
use medlarrill_core::claims::{ListedObject, Reply, ShutdownRecord};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::Incarnation;
use medlarrill_net::platform::{Client, Error, Listing, Read, Role, Version};

/// Timeout of a call to the platform.
const TIMEOUT: Millis = Millis(1000);

pub(super) async fn create(platform: &Client, key: &str, bytes: Bytes) -> Reply {
    match platform.create(Role::Claims, key, bytes, TIMEOUT).await {
        Ok(_) => Reply::Created,
        Err(Error::Precondition { .. }) => Reply::Exists,
        Err(error) => log_failure(key, &error),
    }
}

pub(super) async fn read(platform: &Client, key: &str) -> Reply {
    match platform.get(Role::Claims, key, None, TIMEOUT).await {
        Ok(Read::Object(object)) => Reply::Found(object.value),
        Err(Error::NotFound) => Reply::NotFound,
        Ok(Read::NotModified) => Reply::Lost,
        Err(error) => log_failure(key, &error),
    }
}

pub(super) async fn list(platform: &Client, prefix: &str, after: &str, limit: usize) -> Reply {
    let limit = u32::try_from(limit).unwrap_or(u32::MAX);
    let listed = platform
        .list(Role::Claims, prefix, after, limit, TIMEOUT)
        .await;
    match listed {
        Ok(listing) => list_reply(listing),
        Err(error) => log_failure(prefix, &error),
    }
}

pub(super) async fn delete(platform: &Client, key: &str, version: u64) -> Reply {
    let deleted = platform.delete(Role::Claims, key, Version(version), TIMEOUT);
    match deleted.await {
        Ok(()) => Reply::Deleted,
        Err(Error::NotFound) => Reply::NotFound,
        Err(Error::Precondition { .. }) => Reply::Changed,
        Err(error) => log_failure(key, &error),
    }
}

/// Reads the shutdown record of a process; `None` if it has none or the read fails.
pub(super) async fn read_shutdown_record(
    platform: &Client,
    claimant: Incarnation,
) -> Option<Bytes> {
    let key = ShutdownRecord::object_key(claimant);
    match platform.get(Role::Tickets, &key, None, TIMEOUT).await {
        Ok(Read::Object(object)) => Some(object.value),
        _ => None,
    }
}

/// Writes this process's shutdown record; if the call fails, it may or may not be stored.
pub(super) async fn write_shutdown_record(
    platform: &Client,
    claimant: Incarnation,
    record: &ShutdownRecord,
) {
    let key = ShutdownRecord::object_key(claimant);
    let written = platform.create(Role::Tickets, &key, record.to_bytes(), TIMEOUT);
    if let Err(error) = written.await {
        log::warn!(target: "claims", "claims: the shutdown record may not be written: {error}");
    }
}

fn list_reply(listing: Listing) -> Reply {
    let listed = listing.entries.into_iter().map(|entry| ListedObject {
        key: entry.key,
        version: entry.version.0,
    });
    Reply::Listed {
        objects: listed.collect(),
        more: listing.more,
    }
}

fn log_failure(key: &str, error: &Error) -> Reply {
    log::debug!(target: "claims", "claims: {key}: {error}");
    Reply::Lost
}
