//! Remembers requests whose response ended without a mark.
//!
//! An endpoint that fails may close its connections in order, as one does that has completed a
//! response. If other connections to it were lost at that moment, it was lost with these requests,
//! too.

use std::collections::VecDeque;

use derive_more::Debug;

use crate::clock::Millis;
use crate::routing::endpoint::InstanceId;
use crate::routing::fingerprint::Fingerprint;
use crate::routing::reach::LOSS_WINDOW;

/// Time after the end of a response within which the loss of its endpoint counts against its
/// request. An endpoint that fails loses its connections within [`LOSS_WINDOW`], and a loss is
/// recorded that much later.
const WINDOW: Millis = Millis(2 * LOSS_WINDOW.0);
/// Requests that are remembered.
const REQUESTS_MAX: usize = 512;

#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
struct UnmarkedEnd {
    endpoint: InstanceId,
    request: Fingerprint,
    at: Millis,
}

/// Recent ends without a mark, the oldest first.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct UnmarkedEnds(VecDeque<UnmarkedEnd>);

impl UnmarkedEnds {
    /// Records that the response of an endpoint to a request ended.
    pub fn record(&mut self, id: &InstanceId, request: Fingerprint, now: Millis) {
        self.expire(now);
        if self.0.len() >= REQUESTS_MAX {
            self.0.pop_front();
        }
        self.0.push_back(UnmarkedEnd {
            endpoint: id.clone(),
            request,
            at: now,
        });
    }

    /// Takes the requests that were lost with an endpoint whose connections are lost now.
    pub fn take_lost(&mut self, id: &InstanceId, now: Millis) -> Vec<Fingerprint> {
        self.expire(now);
        let mut lost = Vec::new();
        self.0.retain(|end| {
            let is_lost = end.endpoint == *id;
            lost.extend(is_lost.then_some(end.request));
            !is_lost
        });
        lost
    }

    fn expire(&mut self, now: Millis) {
        while self.0.front().is_some_and(|end| now.since(end.at) > WINDOW) {
            self.0.pop_front();
        }
    }
}
