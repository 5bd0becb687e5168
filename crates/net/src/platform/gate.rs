//! Rate budget and circuit breaker of one role.
//!
//! Performs no I/O; the time is passed in.

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::backoff::Backoff;
use super::role::Budget;

/// Consecutive failures after which the circuit opens.
const FAILURE_THRESHOLD: u32 = 3;
/// Lower bound of non-zero rates, in calls per second.
const MIN_RATE: f64 = 1e-6;
/// Longest `Retry-After` that is honoured; longer ones are cut to it.
const MAX_RETRY_AFTER: Millis = Millis::from_secs(60);

/// Rate limiter that schedules calls by their due times (GCRA).
#[derive(Debug)]
struct Bucket {
    /// Interval between calls at the even rate, in milliseconds.
    interval: f64,
    /// How much before its due time a call may go, in milliseconds.
    burst_time: f64,
    /// Due time of the next call at the even rate, in milliseconds.
    due: f64,
}

impl Bucket {
    fn new(budget: Budget) -> Self {
        let rate = budget.rate.0;
        let interval = 1000.0 / rate.max(MIN_RATE);
        Self {
            interval,
            burst_time: interval * f64::from(budget.burst.saturating_sub(1)),
            due: if rate > 0.0 { 0.0 } else { f64::INFINITY },
        }
    }

    /// Reserves a call and returns the delay before it. Fails with that delay if
    /// it exceeds `max_wait`; then nothing is reserved.
    fn reserve(&mut self, now: Millis, max_wait: Millis) -> Result<Millis, Millis> {
        let now = now.0 as f64;
        let due = self.due.max(now);
        let wait = Millis((due - self.burst_time - now).max(0.0).ceil() as u64);
        if wait > max_wait {
            return Err(wait);
        }
        self.due = due + self.interval;
        Ok(wait)
    }

    /// Delays the next call to `until`; later ones follow at the even rate.
    fn delay_until(&mut self, until: Millis) {
        self.due = self.due.max(until.0 as f64 + self.burst_time);
    }
}

#[derive(Debug)]
enum Circuit {
    /// Calls are allowed.
    Up { failures: u32 },
    /// No call is allowed before `until`, and then a single probe.
    Down { until: Millis, openings: u32 },
    /// One call is probing the platform.
    Probing { openings: u32 },
}

/// Permission for one call.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub(super) struct Permit {
    /// Whether the call is a probe.
    probe: bool,
}

/// What the result of a call shows about the platform.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub(super) enum Signal {
    /// It responds.
    Up,
    /// It responds and asks for fewer calls.
    Throttled { after: Option<Millis> },
    /// The call failed; `after` is the `Retry-After`, if given.
    Failed { after: Option<Millis> },
    /// Nothing, as the call was abandoned.
    Nothing,
}

/// A state change of the circuit.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub(super) enum Transition {
    /// The circuit opened; no call is allowed for `wait`.
    Down { wait: Millis },
    /// The platform has recovered.
    Up,
}

/// Rate limiter and circuit breaker of one role.
#[derive(Debug)]
pub(super) struct Gate {
    bucket: Bucket,
    circuit: Circuit,
    backoff: Backoff,
    #[debug(skip)]
    rng: StdRng,
}

impl Gate {
    pub(super) fn new(budget: Budget, backoff: Backoff, seed: u64) -> Self {
        Self {
            bucket: Bucket::new(budget),
            circuit: Circuit::Up { failures: 0 },
            backoff,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Reserves a call in the budget and returns the delay before it. Fails with
    /// that delay if it exceeds `max_wait`.
    pub(super) fn reserve(&mut self, now: Millis, max_wait: Millis) -> Result<Millis, Millis> {
        self.bucket.reserve(now, max_wait)
    }

    /// How long the circuit stays open; zero if a call is allowed now.
    pub(super) fn open_for(&self, now: Millis) -> Millis {
        match self.circuit {
            Circuit::Up { .. } => Millis::ZERO,
            Circuit::Down { until, .. } => until.since(now),
            Circuit::Probing { .. } => self.backoff.base,
        }
    }

    /// Permits a call, or fails with the time that the circuit stays open.
    pub(super) fn admit(&mut self, now: Millis) -> Result<Permit, Millis> {
        let wait = self.open_for(now);
        if wait > Millis::ZERO {
            return Err(wait);
        }
        let Circuit::Down { openings, .. } = self.circuit else {
            return Ok(Permit { probe: false });
        };
        self.circuit = Circuit::Probing { openings };
        Ok(Permit { probe: true })
    }

    /// Whether the platform is considered down.
    pub(super) const fn is_down(&self) -> bool {
        !matches!(self.circuit, Circuit::Up { .. })
    }

    /// Records the result of a permitted call; returns the state change, if any.
    pub(super) fn record(
        &mut self,
        now: Millis,
        permit: Permit,
        signal: Signal,
    ) -> Option<Transition> {
        match signal {
            Signal::Up => self.close(),
            Signal::Throttled { after } => {
                let wait = self.wait(1, after);
                self.bucket.delay_until(now + wait);
                self.close()
            }
            Signal::Failed { after } => self.record_failure(now, permit, after),
            Signal::Nothing => {
                self.return_probe(now, permit);
                None
            }
        }
    }

    /// Random delay before a retry after a number of failures, at least `after`.
    pub(super) fn wait(&mut self, failures: u32, after: Option<Millis>) -> Millis {
        let jitter = self.backoff.wait(failures, &mut self.rng);
        // The jitter is added because all callers receive the same `Retry-After`.
        after.unwrap_or_default().min(MAX_RETRY_AFTER) + jitter
    }

    fn close(&mut self) -> Option<Transition> {
        let was_down = self.is_down();
        self.circuit = Circuit::Up { failures: 0 };
        was_down.then_some(Transition::Up)
    }

    fn record_failure(
        &mut self,
        now: Millis,
        permit: Permit,
        after: Option<Millis>,
    ) -> Option<Transition> {
        let openings = match &mut self.circuit {
            Circuit::Up { failures } => {
                *failures += 1;
                if *failures < FAILURE_THRESHOLD && after.is_none() {
                    return None;
                }
                1
            }
            Circuit::Probing { openings } if permit.probe => openings.saturating_add(1),
            // The results of calls sent before the circuit opened are ignored.
            Circuit::Down { .. } | Circuit::Probing { .. } => return None,
        };
        let wait = self.wait(openings, after);
        let until = now + wait;
        self.circuit = Circuit::Down { until, openings };
        (openings == 1).then_some(Transition::Down { wait })
    }

    /// Lets the next call probe if this one was an abandoned probe.
    fn return_probe(&mut self, now: Millis, permit: Permit) {
        if let Circuit::Probing { openings } = self.circuit
            && permit.probe
        {
            self.circuit = Circuit::Down {
                until: now,
                openings,
            };
        }
    }
}
