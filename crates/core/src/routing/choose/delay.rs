//! Endpoints at which a prompt would wait for longer than its cache is worth.

use super::{Candidate, Ranked};
use crate::placement::Node;
use crate::routing::work::outlook::is_long;

/// Key by which endpoints rank for long prompts.
const LONG_PROMPTS: u64 = 0x6c6f_6e67;
/// How much the rank matters: the upper half of a pool gets most long prompts while it is free.
const LONG_POWER: i32 = 3;

impl Candidate {
    /// Whether a request waits there for longer than its cache is worth.
    pub(super) fn is_delayed(&self) -> bool {
        self.outlook.wait > self.patience
    }

    /// Weight for a request without a shared prefix by the length of its prompt, up to 1. Daemons
    /// prefer the same endpoints for long prompts, so that others are free of them before any
    /// daemon has heard of the latest ones.
    pub(super) fn long_weight(&self) -> f64 {
        if !is_long(self.reading) {
            return 1.0;
        }
        let node = Node::new((), self.endpoint.id.endpoint.as_str());
        let rank = node.rank(LONG_PROMPTS) as f64 / u64::MAX as f64;
        rank.powi(LONG_POWER)
    }
}

/// Picks among the endpoints without long waits, or if that gives none, among all.
pub(super) fn prefer_prompt<'a>(
    usable: &[Ranked<'a>],
    pick: impl Fn(&[Ranked<'a>]) -> Vec<&'a Candidate>,
) -> Vec<&'a Candidate> {
    if !usable.iter().any(|r| r.candidate.is_delayed()) {
        return pick(usable);
    }
    let prompt = usable.iter().copied();
    let prompt: Vec<Ranked<'a>> = prompt.filter(|r| !r.candidate.is_delayed()).collect();
    let picked = pick(&prompt);
    match picked.is_empty() {
        true => pick(usable),
        false => picked,
    }
}
