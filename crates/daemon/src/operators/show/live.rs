//! Tables of live state.

use std::sync::Arc;

use medlarrill_core::ids::{DaemonId, EndpointId, Incarnation, RequestId};
use medlarrill_core::operator::answer::Table;

use super::configured::NONE;
use super::{Result, homes};
use crate::context::Context;

/// Endpoints with their state and the counts of their homes.
pub async fn endpoints(context: &Arc<Context>) -> Table {
    let columns = [
        "endpoint",
        "pool",
        "data-centre",
        "address",
        "state",
        "load",
        "in-flight",
        "queued",
        "home",
    ];
    let mut table = Table::new(&columns);
    let config = context.config.borrow().clone();
    for row in homes::endpoints(context).await {
        let settings = config.endpoint(&row.id);
        table.push([
            row.id.to_string(),
            row.pool.to_string(),
            optional(settings.map(|settings| &settings.data_centre)),
            optional(settings.map(|settings| settings.address)),
            row.state,
            optional(row.load),
            optional(row.in_flight),
            optional(row.queued),
            optional(row.home),
        ]);
    }
    table
}

/// Load and load limit of each endpoint, tokens.
pub async fn load(context: &Arc<Context>) -> Table {
    let mut table = Table::new(&["endpoint", "pool", "load", "limit", "pool-mean"]);
    for row in homes::endpoints(context).await {
        table.push([
            row.id.to_string(),
            row.pool.to_string(),
            optional(row.load),
            optional(row.limit),
            optional(row.mean),
        ]);
    }
    table
}

/// State and load of one endpoint.
///
/// # Errors
///
/// When there is no endpoint of that name.
pub async fn endpoint(context: &Arc<Context>, id: &EndpointId) -> Result<Table> {
    let all = endpoints(context).await;
    let load = load(context).await;
    let mut table = Table::new(&["field", "value"]);
    for source in [all, load] {
        let row = source.rows.iter().find(|row| row[0] == id.as_str());
        let row = row.ok_or_else(|| format!("there is no endpoint {id}"))?;
        for (column, value) in source.columns.iter().zip(row) {
            let pair = [column.clone(), value.clone()];
            if !table.rows.iter().any(|row| row[0] == pair[0]) {
                table.push(pair);
            }
        }
    }
    Ok(table)
}

/// State of a request that this daemon took.
///
/// # Errors
///
/// When this daemon has no record of it.
pub fn request(context: &Context, id: RequestId) -> Result<Table> {
    let Some(state) = context.tracker.state(id) else {
        return Err(unknown(context, id));
    };
    let mut table = Table::new(&["field", "value"]);
    table.push(["request".into(), id.to_string()]);
    let value = serde_json::to_value(state).unwrap_or_default();
    for (field, value) in value.as_object().into_iter().flatten() {
        let text = value.as_str().map_or_else(|| value.to_string(), Into::into);
        table.push([field.clone(), text]);
    }
    Ok(table)
}

/// Message for a request without a record here. The high 64 bits of its identifier
/// are the incarnation that took it, by which the message names the daemon to ask.
fn unknown(context: &Context, id: RequestId) -> String {
    let process = Incarnation((id.0 >> 64) as u64);
    let view = context.fleet.borrow().clone();
    let mut peers = view.peers.iter();
    let owner: Option<&DaemonId> = peers
        .find(|(_, peer)| peer.incarnation == process)
        .map(|(name, _)| name);
    match owner {
        Some(daemon) if *daemon != context.me.daemon => {
            format!("request {id} was taken by {daemon}; ask that daemon")
        }
        _ => format!("request {id} is not remembered here"),
    }
}

/// Daemons as seen by this one.
pub fn daemons(context: &Context) -> Table {
    let columns = [
        "daemon",
        "state",
        "generation",
        "data-centre",
        "region",
        "address",
        "incarnation",
    ];
    let mut table = Table::new(&columns);
    let view = context.fleet.borrow().clone();
    for (name, peer) in &view.peers {
        table.push([
            name.to_string(),
            peer.state.to_string(),
            peer.generation.to_string(),
            peer.data_centre.to_string(),
            peer.region.to_string(),
            peer.address.to_string(),
            peer.incarnation.to_string(),
        ]);
    }
    table
}

/// Generation in force on each daemon.
pub fn generations(context: &Context) -> Table {
    let mut table = Table::new(&["daemon", "generation"]);
    let view = context.fleet.borrow().clone();
    for (name, peer) in &view.peers {
        table.push([name.to_string(), peer.generation.to_string()]);
    }
    table
}

fn optional(value: Option<impl ToString>) -> String {
    value.map_or_else(|| NONE.into(), |value| value.to_string())
}
