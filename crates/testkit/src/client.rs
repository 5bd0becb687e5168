//! A plain HTTP client for tests: one connection a request, and no retry.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Debug, Display, Error, From};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::http::request::Builder;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

/// Result of a call.
pub type Result<T> = std::result::Result<T, ClientError>;

/// A call that got no whole answer.
#[derive(Debug, Display, Error, From)]
pub enum ClientError {
    /// No connection.
    #[display("no connection: {_0}")]
    Connect(std::io::Error),
    /// The connection broke, or the answer isn't HTTP.
    #[display("no answer: {_0}")]
    Http(hyper::Error),
    /// The request is malformed.
    #[display("bad request: {_0}")]
    Request(hyper::http::Error),
}

/// A request to `path`; add headers, then pass it to `send` or `open`.
pub fn request(method: Method, path: &str) -> Builder {
    Request::builder().method(method).uri(path)
}

/// Sends a request and reads the whole answer.
pub async fn send(
    address: SocketAddr,
    request: Builder,
    body: impl Into<Bytes>,
) -> Result<Response<Bytes>> {
    let (parts, body) = open(address, request, body).await?.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Response::from_parts(parts, body))
}

/// Sends a request and leaves the body to be read; dropping that closes the connection.
pub async fn open(
    address: SocketAddr,
    request: Builder,
    body: impl Into<Bytes>,
) -> Result<Response<Incoming>> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // The connection ends by itself when the sender and the answer are dropped.
    tokio::spawn(connection);
    let request = request
        .header(HOST, address.to_string())
        .body(Full::new(body.into()))?;
    Ok(sender.send_request(request).await?)
}

/// Reads `path` whole.
pub async fn get(address: SocketAddr, path: &str) -> Result<Response<Bytes>> {
    send(address, request(Method::GET, path), "").await
}

/// Reads `path` as JSON; null if it isn't.
pub async fn get_json(address: SocketAddr, path: &str) -> Result<Value> {
    let answer = get(address, path).await?;
    Ok(serde_json::from_slice(answer.body()).unwrap_or_default())
}

/// Sends JSON to `path`.
pub async fn send_json(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
) -> Result<Response<Bytes>> {
    send(address, request(method, path), body.to_string()).await
}
