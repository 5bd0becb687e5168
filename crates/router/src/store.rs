//! Follows the platform's object store: the configuration and the endpoints.

mod client;
mod follow;

use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::routing::directory::Change;
use medlarrill_core::routing::endpoint::Endpoint;
use medlarrill_net::now::now;
use medlarrill_platform::objects;
use medlarrill_platform::store::{self as wire, CONFIGURATION, Kind, Object};
use tokio::sync::watch;

use self::follow::{Follower, Sink};
use crate::metrics::Metrics;
use crate::placement::Placement;
use crate::shared::InForce;

/// Pause after changes of the configuration, in which further ones are gathered. Versions have
/// to be in force within 2 s; this takes a tenth of that.
const CONFIGURATION_PAUSE: Millis = Millis(200);
/// Pause after changes of endpoints. A leaving endpoint gets no new work after 2 s at most;
/// gathering for half of that saves four of five calls while endpoints report.
const ENDPOINTS_PAUSE: Millis = Millis(900);
/// Between two looks for endpoints that were missing for too long.
const SWEEP: Millis = Millis(200);

/// Follows the configuration until the process ends.
pub async fn follow_configuration(
    address: std::net::SocketAddr,
    metrics: Arc<Metrics>,
    in_force: watch::Sender<InForce>,
) {
    let sink = Sink {
        replace: Box::new(|objects: Vec<Object>, _| {
            for object in &objects {
                apply(&in_force, object, &metrics);
            }
        }),
        change: Box::new(|change, _| match change {
            wire::Change::Put(object) => apply(&in_force, &object, &metrics),
            wire::Change::Removed(name) => {
                log::warn!(target: "store", object = name; "store: configuration removed, the one in force stays");
            }
        }),
        back: Box::new(|_, _| {}),
    };
    let follower = Follower::new(address, Kind::Configuration, CONFIGURATION_PAUSE, &metrics);
    follower.run(sink).await;
}

/// Puts a configuration in force if it is newer.
fn apply(in_force: &watch::Sender<InForce>, object: &Object, metrics: &Metrics) {
    if object.name != CONFIGURATION {
        return;
    }
    let config = match objects::configuration(object) {
        Ok(config) => config,
        Err(error) => {
            log::error!(
                target: "store", revision = object.revision, place = error.place, cause = error.cause;
                "store: configuration can't be read, the one in force stays"
            );
            return;
        }
    };
    let before = in_force.borrow().as_ref().map(|config| config.version);
    let version = config.version;
    if before.is_some_and(|before| before >= version) {
        return;
    }
    let number = version.0;
    in_force.send_replace(Some(Arc::new(config)));
    metrics
        .version
        .set(i64::try_from(number).unwrap_or(i64::MAX));
    log::info!(
        target: "store", version = number, before = before.map_or(0, |before| before.0), revision = object.revision;
        "store: configuration in force"
    );
}

/// Follows the list of endpoints until the process ends.
pub async fn follow_endpoints(
    address: std::net::SocketAddr,
    metrics: Arc<Metrics>,
    placement: Arc<Placement>,
    listed: watch::Sender<bool>,
) {
    let sink = Sink {
        replace: Box::new(|objects: Vec<Object>, revision| {
            let endpoints: Vec<Endpoint> = objects.iter().filter_map(endpoint).collect();
            let changes = placement.change(|directory| directory.replace(endpoints, now()));
            report(&changes, revision);
            listed.send_replace(true);
            metrics.endpoints.set(count(&placement));
        }),
        change: Box::new(|change, revision| {
            let changes = placement.change(|directory| match change {
                wire::Change::Put(object) => {
                    let endpoint = endpoint(&object);
                    let change = endpoint.and_then(|endpoint| directory.list(endpoint, now()));
                    change.into_iter().collect()
                }
                wire::Change::Removed(name) => {
                    let id = name.parse().ok();
                    let change = id.and_then(|id| directory.remove(&id, now()));
                    change.into_iter().collect()
                }
            });
            report(&changes, revision);
            metrics.endpoints.set(count(&placement));
        }),
        back: Box::new(|outage, at| {
            placement.change(|directory| {
                directory.platform_back(outage, at);
                Vec::new()
            });
        }),
    };
    let follower = Follower::new(address, Kind::Endpoints, ENDPOINTS_PAUSE, &metrics);
    tokio::join!(follower.run(sink), sweep(&placement));
}

async fn sweep(placement: &Placement) {
    let mut ticks = tokio::time::interval(SWEEP.as_duration());
    loop {
        ticks.tick().await;
        let changes = placement.change(|directory| directory.tick(now()));
        report(&changes, 0);
    }
}

fn endpoint(object: &Object) -> Option<Endpoint> {
    objects::endpoint(object)
        .inspect_err(|error| {
            log::error!(
                target: "store", object = object.name, place = error.place, cause = error.cause;
                "store: endpoint can't be read, what was known of it stays"
            );
        })
        .ok()
}

fn count(placement: &Placement) -> i64 {
    i64::try_from(placement.endpoints()).unwrap_or(i64::MAX)
}

fn report(changes: &[Change], revision: u64) {
    for change in changes {
        match change {
            Change::Listed(endpoint) => log::info!(
                target: "store", endpoint = endpoint.id.as_str(), pool = endpoint.pool.as_str(),
                address:% = endpoint.address, leaving = endpoint.leaving, revision;
                "store: endpoint listed"
            ),
            Change::Removed(id) => {
                log::info!(target: "store", endpoint = id.as_str(), revision; "store: endpoint gone");
            }
            Change::Missing(id, until) => log::info!(
                target: "store", endpoint = id.as_str(), until = until.0, revision;
                "store: endpoint unlisted after an outage, kept for a while"
            ),
        }
    }
}
