//! Which causes explain the endpoints that were lost.
//!
//! A cause that crashes endpoints is lost with each of them, while other
//! requests run beside it, and is never served. So the cause that explains the
//! most losses is taken first, and with it all losses that it explains. Causes
//! that were lost with just the same endpoints can't be told apart: a request
//! is refused if it has all of them, which hits few others.
//!
//! A cause that was served shortly before its first loss comes after the others
//! and needs more losses over some time, in which it would have been served
//! again if it did no harm.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use super::suspect::{Record, Suspect};
use super::{LOSS_THRESHOLD, SERVED_LOSS_THRESHOLD, SERVED_SPAN};
use crate::routing::fingerprint::Fingerprint;

/// Endpoints by their short ids.
type Endpoints = BTreeSet<u32>;

/// Causes that can't be told apart.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Class {
    /// The causes, in order.
    pub causes: Vec<Fingerprint>,
}

/// Losses by cause.
pub struct Blame {
    /// Endpoints that count against each cause and that no class explains yet.
    unexplained: BTreeMap<Fingerprint, Endpoints>,
    /// Causes that were served shortly before.
    served: HashSet<Fingerprint>,
}

impl Blame {
    /// Takes what is known of each cause; causes with fewer than `least` losses are left out.
    pub fn new<'a>(
        suspects: impl Iterator<Item = (Fingerprint, &'a Suspect)> + Clone,
        least: usize,
    ) -> Self {
        let all_losses = suspects.clone().flat_map(|(_, suspect)| &suspect.lost);
        let early = all_losses.filter(|loss| !loss.finding.is_late());
        let early: HashSet<u32> = early.filter_map(|loss| loss.finding.endpoint()).collect();
        // What had been answered for long counts only where nothing else was lost.
        let counts = |loss: &&Record| {
            let endpoint = loss.finding.endpoint();
            !loss.finding.is_late() || endpoint.is_some_and(|lost| !early.contains(&lost))
        };
        let mut blame = Self {
            unexplained: BTreeMap::new(),
            served: HashSet::new(),
        };
        for (cause, suspect) in suspects.filter(|(_, suspect)| suspect.lost.len() >= least) {
            let losses: Vec<&Record> = suspect.lost.iter().filter(counts).collect();
            if suspect.was_served() {
                let first = losses.iter().map(|loss| loss.at).min().unwrap_or_default();
                let span = suspect.last_loss().since(first);
                if losses.len() < SERVED_LOSS_THRESHOLD || span < SERVED_SPAN {
                    continue;
                }
                blame.served.insert(cause);
            }
            let endpoints = losses.iter().filter_map(|loss| loss.finding.endpoint());
            blame.unexplained.insert(cause, endpoints.collect());
        }
        blame
    }

    /// The classes of causes to blame.
    pub fn classes(mut self) -> Vec<Class> {
        let mut classes = Vec::new();
        for is_served in [false, true] {
            while let Some((class, endpoints)) = self.top_class(is_served) {
                for left in self.unexplained.values_mut() {
                    left.retain(|endpoint| !endpoints.contains(endpoint));
                }
                classes.push(class);
            }
        }
        classes
    }

    /// The causes that explain the most losses; none if others explain all but a few of these as
    /// well.
    fn top_class(&self, is_served: bool) -> Option<(Class, Endpoints)> {
        let candidates = || {
            let all = self.unexplained.iter();
            all.filter(|(cause, _)| is_served || !self.served.contains(cause))
        };
        let most = candidates().map(|(_, lost)| lost.len()).max()?;
        let top = || candidates().filter(|(_, lost)| lost.len() == most);
        let is_unambiguous = |lost: &&Endpoints| {
            let others = || top().filter(|(_, other)| other != lost);
            let alone = lost
                .iter()
                .filter(|endpoint| !others().any(|(_, other)| other.contains(endpoint)));
            alone.count() >= LOSS_THRESHOLD
        };
        let endpoints = top().map(|(_, lost)| lost).find(is_unambiguous)?;
        let class = top().filter(|(_, lost)| *lost == endpoints);
        let causes = class.map(|(cause, _)| *cause).collect();
        Some((Class { causes }, endpoints.clone()))
    }

    /// Whether one of these causes was lost at least twice, and no other cause explains the loss of
    /// its endpoints better.
    pub fn is_prime(&self, causes: &[Fingerprint]) -> bool {
        let is_own = |cause: &Fingerprint| causes.contains(cause);
        let is_prime = |lost: &Endpoints| {
            let mut others = self.unexplained.iter().filter(|(cause, _)| !is_own(cause));
            let better = |other: &Endpoints| other.len() > lost.len() && !other.is_disjoint(lost);
            lost.len() > 1 && !others.any(|(_, other)| better(other))
        };
        let own = self.unexplained.iter().filter(|(cause, _)| is_own(cause));
        own.filter(|(cause, _)| !self.served.contains(*cause))
            .any(|(_, lost)| is_prime(lost))
    }
}
