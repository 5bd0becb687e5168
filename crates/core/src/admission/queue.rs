//! The queue of waiting requests, by weighted fair queueing on two levels.
//!
//! Institutions are served by share, the client accounts of an institution with
//! equal weight, and the requests of a client account in order of arrival.

use std::collections::{BTreeSet, HashMap, VecDeque};

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::{AccountId, AttemptId, InstitutionId};

use super::event::Offer;
use super::fair::FairQueue;

/// Maximum credit of a flow, in mean-sized requests.
const CREDIT_REQUESTS: u64 = 16;
/// Weight of each client account of an institution.
const ACCOUNT_SHARE: u32 = 1;
/// Requests over which the work of a request is averaged, by an exponential moving average.
const MEAN_WINDOW: u64 = 32;

/// A waiting request.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Waiting {
    /// The request as offered.
    pub(super) offer: Offer,
    /// Estimated work.
    pub(super) work: u64,
    /// When it must have been dispatched at the latest.
    pub(super) deadline: Millis,
    /// When its predicted wait is reviewed next.
    review: Millis,
    /// Position in the order of arrival.
    sequence: u64,
}

/// The waiting requests of one institution.
#[derive(Clone, Default)]
#[derive(Debug)]
struct InstitutionQueue {
    accounts: FairQueue<AccountId>,
    requests: HashMap<AccountId, VecDeque<Waiting>>,
}

/// Where a waiting request is stored.
#[derive(Clone)]
#[derive(Debug)]
struct Position {
    institution: InstitutionId,
    account: AccountId,
    sequence: u64,
}

/// An institution that could be served next.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub(super) struct Candidate<'a> {
    /// The institution.
    pub(super) institution: &'a InstitutionId,
    /// Its share as a fraction of the shares of all recently active institutions.
    pub(super) fraction: f64,
    /// Work by which it is behind its share.
    pub(super) lag: u64,
}

/// All waiting requests of one home. The caller bounds its length.
#[derive(Clone, Default)]
#[derive(Debug)]
pub(super) struct Queue {
    institutions: FairQueue<InstitutionId>,
    queues: HashMap<InstitutionId, InstitutionQueue>,
    positions: HashMap<AttemptId, Position>,
    reviews: BTreeSet<(Millis, AttemptId)>,
    work: u64,
    mean_work: u64,
    sequence: u64,
}

impl Waiting {
    pub(super) fn new(offer: Offer, work: u64, now: Millis) -> Self {
        let deadline = now + offer.patience;
        Self {
            offer,
            work,
            deadline,
            review: deadline,
            sequence: 0,
        }
    }
}

impl Queue {
    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Whether the attempt waits here.
    pub(super) fn contains(&self, id: AttemptId) -> bool {
        self.positions.contains_key(&id)
    }

    /// Estimated work of all waiting requests.
    pub(super) fn work(&self) -> u64 {
        self.work
    }

    /// Moving average of the work of a request, at least 1.
    pub(super) fn mean_work(&self) -> u64 {
        self.mean_work.max(1)
    }

    /// Number of known flows on both levels.
    pub(super) fn flows(&self) -> usize {
        let accounts: usize = self.queues.values().map(|queue| queue.accounts.len()).sum();
        self.institutions.len() + accounts
    }

    /// Appends a request to the queue of its client account.
    pub(super) fn push(&mut self, mut waiting: Waiting) {
        self.update_mean(waiting.work);
        let credit = self.credit();
        self.sequence += 1;
        waiting.sequence = self.sequence;
        let offer = &waiting.offer;
        let (institution, account) = (offer.institution.clone(), offer.account.clone());
        self.institutions
            .push(&institution, offer.share, waiting.work, credit);
        let queue = self.queues.entry(institution.clone()).or_default();
        queue
            .accounts
            .push(&account, ACCOUNT_SHARE, waiting.work, credit);
        self.work += waiting.work;
        self.reviews.insert((waiting.review, offer.id));
        let position = Position {
            institution,
            account: account.clone(),
            sequence: waiting.sequence,
        };
        self.positions.insert(offer.id, position);
        queue
            .requests
            .entry(account)
            .or_default()
            .push_back(waiting);
    }

    /// Removes the next request of the first institution that is `eligible`, to be served; returns it with its lag.
    pub(super) fn pop(
        &mut self,
        eligible: impl Fn(Candidate<'_>) -> bool,
    ) -> Option<(Waiting, u64)> {
        let eligible = |institution: &&InstitutionId| {
            eligible(Candidate {
                institution,
                fraction: self.institutions.fraction(institution),
                lag: self.institutions.lag(institution),
            })
        };
        let institution = self.institutions.ready().find(eligible)?.clone();
        let queue = self.queues.get(&institution)?;
        let account = queue.accounts.ready().next()?.clone();
        let id = queue.requests.get(&account)?.front()?.offer.id;
        let lag = self.institutions.lag(&institution);
        let lag = lag.min(queue.accounts.lag(&account));
        Some((self.serve(id)?, lag))
    }

    /// Removes a request to be served, and charges its flows.
    fn serve(&mut self, id: AttemptId) -> Option<Waiting> {
        let (position, waiting) = self.take(id)?;
        let queue = self.queues.get_mut(&position.institution)?;
        queue.accounts.serve(&position.account, waiting.work);
        self.institutions.serve(&position.institution, waiting.work);
        self.remove_idle(&position.institution);
        Some(waiting)
    }

    /// Removes a request that won't be served.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<Waiting> {
        let (position, waiting) = self.take(id)?;
        let queue = self.queues.get_mut(&position.institution)?;
        queue.accounts.remove(&position.account, waiting.work);
        self.institutions
            .remove(&position.institution, waiting.work);
        self.remove_idle(&position.institution);
        Some(waiting)
    }

