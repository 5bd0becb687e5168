//! A client: one attempt on a connection of its own, and the events or the body that it gets.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Wire;

/// What a client asks.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// The id of this attempt.
    pub attempt: String,
    /// Milliseconds for which the client waits.
    pub wait_ms: u64,
    /// Other headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct Got {
    /// The status; 0 if no head came.
    pub status: u16,
    /// Ids and data of the events.
    pub events: Vec<(u64, String)>,
    /// Whether the end of the answer came.
    pub is_whole: bool,
    /// The body of an answer that is no stream.
    pub body: Vec<u8>,
    /// Whether the connection was made.
    pub connected: bool,
    /// The answer's seal.
    pub seal: Option<String>,
}

/// The host of all routes.
pub const HOST: &str = "chat.example";
/// The client's key.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Sends a call and reads until the end, the close of the connection, or the deadline; `progress` is told
/// of each event and says whether to read on.
pub fn call(to: SocketAddr, call: &Call, mut progress: impl FnMut(&Got) -> bool) -> Got {
    let mut got = Got::default();
    let until = Instant::now() + Duration::from_millis(call.wait_ms);
    let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return got;
    };
    got.connected = true;
    let mut head = format!("{} {} HTTP/1.1\r\nHost: {HOST}\r\n", call.method, call.path);
    head.push_str(&format!("Medlarrill-Attempt-Id: {}\r\n", call.attempt));
    head.push_str(&format!("Medlarrill-Deadline-Ms: {}\r\n", call.wait_ms));
    head.push_str(&format!("Medlarrill-Credential: {KEY}\r\n"));
    for (name, value) in &call.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if call.method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", call.body.len()));
    }
    head.push_str("\r\n");
    let mut all = head.into_bytes();
    all.extend_from_slice(&call.body);
    let mut wire = Wire::new(stream);
    if wire.stream.write_all(&all).is_err() {
        return got;
    }
    let left = |wire: &Wire| {
        let left = until.saturating_duration_since(Instant::now());
        wire.stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .is_ok()
            && !left.is_zero()
    };
    if !left(&wire) {
        return got;
    }
    let Ok(answer) = wire.head() else {
        return got;
    };
    got.status = answer.status();
    got.seal = answer.header("medlarrill-response-seal").map(str::to_owned);
    let is_chunked = answer
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    if !is_chunked {
        let length = answer
            .header("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        if let Ok(body) = wire.exactly(length) {
            got.body = body;
            got.is_whole = true;
        }
        return got;
    }
    let mut text = String::new();
    while left(&wire) {
        let Ok(data) = wire.chunk() else {
            return got;
        };
        if data.is_empty() {
            got.is_whole = true;
            return got;
        }
        text.push_str(&String::from_utf8_lossy(&data));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let field = |name: &str| {
                event
                    .lines()
                    .find_map(|line| line.strip_prefix(name))
                    .map(str::to_owned)
            };
            if let (Some(id), Some(data)) = (field("id: "), field("data: ")) {
                got.events.push((id.parse().unwrap_or(0), data));
            }
        }
        if !progress(&got) {
            return got;
        }
    }
    got
}
