//! Answers that ended sooner than their endpoints, deadlines or callers ended them.

use std::time::Duration;

use medlarrill_platform_standin::Run;

use super::super::traffic::Sent;
use super::{Violation, words};

/// Time before a deadline in which an answer may be given up.
const MARGIN: Duration = Duration::from_millis(150);

/// Whether an answer was ended by a daemon before the request's deadline. Refusals of requests that
/// haven't run are another matter, and so is a request that crosses the end of a daemon's stop.
pub fn ended_early(sent: &Sent, ran: &[Run]) -> Option<Violation> {
    let reply = &sent.reply;
    let is_unseen = reply.status.is_none() && ran.is_empty();
    if reply.is_success() || reply.promises_not_run() || is_unseen {
        return None;
    }
    let passed = sent.to - sent.from;
    let early = Duration::from_millis(sent.call.wait).checked_sub(passed + MARGIN)?;
    Some(Violation::EndedEarly {
        request: sent.call.attempt.clone(),
        daemon: sent.daemon,
        reply: words(reply),
        early: (early + MARGIN).as_millis(),
    })
}
