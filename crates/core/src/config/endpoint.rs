//! An endpoint: one replica of a model or of a plain service.

use std::net::SocketAddr;

use derive_more::{Debug, Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, PoolId, VmId};

/// Whether an endpoint checks the fencing token of an order.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug, Display, FromStr, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses an order with an outdated token.
    Checked,
    /// It accepts every order.
    #[default]
    Ignored,
}

/// Configuration of one endpoint.
#[derive(Clone, PartialEq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The pool it belongs to.
    pub pool: PoolId,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// The data centre it is in.
    pub data_centre: DataCentreId,
    /// The VM it runs on, if the platform's list names it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vm: Option<VmId>,
    /// Whether it checks fencing tokens.
    #[serde(default)]
    pub fencing: Fencing,
    /// Whether an operator drained it, so that it gets no new work.
    #[serde(default)]
    pub drained: bool,
}
