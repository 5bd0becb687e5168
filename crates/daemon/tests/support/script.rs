//! An engine that holds one fixed stream and cuts it at given bytes.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use hyper::{Method, StatusCode};
use medlarrill_testkit::ANY_PORT;
use medlarrill_testkit::http::{self, Answer, Cut, Server, Switch};
use serde_json::json;

/// Pause before a cut.
const CUT_PAUSE: Duration = Duration::from_millis(3);

/// One event of the stream.
#[derive(Clone, Debug)]
pub struct Piece {
    /// Tokens up to and with it.
    pub id: u64,
    /// Its data.
    pub data: String,
    /// Whether it closes the answer, without a token of its own.
    pub closing: bool,
}

impl Piece {
    fn text(&self) -> String {
        format!("id: {}\ndata: {}\n\n", self.id, self.data)
    }
}

/// What the engine is told to do wrong.
#[derive(Debug, Default)]
pub struct Faults {
    /// Bytes after which the next answers are cut.
    pub cuts: VecDeque<usize>,
    /// Whether a resumed stream starts from its beginning.
    pub repeats: bool,
    /// Whether it takes chats and closes their connections without an answer.
    pub silent: bool,
}

/// The engine.
pub struct Script {
    server: Server,
    /// Its faults.
    pub faults: Arc<Mutex<Faults>>,
    pieces: Vec<Piece>,
}

impl Script {
    /// Starts an engine with this stream.
    pub async fn start(pieces: Vec<Piece>) -> Self {
        let faults = Arc::new(Mutex::new(Faults::default()));
        let handler = {
            let faults = Arc::clone(&faults);
            let pieces = pieces.clone();
            move |request: hyper::Request<hyper::body::Incoming>| {
                let faults = Arc::clone(&faults);
                let pieces = pieces.clone();
                async move {
                    let (parts, body) = request.into_parts();
                    http::read(body).await?;
                    if parts.method == Method::POST && faults.lock().unwrap().silent {
                        return Err(Cut.into());
                    }
                    Ok(answer(&parts, &pieces, &mut faults.lock().unwrap()))
                }
            }
        };
        let server = http::serve(ANY_PORT, Switch::default(), handler);
        Self {
            server: server.await.unwrap(),
            faults,
            pieces,
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The whole stream.
    pub fn whole(&self) -> String {
        self.pieces.iter().map(Piece::text).collect()
    }
}

fn answer(parts: &hyper::http::request::Parts, pieces: &[Piece], faults: &mut Faults) -> Answer {
    let path = parts.uri.path();
    if path == "/v1/load" {
        let now = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
        let load = json!({
            "as_of": now, "running": 0, "waiting": 0, "tokens": 0, "slots": 16, "state": "ready",
        });
        return http::json(StatusCode::OK, &load);
    }
    if path == "/v1/health" {
        return http::json(StatusCode::OK, &json!({ "state": "ready" }));
    }
    let from = match parts.method {
        Method::GET if faults.repeats => 0,
        Method::GET => from(parts.uri.query()),
        _ => 0,
    };
    let wanted = |piece: &&Piece| piece.closing || piece.id > from;
    let text: String = pieces.iter().filter(wanted).map(Piece::text).collect();
    let cut = faults.cuts.pop_front();
    let kept = Bytes::from(text[..cut.unwrap_or(text.len()).min(text.len())].to_owned());
    let end = cut.map(|_| Err(Cut));
    let parts = stream::iter([Some(Ok(kept)), end].into_iter().flatten());
    // What stands before a cut goes out first.
    http::stream(parts.then(|part| async move {
        if part.is_err() {
            tokio::time::sleep(CUT_PAUSE).await;
        }
        part
    }))
}

fn from(query: Option<&str>) -> u64 {
    let query = query.unwrap_or_default();
    query.strip_prefix("from=").unwrap().parse().unwrap()
}
