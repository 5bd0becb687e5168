//! Streams that callers take up after they lost their connection.

use medlarrill_core::routing::config::{Account, RetryPolicy, Route};
use medlarrill_core::routing::request::RequestHead;
use medlarrill_core::routing::streams::StreamKey;
use medlarrill_core::routing::streams::lookup::{Place, Result};

use super::trace::Trace;
use crate::shared::Shared;

/// The key of the stream that a request begins or takes up; none if streams of its route may not go
/// on elsewhere, or its caller doesn't name the stream. `path` doesn't include the query.
pub fn stream_key(
    host: &str,
    path: &str,
    account: Option<&Account>,
    call: &RequestHead,
    route: &Route,
) -> Option<StreamKey> {
    if route.retry != RetryPolicy::Resume {
        return None;
    }
    let first = match &call.resumes {
        Some(resumes) => resumes,
        None if call.is_take_up() => return None,
        None => &call.attempt,
    };
    let account = account.map(|account| &account.id);
    (!first.is_empty()).then(|| StreamKey::new(account, host, path, first))
}

/// Finds where a stream may go on that the caller takes up; none if the request begins one.
///
/// # Errors
///
/// If the stream can't go on.
pub async fn find_place(
    shared: &Shared,
    route: &Route,
    call: &RequestHead,
    stream: Option<StreamKey>,
    trace: &Trace,
) -> Result<Option<Place>> {
    if route.retry != RetryPolicy::Resume || !call.is_take_up() {
        return Ok(None);
    }
    let found = shared.streams.find(stream, route).await;
    trace.log_take_up(call, &found);
    Ok(Some(found?.place))
}
