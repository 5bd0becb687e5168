//! The lagging list of VMs.

use std::collections::{HashMap, VecDeque};

use derive_more::{Display, FromStr};
use medlarrill_core::clock::Millis;
use serde::{Deserialize, Serialize};

use crate::wall;

/// What runs on a VM.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
#[derive(Serialize, Deserialize, Display, FromStr)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A daemon of the fleet.
    #[display("router")]
    Router,
    /// An engine or a plain service.
    #[display("endpoint")]
    Endpoint,
}

/// Whether a VM is leaving.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
#[derive(Serialize, Deserialize, Display, FromStr)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It runs.
    #[display("live")]
    Live,
    /// It will stop soon.
    #[display("leaving")]
    Leaving,
}

/// A VM as the platform lists it.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub vm: String,
    /// What runs on it.
    pub kind: Kind,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Where it takes peer links or requests, as IP and port.
    pub address: String,
    /// Whether it is leaving.
    pub state: State,
}

/// The list as it is answered.
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Serialize, Deserialize)]
pub struct VmList {
    /// When it was true, by the wall clock in ms.
    pub as_of: u64,
    /// The VMs.
    pub vms: Vec<Vm>,
}

/// A change of the list, as `PUT /stand-in/vms` takes it.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmUpdate {
    /// The new list; absent shows a viewer the common list again.
    pub vms: Option<Vec<Vm>>,
    /// The VM that alone sees the list, at once.
    pub viewer: Option<String>,
    /// How long changes take to show from now on.
    pub lag: Option<Millis>,
}

/// The lists of the past that may still be shown.
#[derive(Default, Debug)]
pub(super) struct Vms {
    lag: Millis,
    history: VecDeque<VmList>,
    viewers: HashMap<String, Vec<Vm>>,
}

impl Vms {
    pub(super) fn update(&mut self, update: VmUpdate) {
        self.lag = update.lag.unwrap_or(self.lag);
        match (update.viewer, update.vms) {
            (Some(viewer), vms) => self.set_for(&viewer, vms),
            (None, Some(vms)) => self.set(vms),
            (None, None) => {}
        }
    }

    pub(super) fn set(&mut self, vms: Vec<Vm>) {
        let as_of = wall().0;
        self.history.push_back(VmList { as_of, vms });
    }

    pub(super) fn set_for(&mut self, viewer: &str, vms: Option<Vec<Vm>>) {
        match vms {
            Some(vms) => self.viewers.insert(viewer.into(), vms),
            None => self.viewers.remove(viewer),
        };
    }

    pub(super) const fn set_lag(&mut self, lag: Millis) {
        self.lag = lag;
    }

    /// The list as `viewer` sees it now.
    pub(super) fn show(&mut self, viewer: Option<&str>) -> VmList {
        let as_of = wall().since(self.lag).0;
        while self.history.get(1).is_some_and(|next| next.as_of <= as_of) {
            self.history.pop_front();
        }
        let own = viewer.and_then(|viewer| self.viewers.get(viewer));
        // The first list has nothing before it, so that it shows at once.
        let common = self.history.front();
        let vms = own.or(common.map(|list| &list.vms));
        VmList {
            as_of,
            vms: vms.cloned().unwrap_or_default(),
        }
    }
}
