//! Why a request has no response.

use derive_more::{Debug, Display, Error};
use medlarrill_core::routing::endpoint::StartTime;

use super::paths::ConnectError;

/// Result of sending a request.
pub type Result<T> = std::result::Result<T, SendError>;

/// Why no response head was received.
#[derive(Debug, Display, Error)]
pub enum SendError {
    /// No connection could be made; nothing was sent.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// This daemon is cut off from all endpoints; nothing was sent.
    #[display("not sent: {_0}")]
    CutOff(#[error(not(source))] String),
    /// Another process than the one that is listed has the endpoint's id; nothing was sent.
    #[display("not sent: the endpoint's process started at {_0}")]
    Replaced(#[error(not(source))] StartTime),
    /// The endpoint doesn't tell whether its process is the one that is listed; nothing was sent.
    #[display("not sent: the endpoint's process doesn't tell when it started")]
    Unproved,
    /// The connection failed after the request was passed to it.
    #[display("lost: {_0}")]
    Lost(#[error(not(source))] String),
}

impl From<ConnectError> for SendError {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::Unreachable(cause) => Self::NotSent(cause),
            ConnectError::CutOff(cause) => Self::CutOff(cause),
        }
    }
}
