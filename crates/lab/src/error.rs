//! Why a measurement failed.

use derive_more::{Debug, Display, Error, From};
use medlarrill_testkit::client::ClientError;
use medlarrill_testkit::fleet::{CallError, DaemonError, FleetError};

/// Result of a measurement.
pub type Result<T> = std::result::Result<T, LabError>;

/// Why a measurement failed.
#[derive(Debug, Display, Error, From)]
pub enum LabError {
    /// The fleet can't start.
    #[display("{_0}")]
    Fleet(FleetError),
    /// A daemon can't be driven.
    #[display("{_0}")]
    Daemon(DaemonError),
    /// A call of the fleet failed.
    #[display("{_0}")]
    Call(CallError),
    /// A connection failed.
    #[display("{_0}")]
    Client(ClientError),
    /// A file or socket failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// HTTP failed.
    #[display("{_0}")]
    Http(hyper::Error),
    /// A request is malformed.
    #[display("{_0}")]
    Request(hyper::http::Error),
    /// JSON can't be written or read.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// Something came out wrong.
    #[display("{_0}")]
    #[from(skip)]
    Wrong(#[error(not(source))] String),
}
