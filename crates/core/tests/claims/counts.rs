//! Counters of schedules, printed after a run.

use std::collections::BTreeMap;

/// Counters of one or many schedules.
#[derive(Clone, Default, Debug)]
pub struct Counts {
    pub requests: u64,
    pub dispatches: u64,
    pub replays: u64,
    pub refusals: BTreeMap<&'static str, u64>,
    pub faults: BTreeMap<&'static str, u64>,
    pub takeovers: u64,
    pub fenced: u64,
    pub late: u64,
    pub checkpoints: u64,
    pub deletions: u64,
    pub audits: u64,
}

impl Counts {
    /// Adds the counts of another schedule.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.dispatches += other.dispatches;
        self.replays += other.replays;
        self.takeovers += other.takeovers;
        self.fenced += other.fenced;
        self.late += other.late;
        self.checkpoints += other.checkpoints;
        self.deletions += other.deletions;
        self.audits += other.audits;
        for (reason, count) in &other.refusals {
            *self.refusals.entry(reason).or_default() += count;
        }
        for (fault, count) in &other.faults {
            *self.faults.entry(fault).or_default() += count;
        }
    }
}
