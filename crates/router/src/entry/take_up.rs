//! Streams that callers take up after they lost their connection.

use std::sync::Arc;

use medlarrill_core::routing::config::{Account, RetryPolicy, Route};
use medlarrill_core::routing::request::RequestHead;
use medlarrill_core::routing::streams::StreamKey;
use medlarrill_core::routing::streams::lookup::{Doubt, LookupError, Place, Result, Source};

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
    (host, path): (&str, &str),
    route: &Route,
    call: &RequestHead,
    stream: Option<StreamKey>,
    trace: &Trace,
) -> Result<Option<Place>> {
    if route.retry != RetryPolicy::Resume || !call.is_take_up() {
        return Ok(None);
    }
    let found = shared.streams.find(stream, route).await;
    let found = found.and_then(|found| {
        let config = shared.config.borrow().clone();
        let current = config.as_ref().and_then(|config| config.route(host, path));
        let has_pools = |current: &Arc<Route>| current.pools().eq(route.pools());
        // The stream may have begun in a pool of a newer configuration, read since the request came.
        match found.source == Source::Single && !current.is_some_and(has_pools) {
            true => Err(LookupError::Unknown(Doubt::Outdated)),
            false => Ok(found),
        }
    });
    trace.log_take_up(call, &found);
    Ok(Some(found?.place))
}
