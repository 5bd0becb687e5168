//! The view of the fleet's live daemons, for other tasks.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use medlarrill_core::ids::{DaemonId, DataCentreId, EndpointId, Generation, Incarnation, RegionId};
use medlarrill_core::membership::{Member, Membership};
use medlarrill_core::placement::{Daemon, Fleet};

use crate::configuration::ConfigView;

/// One daemon of the fleet.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Peer {
    /// Its address for peer links.
    pub address: SocketAddr,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The region of its data centre.
    pub region: RegionId,
    /// Its membership state.
    pub state: medlarrill_core::membership::State,
    /// The configuration in force there, as last reported.
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

/// The fleet as this daemon knows it.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct FleetView {
    /// Daemons eligible for roles, such as home.
    pub placement: Fleet,
    /// All reachable daemons, including leaving ones, by name.
    pub peers: BTreeMap<DaemonId, Peer>,
    /// Daemons that were lost without leaving.
    pub lost: usize,
    /// The region of each data centre that has a daemon.
    pub regions: BTreeMap<DataCentreId, RegionId>,
    /// Whether the view is fresh enough to act on.
    pub fresh: bool,
}

impl FleetView {
    /// The view of the current membership.
    pub fn new(membership: &Membership, fresh: bool) -> Self {
        let eligible = membership.members().filter(|member| member.is_eligible());
        let placement = Fleet::new(eligible.map(daemon));
        let reachable = membership.members().filter(|member| !member.is_gone());
        let peers: BTreeMap<_, _> = reachable
            .map(|member| (member.daemon.clone(), Peer::from(member)))
            .collect();
        let region_of = |peer: &Peer| (peer.data_centre.clone(), peer.region.clone());
        let regions = peers.values().map(region_of).collect();
        Self {
            placement,
            peers,
            lost: membership
                .members()
                .filter(|member| member.is_lost())
                .count(),
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
