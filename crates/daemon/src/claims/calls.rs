//! Calls to the platform for the claim log; each brings exactly one reply.

use bytes::Bytes;
use medlarrill_core::claims::{ListedObject, Reply, ShutdownRecord};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::Incarnation;
use medlarrill_net::platform::{Client, Error, Listing, Read, Role, Version};

/// Longest wait for the platform.
const WAIT: Millis = Millis(1000);

pub(super) async fn create(platform: &Client, key: &str, bytes: Bytes) -> Reply {
    match platform.create(Role::Claims, key, bytes, WAIT).await {
        Ok(_) => Reply::Created,
        Err(Error::Precondition { .. }) => Reply::Exists,
        Err(error) => lost(key, &error),
    }
}

pub(super) async fn read(platform: &Client, key: &str) -> Reply {
    match platform.get(Role::Claims, key, None, WAIT).await {
        Ok(Read::Object(object)) => Reply::Found(object.value),
        Err(Error::NotFound) => Reply::NotFound,
        Ok(Read::NotModified) => Reply::Lost,
        Err(error) => lost(key, &error),
    }
}

pub(super) async fn list(platform: &Client, prefix: &str, after: &str, limit: usize) -> Reply {
    let limit = u32::try_from(limit).unwrap_or(u32::MAX);
    let listed = platform
        .list(Role::Claims, prefix, after, limit, WAIT)
        .await;
    match listed {
        Ok(listing) => reply(listing),
        Err(error) => lost(prefix, &error),
    }
}

pub(super) async fn delete(platform: &Client, key: &str, version: u64) -> Reply {
    let deleted = platform.delete(Role::Claims, key, Version(version), WAIT);
    match deleted.await {
        Ok(()) => Reply::Deleted,
        Err(Error::NotFound) => Reply::NotFound,
        Err(Error::Precondition { .. }) => Reply::Changed,
        Err(error) => lost(key, &error),
    }
}

/// The object that a process left, if it can be read.
pub(super) async fn farewell(platform: &Client, claimant: Incarnation) -> Option<Bytes> {
    let key = ShutdownRecord::object_key(claimant);
    match platform.get(Role::Tickets, &key, None, WAIT).await {
        Ok(Read::Object(object)) => Some(object.value),
        _ => None,
    }
}

/// Leaves this process's last word; a lost answer is as good as written or not.
pub(super) async fn leave(platform: &Client, claimant: Incarnation, farewell: &ShutdownRecord) {
    let key = ShutdownRecord::object_key(claimant);
    let written = platform.create(Role::Tickets, &key, farewell.to_bytes(), WAIT);
    if let Err(error) = written.await {
        log::warn!(target: "claims", "claims: the last word may not be written: {error}");
    }
}

fn reply(listing: Listing) -> Reply {
    let listed = listing.entries.into_iter().map(|entry| ListedObject {
        key: entry.key,
        version: entry.version.0,
    });
    Reply::Listed {
        objects: listed.collect(),
        more: listing.more,
    }
}

fn lost(key: &str, error: &Error) -> Reply {
    log::debug!(target: "claims", "claims: {key}: {error}");
    Reply::Lost
}
