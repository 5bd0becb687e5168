//! A model engine: continuous batching, a bounded prefix cache, streams that
//! can be resumed and cancelled, a lagging load report, late cache events and
//! orders.

mod api;
mod batch;
mod cache;
mod cache_api;
mod chat;
mod events;
mod job;
mod load;
mod order;
mod reader;
mod settings;
mod shared;
mod submit;
mod text;

pub use batch::Counters;
pub use cache::CacheLoad;
pub use events::{Event, EventKind};
pub use job::{Phase, Run};
pub use load::Load;
pub use order::{EngineState, FencedOrder, Order, OrderKind, OrderRecord};
pub use settings::{Faults, Settings};
pub use text::{
    BLOCK_TOKENS, Message, TOKEN_BYTES, block_hashes, expected_answer, messages_text, token_count,
};

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinSet;

use crate::http::{self, Server};
use crate::lock;
use shared::Shared;

/// Result of starting an engine.
pub type Result<T> = std::io::Result<T>;

/// A running engine, stopped when dropped.
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
    /// Its loops, which end with it.
    _loops: JoinSet<()>,
}

impl Engine {
    /// Starts an engine at `listen`.
    pub async fn start(listen: SocketAddr, settings: Settings) -> Result<Self> {
        let shared = Arc::new(Shared::new(settings));
        let handler = Arc::clone(&shared);
        let server = http::serve(listen, shared.switch.clone(), move |request| {
            let shared = Arc::clone(&handler);
            async move { api::answer(&shared, request).await }
        })
        .await?;
        let mut loops = JoinSet::new();
        loops.spawn(shared::run_steps(Arc::clone(&shared)));
        loops.spawn(shared::run_reports(Arc::clone(&shared)));
        Ok(Self {
            server,
            shared,
            _loops: loops,
        })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// The faults that are left.
    pub fn faults(&self) -> Faults {
        lock(&self.shared.state).faults.clone()
    }

    /// All runs so far, in order of arrival.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.state).batch.runs(0)
    }

    /// The counters.
    pub fn counters(&self) -> Counters {
        lock(&self.shared.state).batch.counters
    }

    /// The load as it is now, without the lag of the report.
    pub fn load(&self) -> Load {
        self.shared.load(&lock(&self.shared.state))
    }

    /// The orders that came, in order of arrival.
    pub fn orders(&self) -> Vec<OrderRecord> {
        lock(&self.shared.state).orders.records.clone()
    }

    /// What orders have made of it.
    pub fn state(&self) -> EngineState {
        lock(&self.shared.state).orders.state.clone()
    }

    /// Stops it, cuts its streams and waits until its port is closed.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
