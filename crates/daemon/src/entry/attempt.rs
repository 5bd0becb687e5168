//! One attempt of a request: sends it to a home and receives the answer.

use std::sync::Arc;

use bytes::Bytes;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, DaemonId, EndpointId};
use medlarrill_core::outcome::Outcome;
use medlarrill_core::reason::Reason;
use medlarrill_core::wire::{Accepted, Body, Cancel, Chunk, Credit, End, Forward, Header, Refused};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::attempts::Arrival;
use crate::context::Context;

/// Result of an attempt.
pub type Result<T> = std::result::Result<T, Failure>;

/// Why an attempt gave no complete answer.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Failure {
    /// The reason reported to the caller.
    pub reason: Reason,
    /// Whether the request ran at an endpoint; for a keyed one, whether any with its key did.
    pub outcome: Outcome,
    /// The outcome of this request alone, where it differs.
    pub own_outcome: Option<Outcome>,
    /// Time after which a retry may succeed, if known.
    pub retry_after: Option<Millis>,
    /// The endpoint that was attempted, if known.
    pub endpoint: Option<EndpointId>,
    /// The daemon that was lost, if one was.
    pub lost: Option<DaemonId>,
}

impl Failure {
    /// A failure with the outcome that its reason implies.
    pub const fn new(reason: Reason) -> Self {
        Self {
            reason,
            outcome: reason.outcome(),
            own_outcome: None,
            retry_after: None,
            endpoint: None,
            lost: None,
        }
    }

    /// Combines the outcome with that of earlier attempts: "not run" only if none of them ran.
    #[must_use]
    pub fn with_earlier(mut self, earlier: Outcome) -> Self {
        if self.outcome == Outcome::NotRun && earlier != Outcome::NotRun {
            self.outcome = earlier;
        }
        self
    }

    /// A refusal of a keyed request that has no claim: an earlier one with its key may have run.
    pub fn unclaimed(reason: Reason) -> Self {
        let failure = Self::new(reason);
        if failure.outcome != Outcome::NotRun || reason == Reason::KeyReused {
            return failure;
        }
        Self {
            outcome: Outcome::Unknown,
            own_outcome: Some(Outcome::NotRun),
            ..failure
        }
    }

    /// The same failure, not retried because the retry budget is spent.
    ///
    /// The outcome stays.
    #[must_use]
    pub const fn without_retry(mut self) -> Self {
        self.reason = Reason::RetryBudget;
        self
    }

    /// Sets the outcome.
    #[must_use]
    pub const fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// The endpoint that answers.
    pub endpoint: Option<EndpointId>,
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
}

/// One attempt. Dropping it before its end cancels the request.
pub struct Attempt {
    context: Arc<Context>,
    id: AttemptId,
    daemon: DaemonId,
    arrivals: mpsc::UnboundedReceiver<Arrival>,
    /// Bytes of the answer received.
    offset: u64,
    /// Bytes consumed and not yet returned as credit.
    uncredited: u64,
    /// Whether nothing more is expected.
    ended: bool,
    /// When the next frame must have arrived.
    deadline: Instant,
    /// Longest wait between two frames.
    gap: Millis,
}

impl Attempt {
    /// Sends a request to a daemon.
    ///
    /// # Errors
    ///
    /// When the daemon can't be reached; the request was not sent.
    pub async fn start(
        context: &Arc<Context>,
        id: AttemptId,
        daemon: &DaemonId,
        forward: Forward,
        timeouts: Timeouts,
    ) -> Result<Self> {
        let arrivals = context.attempts.open(id, daemon.clone());
        let this = Self {
            context: Arc::clone(context),
            id,
            daemon: daemon.clone(),
            arrivals,
            offset: 0,
            uncredited: 0,
            ended: false,
            deadline: Instant::now() + timeouts.head.as_duration(),
            gap: timeouts.gap,
        };
        match context.peers.send(daemon, Body::Forward(forward)).await {
            Ok(()) => Ok(this),
            Err(error) => {
                log::info!(target: "entry", "entry: {id} can't be sent to {daemon}: {error}");
                Err(this.unreachable())
            }
        }
    }

    /// Identifier of the attempt.
    pub const fn id(&self) -> AttemptId {
        self.id
    }

    /// Lets the request end by itself: dropping this no longer cancels it.
    pub const fn detach(&mut self) {
        self.ended = true;
    }

    /// Waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// When the request was refused, the daemon that had it is lost, or the head timed out.
    pub async fn head(&mut self) -> Result<Head> {
        loop {
            match self.receive().await? {
                Body::Accepted(accepted) => {
                    self.deadline = Instant::now() + self.gap.as_duration();
                    return Ok(head(accepted));
                }
                Body::Rerouted(passed) => self.passed_on(&passed.to)?,
                Body::Refused(refused) => return Err(self.refused(&refused)),
                _ => return Err(self.protocol_error()),
            }
        }
    }

