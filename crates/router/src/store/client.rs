//! HTTP client of the platform's store, with one persistent connection.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use derive_more::{Debug, Display, Error};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::revision::Era;
use medlarrill_platform::store::{Call, era};

use super::eras::Eras;
use crate::socket;

/// Timeout for connecting: the store answers in some milliseconds.
const CONNECT_TIMEOUT: Millis = Millis(700);
/// Maximum size of a response in bytes. The store limits its lists to about 1 MB and values to 1 MiB,
/// of which JSON may write each byte as six.
const MAX_BODY: usize = 8 << 20;

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// Why a call has no usable response.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No response arrived in time.
    #[display("no answer within {_0}")]
    Timeout(#[error(not(source))] Millis),
    /// The connection couldn't be opened.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The HTTP exchange failed.
    #[display("{_0}")]
    Http(#[error(not(source))] String),
    /// The store answered with an error status.
    #[display("status {_0}")]
    Status(#[error(not(source))] StatusCode),
    /// The response is one of before the store's last restoration.
    #[display("answer of era {_0}, which has ended")]
    OldEra(#[error(not(source))] Era),
    /// The response is of another era than the copy.
    #[display("answer of era {_0}, unlike the copy")]
    OtherEra(#[error(not(source))] Era),
    /// There is no copy of a list whose changes could be read.
    #[display("no list yet")]
    Unlisted,
    /// The response is larger than [`MAX_BODY`].
    #[display("answer of more than {MAX_BODY} bytes")]
    TooLarge,
    /// The response can't be decoded.
    #[display("{_0}")]
    Decode(medlarrill_platform::store::DecodeError),
    /// A list has more pages, but no other readable name after which the next one starts.
    #[display("a part of the list has no other name to go on from")]
    Stuck,
}

/// A response with a success status.
#[derive(Debug)]
pub struct Answer {
    /// Its body.
    pub body: Bytes,
    /// The era of the store in which it was given.
    pub era: Era,
}

impl CallError {
    /// Whether the store no longer has the requested history (410).
    pub fn is_gone(&self) -> bool {
        matches!(self, Self::Status(StatusCode::GONE))
    }

    /// Whether the response came and can't be used, as it won't be when the call is made again.
    pub const fn is_unusable(&self) -> bool {
        matches!(self, Self::TooLarge | Self::Decode(_))
    }

    /// Whether the object exists already or has changed (409).
    pub fn exists(&self) -> bool {
        matches!(self, Self::Status(StatusCode::CONFLICT))
    }

    /// Whether there is no such object (404).
    pub fn is_missing(&self) -> bool {
        matches!(self, Self::Status(StatusCode::NOT_FOUND))
    }

    /// Whether the store refused the call by its rate limit (429).
    pub fn is_over_rate(&self) -> bool {
        matches!(self, Self::Status(StatusCode::TOO_MANY_REQUESTS))
    }
}

/// A client that connects on demand.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    #[debug(skip)]
    sender: Option<SendRequest<Full<Bytes>>>,
    /// Where the eras of answers are recorded.
    eras: Option<Arc<Eras>>,
}

impl Client {
    /// Creates a client that isn't connected yet.
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
            eras: None,
        }
    }

    /// Records the eras of answers.
    pub fn with_eras(self, eras: &Arc<Eras>) -> Self {
        Self {
            eras: Some(Arc::clone(eras)),
            ..self
        }
    }

    /// Makes a call. A connection on which a call failed isn't reused, since the response to that
    /// call may still arrive.
    ///
    /// # Errors
    ///
    /// When no response with a success status arrives in time.
    pub async fn call(&mut self, call: &Call, wait: Millis) -> Result<Bytes> {
        self.ask(call, wait).await.map(|answer| answer.body)
    }

    /// Makes a call; returns the response with its era.
    ///
    /// # Errors
    ///
    /// When no response with a success status arrives in time, or one of an era that has ended.
    pub async fn ask(&mut self, call: &Call, wait: Millis) -> Result<Answer> {
        let sender = self.sender.take().filter(|sender| !sender.is_closed());
        let call = self.exchange(sender, call);
        let (sender, body) = tokio::time::timeout(wait.as_duration(), call)
            .await
            .map_err(|_| CallError::Timeout(wait))??;
        self.sender = Some(sender);
        body
    }

    async fn exchange(
        &self,
        sender: Option<SendRequest<Full<Bytes>>>,
        call: &Call,
    ) -> Result<(SendRequest<Full<Bytes>>, Result<Answer>)> {
        let mut sender = match sender {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        sender.ready().await.map_err(http)?;
        let mut request = Request::builder()
            .method(&call.method)
            .uri(&call.path)
            .header(http::header::HOST, self.address.to_string());
        if !call.body.is_empty() {
            request = request.header(http::header::CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(Full::new(call.body.clone()))
            .map_err(|error| CallError::Http(error.to_string()))?;
        let answer = sender.send_request(request).await.map_err(http)?;
        let status = answer.status();
        let era = self.check_era(era(answer.headers()))?;
        let body = Limited::new(answer.into_body(), MAX_BODY).collect().await;
        let body = body.map_err(|error| match error.is::<LengthLimitError>() {
            true => CallError::TooLarge,
            false => CallError::Http(error.to_string()),
        })?;
        let result = match status.is_success() {
            true => Ok(Answer {
                body: body.to_bytes(),
                era,
            }),
            false => Err(CallError::Status(status)),
        };
        Ok((sender, result))
    }

    /// Returns the era of an answer.
    fn check_era(&self, named: Option<Era>) -> Result<Era> {
        let Some(eras) = &self.eras else {
            return Ok(named.unwrap_or_default());
        };
        eras.record(named).map_err(CallError::OldEra)
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>> {
        let stream = socket::connect(self.address, CONNECT_TIMEOUT)
            .await
            .map_err(CallError::Io)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(http)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "store", "store: connection ended: {error}");
            }
        });
        Ok(sender)
    }
}

fn http(error: hyper::Error) -> CallError {
    CallError::Http(error.to_string())
}
