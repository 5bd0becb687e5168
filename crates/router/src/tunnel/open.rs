//! Asks other daemons for a connection to an endpoint.

use std::net::SocketAddr;

use derive_more::{Debug, Display, Error, From};
use futures_util::{SinkExt, StreamExt};
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::reach::HelpFailure;

use super::CONNECT_TIMEOUT;
use super::message::{Opening, Reply, Verdict};
use crate::socket::{self, Link, framed};

/// Time in which a daemon that is asked replies; a busy VM may be late by some tens of
/// milliseconds.
const REPLY_TIMEOUT: Millis = Millis(120);
/// Time beyond a helper's own limit in which it says whether it is connected.
const OPEN_MARGIN: Millis = Millis(100);

/// Result of asking a daemon.
pub type Result<T> = std::result::Result<T, OpenError>;

/// A connection to an endpoint that another daemon carries.
#[derive(Debug)]
pub struct Opened {
    /// The daemon.
    pub helper: SocketAddr,
    /// The connection to it.
    #[debug(skip)]
    pub link: Link,
}

/// Why a daemon provides no connection to an endpoint.
#[derive(Debug, Display, Error, From)]
pub enum OpenError {
    /// The daemon can't be reached, or the connection to it failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// It didn't reply in time.
    #[display("no reply in time")]
    Late,
    /// It sent something else than a reply, as older daemons do.
    #[display("doesn't know how to help")]
    Strange,
    /// It can't help.
    #[display("{_0:?}")]
    #[from(skip)]
    Refused(#[error(not(source))] Verdict),
}

impl OpenError {
    /// What this says about the daemon that was asked; `None` if it merely doesn't know the
    /// endpoint.
    pub const fn failure(&self) -> Option<HelpFailure> {
        match self {
            Self::Refused(Verdict::CutOff) => Some(HelpFailure::CutOff),
            Self::Refused(Verdict::Busy | Verdict::Stopping) => Some(HelpFailure::Busy),
            Self::Refused(Verdict::Unreachable) => Some(HelpFailure::Unreachable),
            Self::Refused(_) => None,
            Self::Io(_) | Self::Late | Self::Strange => Some(HelpFailure::Silent),
        }
    }
}

/// Asks a daemon for a connection to an endpoint.
///
/// # Errors
///
/// When it doesn't reply, can't help, or can't connect to the endpoint either.
pub async fn open(helper: SocketAddr, id: &InstanceId) -> Result<Opened> {
    let greeting = tokio::time::timeout(REPLY_TIMEOUT.as_duration(), greet(helper, id));
    let mut link = greeting.await.map_err(|_| OpenError::Late)??;
    let wait = CONNECT_TIMEOUT + OPEN_MARGIN;
    let verdict = tokio::time::timeout(wait.as_duration(), read_reply(&mut link)).await;
    match verdict.map_err(|_| OpenError::Late)?? {
        Verdict::Open => Ok(Opened { helper, link }),
        verdict => Err(OpenError::Refused(verdict)),
    }
}

/// Asks a daemon, and waits until it tries to connect.
async fn greet(helper: SocketAddr, id: &InstanceId) -> Result<Link> {
    let stream = socket::connect(helper, REPLY_TIMEOUT).await?;
    let mut link = framed(stream);
    link.send(Opening::new(id).encode()).await?;
    match read_reply(&mut link).await? {
        Verdict::Accepted => Ok(link),
        verdict => Err(OpenError::Refused(verdict)),
    }
}

async fn read_reply(link: &mut Link) -> Result<Verdict> {
    let frame = link.next().await.ok_or(OpenError::Late)??;
    Reply::read(&frame).ok_or(OpenError::Strange)
}
