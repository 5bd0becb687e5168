//! Admission control for one endpoint, by the daemon that is its home.
//!
//! The home keeps the exact count of the work in flight and a bounded queue.
//! Work is measured in tokens. A request is dispatched if a slot is free and the
//! endpoint's load is at or below the load bound. Otherwise it waits as long as
//! it is predicted to be dispatched within its patience, is passed on if another
//! endpoint could serve it sooner, or is refused at once. Waiting requests are
//! dispatched by weighted fair queueing, see `fair`.

mod bound;
mod event;
mod fair;
mod in_flight;
mod overload;
mod queue;
mod settings;
mod throughput;

use derive_more::Debug;
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::clock::Millis;
use crate::ids::AttemptId;
use crate::reason::Reason;
use crate::retry::MAX_PAUSE;
use crate::units::Tokens;

use bound::Bound;
use in_flight::{Dispatched, InFlight};
use overload::Overload;
use queue::{Queue, Waiting};
use throughput::Throughput;

pub use event::{Action, Ending, Event, Mean, Offer, Report, State};
pub use settings::Settings;

/// Pause of dispatch after the endpoint refused a request for lack of capacity.
const FULL_PAUSE: Millis = Millis(500);
/// Minimum time between two reviews of a waiting request.
const MIN_REVIEW_INTERVAL: Millis = Millis(50);
/// Minimum retry delay of a refused request, before jitter.
const MIN_RETRY_AFTER: Millis = Millis(250);
/// Maximum retry delay of a refused request, before jitter.
const MAX_RETRY_AFTER: Millis = Millis::from_secs(30);
/// Retry delay, before jitter, when the endpoint accepts no work.
const CLOSED_RETRY_AFTER: Millis = Millis::from_secs(1);
/// Slots divided by this are reserved for institutions below their share.
const RESERVED_DIVISOR: u32 = 4;
/// Priority of requests of institutions that are not behind their share.
const BASE_PRIORITY: u8 = 5;
/// Maximum added to the priority for being behind the share.
const MAX_PRIORITY_BOOST: u64 = 4;
/// Mean-sized requests behind the share that add one to the priority.
const BOOST_STEP: u64 = 4;

/// Admission control for one endpoint.
#[derive(Clone)]
#[derive(Debug)]
pub struct Home {
    settings: Settings,
    state: State,
    queue: Queue,
    in_flight: InFlight,
    bound: Bound,
    throughput: Throughput,
    overload: Overload,
    /// No dispatch before this time, if set.
    paused_until: Option<Millis>,
    #[debug(skip)]
    rng: Pcg32,
}

impl Home {
    /// Creates a home that starts now, on probation until the endpoint has reported.
    pub fn new(settings: Settings, rng: Pcg32, now: Millis) -> Self {
        Self {
            throughput: Throughput::new(settings.slot_rate, now),
            settings,
            state: State::Ready,
            queue: Queue::default(),
            in_flight: InFlight::default(),
            bound: Bound::new(now),
            overload: Overload::default(),
            paused_until: None,
            rng,
        }
    }

