//! Reads the configuration from the platform, again and again.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use derive_more::{Debug, Display, Error, From};
use medlarrill_core::change::{Body, Digest, Head, HeadError, Part, PartError, PartName, join};
use medlarrill_core::clock::Millis;
use medlarrill_net::platform::{Client, Object, Read, Role, Version};
use tokio::sync::watch;

use super::view::ConfigView;
use crate::fleet;

/// Time between two reads of the head.
const EVERY: Millis = Millis(500);
/// Longest wait for an answer.
const WAIT: Millis = Millis::from_secs(2);
const HEAD: &str = "config/head";

type Result<T> = std::result::Result<T, PollError>;

#[derive(Debug, Display, Error, From)]
enum PollError {
    #[display("platform: {_0}")]
    Platform(medlarrill_net::platform::Error),
    #[display("{_0}")]
    Head(HeadError),
    #[display("{_0}")]
    Part(PartError),
    #[display("a part has other bytes than its digest says")]
    Digest,
}

/// Reads the head and what it names for as long as the daemon runs.
pub async fn poll(platform: Client, view: watch::Sender<Arc<ConfigView>>, fleet: fleet::Handle) {
    let mut known = None;
    let mut parts = BTreeMap::new();
    loop {
        match step(&platform, known, &mut parts, &view).await {
            Ok(version) => {
                known = version;
                let generation = view.borrow().config.generation;
                fleet.tell(fleet::Message::InForce(generation));
            }
            Err(error) => log::info!(target: "config", "config: {error}"),
        }
        tokio::time::sleep(EVERY.as_duration()).await;
    }
}

async fn step(
    platform: &Client,
    known: Option<Version>,
    parts: &mut BTreeMap<Digest, Bytes>,
    view: &watch::Sender<Arc<ConfigView>>,
) -> Result<Option<Version>> {
    let object = match platform.get(Role::Config, HEAD, known, WAIT).await {
        Ok(Read::Object(object)) => object,
        Ok(Read::NotModified) => return Ok(known),
        Err(medlarrill_net::platform::Error::NotFound) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let head = Head::read(&object.value)?;
    let mut bodies: BTreeMap<PartName, Body> = BTreeMap::new();
    for (name, part) in &head.parts {
        let bytes = fetch(platform, part.digest, parts).await?;
        bodies.insert(name.clone(), Part::read(name, &bytes)?.body);
    }
    if head.generation > view.borrow().config.generation {
        log::info!(target: "config", "config: generation {} is in force", head.generation);
        let config = join(head.generation, bodies);
        view.send_replace(Arc::new(ConfigView::new(config)));
    }
    let Object { version, .. } = object;
    Ok(Some(version))
}

async fn fetch(
    platform: &Client,
    digest: Digest,
    parts: &mut BTreeMap<Digest, Bytes>,
) -> Result<Bytes> {
    if let Some(bytes) = parts.get(&digest) {
        return Ok(bytes.clone());
    }
    let read = platform
        .get(Role::Config, &digest.key(), None, WAIT)
        .await?;
    let Read::Object(object) = read else {
        return Err(PollError::Digest);
    };
    if Digest::of(&object.value) != digest {
        return Err(PollError::Digest);
    }
    parts.insert(digest, object.value.clone());
    Ok(object.value)
}
