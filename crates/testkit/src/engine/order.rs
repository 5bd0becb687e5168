//! Orders and the state that they change.

use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::http::{Answer, json};

/// What an order changes.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Loads a model in place of the present one.
    LoadModel,
    /// Loads an adapter beside those present.
    LoadAdapter,
    /// Sets the version.
    SetVersion,
    /// Sets the role.
    SetRole,
}

/// An order.
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// What it changes.
    pub kind: OrderKind,
    /// The model, adapter, version or role.
    pub name: String,
}

/// An order with its fencing number.
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Serialize, Deserialize)]
pub struct FencedOrder {
    /// The fencing number.
    pub fence: u64,
    /// The order.
    pub order: Order,
}

/// An order that came.
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order.
    pub order: FencedOrder,
    /// Whether it was applied.
    pub applied: bool,
    /// When it came, by the engine's wall clock in ms.
    pub at: u64,
}

/// What orders have made of an engine.
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Serialize, Deserialize)]
pub struct EngineState {
    /// The model loaded.
    pub model: String,
    /// The adapters loaded, in order of name.
    pub adapters: Vec<String>,
    /// The version.
    pub version: String,
    /// The role.
    pub role: String,
    /// The fencing number of the order applied last.
    pub fence: u64,
}

/// The answer to an order with an old fencing number.
#[derive(Serialize)]
struct Stale {
    fence: u64,
}

/// The state and the orders that came.
#[derive(Debug)]
pub(super) struct Orders {
    fencing: bool,
    pub(super) state: EngineState,
    pub(super) records: Vec<OrderRecord>,
}

impl Orders {
    pub(super) fn new(model: &str, fencing: bool) -> Self {
        let state = EngineState {
            model: model.into(),
            adapters: Vec::new(),
            version: "1".into(),
            role: "both".into(),
            fence: 0,
        };
        Self {
            fencing,
            state,
            records: Vec::new(),
        }
    }

    /// Whether a request for `model` can be served.
    pub(super) fn serves(&self, model: &str) -> bool {
        let state = &self.state;
        state.model == model || state.adapters.iter().any(|adapter| adapter == model)
    }

    /// Applies an order unless its fencing number is old and checked.
    pub(super) fn take(&mut self, order: FencedOrder, at: u64) -> Answer {
        let applied = !self.fencing || order.fence >= self.state.fence;
        let record = OrderRecord {
            order: order.clone(),
            applied,
            at,
        };
        self.records.push(record);
        if !applied {
            let fence = self.state.fence;
            return json(StatusCode::CONFLICT, &Stale { fence });
        }
        self.apply(order);
        json(StatusCode::OK, &self.state)
    }

    fn apply(&mut self, FencedOrder { fence, order }: FencedOrder) {
        let state = &mut self.state;
        state.fence = fence;
        match order.kind {
            OrderKind::LoadModel => state.model = order.name,
            OrderKind::SetVersion => state.version = order.name,
            OrderKind::SetRole => state.role = order.name,
            OrderKind::LoadAdapter => {
                state.adapters.push(order.name);
                state.adapters.sort();
                state.adapters.dedup();
            }
        }
    }
}
