//! The bounded queue: institutions by share, their accounts evenly, each account in order.

use std::collections::{BTreeSet, HashMap, VecDeque};

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::{AccountId, AttemptId, InstitutionId};

use super::event::Offer;
use super::fair::Fair;

/// Requests that a flow may burst ahead of the virtual time.
const CREDIT_GRAINS: u64 = 16;
/// Weight of each account of an institution.
const ACCOUNT_SHARE: u32 = 1;
/// Steps over which the mean request is taken.
const GRAIN_STEPS: u64 = 32;

/// A request that waits.
#[derive(Clone)]
#[derive(Debug)]
pub(super) struct Waiting {
    /// What was offered.
    pub(super) offer: Offer,
    /// Estimated work.
    pub(super) work: u64,
    /// When it must have been dispatched.
    pub(super) deadline: Millis,
    /// When its chance is looked at again.
    review: Millis,
    /// Order of arrival.
    number: u64,
}

/// The waiting requests of one institution.
#[derive(Clone, Default)]
#[derive(Debug)]
struct Group {
    accounts: Fair<AccountId>,
    lines: HashMap<AccountId, VecDeque<Waiting>>,
}

/// Where a waiting request stands.
#[derive(Clone)]
#[derive(Debug)]
struct Place {
    institution: InstitutionId,
    account: AccountId,
    number: u64,
}

/// An institution whose turn it would be.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub(super) struct Turn<'a> {
    /// The institution.
    pub(super) institution: &'a InstitutionId,
    /// Its share over that of all institutions that asked lately.
    pub(super) part: f64,
    /// Work by which it is behind its share.
    pub(super) behind: u64,
}

/// All waiting requests of one home.
#[derive(Clone, Default)]
#[derive(Debug)]
pub(super) struct Queue {
    institutions: Fair<InstitutionId>,
    groups: HashMap<InstitutionId, Group>,
    places: HashMap<AttemptId, Place>,
    reviews: BTreeSet<(Millis, AttemptId)>,
    work: u64,
    grain: u64,
    number: u64,
}

impl Waiting {
    pub(super) fn new(offer: Offer, work: u64, now: Millis) -> Self {
        let deadline = now + offer.patience;
        Self {
            offer,
            work,
            deadline,
            review: deadline,
            number: 0,
        }
    }
}

impl Queue {
    /// Requests that wait.
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether this try waits here.
    pub(super) fn contains(&self, id: AttemptId) -> bool {
        self.places.contains_key(&id)
    }

    /// Work that waits.
    pub(super) fn work(&self) -> u64 {
        self.work
    }

    /// Work of a usual request.
    pub(super) fn grain(&self) -> u64 {
        self.grain.max(1)
    }

    /// Flows that are remembered, at both levels.
    pub(super) fn flows(&self) -> usize {
        let accounts: usize = self.groups.values().map(|group| group.accounts.len()).sum();
        self.institutions.len() + accounts
    }

    /// Puts a request at the end of its account's line.
    pub(super) fn push(&mut self, mut waiting: Waiting) {
        self.learn(waiting.work);
        let credit = self.credit();
        self.number += 1;
        waiting.number = self.number;
        let offer = &waiting.offer;
        let (institution, account) = (offer.institution.clone(), offer.account.clone());
        self.institutions
            .push(&institution, offer.share, waiting.work, credit);
        let group = self.groups.entry(institution.clone()).or_default();
        group
            .accounts
            .push(&account, ACCOUNT_SHARE, waiting.work, credit);
        self.work += waiting.work;
        self.reviews.insert((waiting.review, offer.id));
        let place = Place {
            institution,
            account: account.clone(),
            number: waiting.number,
        };
        self.places.insert(offer.id, place);
        group.lines.entry(account).or_default().push_back(waiting);
    }

    /// Takes the request whose turn it is, of an institution that may be served, and how far that was behind.
    pub(super) fn pop(&mut self, may: impl Fn(Turn<'_>) -> bool) -> Option<(Waiting, u64)> {
        let may = |institution: &&InstitutionId| {
            may(Turn {
                institution,
                part: self.institutions.part(institution),
                behind: self.institutions.behind(institution),
            })
        };
        let institution = self.institutions.ready().find(may)?.clone();
        let group = self.groups.get(&institution)?;
        let account = group.accounts.ready().next()?.clone();
        let id = group.lines.get(&account)?.front()?.offer.id;
        let behind = self.institutions.behind(&institution);
        let behind = behind.min(group.accounts.behind(&account));
        Some((self.serve(id)?, behind))
    }

    /// Takes one request out to be served.
    fn serve(&mut self, id: AttemptId) -> Option<Waiting> {
        let (place, waiting) = self.take(id)?;
        let group = self.groups.get_mut(&place.institution)?;
        group.accounts.serve(&place.account, waiting.work);
        self.institutions.serve(&place.institution, waiting.work);
        self.forget(&place.institution);
        Some(waiting)
    }

    /// Takes one request out, wherever it stands.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<Waiting> {
        let (place, waiting) = self.take(id)?;
        let group = self.groups.get_mut(&place.institution)?;
        group.accounts.remove(&place.account, waiting.work);
        self.institutions.remove(&place.institution, waiting.work);
        self.forget(&place.institution);
        Some(waiting)
    }

