//! Whether an endpoint takes work.

use derive_more::{Display, FromStr};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::http::{Answer, json};

/// Whether an endpoint takes work.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Default, Debug)]
#[derive(Serialize, Deserialize, Display, FromStr)]
#[serde(rename_all = "kebab-case")]
pub enum Readiness {
    /// It takes work.
    #[default]
    #[display("ready")]
    Ready,
    /// It will stop soon.
    #[display("leaving")]
    Leaving,
}

/// The answer to a health check.
#[derive(Serialize)]
struct Health {
    state: Readiness,
}

/// Answers a health check.
pub(crate) fn health(state: Readiness) -> Answer {
    let status = match state {
        Readiness::Ready => StatusCode::OK,
        Readiness::Leaving => StatusCode::SERVICE_UNAVAILABLE,
    };
    json(status, &Health { state })
}