    fn take(&mut self, id: AttemptId) -> Option<(Position, Waiting)> {
        let position = self.positions.get(&id)?.clone();
        let queue = self.queues.get_mut(&position.institution)?;
        let requests = queue.requests.get_mut(&position.account)?;
        let index = requests.binary_search_by_key(&position.sequence, |waiting| waiting.sequence);
        let waiting = requests.remove(index.ok()?)?;
        queue.remove_if_empty(&position.account);
        self.unindex(&waiting);
        Some((position, waiting))
    }

    /// The newest request of the client account that occupies most of the queue for its share.
    pub(super) fn longest_tail(&self) -> Option<AttemptId> {
        let queue = self.queues.get(self.institutions.longest()?)?;
        let requests = queue.requests.get(queue.accounts.longest()?)?;
        requests.back().map(|waiting| waiting.offer.id)
    }

    /// Estimated work that is dispatched before this request.
    pub(super) fn work_before(&self, id: AttemptId) -> u64 {
        let Some(position) = self.positions.get(&id) else {
            return self.work;
        };
        let Some(queue) = self.queues.get(&position.institution) else {
            return self.work;
        };
        let ahead = queue.rank(position) * queue.accounts.mean_work(&position.account);
        let ahead = queue.accounts.work_before(&position.account, ahead);
        self.institutions.work_before(&position.institution, ahead)
    }

    /// Corrects the charge of a served request to its actual work.
    pub(super) fn correct(&mut self, offer: &Offer, charged: u64, actual: u64) {
        self.institutions
            .correct(&offer.institution, charged, actual);
        if let Some(queue) = self.queues.get_mut(&offer.institution) {
            queue.accounts.correct(&offer.account, charged, actual);
        }
    }

    /// When the next review of a request is due.
    pub(super) fn next_review(&self) -> Option<Millis> {
        self.reviews.first().map(|(at, _)| *at)
    }

    /// A request whose review is due.
    pub(super) fn due(&self, now: Millis) -> Option<&Waiting> {
        let (at, id) = self.reviews.first()?;
        if *at > now {
            return None;
        }
        self.get(*id)
    }

    /// Sets when to review a request again.
    pub(super) fn review_at(&mut self, id: AttemptId, at: Millis) {
        let Some(waiting) = self.get_mut(id) else {
            return;
        };
        let old = std::mem::replace(&mut waiting.review, at);
        self.reviews.remove(&(old, id));
        self.reviews.insert((at, id));
    }

    /// A waiting request.
    pub(super) fn get(&self, id: AttemptId) -> Option<&Waiting> {
        let position = self.positions.get(&id)?;
        let requests = self
            .queues
            .get(&position.institution)?
            .requests
            .get(&position.account)?;
        let index = requests.binary_search_by_key(&position.sequence, |waiting| waiting.sequence);
        requests.get(index.ok()?)
    }

    fn get_mut(&mut self, id: AttemptId) -> Option<&mut Waiting> {
        let position = self.positions.get(&id)?;
        let queue = self.queues.get_mut(&position.institution)?;
        let requests = queue.requests.get_mut(&position.account)?;
        let index = requests.binary_search_by_key(&position.sequence, |waiting| waiting.sequence);
        requests.get_mut(index.ok()?)
    }

    /// Maximum credit of a flow, as work.
    fn credit(&self) -> u64 {
        CREDIT_REQUESTS * self.mean_work()
    }

    fn update_mean(&mut self, work: u64) {
        if self.mean_work == 0 {
            self.mean_work = work;
        }
        self.mean_work = (self.mean_work * (MEAN_WINDOW - 1) + work).div_ceil(MEAN_WINDOW);
    }

    fn unindex(&mut self, waiting: &Waiting) {
        self.work -= waiting.work;
        self.positions.remove(&waiting.offer.id);
        self.reviews.remove(&(waiting.review, waiting.offer.id));
    }

    /// Removes at most one idle flow on each level, since each offer adds at most one on each.
    fn remove_idle(&mut self, served: &InstitutionId) {
        let credit = self.credit();
        if let Some(queue) = self.queues.get_mut(served) {
            queue.accounts.remove_idle(credit);
        }
        if let Some(institution) = self.institutions.remove_idle(credit) {
            self.queues.remove(&institution);
        }
    }
}

impl InstitutionQueue {
    /// Number of requests of the same client account before this one.
    fn rank(&self, position: &Position) -> u64 {
        let Some(requests) = self.requests.get(&position.account) else {
            return 0;
        };
        requests.partition_point(|waiting| waiting.sequence < position.sequence) as u64
    }

    fn remove_if_empty(&mut self, account: &AccountId) {
        if self.requests.get(account).is_some_and(VecDeque::is_empty) {
            self.requests.remove(account);
        }
    }
}
