//! Admission to one endpoint, by the daemon that is its home.
//!
//! The home holds the exact count of the work in flight and a bounded queue.
//! A request is dispatched if a slot is free and the endpoint's load is at or
//! under the load bound; else it waits while it is predicted to be served
//! within its patience, is passed on if another endpoint could serve it
//! sooner, or is refused at once. Waiting requests are dispatched by weighted
//! fair queueing, see `fair`.

mod bound;
mod drain;
mod event;
mod fair;
mod flights;
mod overload;
mod queue;
mod settings;

use derive_more::Debug;
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::clock::Millis;
use crate::ids::AttemptId;
use crate::reason::Reason;
use crate::retry::MAX_PAUSE;
use crate::units::Tokens;

use bound::Bound;
use drain::Drain;
use flights::{Flight, Flights};
use overload::Overload;
use queue::{Queue, Waiting};

pub use event::{Action, Ending, Event, Mean, Offer, Report, State};
pub use settings::Settings;

/// How long dispatch stops after the endpoint refused for want of room.
const FULL_HOLD: Millis = Millis(500);
/// Shortest time between two looks at a waiting request.
const REVIEW_STEP: Millis = Millis(50);
/// Shortest time after which a refused caller is asked back.
const AFTER_MIN: Millis = Millis(250);
/// Longest time after which a refused caller is asked back, before jitter.
const AFTER_MAX: Millis = Millis::from_secs(30);
/// Time after which to come back when the endpoint takes no work.
const AFTER_GONE: Millis = Millis::from_secs(1);
/// Part of the slots that is kept for institutions under their share, as a divisor.
const KEPT_DIVISOR: u32 = 4;
/// The endpoint's priority for work of institutions that use their share.
const PRIORITY: u8 = 5;
/// Most that being behind one's share adds to the priority.
const PRIORITY_RISE: u64 = 4;
/// Work behind one's share, in usual requests, that adds one to the priority.
const PRIORITY_STEP: u64 = 4;

/// The admission of work to one endpoint.
#[derive(Clone)]
#[derive(Debug)]
pub struct Home {
    settings: Settings,
    state: State,
    queue: Queue,
    flights: Flights,
    bound: Bound,
    drain: Drain,
    overload: Overload,
    /// No dispatch before this time, if set.
    hold: Option<Millis>,
    #[debug(skip)]
    rng: Pcg32,
}

impl Home {
    /// A home that starts now, on probation until the endpoint has reported.
    pub fn new(settings: Settings, rng: Pcg32, now: Millis) -> Self {
        Self {
            drain: Drain::new(settings.slot_rate, now),
            settings,
            state: State::Ready,
            queue: Queue::default(),
            flights: Flights::default(),
            bound: Bound::new(now),
            overload: Overload::default(),
            hold: None,
            rng,
        }
    }