    /// Changes the limits; requests that run or wait are kept.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Processes an event and returns the actions to perform, in order.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        self.throughput.advance(now, !self.queue.is_empty());
        let offered = self.apply(event, now, &mut actions);
        self.review(now, &mut actions);
        self.dispatch(now, &mut actions);
        if let Some(id) = offered {
            self.decide(id, now, &mut actions);
        }
        self.throughput.advance(now, !self.queue.is_empty());
        // With free slots requests wait only for the load bound, and then other endpoints have capacity.
        let full = self.in_flight.len() + self.reserved() >= self.slots();
        self.overload.update(full && !self.queue.is_empty(), now);
        self.in_flight.sample(now);
        actions
    }

    /// When [`Event::Tick`] is due if there is no other event before; `None` if nothing waits.
    pub fn wake(&self) -> Option<Millis> {
        let review = self.queue.next_review()?;
        Some(self.paused_until.map_or(review, |until| until.min(review)))
    }

    /// Estimated load of the endpoint: the home's own count, corrected by the endpoint's report.
    pub fn load(&self, now: Millis) -> Tokens {
        Tokens(
            self.bound
                .load(&self.in_flight, self.queue.mean_work(), now),
        )
    }

    /// Load above which nothing more is dispatched.
    pub fn limit(&self, now: Millis) -> Tokens {
        let own = self.load(now).0;
        Tokens(self.bound.limit(self.settings.load_bound, own, now))
    }

    /// Number of requests dispatched to the endpoint and not finished.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.len()
    }

    /// Number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Estimated work of the waiting requests.
    pub fn queued_work(&self) -> Tokens {
        Tokens(self.queue.work())
    }

    /// Whether the endpoint accepts work.
    pub const fn state(&self) -> State {
        self.state
    }

    /// Whether the home still relies on the endpoint's report alone for what runs there.
    pub const fn on_probation(&self) -> bool {
        self.bound.on_probation()
    }

    /// Number of slots that this home may fill now.
    pub fn slots(&self) -> u32 {
        self.bound.slots(self.settings.slots)
    }

    /// Tokens per second that the endpoint completes while requests wait.
    pub fn throughput(&self) -> f64 {
        self.throughput.rate(self.settings.slots) * 1000.0
    }

    /// Number of institutions and client accounts whose usage is tracked.
    pub fn flows(&self) -> usize {
        self.queue.flows()
    }

    fn apply(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>) -> Option<AttemptId> {
        match event {
            Event::Offer(offer) => return self.offer(offer, now, actions),
            Event::Progress { id, output } => self.in_flight.progress(id, output),
            Event::Finished { id, ending } => self.finish(id, ending, now),
            Event::Cancelled { id } => self.cancel(id, now),
            Event::Report(report) => self.bound.set_report(report, &self.in_flight),
            Event::Mean(mean) => {
                let own = self.load(now).0;
                self.bound.set_mean(mean, own);
            }
            Event::State(state) => self.set_state(state, now, actions),
            Event::Tick => {}
        }
        None
    }

    fn offer(&mut self, offer: Offer, now: Millis, actions: &mut Vec<Action>) -> Option<AttemptId> {
        let id = offer.id;
        if self.queue.contains(id) || self.in_flight.contains(id) {
            return None;
        }
        let work = offer.prompt.0.saturating_add(offer.output.0).max(1);
        let waiting = Waiting::new(offer, work, now);
        if !self.state.admits() {
            let action = self.reject(&waiting, Reason::NoEndpoint, CLOSED_RETRY_AFTER);
            actions.push(action);
            return None;
        }
        self.queue.push(waiting);
        Some(id)
    }

    fn finish(&mut self, id: AttemptId, ending: Ending, now: Millis) {
        let Some(request) = self.in_flight.remove(id) else {
            return;
        };
        let pause = match ending {
            Ending::Full => Some(FULL_PAUSE),
            Ending::Paused(pause) => Some(pause.min(MAX_PAUSE)),
            Ending::Done | Ending::Failed => None,
        };
        if let Some(pause) = pause {
            self.paused_until = self.paused_until.max(Some(now + pause));
            self.queue.correct(&request.offer, request.charged, 0);
            return;
        }
        let service = now.since(request.since);
        let busy = self.throughput.busy_time().since(request.busy_before);
        if ending == Ending::Done {
            self.throughput.record(request.charged, service, busy);
        }
        self.queue
            .correct(&request.offer, request.charged, request.actual_work());
    }

    fn cancel(&mut self, id: AttemptId, now: Millis) {
        if self.queue.remove(id).is_none() {
            self.finish(id, Ending::Failed, now);
        }
    }

    fn set_state(&mut self, state: State, now: Millis, actions: &mut Vec<Action>) {
        if self.state == State::Moved && state == State::Ready {
            self.bound = Bound::new(now);
        }
        self.state = state;
        if state.admits() {
            return;
        }
        while let Some((waiting, _)) = self.queue.pop(|_| true) {
            let action = self.reject(&waiting, Reason::NoEndpoint, CLOSED_RETRY_AFTER);
            actions.push(action);
        }
    }

    /// Evicts waiting requests that can no longer be served in time.
    fn review(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while let Some(waiting) = self.queue.due(now) {
            let (id, deadline) = (waiting.offer.id, waiting.deadline);
            let wait = self.predict_wait(id, now);
            if deadline > now && now + wait <= deadline {
                let half = Millis(deadline.since(now).0 / 2).max(MIN_REVIEW_INTERVAL);
                self.queue.review_at(id, (now + half).min(deadline));
                continue;
            }
            let reason = self.late_reason(now);
            self.evict(id, reason, wait, actions);
        }
    }

    /// Dispatches waiting requests while slots, load bound and pause allow.
    fn dispatch(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.paused_until = self.paused_until.filter(|until| now < *until);
        while self.can_dispatch(now) {
            let Some((waiting, lag)) = self.pop_next() else {
                return;
            };
            let boost = lag / (BOOST_STEP * self.queue.mean_work());
            actions.push(Action::Dispatch {
                id: waiting.offer.id,
                priority: BASE_PRIORITY + boost.min(MAX_PRIORITY_BOOST) as u8,
            });
            let request = Dispatched::new(
                waiting.offer,
                waiting.work,
                now,
                self.throughput.busy_time(),
            );
            self.in_flight.add(request);
        }
    }

    /// Number of slots reserved for institutions below their share.
    fn reserved(&self) -> u32 {
        self.slots() / RESERVED_DIVISOR
    }

    /// Takes the next request to dispatch, with its lag. The last free slots are reserved for institutions that are
    /// behind their share, or hold at most slightly more of the slots than it.
    fn pop_next(&mut self) -> Option<(Waiting, u64)> {
        let slots = self.slots();
        if self.in_flight.len() + self.reserved() < slots {
            return self.queue.pop(|_| true);
        }
        let reserved = f64::from(self.reserved());
        let in_flight = &self.in_flight;
        self.queue.pop(|candidate| {
            let held = f64::from(in_flight.count_of(candidate.institution));
            candidate.lag > 0 || held < candidate.fraction * f64::from(slots) + reserved
        })
    }

    /// Queues, passes on or refuses a new request that wasn't dispatched at once.
    fn decide(&mut self, id: AttemptId, now: Millis, actions: &mut Vec<Action>) {
        if self.queue.len() > self.settings.queue as usize {
            self.shed(now, actions);
        }
        let Some(waiting) = self.queue.get(id) else {
            return;
        };
        let patience = waiting.offer.patience;
        let may_move = waiting.offer.movable && !waiting.offer.keep_local;
        let wait = self.predict_wait(id, now);
        if wait > self.overload.max_wait(patience, now) {
            let reason = self.late_reason(now);
            self.evict(id, reason, wait, actions);
            return;
        }
        if may_move && (self.over_bound(now) || wait > self.settings.pass_wait) {
            let reason = self.late_reason(now);
            self.evict(id, reason, wait, actions);
            return;
        }
        let half = now + Millis(patience.0 / 2);
        self.queue.review_at(id, half);
    }

    /// Evicts the newest request of the client account that occupies most of the queue for its share.
    fn shed(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(id) = self.queue.longest_tail() else {
            return;
        };
        let wait = self.predict_wait(id, now);
        self.evict(id, Reason::QueueFull, wait, actions);
    }

    fn evict(&mut self, id: AttemptId, reason: Reason, wait: Millis, actions: &mut Vec<Action>) {
        if let Some(waiting) = self.queue.remove(id) {
            let action = self.reject(&waiting, reason, wait);
            actions.push(action);
        }
    }

    /// Passes a request on if another endpoint could take it, else refuses it.
    fn reject(&mut self, waiting: &Waiting, reason: Reason, wait: Millis) -> Action {
        let id = waiting.offer.id;
        if waiting.offer.movable {
            return Action::PassOn { id, reason };
        }
        let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let retry_after = wait + Millis(self.rng.random_range(0..=wait.0));
        Action::Refuse {
            id,
            reason,
            retry_after,
        }
    }

    /// Whether one more request may be dispatched now.
    fn can_dispatch(&self, now: Millis) -> bool {
        self.state == State::Ready
            && self.paused_until.is_none()
            && self.in_flight.len() < self.slots()
            && !self.over_bound(now)
    }

    fn over_bound(&self, now: Millis) -> bool {
        self.load(now) > self.limit(now)
    }

    /// Why a request can't be served in time.
    fn late_reason(&self, now: Millis) -> Reason {
        if self.over_bound(now) {
            return Reason::PoolFull;
        }
        Reason::Deadline
    }

    /// Predicted wait of a queued request from now on.
    fn predict_wait(&self, id: AttemptId, now: Millis) -> Millis {
        let excess = self.load(now).0.saturating_sub(self.limit(now).0);
        let work = self.queue.work_before(id) + excess + self.queue.mean_work();
        let wait = work as f64 / self.throughput.rate(self.settings.slots);
        let paused = self
            .paused_until
            .map_or(Millis::ZERO, |until| until.since(now));
        Millis(wait as u64).max(paused)
    }
}
