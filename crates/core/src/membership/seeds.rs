//! Addresses where members may be found: settings and the platform's list.
//!
//! The list lags and differs from daemon to daemon, so it only says where to
//! look and what to forget. It never makes a member live or gone.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::clock::Millis;

use super::event::ListedVm;
use super::settings::Settings;
use super::table::Entry;

/// How many times longer a gone member is kept while there is no recent list.
const UNLISTED_FACTOR: u64 = 36;

/// Addresses where members may be found.
#[derive(Clone, Default, Debug)]
pub(super) struct Seeds {
    fixed: BTreeSet<SocketAddr>,
    present: BTreeSet<SocketAddr>,
    listed: BTreeMap<SocketAddr, Millis>,
    updated: Option<Millis>,
}

impl Seeds {
    pub fn new(fixed: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            fixed: fixed.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Takes a new list.
    pub fn update(&mut self, vms: &[ListedVm], now: Millis) {
        self.present = vms.iter().map(|vm| vm.address).collect();
        self.listed
            .extend(self.present.iter().map(|address| (*address, now)));
        self.updated = Some(now);
    }

    /// Every address of the settings and of the latest list.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.fixed.union(&self.present).copied()
    }

    /// Whether a gone member is to be forgotten.
    pub fn forgets(&self, entry: &Entry, settings: &Settings, now: Millis) -> bool {
        if !entry.member.is_gone() {
            return false;
        }
        let recent = self.updated.is_some_and(|at| now.since(at) < settings.kept);
        let patience = match recent {
            true => settings.kept,
            false => Millis(settings.kept.0 * UNLISTED_FACTOR),
        };
        let listed = self.listed.get(&entry.member.address);
        let absent = listed.is_none_or(|at| now.since(*at) >= patience);
        absent && now.since(entry.since) >= patience
    }

    /// Drops what was listed long ago.
    pub fn prune(&mut self, settings: &Settings, now: Millis) {
        let patience = Millis(settings.kept.0 * UNLISTED_FACTOR);
        self.listed.retain(|_, at| now.since(*at) < patience);
    }
}
