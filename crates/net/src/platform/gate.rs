//! Whether a role may call the platform now: its budget and its circuit.
//!
//! No input or output: the time is passed in.

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::backoff::Backoff;
use super::role::Budget;

/// Failures in a row after which the platform looks down.
const FAILURES: u32 = 3;
/// Lowest rate told from none, in calls a second.
const SLOWEST: f64 = 1e-6;
/// Longest wait that an answer's `Retry-After` may ask for.
const MAX_AFTER: Millis = Millis::from_secs(60);

/// Calls a second, spaced by their due times.
#[derive(Debug)]
struct Bucket {
    /// Time that one call takes up, in milliseconds.
    interval: f64,
    /// How far the due time may run behind, in milliseconds.
    slack: f64,
    /// When the next call is due at an even rate.
    due: f64,
}

impl Bucket {
    fn new(budget: Budget) -> Self {
        let rate = budget.rate.0;
        let interval = 1000.0 / rate.max(SLOWEST);
        Self {
            interval,
            slack: interval * f64::from(budget.burst.saturating_sub(1)),
            due: if rate > 0.0 { 0.0 } else { f64::INFINITY },
        }
    }

    /// Takes a call and returns how long to wait for it, or refuses and
    /// returns how long that would be.
    fn take(&mut self, now: Millis, patience: Millis) -> Result<Millis, Millis> {
        let now = now.0 as f64;
        let due = self.due.max(now);
        let wait = Millis((due - self.slack - now).max(0.0).ceil() as u64);
        if wait > patience {
            return Err(wait);
        }
        self.due = due + self.interval;
        Ok(wait)
    }

    /// Lets one call go at `until`, and the others after it at an even rate.
    fn hold(&mut self, until: Millis) {
        self.due = self.due.max(until.0 as f64 + self.slack);
    }
}

#[derive(Debug)]
enum Circuit {
    /// Calls pass.
    Up { failures: u32 },
    /// No call passes before `until`; then one does.
    Down { until: Millis, tries: u32 },
    /// One call is finding out.
    Probing { tries: u32 },
}

/// A call that may go.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub(super) struct Permit {
    /// Whether it finds out if the platform is back.
    probe: bool,
}

/// What a call says of the platform.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub(super) enum Verdict {
    /// It answers.
    Up,
    /// It answers, and asks to be spared.
    Throttled { after: Option<Millis> },
    /// It failed, or asks to be spared as it is failing.
    Failed { after: Option<Millis> },
    /// Nothing.
    Nothing,
}

/// A change of how the platform looks to a role.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub(super) enum Turn {
    /// It looks down; no call goes for this long.
    Down { wait: Millis },
    /// It is back.
    Up,
}

/// The budget and the circuit of one role.
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

    /// Takes a call from the budget and returns how long to wait for it, or
    /// returns how long that would be if that is over `patience`.
    pub(super) fn take(&mut self, now: Millis, patience: Millis) -> Result<Millis, Millis> {
        self.bucket.take(now, patience)
    }

    /// How long until the circuit lets a call pass; zero if it does now.
    pub(super) fn closed_for(&self, now: Millis) -> Millis {
        match self.circuit {
            Circuit::Up { .. } => Millis::ZERO,
            Circuit::Down { until, .. } => until.since(now),
            Circuit::Probing { .. } => self.backoff.base,
        }
    }

    /// Lets a call pass, or returns how long the circuit stays closed.
    pub(super) fn admit(&mut self, now: Millis) -> Result<Permit, Millis> {
        let wait = self.closed_for(now);
        if wait > Millis::ZERO {
            return Err(wait);
        }
        let Circuit::Down { tries, .. } = self.circuit else {
            return Ok(Permit { probe: false });
        };
        self.circuit = Circuit::Probing { tries };
        Ok(Permit { probe: true })
    }

    /// Whether the platform looks down.
    pub(super) const fn looks_down(&self) -> bool {
        !matches!(self.circuit, Circuit::Up { .. })
    }

    /// Takes in what a call that passed says of the platform, and returns how
    /// that changes its looks.
    pub(super) fn settle(&mut self, now: Millis, permit: Permit, verdict: Verdict) -> Option<Turn> {
        match verdict {
            Verdict::Up => self.rise(),
            Verdict::Throttled { after } => {
                let wait = self.wait(1, after);
                self.bucket.hold(now + wait);
                self.rise()
            }
            Verdict::Failed { after } => self.fail(now, permit, after),
            Verdict::Nothing => {
                self.release(now, permit);
                None
            }
        }
    }

    /// A random wait for a retry after `tries` failures, at least `after`.
    pub(super) fn wait(&mut self, tries: u32, after: Option<Millis>) -> Millis {
        let jitter = self.backoff.wait(tries, &mut self.rng);
        // Added to, not replaced: all callers are told the same time.
        after.unwrap_or_default().min(MAX_AFTER) + jitter
    }

    fn rise(&mut self) -> Option<Turn> {
        let was_down = self.looks_down();
        self.circuit = Circuit::Up { failures: 0 };
        was_down.then_some(Turn::Up)
    }

    fn fail(&mut self, now: Millis, permit: Permit, after: Option<Millis>) -> Option<Turn> {
        let tries = match &mut self.circuit {
            Circuit::Up { failures } => {
                *failures += 1;
                if *failures < FAILURES && after.is_none() {
                    return None;
                }
                1
            }
            Circuit::Probing { tries } if permit.probe => tries.saturating_add(1),
            // Calls that were under way when it went down say nothing new.
            Circuit::Down { .. } | Circuit::Probing { .. } => return None,
        };
        let wait = self.wait(tries, after);
        let until = now + wait;
        self.circuit = Circuit::Down { until, tries };
        (tries == 1).then_some(Turn::Down { wait })
    }

    /// Gives the probe to the next call if this one had it.
    fn release(&mut self, now: Millis, permit: Permit) {
        if let Circuit::Probing { tries } = self.circuit
            && permit.probe
        {
            self.circuit = Circuit::Down { until: now, tries };
        }
    }
}
