//! The state of endpoints, for operators.

use std::sync::Arc;

use medlarrill_core::admission::State;
use medlarrill_core::ids::{DaemonId, EndpointId, PoolId};
use medlarrill_core::placement::{EndpointState, EndpointView};
use medlarrill_core::units::Tokens;
use medlarrill_core::wire::{Body, HomeState, StateAnswer, StateQuery};
use medlarrill_net::link::PeerId;
use medlarrill_net::now::now;

use super::slot::Slot;
use super::task::Task;

/// One endpoint in this daemon's view.
#[derive(Clone, PartialEq, Debug)]
pub struct EndpointRow {
    /// Its name.
    pub id: EndpointId,
    /// Its pool.
    pub pool: PoolId,
    /// Name of its state.
    pub state: String,
    /// Work in flight; known at its home only.
    pub load: Option<Tokens>,
    /// Most work dispatched to it at a time; known at its home only.
    pub limit: Option<Tokens>,
    /// Mean load of the pool.
    pub mean: Option<Tokens>,
    /// Requests in flight; known at its home only.
    pub in_flight: Option<u32>,
    /// Requests waiting; known at its home only.
    pub queued: Option<usize>,
    /// Its home in the current fleet view.
    pub home: Option<DaemonId>,
}

impl Task {
    /// All configured endpoints.
    pub(super) fn show(&self) -> Vec<EndpointRow> {
        let now = now();
        let endpoints = &self.config.config.endpoints;
        let row = |(id, settings): (&EndpointId, &medlarrill_core::config::Endpoint)| {
            let pool = self.loads.pool(&settings.pool);
            let view = pool.and_then(|pool| pool.get(id));
            let own = self.slots.get(id).filter(|slot| slot.own);
            EndpointRow {
                id: id.clone(),
                pool: settings.pool.clone(),
                state: state(settings.drained, own, view).into(),
                load: own.map(|slot| slot.home.load(now)),
                limit: own.map(|slot| slot.home.limit(now)),
                mean: pool.map(|pool| Tokens(pool.mean(now).load as u64)),
                in_flight: own.map(|slot| slot.home.in_flight()),
                queued: own.map(|slot| slot.home.queued()),
                home: self.home_of(id),
            }
        };
        endpoints.iter().map(row).collect()
    }

    /// Sends another daemon the state of the endpoints that this one is home of.
    pub(super) fn send_state(&self, to: PeerId, ask: StateQuery) {
        let rows = self.show().into_iter();
        let answer = StateAnswer {
            number: ask.number,
            endpoints: rows.filter_map(EndpointRow::into_home_state).collect(),
        };
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            // Without an answer, the other daemon shows its own view of the endpoints.
            let body = Body::StateAnswer(answer);
            let _ = context.peers.send(&to.daemon, body).await;
        });
    }
}

impl EndpointRow {
    /// The message to another daemon; `None` if this daemon isn't the endpoint's home.
    fn into_home_state(self) -> Option<HomeState> {
        Some(HomeState {
            endpoint: self.id.to_string(),
            in_flight: self.in_flight?,
            state: self.state,
            load: self.load.unwrap_or_default().0,
            limit: self.limit.unwrap_or_default().0,
            queued: self.queued.and_then(|queued| queued.try_into().ok())?,
        })
    }
}

const fn state_name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Ready => "ready",
        EndpointState::Leaving => "leaving",
        EndpointState::Drained => "drained",
        EndpointState::Unknown => "unknown",
    }
}

fn state(drained: bool, own: Option<&Slot>, view: Option<&EndpointView>) -> &'static str {
    if drained {
        return "drained";
    }
    match own.map(|slot| slot.home.state()) {
        Some(State::Ready) => "ready",
        Some(State::Unconfirmed) => "unknown",
        Some(State::Leaving) => "leaving",
        Some(State::Unreachable) => "unreachable",
        Some(State::Moved) => "moved",
        None => view.map_or("unknown", |view| state_name(view.state)),
    }
}
