//! Load reports that homes exchange on their heartbeats.

use std::collections::HashMap;

use medlarrill_core::clock::Millis;
use medlarrill_core::config::Config;
use medlarrill_core::ids::{DaemonId, EndpointId, PoolId};
use medlarrill_core::placement::{self, PoolSum};
use medlarrill_core::units::Tokens;
use medlarrill_core::wire::{EndpointLoad, PoolLoad, name_hash};

use super::task::Task;
use crate::fleet::Message;

/// Interval between two load summaries for the heartbeats.
const SUMMARY_INTERVAL: Millis = Millis(250);
/// Least loaded endpoints reported for each pool.
const LEAST_LOADED: usize = 3;

/// Pools and endpoints by the name hash that heartbeats use.
#[derive(Debug, Default)]
pub struct NameHashes {
    pools: HashMap<u32, PoolId>,
    endpoints: HashMap<u32, EndpointId>,
}

impl NameHashes {
    /// The name hashes of a configuration.
    pub fn new(config: &Config) -> Self {
        let pools = config.pools.keys();
        let endpoints = config.endpoints.keys();
        Self {
            pools: pools
                .map(|id| (name_hash(id.as_str()), id.clone()))
                .collect(),
            endpoints: endpoints
                .map(|id| (name_hash(id.as_str()), id.clone()))
                .collect(),
        }
    }
}

impl NameHashes {
    /// The endpoint with this name hash.
    pub fn endpoint(&self, hash: u32) -> Option<&EndpointId> {
        self.endpoints.get(&hash)
    }
}

impl Task {
    /// Sends this home's load to the membership task, once per interval.
    pub(super) fn publish_load(&mut self, now: Millis) {
        if now.since(self.load_published) < SUMMARY_INTERVAL {
            return;
        }
        self.load_published = now;
        let pools = self.loads.pools.iter().map(|(id, pool)| {
            let sum = pool.own_sum(now);
            let least = pool.own_least_loaded(LEAST_LOADED, now);
            let least: Vec<EndpointLoad> = least.iter().map(to_wire).collect();
            PoolLoad::new(name_hash(id.as_str()), sum.load.0, sum.endpoints, &least)
        });
        let pools = pools.filter(|pool| pool.endpoints > 0).collect();
        self.context.fleet_task.send(Message::OwnLoad(pools));
    }

    /// Merges the load of the endpoints that a peer is home of.
    pub(super) fn load_received(&mut self, from: &DaemonId, at: Millis, pools: &[PoolLoad]) {
        for report in pools {
            let id = self.names.pools.get(&report.pool);
            let Some(pool) = id.and_then(|id| self.loads.pools.get_mut(id)) else {
                continue;
            };
            let sum = PoolSum {
                load: Tokens(report.load),
                endpoints: report.endpoints,
                as_of: at,
            };
            pool.update_sum(from, sum);
            for load in report.least() {
                let Some(endpoint) = self.names.endpoints.get(&load.endpoint) else {
                    continue;
                };
                let load = placement::EndpointLoad {
                    endpoint: endpoint.clone(),
                    load: Tokens(load.load.into()),
                    room: load.room,
                    as_of: at,
                };
                pool.update_load(&load, at);
            }
        }
    }
}

fn to_wire(load: &placement::EndpointLoad) -> EndpointLoad {
    EndpointLoad {
        endpoint: name_hash(load.endpoint.as_str()),
        load: u32::try_from(load.load.0).unwrap_or(u32::MAX),
        room: load.room,
    }
}
