//! The endpoints of the fleet, each with the counts of its home.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use medlarrill_core::units::Tokens;
use medlarrill_core::wire::HomeState;

use crate::context::Context;
use crate::home::EndpointRow;

/// Endpoints as seen by this daemon, with the counts of those other homes that answer.
pub async fn endpoints(context: &Arc<Context>) -> Vec<EndpointRow> {
    let mut rows = context.home.show().await;
    let others = rows.iter().filter(|row| row.in_flight.is_none());
    let homes: BTreeSet<_> = others.filter_map(|row| row.home.clone()).collect();
    let states = context.state_queries.query(context, homes).await;
    let states: BTreeMap<_, _> = states
        .into_iter()
        .map(|state| (state.endpoint.clone(), state))
        .collect();
    for row in rows.iter_mut().filter(|row| row.in_flight.is_none()) {
        if let Some(state) = states.get(row.id.as_str()) {
            merge(row, state);
        }
    }
    rows
}

fn merge(row: &mut EndpointRow, state: &HomeState) {
    row.state = state.state.clone();
    row.load = Some(Tokens(state.load));
    row.limit = Some(Tokens(state.limit));
    row.in_flight = Some(state.in_flight);
    row.queued = usize::try_from(state.queued).ok();
}
