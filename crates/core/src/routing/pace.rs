//! How long endpoints of plain services take, and when their queues are too long.
//!
//! An endpoint runs some requests at once and queues a few more. Where more
//! arrive than it can run, a long queue serves no more of them than a short
//! one; it only makes all of them late. So a request is taken while it can be
//! answered within its route's target, and refused at once beyond that, with
//! the time after which the queue will be short again.

use std::collections::HashMap;

use derive_more::Debug;

use crate::clock::Millis;
use crate::ids::EndpointId;

/// Weight of the newest answer. Times spread by half around their mean; over ten answers or so
/// the estimate is within a tenth.
const NEWEST: f64 = 0.1;
/// Parts of the target between which a predicted answer is refused more and more often. Loads
/// lag by up to 250 ms in a large fleet; with one sharp bound all daemons would refuse and take
/// requests by turns, and the endpoint would idle in between (4 in 100 fewer served).
const TARGET: (f64, f64) = (0.5, 0.95);
/// Queue that is always allowed, in requests for each slot, so that an endpoint never idles
/// between two reports of its load.
const QUEUE_MIN: f64 = 1.0;

/// How long endpoints take for one request without queue, in milliseconds.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Paces {
    work: HashMap<EndpointId, f64>,
}

/// Requests ahead, against those that run at once; at least one.
pub fn rounds(load: f64, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    ((load + 1.0) / slots).max(1.0)
}

impl Paces {
    /// Notes how long an answer took that met a load.
    pub fn answer(&mut self, id: &EndpointId, took: Millis, load: f64, slots: u32) {
        let sample = took.0 as f64 / rounds(load, slots);
        let work = self.work.entry(id.clone()).or_insert(sample);
        *work += (sample - *work) * NEWEST;
    }

    /// How long one request takes at an endpoint without queue, none if that isn't known.
    pub fn work(&self, id: &EndpointId) -> Option<f64> {
        self.work.get(id).copied()
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, id: &EndpointId) {
        self.work.remove(id);
    }
}

/// Why a request isn't taken.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Overload {
    /// When the answer would have come, in milliseconds.
    pub predicted: f64,
    /// Time after which the queue will be short enough again.
    pub wait: Millis,
}

/// Whether a request may join a load at an endpoint whose pace may be known, for a draw between
/// 0 and 1.
///
/// # Errors
///
/// When its answer would come too late, and the endpoint has work enough.
pub fn admit(
    work: Option<f64>,
    load: f64,
    slots: u32,
    target: Millis,
    draw: f64,
) -> Result<(), Overload> {
    let Some(work) = work else {
        return Ok(());
    };
    let predicted = work * rounds(load, slots);
    let part = predicted / target.0.max(1) as f64;
    let (least, most) = TARGET;
    let refused = (part - least) / (most - least);
    let queue = load / f64::from(slots.max(1)) - 1.0;
    if draw >= refused || queue < QUEUE_MIN {
        return Ok(());
    }
    let short = target.0 as f64 * least;
    Err(Overload {
        predicted,
        wait: Millis((predicted - short) as u64),
    })
}