    /// Changes the limits; what runs or waits stays.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Takes an event and returns what is to be done, in order.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        self.drain.advance(now, !self.queue.is_empty());
        let offered = self.apply(event, now, &mut actions);
        self.review(now, &mut actions);
        self.pump(now, &mut actions);
        if let Some(id) = offered {
            self.judge(id, now, &mut actions);
        }
        self.drain.advance(now, !self.queue.is_empty());
        // A queue before free slots waits for the bound, and then others have room.
        let full = self.flights.len() + self.kept() >= self.slots();
        self.overload.note(full && !self.queue.is_empty(), now);
        self.flights.sample(now);
        actions
    }

    /// When [`Event::Tick`] is wanted, if no other event comes before.
    pub fn wake(&self) -> Option<Millis> {
        let review = self.queue.next_review()?;
        Some(self.hold.map_or(review, |hold| hold.min(review)))
    }

    /// Estimated work at the endpoint, corrected by its report.
    pub fn load(&self, now: Millis) -> Tokens {
        Tokens(self.bound.load(&self.flights, self.queue.grain(), now))
    }

    /// Load from which nothing more is dispatched.
    pub fn limit(&self, now: Millis) -> Tokens {
        let own = self.load(now).0;
        Tokens(self.bound.limit(self.settings.load_bound, own, now))
    }

    /// Requests that run at the endpoint.
    pub fn in_flight(&self) -> u32 {
        self.flights.len()
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Work that waits.
    pub fn queued_work(&self) -> Tokens {
        Tokens(self.queue.work())
    }

    /// Whether the endpoint takes work.
    pub const fn state(&self) -> State {
        self.state
    }

    /// Whether the home still admits against the endpoint's report alone.
    pub const fn on_probation(&self) -> bool {
        self.bound.on_probation()
    }

    /// Slots that this home may fill now.
    pub fn slots(&self) -> u32 {
        self.bound.slots(self.settings.slots)
    }

    /// Work in tokens that the endpoint clears in a second while requests wait.
    pub fn drain_rate(&self) -> f64 {
        self.drain.rate(self.settings.slots) * 1000.0
    }

    /// Institutions and accounts whose use is remembered.
    pub fn flows(&self) -> usize {
        self.queue.flows()
    }

    fn apply(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>) -> Option<AttemptId> {
        match event {
            Event::Offer(offer) => return self.offer(offer, now, actions),
            Event::Progress { id, output } => self.flights.progress(id, output),
            Event::Finished { id, ending } => self.finish(id, ending, now),
            Event::Cancelled { id } => self.cancel(id, now),
            Event::Report(report) => self.bound.report(report, &self.flights),
            Event::Mean(mean) => {
                let own = self.load(now).0;
                self.bound.mean(mean, own);
            }
            Event::State(state) => self.change(state, now, actions),
            Event::Tick => {}
        }
        None
    }

    fn offer(&mut self, offer: Offer, now: Millis, actions: &mut Vec<Action>) -> Option<AttemptId> {
        let id = offer.id;
        if self.queue.contains(id) || self.flights.contains(id) {
            return None;
        }
        let work = offer.prompt.0.saturating_add(offer.output.0).max(1);
        let waiting = Waiting::new(offer, work, now);
        if !self.state.admits() {
            let action = self.turn_away(&waiting, Reason::NoEndpoint, AFTER_GONE);
            actions.push(action);
            return None;
        }
        self.queue.push(waiting);
        Some(id)
    }

    fn finish(&mut self, id: AttemptId, ending: Ending, now: Millis) {
        let Some(flight) = self.flights.remove(id) else {
            return;
        };
        let pause = match ending {
            Ending::Full => Some(FULL_HOLD),
            Ending::Paused(pause) => Some(pause.min(MAX_PAUSE)),
            Ending::Done | Ending::Failed => None,
        };
        if let Some(pause) = pause {
            self.hold = self.hold.max(Some(now + pause));
            self.queue.correct(&flight.offer, flight.charged, 0);
            return;
        }
        let service = now.since(flight.since);
        let busy = self.drain.total().since(flight.busy);
        if ending == Ending::Done {
            self.drain.clear(flight.charged, service, busy);
        }
        self.queue
            .correct(&flight.offer, flight.charged, flight.took());
    }

    fn cancel(&mut self, id: AttemptId, now: Millis) {
        if self.queue.remove(id).is_none() {
            self.finish(id, Ending::Failed, now);
        }
    }

    fn change(&mut self, state: State, now: Millis, actions: &mut Vec<Action>) {
        if self.state == State::Moved && state == State::Ready {
            self.bound = Bound::new(now);
        }
        self.state = state;
        if state.admits() {
            return;
        }
        while let Some((waiting, _)) = self.queue.pop(|_| true) {
            let action = self.turn_away(&waiting, Reason::NoEndpoint, AFTER_GONE);
            actions.push(action);
        }
    }

    /// Turns away waiting requests that can no longer be served in time.
    fn review(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while let Some(waiting) = self.queue.due(now) {
            let (id, deadline) = (waiting.offer.id, waiting.deadline);
            let wait = self.predict(id, now);
            if deadline > now && now + wait <= deadline {
                let half = Millis(deadline.since(now).0 / 2).max(REVIEW_STEP);
                self.queue.review_at(id, (now + half).min(deadline));
                continue;
            }
            let reason = self.late_reason(now);
            self.evict(id, reason, wait, actions);
        }
    }

    /// Dispatches what fits.
    fn pump(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.hold = self.hold.filter(|hold| now < *hold);
        while self.open(now) {
            let Some((waiting, behind)) = self.next() else {
                return;
            };
            let rise = behind / (PRIORITY_STEP * self.queue.grain());
            actions.push(Action::Dispatch {
                id: waiting.offer.id,
                priority: PRIORITY + rise.min(PRIORITY_RISE) as u8,
            });
            let flight = Flight::new(waiting.offer, waiting.work, now, self.drain.total());
            self.flights.add(flight);
        }
    }

    /// Slots kept for institutions under their share.
    fn kept(&self) -> u32 {
        self.slots() / KEPT_DIVISOR
    }

    /// Takes the request to dispatch. The last free slots are kept for institutions that are behind their share, or hold
    /// not much more of the slots than it.
    fn next(&mut self) -> Option<(Waiting, u64)> {
        let slots = self.slots();
        if self.flights.len() + self.kept() < slots {
            return self.queue.pop(|_| true);
        }
        let kept = f64::from(self.kept());
        let flights = &self.flights;
        self.queue.pop(|turn| {
            let held = f64::from(flights.of(turn.institution));
            turn.behind > 0 || held < turn.part * f64::from(slots) + kept
        })
    }

    /// Decides what becomes of a new request that wasn't dispatched at once.
    fn judge(&mut self, id: AttemptId, now: Millis, actions: &mut Vec<Action>) {
        if self.queue.len() > self.settings.queue as usize {
            self.shorten(now, actions);
        }
        let Some(waiting) = self.queue.get(id) else {
            return;
        };
        let patience = waiting.offer.patience;
        let leaves = waiting.offer.movable && !waiting.offer.keep_local;
        let wait = self.predict(id, now);
        if wait > self.overload.patience(patience, now) {
            let reason = self.late_reason(now);
            self.evict(id, reason, wait, actions);
            return;
        }
        if leaves && (self.over_bound(now) || wait > self.settings.pass_wait) {
            let reason = self.late_reason(now);
            self.evict(id, reason, wait, actions);
            return;
        }
        let half = now + Millis(patience.0 / 2);
        self.queue.review_at(id, half);
    }

    /// Turns away the newest request of whoever takes most of the queue.
    fn shorten(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(id) = self.queue.longest_tail() else {
            return;
        };
        let wait = self.predict(id, now);
        self.evict(id, Reason::QueueFull, wait, actions);
    }

    fn evict(&mut self, id: AttemptId, reason: Reason, wait: Millis, actions: &mut Vec<Action>) {
        if let Some(waiting) = self.queue.remove(id) {
            let action = self.turn_away(&waiting, reason, wait);
            actions.push(action);
        }
    }

    fn turn_away(&mut self, waiting: &Waiting, reason: Reason, wait: Millis) -> Action {
        let id = waiting.offer.id;
        if waiting.offer.movable {
            return Action::PassOn { id, reason };
        }
        let wait = wait.clamp(AFTER_MIN, AFTER_MAX);
        let retry_after = wait + Millis(self.rng.random_range(0..=wait.0));
        Action::Refuse { id, reason, retry_after }
    }

    /// Whether one more request may be dispatched now.
    fn open(&self, now: Millis) -> bool {
        self.state == State::Ready
            && self.hold.is_none()
            && self.flights.len() < self.slots()
            && !self.over_bound(now)
    }

    fn over_bound(&self, now: Millis) -> bool {
        self.load(now) > self.limit(now)
    }

    fn late_reason(&self, now: Millis) -> Reason {
        if self.over_bound(now) {
            return Reason::PoolFull;
        }
        Reason::Deadline
    }

    /// How long a waiting request is likely to wait from now on.
    fn predict(&self, id: AttemptId, now: Millis) -> Millis {
        let excess = self.load(now).0.saturating_sub(self.limit(now).0);
        let work = self.queue.work_before(id) + excess + self.queue.grain();
        let wait = work as f64 / self.drain.rate(self.settings.slots);
        let held = self.hold.map_or(Millis::ZERO, |hold| hold.since(now));
        Millis(wait as u64).max(held)
    }
}
