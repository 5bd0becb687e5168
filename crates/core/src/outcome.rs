//! What can be said of a request that got no whole answer.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Whether a request ran at an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
#[derive(Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran, or is running.
    #[display("ran")]
    Ran,
    /// It did not run and will not.
    #[display("not-run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}
