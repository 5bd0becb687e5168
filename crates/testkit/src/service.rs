//! A plain service: every `POST` runs once and is logged.

mod api;

use std::net::SocketAddr;
use std::sync::Arc;

use medlarrill_core::clock::Millis;
use serde::{Deserialize, Serialize};
use serde_with::skip_serializing_none;

use crate::http::{self, Outage, Plan, Server};
use crate::{Readiness, lock};
use api::Shared;

/// Result of starting a service.
pub type Result<T> = std::io::Result<T>;

/// What a service is told to do wrong.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// An outage of the whole service.
    pub outage: Option<Outage>,
    /// How long the outage lasts; zero means until other faults are set.
    pub lasting: Millis,
    /// Pause between the run and its answer.
    pub delay: Millis,
    /// Next posts refused with 503 before they run.
    pub refusals: u32,
    /// Next posts that run and whose answer is lost.
    pub losses: u32,
    /// Whether health says `leaving`.
    pub leaving: bool,
}

/// One run of a post.
#[skip_serializing_none]
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// Its number, from 1.
    pub run: u64,
    /// The path with its query.
    pub path: String,
    /// The `Idempotency-Key` header.
    pub key: Option<String>,
    /// The BLAKE3 digest of the body, in hexadecimal.
    pub digest: String,
    /// When it ran, by the wall clock in ms.
    pub at: u64,
}

impl Faults {
    /// The outage that they ask for.
    fn plan(&self) -> Plan {
        Plan {
            outage: self.outage,
            lasting: self.lasting,
            vm: None,
        }
    }

    const fn readiness(&self) -> Readiness {
        if self.leaving {
            Readiness::Leaving
        } else {
            Readiness::Ready
        }
    }
}

/// A running service, stopped when dropped.
pub struct Service {
    server: Server,
    shared: Arc<Shared>,
}

impl Service {
    /// Starts a service at `listen`.
    pub async fn start(listen: SocketAddr) -> Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = Arc::clone(&shared);
        let server = http::serve(listen, shared.switch.clone(), move |request| {
            let shared = Arc::clone(&handler);
            async move { shared.answer(request).await }
        })
        .await?;
        Ok(Self { server, shared })
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

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.state).runs.clone()
    }

    /// Stops it and waits until its port is closed.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
