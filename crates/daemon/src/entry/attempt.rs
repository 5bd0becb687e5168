//! One try of a request: sends it to a home and receives what comes back.

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

/// Result of waiting for an answer.
pub type Result<T> = std::result::Result<T, Failure>;

/// Why a try gave no whole answer.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Failure {
    /// The reason.
    pub reason: Reason,
    /// Whether it ran at an endpoint; for a keyed request, whether any with its key did.
    pub outcome: Outcome,
    /// What is known of this request alone, where that differs.
    pub own: Option<Outcome>,
    /// When to come back, if that helps.
    pub after: Option<Millis>,
    /// The endpoint that was tried, if known.
    pub endpoint: Option<EndpointId>,
    /// The daemon that was lost, if one was.
    pub lost: Option<DaemonId>,
}

impl Failure {
    /// A failure that says of the request what its reason says.
    pub const fn new(reason: Reason) -> Self {
        Self {
            reason,
            outcome: reason.outcome(),
            own: None,
            after: None,
            endpoint: None,
            lost: None,
        }
    }

    /// Takes in what earlier tries say of the request: "not run" holds only if it holds for all.
    #[must_use]
    pub fn with_earlier(mut self, earlier: Outcome) -> Self {
        if self.outcome == Outcome::NotRun && earlier != Outcome::NotRun {
            self.outcome = earlier;
        }
        self
    }

    /// A refusal of a keyed request without a claim: an earlier one with its key may have run.
    pub fn unclaimed(reason: Reason) -> Self {
        let failure = Self::new(reason);
        if failure.outcome != Outcome::NotRun || reason == Reason::KeyReused {
            return failure;
        }
        Self {
            outcome: Outcome::Unknown,
            own: Some(Outcome::NotRun),
            ..failure
        }
    }

    /// The same failure, given up because too much of the work is retries.
    ///
    /// What is known of the request stays.
    #[must_use]
    pub const fn without_retry(mut self) -> Self {
        self.reason = Reason::RetryBudget;
        self
    }

    /// Sets what is known of the request.
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

/// One try. Dropped before its end, it cancels the request.
pub struct Try {
    context: Arc<Context>,
    id: AttemptId,
    daemon: DaemonId,
    arrivals: mpsc::UnboundedReceiver<Arrival>,
    /// Bytes of the answer received.
    offset: u64,
    /// Bytes consumed and not yet given back as credit.
    owed: u64,
    /// Whether nothing more is expected.
    ended: bool,
    /// When the next piece has to be here.
    deadline: Instant,
    gap: Millis,
}

impl Try {
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
        waits: Waits,
    ) -> Result<Self> {
        let arrivals = context.attempts.open(id, daemon.clone());
        let this = Self {
            context: Arc::clone(context),
            id,
            daemon: daemon.clone(),
            arrivals,
            offset: 0,
            owed: 0,
            ended: false,
            deadline: Instant::now() + waits.head.as_duration(),
            gap: waits.gap,
        };
        match context.peers.send(daemon, Body::Forward(forward)).await {
            Ok(()) => Ok(this),
            Err(error) => {
                log::info!(target: "entry", "entry: {id} can't go to {daemon}: {error}");
                Err(this.not_sent())
            }
        }
    }

    /// Identifier of the try.
    pub const fn id(&self) -> AttemptId {
        self.id
    }

    /// Leaves the request to end by itself: it isn't cancelled when this is dropped.
    pub const fn forget(&mut self) {
        self.ended = true;
    }

    /// Waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// When the request was refused, or whoever had it is lost.
    pub async fn head(&mut self) -> Result<Head> {
        loop {
            match self.receive().await? {
                Body::Accepted(accepted) => {
                    self.deadline = Instant::now() + self.gap.as_duration();
                    return Ok(head(accepted));
                }
                Body::Rerouted(passed) => self.passed(&passed.to)?,
                Body::Refused(refused) => return Err(self.refused(&refused)),
                _ => return Err(self.broken()),
            }
        }
    }

    /// The next piece of the answer; `None` after the whole of it.
    ///
    /// # Errors
    ///
    /// When the answer is cut short.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        self.give_credit().await;
        if self.ended {
            return Ok(None);
        }
        self.deadline = Instant::now() + self.gap.as_duration();
        match self.receive().await? {
            Body::Chunk(chunk) => self.chunk(chunk).map(Some),
            Body::End(end) => self.end(&end),
            _ => Err(self.broken()),
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

    fn passed(&mut self, to: &str) -> Result<()> {
        self.daemon = to.parse().map_err(|_| self.broken())?;
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
            log::error!(target: "entry", "entry: {} got offset {} for {}", self.id, chunk.offset, self.offset);
            return Err(self.broken());
        }
        self.context.attempts.taken(&chunk);
        self.offset += chunk.data.len() as u64;
        self.owed += chunk.data.len() as u64;
        Ok(chunk.data)
    }

    fn end(&mut self, end: &End) -> Result<Option<Bytes>> {
        self.ended = true;
        if let Ok(reason) = end.reason.parse::<Reason>() {
            return Err(Failure::new(reason));
        }
        if end.length != self.offset {
            return Err(self.broken());
        }
        Ok(None)
    }

    /// Gives back room for what the caller has taken, in few messages.
    async fn give_credit(&mut self) {
        let window = self.context.settings.limits.window.0;
        if self.ended || self.owed < window / 4 {
            return;
        }
        let credit = Credit {
            attempt: Some(self.id.into()),
            bytes: std::mem::take(&mut self.owed),
        };
        // A lost link shows as a lost try.
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
            own: None,
            after: (refused.retry_after > 0).then_some(Millis(refused.retry_after)),
            endpoint: refused.endpoint.parse().ok(),
            lost: None,
        }
    }

    fn not_sent(mut self) -> Failure {
        self.ended = true;
        let mut failure = Failure::new(Reason::HomeLost).with_outcome(Outcome::NotRun);
        failure.lost = Some(self.daemon.clone());
        failure
    }

    const fn broken(&self) -> Failure {
        Failure::new(Reason::StreamCut).with_outcome(Outcome::Unknown)
    }
}

impl Drop for Try {
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
            // If the home can't be told, its own timeout ends the work.
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
            // Held until now: a frame that finds no try has the home drop the request, which
            // must not reach it before the word that the engine is to end the work.
            context.attempts.close(id, &mut arrivals);
        });
    }
}

/// How long to wait for the parts of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Waits {
    /// For its head.
    pub head: Millis,
    /// Between two pieces.
    pub gap: Millis,
}

fn head(accepted: Accepted) -> Head {
    Head {
        endpoint: accepted.endpoint.parse().ok(),
        status: u16::try_from(accepted.status).unwrap_or(502),
        headers: accepted.headers,
    }
}