    /// The next chunk of the answer; `None` after the last.
    ///
    /// # Errors
    ///
    /// When the answer ends before it is complete, or the next chunk times out.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        self.give_credit().await;
        if self.ended {
            return Ok(None);
        }
        self.deadline = Instant::now() + self.gap.as_duration();
        match self.receive().await? {
            Body::Chunk(chunk) => self.chunk(chunk).map(Some),
            Body::End(end) => self.end(&end),
            _ => Err(self.protocol_error()),
        }
    }

    async fn receive(&mut self) -> Result<Body> {
        let arrival = timeout_at(self.deadline, self.arrivals.recv()).await;
        match arrival {
            Ok(Some(Arrival::Frame(body))) => Ok(*body),
            Ok(Some(Arrival::Lost) | None) => {
                self.ended = true;
                let mut failure = Failure::new(Reason::HomeLost);
                failure.lost = Some(self.daemon.clone());
                Err(failure)
            }
            Err(_) => Err(Failure::new(Reason::EndpointTimeout)),
        }
    }

    fn passed_on(&mut self, to: &str) -> Result<()> {
        self.daemon = to.parse().map_err(|_| self.protocol_error())?;
        let view = self.context.fleet.borrow();
        if view.peers.contains_key(&self.daemon) {
            return Ok(());
        }
        let mut failure = Failure::new(Reason::HomeLost);
        failure.lost = Some(self.daemon.clone());
        Err(failure)
    }

    fn chunk(&mut self, chunk: Chunk) -> Result<Bytes> {
        if chunk.offset != self.offset {
            log::error!(target: "entry", "entry: {} received offset {}, expected {}", self.id, chunk.offset, self.offset);
            return Err(self.protocol_error());
        }
        self.context.attempts.consumed(&chunk);
        self.offset += chunk.data.len() as u64;
        self.uncredited += chunk.data.len() as u64;
        Ok(chunk.data)
    }

    fn end(&mut self, end: &End) -> Result<Option<Bytes>> {
        self.ended = true;
        if let Ok(reason) = end.reason.parse::<Reason>() {
            return Err(Failure::new(reason));
        }
        if end.length != self.offset {
            return Err(self.protocol_error());
        }
        Ok(None)
    }

    /// Returns credit for what the caller has taken, a quarter window or more at a time.
    async fn give_credit(&mut self) {
        let window = self.context.settings.limits.window.0;
        if self.ended || self.uncredited < window / 4 {
            return;
        }
        let credit = Credit {
            attempt: Some(self.id.into()),
            bytes: std::mem::take(&mut self.uncredited),
        };
        // A lost link is reported as `Arrival::Lost`.
        let _ = self
            .context
            .peers
            .send(&self.daemon, Body::Credit(credit))
            .await;
    }

    fn refused(&mut self, refused: &Refused) -> Failure {
        self.ended = true;
        let reason = refused.reason.parse().unwrap_or(Reason::Internal);
        let outcome = if refused.sent {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        Failure {
            reason,
            outcome,
            own_outcome: None,
            retry_after: (refused.retry_after > 0).then_some(Millis(refused.retry_after)),
            endpoint: refused.endpoint.parse().ok(),
            lost: None,
        }
    }

    fn unreachable(mut self) -> Failure {
        self.ended = true;
        let mut failure = Failure::new(Reason::HomeLost).with_outcome(Outcome::NotRun);
        failure.lost = Some(self.daemon.clone());
        failure
    }

    const fn protocol_error(&self) -> Failure {
        Failure::new(Reason::StreamCut).with_outcome(Outcome::Unknown)
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.ended {
            self.context.attempts.close(self.id, &mut self.arrivals);
            return;
        }
        let context = Arc::clone(&self.context);
        let daemon = self.daemon.clone();
        let (id, attempt) = (self.id, Some(self.id.into()));
        let (_, closed) = mpsc::unbounded_channel();
        let mut arrivals = std::mem::replace(&mut self.arrivals, closed);
        tokio::spawn(async move {
            // If the cancellation doesn't arrive, the home's own timeout ends the work.
            let _ = context
                .peers
                .send(
                    &daemon,
                    Body::Cancel(Cancel {
                        attempt,
                        detach: false,
                    }),
                )
                .await;
            // Stays open until the cancellation is sent. A frame for a closed attempt makes the
            // home drop the request without cancelling it at the engine, which must not come first.
            context.attempts.close(id, &mut arrivals);
        });
    }
}

/// Longest waits for the parts of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Until the head.
    pub head: Millis,
    /// Between two chunks.
    pub gap: Millis,
}

fn head(accepted: Accepted) -> Head {
    Head {
        endpoint: accepted.endpoint.parse().ok(),
        status: u16::try_from(accepted.status).unwrap_or(502),
        headers: accepted.headers,
    }
}
