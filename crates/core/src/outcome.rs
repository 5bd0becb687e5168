//! Whether a request without a complete response was executed.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Whether an endpoint executed a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
#[derive(Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Outcome {
    /// It was executed, or is being executed.
    #[display("ran")]
    Ran,
    /// It was not executed and will not be.
    #[display("not-run")]
    NotRun,
    /// It may have been executed.
    #[display("unknown")]
    Unknown,
}
