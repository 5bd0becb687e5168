//! One kept connection and what came over it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::error::{LabError, Result};

/// A connection that is used again and again.
pub struct Line {
    address: SocketAddr,
    key: String,
    sender: Option<SendRequest<Full<Bytes>>>,
}

/// An answer and its times, counted from the moment it was asked for.
#[derive(Debug)]
pub struct Timed {
    /// To the first byte of the body.
    pub first: Duration,
    /// To the end.
    pub whole: Duration,
    /// The body.
    pub body: Bytes,
}

impl Line {
    /// A connection yet to be opened.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self {
            address,
            key: format!("Bearer {key}"),
            sender: None,
        }
    }

    /// Asks once and reads the whole answer.
    ///
    /// # Errors
    ///
    /// When the connection fails or the answer isn't a success.
    pub async fn ask(&mut self, method: Method, path: &str, body: Bytes) -> Result<Timed> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(AUTHORIZATION, &self.key)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        let mut sender = self.open().await?;
        let start = Instant::now();
        let answer = sender.send_request(request).await?;
        let status = answer.status();
        let mut body = answer.into_body();
        let mut first = None;
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            first.get_or_insert_with(|| start.elapsed());
            if let Ok(data) = frame?.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        let whole = start.elapsed();
        self.sender = Some(sender);
        if !status.is_success() {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            return Err(LabError::Wrong(format!("{path}: {status}: {text}")));
        }
        Ok(Timed {
            first: first.unwrap_or(whole),
            whole,
            body: bytes.freeze(),
        })
    }

    async fn open(&mut self) -> Result<SendRequest<Full<Bytes>>> {
        if let Some(sender) = self.sender.take().filter(|sender| !sender.is_closed()) {
            return Ok(sender);
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // The connection ends by itself when the sender is dropped.
        tokio::spawn(connection);
        Ok(sender)
    }
}
