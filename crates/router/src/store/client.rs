//! One kept connection to the store.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Debug, Display, Error};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use medlarrill_core::clock::Millis;
use medlarrill_platform::store::Call;

use crate::socket;

/// Longest time to connect: the store answers in some milliseconds.
const CONNECT: Millis = Millis(700);
/// Largest answer; the store's lists end at about 1 MB.
const BODY_MAX: usize = 4 << 20;

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// Why a call has no usable answer.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No answer came in time.
    #[display("no answer within {_0}")]
    Timeout(#[error(not(source))] Millis),
    /// The connection failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The exchange failed.
    #[display("{_0}")]
    Http(#[error(not(source))] String),
    /// The store refused the call.
    #[display("status {_0}")]
    Status(#[error(not(source))] StatusCode),
    /// The answer can't be read.
    #[display("{_0}")]
    Decode(medlarrill_platform::store::DecodeError),
    /// More of a list follows, after no name that can be read.
    #[display("a part of the list has no name to go on from")]
    Stuck,
}

impl CallError {
    /// Whether the store says that the history asked for is gone.
    pub fn is_gone(&self) -> bool {
        matches!(self, Self::Status(StatusCode::GONE))
    }

    /// Whether the store says that the object exists already.
    pub fn exists(&self) -> bool {
        matches!(self, Self::Status(StatusCode::CONFLICT))
    }

    /// Whether the store says that there is no such object.
    pub fn is_missing(&self) -> bool {
        matches!(self, Self::Status(StatusCode::NOT_FOUND))
    }

    /// Whether the store refused the call since there were too many.
    pub fn is_over_rate(&self) -> bool {
        matches!(self, Self::Status(StatusCode::TOO_MANY_REQUESTS))
    }
}

/// A connection that is made when it is needed.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    #[debug(skip)]
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Client {
    /// A client that isn't connected yet.
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Makes a call. A connection on which one failed isn't used again, since answers to
    /// that call may come later.
    ///
    /// # Errors
    ///
    /// When there is no answer in time that says that it was done.
    pub async fn call(&mut self, call: &Call, wait: Millis) -> Result<Bytes> {
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
    ) -> Result<(SendRequest<Full<Bytes>>, Result<Bytes>)> {
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
        let body = Limited::new(answer.into_body(), BODY_MAX).collect().await;
        let body = body.map_err(|error| CallError::Http(error.to_string()))?;
        let result = match status.is_success() {
            true => Ok(body.to_bytes()),
            false => Err(CallError::Status(status)),
        };
        Ok((sender, result))
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>> {
        let stream = socket::connect(self.address, CONNECT)
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
