//! What the stand-ins share: the server, answers and outages.

mod answer;
mod outage;
mod server;

pub use answer::{
    Answer, Body, Cut, MAX_BODY, Result, Stop, bytes, empty, error, json, read, read_json, refuse,
    stream,
};
pub use outage::{Outage, Plan, Switch};
pub use server::{Server, serve};

use hyper::{HeaderMap, StatusCode, Uri};
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// Asks for the runs with a number above `after`.
#[derive(Deserialize)]
pub struct RunsAsk {
    /// The number, 0 if absent.
    #[serde(default)]
    pub after: u64,
}

/// Reads the query of a request, or answers 400.
pub fn query<T: DeserializeOwned>(uri: &Uri) -> Result<T> {
    serde_urlencoded::from_str(uri.query().unwrap_or_default())
        .map_err(|e| error(StatusCode::BAD_REQUEST, &e.to_string()).into())
}

/// The text of a header, if it is there and is text.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
