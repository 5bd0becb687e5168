//! One level of weighted fair queueing by virtual time.
//!
//! Each flow has a tag: the work served to it, divided by its share. The flow
//! with the lowest tag is served next. A flow that uses less than its share
//! falls behind the virtual time and so saves up credit, up to a limit. Its
//! bursts are then served before the work of flows that use more than theirs.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

use derive_more::Debug;

/// Fixed-point units of a tag per token at share 1.
const SCALE: u64 = 1 << 10;
/// Limit on the work expected from a competing flow before a request is served, as a multiple of its waiting work.
const COMPETING_FACTOR: u64 = 2;
/// Maximum number of idle flows that are kept.
const MAX_IDLE: usize = 1024;

/// The flows of one level; `K` identifies a flow.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct FairQueue<K> {
    /// All flows: those with waiting work, and idle ones that haven't regained their full credit.
    flows: HashMap<K, Flow>,
    /// Flows with waiting work, by tag.
    ready: BTreeSet<(u64, K)>,
    /// Flows with waiting work, by waiting work per share.
    by_backlog: BTreeSet<(u64, K)>,
    /// Flows without waiting work, by tag.
    idle: BTreeSet<(u64, K)>,
    /// Virtual time, in the units of a tag.
    virtual_time: u64,
    /// Sum of the shares of flows with waiting work.
    shares: u64,
}

/// One flow.
#[derive(Clone)]
#[derive(Debug)]
struct Flow {
    /// Work served, divided by the share, in units of 1/`SCALE`.
    tag: u64,
    /// Weight relative to other flows.
    share: u32,
    /// Waiting work.
    work: u64,
    /// Number of waiting requests.
    count: u64,
}

impl Flow {
    /// Waiting work per share.
    fn backlog(&self) -> u64 {
        per_share(self.work, self.share)
    }
}

/// Units of a tag for an amount of work.
fn per_share(work: u64, share: u32) -> u64 {
    work.saturating_mul(SCALE) / u64::from(share.max(1))
}

impl<K> Default for FairQueue<K> {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            ready: BTreeSet::new(),
            by_backlog: BTreeSet::new(),
            idle: BTreeSet::new(),
            virtual_time: 0,
            shares: 0,
        }
    }
}

impl<K: Clone + Ord + Hash> FairQueue<K> {
    /// Adds a waiting request. `credit` is the most work that a flow may have saved up.
    pub(super) fn push(&mut self, key: &K, share: u32, work: u64, credit: u64) {
        let share = share.max(1);
        let floor = self.virtual_time.saturating_sub(per_share(credit, share));
        let mut flow = self.take(key).unwrap_or(Flow {
            tag: floor,
            share,
            work: 0,
            count: 0,
        });
        flow.share = share;
        flow.tag = flow.tag.max(floor);
        flow.work += work;
        flow.count += 1;
        self.put(key, flow);
    }

    /// Removes a waiting request that wasn't served.
    pub(super) fn remove(&mut self, key: &K, work: u64) {
        let Some(mut flow) = self.take(key) else {
            return;
        };
        flow.work = flow.work.saturating_sub(work);
        flow.count = flow.count.saturating_sub(1);
        self.put(key, flow);
    }

    /// Removes a waiting request that is served now, and charges its flow.
    pub(super) fn serve(&mut self, key: &K, work: u64) {
        let Some(mut flow) = self.take(key) else {
            return;
        };
        // A flow may be served out of turn; the virtual time then advances no further than the lowest waiting tag.
        let first = self.ready.first().map_or(flow.tag, |(tag, _)| *tag);
        self.virtual_time = self.virtual_time.max(flow.tag.min(first));
        flow.tag += per_share(work, flow.share);
        flow.work = flow.work.saturating_sub(work);
        flow.count = flow.count.saturating_sub(1);
        self.put(key, flow);
    }

