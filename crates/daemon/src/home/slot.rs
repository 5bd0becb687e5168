//! One endpoint at its home: admission, polling and what was heard of it.

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

/// Age from which what was heard of an endpoint allows no dispatch.
const STALE: Millis = Millis::from_secs(2);

/// One endpoint.
pub struct Slot {
    /// Its pool.
    pub pool: PoolId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its admission.
    pub home: Home,
    /// Whether an operator has drained it.
    pub drained: bool,
    /// Whether this daemon is its home by the present view.
    pub own: bool,
    leaving: bool,
    moved: bool,
    /// When it was made, from when its endpoint has time for a first answer.
    since: Millis,
    /// When the newest question that was answered had been asked.
    heard: Option<Millis>,
    poller: Option<Poller>,
}

impl Slot {
    /// A slot that starts now, and is polled at once.
    pub fn new(pool: PoolId, terms: &Pool, address: SocketAddr, rng: Pcg32, now: Millis) -> Self {
        Self {
            pool,
            address,
            home: Home::new(Settings::new(terms), rng, now),
            drained: false,
            own: false,
            leaving: false,
            moved: false,
            since: now,
            heard: None,
            poller: None,
        }
    }

    /// Polls the endpoint from now on.
    pub fn watch(&mut self, context: &Arc<Context>, id: &EndpointId) {
        if self.poller.is_none() {
            let context = Arc::clone(context);
            self.poller = Some(Poller::start(context, id.clone(), self.address));
        }
    }

    /// Notes whether this daemon is the endpoint's home; a former home admits nothing more.
    pub fn settle(&mut self, own: bool) {
        self.moved = (self.moved || self.own) && !own;
        self.own = own;
    }

    /// Admits again, though another daemon may be the home: that one can't be reached.
    pub fn stand_in(&mut self) {
        self.moved = false;
    }

    /// Takes the answer to a poll of time `asked`.
    pub fn polled(&mut self, load: &endpoint::Load, asked: Millis, now: Millis) -> Vec<Action> {
        self.heard = self.heard.max(Some(asked));
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

    /// Brings the admission's state up to what is known now.
    pub fn refresh(&mut self, now: Millis) -> Vec<Action> {
        let state = self.state(now);
        if state == self.home.state() {
            return Vec::new();
        }
        self.home.handle(Event::State(state), now)
    }

    /// What it carries now.
    pub fn occupancy(&self, now: Millis) -> Occupancy {
        let free = self.home.in_flight() < self.home.slots();
        let under = self.home.load(now) <= self.home.limit(now);
        Occupancy {
            load: self.home.load(now),
            waiting: self.home.queued_work(),
            room: free && under && self.home.queued() == 0,
        }
    }

    /// Whether the slot can be dropped.
    pub fn is_idle(&self) -> bool {
        self.home.in_flight() == 0 && self.home.queued() == 0
    }

    fn state(&self, now: Millis) -> State {
        if now.since(self.heard.unwrap_or(self.since)) > STALE {
            return State::Unreachable;
        }
        if self.moved {
            return State::Moved;
        }
        if self.drained || self.leaving {
            return State::Leaving;
        }
        // Who stands in for a home doesn't know whether the endpoint is leaving. Where nobody
        // waited, 3 of 14 runs with a frozen home sent to one that was; so, none of 24.
        if !self.own && self.heard.is_none() {
            return State::Unconfirmed;
        }
        State::Ready
    }
}
