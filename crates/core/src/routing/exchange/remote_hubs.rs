//! What hubs of other data centres tell: the sums of theirs.

use std::collections::HashMap;
use std::net::SocketAddr;

use derive_more::Debug;

use super::board::{OutcomeCounts, SumsCopy, Version};
use super::members::DataCentreHash;
use super::message::{Prefixes, Subtotal};
use super::{SILENT, WIDE};
use crate::clock::Millis;

/// What one hub of another data centre told.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Told {
    /// Its data centre.
    pub centre: DataCentreHash,
    /// The sums.
    pub copy: SumsCopy,
    /// How many daemons they sum up.
    pub daemons: u32,
    /// Its shared prefixes.
    pub prefixes: Prefixes,
    /// What it has reached of this daemon's sums.
    pub reached: Option<Version>,
    /// Digest of the evidence that it holds.
    pub digest: u64,
    at: Millis,
}

/// Hubs of other data centres, each of which sums up the same daemons as its fellow.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Centres {
    hubs: HashMap<SocketAddr, Told>,
}

impl Centres {
    /// Forgets hubs that are silent.
    pub fn forget(&mut self, now: Millis) {
        self.hubs.retain(|_, told| now.since(told.at) < SILENT);
    }

    /// Takes what a hub tells; returns the answers that are news.
    pub fn take(
        &mut self,
        from: SocketAddr,
        subtotal: &Subtotal,
        now: Millis,
    ) -> Vec<(u32, OutcomeCounts)> {
        let told = self.hubs.entry(from).or_default();
        told.at = now;
        told.centre = DataCentreHash(subtotal.centre);
        told.daemons = subtotal.daemons;
        if let Some(prefixes) = &subtotal.prefixes {
            told.prefixes.clone_from(prefixes);
        }
        told.reached = subtotal.reached;
        told.digest = subtotal.digest;
        let counted = subtotal.delta.as_ref();
        let counted = counted.and_then(|delta| told.copy.take(delta));
        let is_chosen = self.chosen().any(|(hub, _)| hub == from);
        counted.filter(|_| is_chosen).unwrap_or_default()
    }

    /// What a hub told.
    pub fn told(&self, hub: &SocketAddr) -> Option<&Told> {
        self.hubs.get(hub)
    }

    /// One hub for each data centre. Of those that sum up about as many daemons as any, the first
    /// by address: one that was cut off from many of its daemons doesn't stand for them.
    pub fn chosen(&self) -> impl Iterator<Item = (SocketAddr, &Told)> {
        let mut best: HashMap<DataCentreHash, (SocketAddr, &Told)> = HashMap::new();
        let mut hubs: Vec<(&SocketAddr, &Told)> = self.hubs.iter().collect();
        hubs.sort_by_key(|(address, _)| **address);
        for (address, told) in hubs {
            let (hub, known) = best.entry(told.centre).or_insert((*address, told));
            if f64::from(known.daemons) < WIDE * f64::from(told.daemons) {
                (*hub, *known) = (*address, told);
            }
        }
        best.into_values()
    }
}