    /// Corrects the charge of a served request to its actual work.
    pub(super) fn correct(&mut self, key: &K, charged: u64, actual: u64) {
        let Some(mut flow) = self.take(key) else {
            return;
        };
        let more = per_share(actual.saturating_sub(charged), flow.share);
        let less = per_share(charged.saturating_sub(actual), flow.share);
        flow.tag = (flow.tag + more).saturating_sub(less);
        self.put(key, flow);
    }

    /// Flows with waiting work, in the order of service.
    pub(super) fn ready(&self) -> impl Iterator<Item = &K> {
        self.ready.iter().map(|(_, key)| key)
    }

    /// The flow with the most waiting work per share.
    pub(super) fn longest(&self) -> Option<&K> {
        self.by_backlog.last().map(|(_, key)| key)
    }

    /// How far the flow is behind the virtual time, as work at its share.
    pub(super) fn lag(&self, key: &K) -> u64 {
        self.flows.get(key).map_or(0, |flow| {
            self.virtual_time.saturating_sub(flow.tag) * u64::from(flow.share) / SCALE
        })
    }

    /// Estimated work of all flows that is served before this flow has been served `ahead`, if the flows that wait
    /// keep sending requests.
    ///
    /// A flow that was served more than its share is served only after the others have caught up.
    pub(super) fn work_before(&self, key: &K, ahead: u64) -> u64 {
        let Some(flow) = self.flows.get(key) else {
            return ahead;
        };
        let end_tag = flow.tag.saturating_add(per_share(ahead, flow.share));
        let mut work = ahead;
        for (tag, other) in &self.ready {
            if *tag >= end_tag {
                break;
            }
            let Some(competitor) = self.flows.get(other).filter(|_| other != key) else {
                continue;
            };
            let due = (end_tag - tag).saturating_mul(u64::from(competitor.share)) / SCALE;
            work = work.saturating_add(due.min(COMPETING_FACTOR * competitor.work));
        }
        work
    }

    /// The flow's share as a fraction of the shares of all known flows.
    pub(super) fn fraction(&self, key: &K) -> f64 {
        let all: u64 = self.flows.values().map(|flow| u64::from(flow.share)).sum();
        let own = self.flows.get(key).map_or(0, |flow| flow.share);
        f64::from(own) / all.max(1) as f64
    }

    /// Mean work of the flow's waiting requests.
    pub(super) fn mean_work(&self, key: &K) -> u64 {
        self.flows
            .get(key)
            .map_or(0, |flow| flow.work / flow.count.max(1))
    }

    /// Removes one idle flow that has its full credit, or any idle flow if there are too many.
    pub(super) fn remove_idle(&mut self, credit: u64) -> Option<K> {
        let (tag, key) = self.idle.first()?.clone();
        let share = self.flows.get(&key)?.share;
        let floor = self.virtual_time.saturating_sub(per_share(credit, share));
        if tag > floor && self.idle.len() <= MAX_IDLE {
            return None;
        }
        self.take(&key);
        Some(key)
    }

    /// Number of known flows.
    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Removes a flow from all indexes.
    fn take(&mut self, key: &K) -> Option<Flow> {
        let (key, flow) = self.flows.remove_entry(key)?;
        if flow.count == 0 {
            self.idle.remove(&(flow.tag, key));
            return Some(flow);
        }
        self.shares -= u64::from(flow.share);
        self.ready.remove(&(flow.tag, key.clone()));
        self.by_backlog.remove(&(flow.backlog(), key));
        Some(flow)
    }

    /// Adds a flow to the indexes.
    fn put(&mut self, key: &K, flow: Flow) {
        if flow.count == 0 {
            self.idle.insert((flow.tag, key.clone()));
        } else {
            self.shares += u64::from(flow.share);
            self.ready.insert((flow.tag, key.clone()));
            self.by_backlog.insert((flow.backlog(), key.clone()));
        }
        self.flows.insert(key.clone(), flow);
    }
}
