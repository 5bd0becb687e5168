//! The choice for a prefix in a large pool, without a look at each endpoint.
//!
//! Ranks of all endpoints are compared, but health, load and allowance are only
//! looked up for an endpoint that ranks before all usable ones so far: some ten
//! of ten thousand. The result is the same as that of [`choose`](super::choose).

use rand_pcg::Pcg32;

use super::bound::{LoadSum, bound_of};
use super::{Candidate, Choice, Places, draw_under_bound, may_hold, spread};
use crate::clock::Millis;
use crate::placement::Node;
use crate::routing::request::SharedPrefix;

/// A pool whose candidates are built on demand.
pub struct LazyPool<N, F> {
    /// The endpoints, each with its ranks for prefixes.
    pub nodes: N,
    /// Builds the candidate of an endpoint.
    pub candidate: F,
    /// Loads of the endpoints that take work.
    pub open: LoadSum,
    /// Loads of the endpoints that aren't leaving.
    pub staying: LoadSum,
    /// The longest time that an endpoint has been listed.
    pub oldest: Millis,
    /// The endpoints that are known to have been sent the prefix.
    pub located: Vec<Candidate>,
}

/// Candidates with the highest ranks, highest first; of equal ranks, the first one.
struct Top {
    entries: Vec<(u64, Candidate)>,
    count: usize,
}

impl Top {
    const fn new(count: usize) -> Self {
        let entries = Vec::new();
        Self { entries, count }
    }

    /// Whether a candidate with this rank would be kept.
    fn takes(&self, rank: u64) -> bool {
        let last = self.entries.last();
        self.entries.len() < self.count || last.is_some_and(|(last, _)| rank > *last)
    }

    fn insert(&mut self, rank: u64, candidate: &Candidate) {
        if self.takes(rank) {
            let at = self.entries.partition_point(|(other, _)| *other >= rank);
            self.entries.insert(at, (rank, candidate.clone()));
            self.entries.truncate(self.count);
        }
    }

    const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        self.entries.iter().map(|(_, candidate)| candidate)
    }
}

/// Picks an endpoint for a prefix like [`choose`](super::choose); none if no endpoint under the
/// bound is healthy and accepts the prefix, so that all have to be compared. Draws from `rng` only
/// if it picks one.
pub fn choose_lazily<'a, T>(
    pool: LazyPool<impl Iterator<Item = (&'a Node<()>, T)>, impl FnMut(T) -> Candidate>,
    prefix: &SharedPrefix,
    share: f64,
    may_probe: bool,
    rng: &mut Pcg32,
) -> Option<Choice> {
    let mut candidate = pool.candidate;
    let bound = bound_of(pool.open, pool.staying);
    let count = spread(share, pool.open.count);
    // Without any that is prompt, all endpoints are looked at, so that the others are complete.
    let (mut prompt, mut under) = (Top::new(count), Top::new(count));
    let (mut first, mut holder) = (Top::new(1), Top::new(1));
    for (node, endpoint) in pool.nodes {
        let rank = node.rank(prefix.key);
        if !prompt.takes(rank) && !holder.takes(rank) {
            continue;
        }
        let candidate = candidate(endpoint);
        if may_hold(&candidate, pool.oldest) {
            holder.insert(rank, &candidate);
        }
        if candidate.is_suitable(Some(prefix), may_probe) {
            first.insert(rank, &candidate);
            if candidate.load <= bound {
                under.insert(rank, &candidate);
                if !candidate.is_delayed() {
                    prompt.insert(rank, &candidate);
                }
            }
        }
    }
    let under = if prompt.is_empty() { under } else { prompt };
    let under: Vec<&Candidate> = under.candidates().collect();
    if under.is_empty() {
        return None;
    }
    let picked = draw_under_bound(&under, bound, rng)?;
    let places = Places {
        first: first.candidates().next(),
        holder: holder.candidates().next(),
        others: pool.located.iter().collect(),
    };
    let choice = places.choice(picked, prefix);
    Some(Choice { bound, ..choice })
}
