//! The daemons held to be live, as the other tasks see them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use medlarrill_core::ids::{DaemonId, DataCentreId, EndpointId, Generation, Incarnation, RegionId};
use medlarrill_core::membership::{Member, Membership};
use medlarrill_core::placement::{Daemon, Fleet};

use crate::configuration::ConfigView;

/// One daemon.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Peer {
    /// Where it takes links.
    pub address: SocketAddr,
    /// Its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The region of its data centre.
    pub region: RegionId,
    /// Its state, as membership names it.
    pub state: medlarrill_core::membership::State,
    /// The configuration in force there, as last heard.
    pub generation: Generation,
}

impl From<&Member> for Peer {
    fn from(member: &Member) -> Self {
        Self {
            address: member.address,
            incarnation: member.incarnation,
            data_centre: member.data_centre.clone(),
            region: member.region.clone(),
            state: member.state(),
            generation: member.generation,
        }
    }
}

/// What is known of the fleet.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct FleetView {
    /// Daemons on which roles are placed.
    pub placement: Fleet,
    /// All that can be reached, leaving ones too, by name.
    pub peers: BTreeMap<DaemonId, Peer>,
    /// The region of each data centre that has a daemon.
    pub regions: BTreeMap<DataCentreId, RegionId>,
    /// Whether what is known may be acted on.
    pub fresh: bool,
}

impl FleetView {
    /// The view of a membership.
    pub fn new(membership: &Membership, fresh: bool) -> Self {
        let places = membership.members().filter(|member| member.is_eligible());
        let placement = Fleet::new(places.map(daemon));
        let reachable = membership.members().filter(|member| !member.is_gone());
        let peers: BTreeMap<_, _> = reachable
            .map(|member| (member.daemon.clone(), Peer::from(member)))
            .collect();
        let place = |peer: &Peer| (peer.data_centre.clone(), peer.region.clone());
        let regions = peers.values().map(place).collect();
        Self {
            placement,
            peers,
            regions,
            fresh,
        }
    }

    /// The home of an endpoint; `None` if it isn't configured or no daemon is live.
    pub fn home_of(&self, config: &ConfigView, endpoint: &EndpointId) -> Option<&DaemonId> {
        let centre = &config.endpoint(endpoint)?.data_centre;
        let region = self.regions.get(centre);
        self.placement.home_of(endpoint, centre, region)
    }
}

fn daemon(member: &Member) -> Daemon {
    Daemon {
        id: member.daemon.clone(),
        data_centre: member.data_centre.clone(),
        region: member.region.clone(),
    }
}