    fn take(&mut self, id: AttemptId) -> Option<(Place, Waiting)> {
        let place = self.places.get(&id)?.clone();
        let group = self.groups.get_mut(&place.institution)?;
        let line = group.lines.get_mut(&place.account)?;
        let index = line.binary_search_by_key(&place.number, |waiting| waiting.number);
        let waiting = line.remove(index.ok()?)?;
        group.tidy(&place.account);
        self.drop_marks(&waiting);
        Some((place, waiting))
    }

    /// The newest request of the account that takes most of the queue for its share.
    pub(super) fn longest_tail(&self) -> Option<AttemptId> {
        let group = self.groups.get(self.institutions.longest()?)?;
        let line = group.lines.get(group.accounts.longest()?)?;
        line.back().map(|waiting| waiting.offer.id)
    }

    /// Work that is likely to be dispatched before this request.
    pub(super) fn work_before(&self, id: AttemptId) -> u64 {
        let Some(place) = self.places.get(&id) else {
            return self.work;
        };
        let Some(group) = self.groups.get(&place.institution) else {
            return self.work;
        };
        let ahead = group.rank(place) * group.accounts.mean_work(&place.account);
        let ahead = group.accounts.work_before(&place.account, ahead);
        self.institutions.work_before(&place.institution, ahead)
    }

    /// Corrects a served request's charge by the work that it really took.
    pub(super) fn correct(&mut self, offer: &Offer, charged: u64, took: u64) {
        self.institutions.correct(&offer.institution, charged, took);
        if let Some(group) = self.groups.get_mut(&offer.institution) {
            group.accounts.correct(&offer.account, charged, took);
        }
    }

    /// When a request has to be looked at next.
    pub(super) fn next_review(&self) -> Option<Millis> {
        self.reviews.first().map(|(at, _)| *at)
    }

    /// A request whose chance has to be looked at by now.
    pub(super) fn due(&self, now: Millis) -> Option<&Waiting> {
        let (at, id) = self.reviews.first()?;
        if *at > now {
            return None;
        }
        self.get(*id)
    }

    /// Sets when to look at a request again.
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
        let place = self.places.get(&id)?;
        let line = self
            .groups
            .get(&place.institution)?
            .lines
            .get(&place.account)?;
        let index = line.binary_search_by_key(&place.number, |waiting| waiting.number);
        line.get(index.ok()?)
    }

    fn get_mut(&mut self, id: AttemptId) -> Option<&mut Waiting> {
        let place = self.places.get(&id)?;
        let group = self.groups.get_mut(&place.institution)?;
        let line = group.lines.get_mut(&place.account)?;
        let index = line.binary_search_by_key(&place.number, |waiting| waiting.number);
        line.get_mut(index.ok()?)
    }

    fn credit(&self) -> u64 {
        CREDIT_GRAINS * self.grain()
    }

    fn learn(&mut self, work: u64) {
        if self.grain == 0 {
            self.grain = work;
        }
        self.grain = (self.grain * (GRAIN_STEPS - 1) + work).div_ceil(GRAIN_STEPS);
    }

    fn drop_marks(&mut self, waiting: &Waiting) {
        self.work -= waiting.work;
        self.places.remove(&waiting.offer.id);
        self.reviews.remove(&(waiting.review, waiting.offer.id));
    }

    /// Forgets flows that have nothing left to remember; one offer adds one at each level.
    fn forget(&mut self, served: &InstitutionId) {
        let credit = self.credit();
        if let Some(group) = self.groups.get_mut(served) {
            group.accounts.forget(credit);
        }
        if let Some(institution) = self.institutions.forget(credit) {
            self.groups.remove(&institution);
        }
    }
}

impl Group {
    /// Requests of the same account before this one.
    fn rank(&self, place: &Place) -> u64 {
        let Some(line) = self.lines.get(&place.account) else {
            return 0;
        };
        line.partition_point(|waiting| waiting.number < place.number) as u64
    }

    fn tidy(&mut self, account: &AccountId) {
        if self.lines.get(account).is_some_and(VecDeque::is_empty) {
            self.lines.remove(account);
        }
    }
}
