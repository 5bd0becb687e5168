//! The live daemons, and which of them has a role by rendezvous hashing.

use std::collections::BTreeMap;

use derive_more::Debug;

use super::rendezvous::{Group, Node, key_of};
use crate::ids::{DaemonId, DataCentreId, EndpointId, RegionId};

/// A daemon and its location.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Daemon {
    /// The daemon's name.
    pub id: DaemonId,
    /// The daemon's data centre.
    pub data_centre: DataCentreId,
    /// The region of the data centre.
    pub region: RegionId,
}

/// The daemons that one daemon considers live, including itself.
#[derive(Clone, PartialEq, Default)]
#[derive(Debug)]
pub struct Fleet {
    all: Group<DaemonId>,
    data_centres: BTreeMap<DataCentreId, Group<DaemonId>>,
    regions: BTreeMap<RegionId, Group<DaemonId>>,
}

impl Fleet {
    /// A fleet of the given daemons; rebuild it when membership changes.
    pub fn new(daemons: impl IntoIterator<Item = Daemon>) -> Self {
        let mut fleet = Self::default();
        for daemon in daemons {
            let node = || Node::new(daemon.id.clone(), daemon.id.as_str());
            fleet.all.push(node());
            let centre = fleet.data_centres.entry(daemon.data_centre).or_default();
            centre.push(node());
            fleet.regions.entry(daemon.region).or_default().push(node());
        }
        fleet
    }

    /// The number of daemons.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether the fleet has no daemons.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The home of an endpoint: a daemon of its data centre, else of its region, else of any
    /// region.
    ///
    /// `region` is the region of the endpoint's data centre, if known.
    pub fn home_of(
        &self,
        endpoint: &EndpointId,
        data_centre: &DataCentreId,
        region: Option<&RegionId>,
    ) -> Option<&DaemonId> {
        let key = key_of(endpoint.as_str());
        let in_data_centre = self.data_centres.get(data_centre);
        let in_region = || region.and_then(|region| self.regions.get(region));
        in_data_centre
            .or_else(in_region)
            .unwrap_or(&self.all)
            .first(key)
    }

    /// The owner of a key among all daemons, such as the key of a claim shard or an account.
    pub fn owner_of(&self, key: u64) -> Option<&DaemonId> {
        self.all.first(key)
    }

    /// The `count` daemons of one data centre with the highest scores for a key, such as its
    /// watchers.
    pub fn owners_in(&self, data_centre: &DataCentreId, key: u64, count: usize) -> Vec<&DaemonId> {
        let centre = self.data_centres.get(data_centre);
        centre.map_or_else(Vec::new, |centre| centre.top(key, count))
    }
}
