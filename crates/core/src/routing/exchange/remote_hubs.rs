//! Sums of other data centres, as received from their hubs.

use std::collections::HashMap;
use std::net::SocketAddr;

use derive_more::Debug;

use super::members::DataCentreHash;
use super::message::{PrefixTotals, Subtotal};
use super::sums::{OutcomeCounts, SumsCopy, Version};
use super::{COVERAGE_MIN, SILENCE_TIMEOUT};
use crate::clock::Millis;
use crate::routing::room::demand::LastDemand;

/// State received from one hub of another data centre.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct RemoteHub {
    /// Its data centre.
    pub centre: DataCentreHash,
    /// The sums of that data centre.
    pub copy: SumsCopy,
    /// Number of daemons in the sums.
    pub daemons: u32,
    /// Requests with shared prefixes there.
    pub prefixes: PrefixTotals,
    /// The version of this daemon's sums that the hub has reached.
    pub reached: Option<Version>,
    /// Digest of the evidence that it holds.
    pub digest: u64,
    /// What callers there ask of busy pools.
    pub demand: LastDemand,
    /// Time of the last subtotal.
    at: Millis,
}

/// Hubs of other data centres. All hubs of one data centre sum up the same daemons.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct RemoteHubs {
    hubs: HashMap<SocketAddr, RemoteHub>,
}

impl RemoteHubs {
    /// Removes hubs that have been silent for [`SILENCE_TIMEOUT`].
    pub fn expire(&mut self, now: Millis) {
        self.hubs
            .retain(|_, remote| now.since(remote.at) < SILENCE_TIMEOUT);
    }

    /// Applies a hub's subtotal; returns the outcomes that are new, if the hub is the chosen one of
    /// its data centre.
    pub fn apply(
        &mut self,
        from: SocketAddr,
        subtotal: &Subtotal,
        now: Millis,
    ) -> Vec<(u32, OutcomeCounts)> {
        let remote = self.hubs.entry(from).or_default();
        remote.at = now;
        remote.centre = DataCentreHash(subtotal.centre);
        remote.daemons = subtotal.daemons;
        if let Some(prefixes) = &subtotal.prefixes {
            remote.prefixes.clone_from(prefixes);
        }
        remote.reached = subtotal.reached;
        remote.digest = subtotal.digest;
        remote.demand.update(subtotal.demand.as_ref(), now);
        let counted = subtotal.delta.as_ref();
        let counted = counted.and_then(|delta| remote.copy.apply(delta));
        let is_chosen = self.chosen().any(|(hub, _)| hub == from);
        counted.filter(|_| is_chosen).unwrap_or_default()
    }

    /// The state received from a hub.
    pub fn get(&self, hub: &SocketAddr) -> Option<&RemoteHub> {
        self.hubs.get(hub)
    }

    /// One hub for each data centre: the first by address of those that sum up nearly as many
    /// daemons as any. A hub that was cut off from many of its daemons isn't chosen.
    pub fn chosen(&self) -> impl Iterator<Item = (SocketAddr, &RemoteHub)> {
        let mut best: HashMap<DataCentreHash, (SocketAddr, &RemoteHub)> = HashMap::new();
        let mut hubs: Vec<(&SocketAddr, &RemoteHub)> = self.hubs.iter().collect();
        hubs.sort_by_key(|(address, _)| **address);
        for (address, remote) in hubs {
            let (hub, known) = best.entry(remote.centre).or_insert((*address, remote));
            if f64::from(known.daemons) < COVERAGE_MIN * f64::from(remote.daemons) {
                (*hub, *known) = (*address, remote);
            }
        }
        best.into_values()
    }
}
