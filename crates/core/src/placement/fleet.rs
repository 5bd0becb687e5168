//! The live daemons, and which of them holds a role by rendezvous.

use std::collections::BTreeMap;

use derive_more::Debug;

use super::rendezvous::{Group, Node, key_of};
use crate::ids::{DaemonId, DataCentreId, EndpointId, RegionId};

/// A daemon and where it stands.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Daemon {
    /// Its name.
    pub id: DaemonId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The region of the data centre.
    pub region: RegionId,
}

/// The daemons that a daemon holds to be live, itself among them.
#[derive(Clone, PartialEq, Default)]
#[derive(Debug)]
pub struct Fleet {
    all: Group<DaemonId>,
    centres: BTreeMap<DataCentreId, Group<DaemonId>>,
    regions: BTreeMap<RegionId, Group<DaemonId>>,
}

impl Fleet {
    /// A fleet of these daemons; rebuild it when membership changes.
    pub fn new(daemons: impl IntoIterator<Item = Daemon>) -> Self {
        let mut fleet = Self::default();
        for daemon in daemons {
            let node = || Node::new(daemon.id.clone(), daemon.id.as_str());
            fleet.all.push(node());
            let centre = fleet.centres.entry(daemon.data_centre).or_default();
            centre.push(node());
            fleet.regions.entry(daemon.region).or_default().push(node());
        }
        fleet
    }

    /// How many daemons there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The home of an endpoint: a daemon of its data centre, else of its region, else any.
    ///
    /// `region` is the region of the endpoint's data centre, where it is known.
    pub fn home_of(
        &self,
        endpoint: &EndpointId,
        data_centre: &DataCentreId,
        region: Option<&RegionId>,
    ) -> Option<&DaemonId> {
        let key = key_of(endpoint.as_str());
        let near = self.centres.get(data_centre);
        let region = || region.and_then(|region| self.regions.get(region));
        near.or_else(region).unwrap_or(&self.all).first(key)
    }

    /// The owner of a key among all daemons: a claim shard's, an account's.
    pub fn owner_of(&self, key: u64) -> Option<&DaemonId> {
        self.all.first(key)
    }

    /// The first `count` daemons of one data centre for a key, such as its watchers.
    pub fn owners_in(&self, data_centre: &DataCentreId, key: u64, count: usize) -> Vec<&DaemonId> {
        let centre = self.centres.get(data_centre);
        centre.map_or_else(Vec::new, |centre| centre.top(key, count))
    }
}
