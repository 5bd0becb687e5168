//! One level of weighted fair queueing by virtual time.
//!
//! Each flow has a tag: the work it was served, divided by its share. The
//! flow with the lowest tag is served next. A flow that uses less than its
//! share falls behind the virtual time and may save up a bounded credit, so
//! that its bursts go before the work of flows that use more than theirs.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

use derive_more::Debug;

/// Fixed-point steps of a tag per token at share 1.
const SCALE: u64 = 1 << 10;
/// Work that is taken to come of a flow before another's turn, as a multiple of what it has waiting.
const REFILL: u64 = 2;
/// Idle flows that are remembered at most.
const MAX_IDLE: usize = 1024;

/// Flows of one level; `K` names a flow.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Fair<K> {
    /// Flows with work waiting, and those that are ahead of their credit.
    flows: HashMap<K, Flow>,
    /// Flows with work waiting, by tag.
    ready: BTreeSet<(u64, K)>,
    /// Flows with work waiting, by waiting work per share.
    longest: BTreeSet<(u64, K)>,
    /// Flows without work waiting, by tag.
    idle: BTreeSet<(u64, K)>,
    /// Virtual time.
    clock: u64,
    /// Sum of the shares of flows with work waiting.
    shares: u64,
}

/// One flow.
#[derive(Clone)]
#[derive(Debug)]
struct Flow {
    /// Work served per share.
    tag: u64,
    /// Weight.
    share: u32,
    /// Work waiting.
    work: u64,
    /// Requests waiting.
    count: u64,
}

impl Flow {
    fn depth(&self) -> u64 {
        per_share(self.work, self.share)
    }
}

/// Tag steps of an amount of work.
fn per_share(work: u64, share: u32) -> u64 {
    work.saturating_mul(SCALE) / u64::from(share.max(1))
}

impl<K> Default for Fair<K> {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            ready: BTreeSet::new(),
            longest: BTreeSet::new(),
            idle: BTreeSet::new(),
            clock: 0,
            shares: 0,
        }
    }
}

impl<K: Clone + Ord + Hash> Fair<K> {
    /// Adds one waiting request. `credit` is the work a flow may have saved up.
    pub(super) fn push(&mut self, key: &K, share: u32, work: u64, credit: u64) {
        let share = share.max(1);
        let floor = self.clock.saturating_sub(per_share(credit, share));
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

    /// Removes one waiting request that wasn't served.
    pub(super) fn remove(&mut self, key: &K, work: u64) {
        let Some(mut flow) = self.take(key) else {
            return;
        };
        flow.work = flow.work.saturating_sub(work);
        flow.count = flow.count.saturating_sub(1);
        self.put(key, flow);
    }

    /// Removes one waiting request that is served now and charges its flow.
    pub(super) fn serve(&mut self, key: &K, work: u64) {
        let Some(mut flow) = self.take(key) else {
            return;
        };
        // A flow may be served before its turn, which moves the virtual time no further than the first in turn.
        let first = self.ready.first().map_or(flow.tag, |(tag, _)| *tag);
        self.clock = self.clock.max(flow.tag.min(first));
        flow.tag += per_share(work, flow.share);
        flow.work = flow.work.saturating_sub(work);
        flow.count = flow.count.saturating_sub(1);
        self.put(key, flow);
    }

    /// Corrects the charge of a served request by the work it really took.
    pub(super) fn correct(&mut self, key: &K, charged: u64, took: u64) {
        let Some(mut flow) = self.take(key) else {
            return;
        };
        let more = per_share(took.saturating_sub(charged), flow.share);
        let less = per_share(charged.saturating_sub(took), flow.share);
        flow.tag = (flow.tag + more).saturating_sub(less);
        self.put(key, flow);
    }

    /// Flows with work waiting, in the order of service.
    pub(super) fn ready(&self) -> impl Iterator<Item = &K> {
        self.ready.iter().map(|(_, key)| key)
    }

    /// The flow with most waiting work per share.
    pub(super) fn longest(&self) -> Option<&K> {
        self.longest.last().map(|(_, key)| key)
    }

    /// How far a flow is behind the virtual time, as work of a flow of its share.
    pub(super) fn behind(&self, key: &K) -> u64 {
        self.flows.get(key).map_or(0, |flow| {
            self.clock.saturating_sub(flow.tag) * u64::from(flow.share) / SCALE
        })
    }

    /// Work of all flows that is served before `ahead` of this flow has gone, if those that wait go on asking.
    ///
    /// A flow that was served more than its share has to let the others catch up first.
    pub(super) fn work_before(&self, key: &K, ahead: u64) -> u64 {
        let Some(flow) = self.flows.get(key) else {
            return ahead;
        };
        let until = flow.tag.saturating_add(per_share(ahead, flow.share));
        let mut work = ahead;
        for (tag, other) in &self.ready {
            if *tag >= until {
                break;
            }
            let Some(rival) = self.flows.get(other).filter(|_| other != key) else {
                continue;
            };
            let due = (until - tag).saturating_mul(u64::from(rival.share)) / SCALE;
            work = work.saturating_add(due.min(REFILL * rival.work));
        }
        work
    }

    /// The flow's share over that of all flows that are remembered.
    pub(super) fn part(&self, key: &K) -> f64 {
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

    /// Forgets one idle flow that has its whole credit, or any if there are too many.
    pub(super) fn forget(&mut self, credit: u64) -> Option<K> {
        let (tag, key) = self.idle.first()?.clone();
        let share = self.flows.get(&key)?.share;
        let floor = self.clock.saturating_sub(per_share(credit, share));
        if tag > floor && self.idle.len() <= MAX_IDLE {
            return None;
        }
        self.take(&key);
        Some(key)
    }

    /// Flows that are remembered.
    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }

    fn take(&mut self, key: &K) -> Option<Flow> {
        let (key, flow) = self.flows.remove_entry(key)?;
        if flow.count == 0 {
            self.idle.remove(&(flow.tag, key));
            return Some(flow);
        }
        self.shares -= u64::from(flow.share);
        self.ready.remove(&(flow.tag, key.clone()));
        self.longest.remove(&(flow.depth(), key));
        Some(flow)
    }

    fn put(&mut self, key: &K, flow: Flow) {
        if flow.count == 0 {
            self.idle.insert((flow.tag, key.clone()));
        } else {
            self.shares += u64::from(flow.share);
            self.ready.insert((flow.tag, key.clone()));
            self.longest.insert((flow.depth(), key.clone()));
        }
        self.flows.insert(key.clone(), flow);
    }
}
