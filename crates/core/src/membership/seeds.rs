//! Addresses where members may be found, from the settings and the platform's list.
//!
//! The list lags and differs from daemon to daemon. It is used only to find
//! members, and to decide when gone members are forgotten. It never makes a
//! member live or gone.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::clock::Millis;

use super::event::ListedVm;
use super::settings::Settings;
use super::table::Entry;

/// Factor by which a gone member is kept longer while there is no recent list.
const UNLISTED_FACTOR: u64 = 36;

/// Addresses where members may be found.
#[derive(Clone, Default, Debug)]
pub(super) struct Seeds {
    /// Addresses of the settings.
    configured: BTreeSet<SocketAddr>,
    /// Addresses of the latest list.
    listed: BTreeSet<SocketAddr>,
    /// When each address was last listed.
    last_listed: BTreeMap<SocketAddr, Millis>,
    /// When the latest list was received.
    updated: Option<Millis>,
}

impl Seeds {
    pub fn new(configured: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            configured: configured.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Replaces the list.
    pub fn update(&mut self, vms: &[ListedVm], now: Millis) {
        self.listed = vms.iter().map(|vm| vm.address).collect();
        self.last_listed
            .extend(self.listed.iter().map(|address| (*address, now)));
        self.updated = Some(now);
    }

    /// All addresses of the settings and of the latest list.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.configured.union(&self.listed).copied()
    }

    /// Whether a member is gone and unlisted for long enough to be forgotten.
    pub fn should_forget(&self, entry: &Entry, settings: &Settings, now: Millis) -> bool {
        if !entry.member.is_gone() {
            return false;
        }
        let recent = self
            .updated
            .is_some_and(|at| now.since(at) < settings.gone_retention);
        let retention = match recent {
            true => settings.gone_retention,
            false => Millis(settings.gone_retention.0 * UNLISTED_FACTOR),
        };
        let listed = self.last_listed.get(&entry.member.address);
        let absent = listed.is_none_or(|at| now.since(*at) >= retention);
        absent && now.since(entry.since) >= retention
    }

    /// Removes addresses that were last listed long ago.
    pub fn prune(&mut self, settings: &Settings, now: Millis) {
        let retention = Millis(settings.gone_retention.0 * UNLISTED_FACTOR);
        self.last_listed.retain(|_, at| now.since(*at) < retention);
    }
}
