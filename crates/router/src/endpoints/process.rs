//! Asks the process at the other end of a connection when it started: another one, maybe of another
//! software version, may have the endpoint's id before that is listed.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::{Bytes, BytesMut};
use derive_more::Debug;
use http::header::{self, HeaderValue};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::PoolId;
use medlarrill_core::routing::endpoint::{Build, Endpoint, StartTime};
use medlarrill_platform::report;

use crate::guard::{GuardedBody, GuardedSender as Sender};

/// Time for a report on an idle connection, which may be dead: a new one is tried after that.
const IDLE_REPORT_TIME: Millis = Millis(250);
/// Maximum size of a report, in bytes: it lists the requests that run.
const MAX_REPORT: usize = 1 << 20;

/// What a request asks of its connection.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct Demand {
    /// Whether the request may run twice.
    pub is_idempotent: bool,
    /// Whether only the process that is listed may run it.
    pub process: Confirmation,
}

/// Whether the process at the other end of a connection has to be the one that is listed.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Confirmation {
    /// Any process of the endpoint's id will do.
    Unneeded,
    /// It has to be, as far as endpoints of its pool tell.
    IfTold,
    /// It has to tell that it is.
    Needed,
}

/// A connection that carries one request after another.
#[derive(Debug)]
pub struct Carrier {
    /// Sends the requests.
    #[debug(skip)]
    pub sender: Sender,
    /// Whether its process is known to be the one that is listed.
    is_confirmed: bool,
}

impl Carrier {
    /// A new connection, to a process of which nothing is known.
    pub const fn new(sender: Sender) -> Self {
        let is_confirmed = false;
        Self {
            sender,
            is_confirmed,
        }
    }
}

/// Whether a process is the one that is listed.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Verdict {
    /// It is.
    Same,
    /// It is another one, which started then.
    Replaced(StartTime),
    /// It doesn't say; endpoints like it didn't either.
    Unknown,
    /// It doesn't say, though endpoints like it do or it has to.
    Unproved,
}

/// Asks processes, and remembers of which pools and software versions they tell when they started.
#[derive(Default)]
#[derive(Debug)]
pub struct Inquiry {
    telling: Mutex<HashSet<(PoolId, Build)>>,
}

impl Inquiry {
    /// Asks the process at the other end of a connection once. The connection may be closed after
    /// that.
    pub async fn ask(
        &self,
        carrier: &mut Carrier,
        endpoint: &Endpoint,
        confirmation: Confirmation,
        is_new: bool,
    ) -> Verdict {
        let Some(listed) = endpoint.id.started else {
            return Verdict::Unknown;
        };
        if carrier.is_confirmed {
            return Verdict::Same;
        }
        let is_needed = confirmation == Confirmation::Needed;
        let reading = read_start(&mut carrier.sender, endpoint.address);
        let read = match is_new {
            // A silent endpoint may be sound; the deadline of the request ends this.
            true => Ok(reading.await),
            false => tokio::time::timeout(IDLE_REPORT_TIME.as_duration(), reading).await,
        };
        let verdict = match read {
            Ok(Some(start)) if start == listed => Verdict::Same,
            Ok(Some(start)) => Verdict::Replaced(start),
            Ok(None) if !is_needed && !self.is_telling(endpoint) => Verdict::Unknown,
            Ok(None) | Err(_) => Verdict::Unproved,
        };
        carrier.is_confirmed = verdict == Verdict::Same;
        if carrier.is_confirmed {
            self.record_telling(endpoint);
        }
        verdict
    }

    /// Whether endpoints of its pool and software version tell when they started.
    fn is_telling(&self, endpoint: &Endpoint) -> bool {
        self.lock().contains(&kind(endpoint))
    }

    fn record_telling(&self, endpoint: &Endpoint) {
        self.lock().insert(kind(endpoint));
    }

    fn lock(&self) -> MutexGuard<'_, HashSet<(PoolId, Build)>> {
        self.telling.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn kind(endpoint: &Endpoint) -> (PoolId, Build) {
    (endpoint.pool.clone(), endpoint.build.clone())
}

/// When the process started, if it reports that.
async fn read_start(sender: &mut Sender, address: SocketAddr) -> Option<StartTime> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = report::uri();
    let host = HeaderValue::try_from(address.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    let answer = sender.try_send_request(request).await.ok()?;
    let is_report = answer.status() == StatusCode::OK;
    let body = read_body(answer.into_body()).await?;
    // The connection takes the next request only after the end of this response was handled.
    sender.ready().await.ok();
    is_report.then(|| report::start_time(&body)).flatten()
}

async fn read_body(mut body: GuardedBody) -> Option<Bytes> {
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        if read.len() + data.len() > MAX_REPORT {
            return None;
        }
        read.extend_from_slice(&data);
    }
    Some(read.freeze())
}
