//! Requests that may run at most once.
//!
//! Such a request has a task of its own, which goes on if its caller goes
//! away: the caller may come back with the same key and gets the answer that
//! was made meanwhile.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream;
use medlarrill_core::claims::{CachedAnswer, Digest, KeyHash, KeyedRequest, RunOutcome};
use medlarrill_core::clock::Millis;
use medlarrill_core::outcome::Outcome;
use salvo::http::ResBody;
use tokio::sync::{mpsc, oneshot};

use super::answer::{Cut, Reply, respond, write_head};
use super::attempt::{Failure, Head};
use super::flight::Flight;
use super::job::Job;
use super::tracker::State;
use crate::claims::Decision;
use crate::context::Context;

/// Largest answer that is held for a repeat, in bytes.
const HOLD: usize = 1 << 20;

/// What makes a request safe to repeat.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Keyed {
    /// Hash of institution and key.
    pub key: KeyHash,
    /// What is asked for.
    pub digest: Digest,
    /// How long the key is remembered.
    pub lifetime: Millis,
}

/// What the request's own task tells its caller.
enum Piece {
    Head(Head),
    Data(Bytes),
    Cut(Cut),
    Failed(Failure),
}

/// Runs a keyed request and answers with what comes of it.
///
/// # Errors
///
/// The failure to answer with, when nothing has been written.
pub async fn serve(
    context: &Arc<Context>,
    job: Job,
    keyed: Keyed,
    flight: Flight,
    response: &mut salvo::Response,
) -> Result<(), Failure> {
    let (sender, mut pieces) = mpsc::unbounded_channel();
    let run = Run {
        context: Arc::clone(context),
        flight,
        job,
        keyed,
        sender,
    };
    tokio::spawn(run.run());
    match pieces.recv().await {
        Some(Piece::Head(head)) => {
            write_head(&head, response);
            response.body = ResBody::stream(stream::unfold(pieces, |mut pieces| async move {
                let item = match pieces.recv().await? {
                    Piece::Data(data) => Ok(data),
                    Piece::Cut(cut) => Err(cut),
                    Piece::Head(_) | Piece::Failed(_) => return None,
                };
                Some((item, pieces))
            }));
            Ok(())
        }
        Some(Piece::Failed(failure)) => Err(failure),
        _ => Err(Failure::new(medlarrill_core::reason::Reason::Internal)),
    }
}

struct Run {
    context: Arc<Context>,
    job: Job,
    keyed: Keyed,
    flight: Flight,
    sender: mpsc::UnboundedSender<Piece>,
}

impl Run {
    async fn run(mut self) {
        let start = KeyedRequest {
            request: self.job.request,
            key: self.keyed.key,
            digest: self.keyed.digest,
            lifetime: self.keyed.lifetime,
        };
        match self.context.claims.start(start).await {
            Decision::Dispatch => self.dispatch().await,
            Decision::Refuse(reason) => self.fail(Failure::unclaimed(reason)),
            Decision::Replay(answer) => {
                self.tell(Piece::Head(Head {
                    endpoint: None,
                    status: answer.status,
                    headers: answer.headers,
                }));
                self.tell(Piece::Data(answer.body));
                self.flight.answered();
            }
        }
    }

    async fn dispatch(self) {
        let request = self.job.request;
        if self.sender.is_closed() {
            self.context.claims.ended(request, RunOutcome::NotRun);
            return;
        }
        let failure = match respond(&self.context, self.job.clone()).await {
            Ok(reply) => return self.carry(reply).await,
            Err(failure) => failure,
        };
        let end = match failure.outcome {
            Outcome::NotRun => RunOutcome::NotRun,
            Outcome::Ran => RunOutcome::Ran(None),
            Outcome::Unknown => RunOutcome::Unknown,
        };
        self.context.claims.ended(request, end);
        self.fail(failure);
    }

    /// Passes the answer on, and holds it for a repeat.
    async fn carry(mut self, reply: Reply) {
        let request = self.job.request;
        let head = reply.head().clone();
        self.tell(Piece::Head(head.clone()));
        let stream = match reply {
            Reply::Whole(_, body) => {
                self.context
                    .claims
                    .ended(request, RunOutcome::Ran(Some(held(head, body.clone()))));
                self.tell(Piece::Data(body));
                self.flight.answered();
                return;
            }
            Reply::Stream(stream) => stream,
        };
        let (ended, end) = oneshot::channel();
        let flight = self.flight.with_end(move |state| {
            let _ = ended.send(state);
        });
        let mut pieces = std::pin::pin!(stream.into_pieces(flight));
        let mut body = BytesMut::new();
        while let Some(piece) = pieces.next().await {
            if let Ok(data) = &piece
                && body.len() <= HOLD
            {
                body.extend_from_slice(data);
            }
            let _ = self.sender.send(match piece {
                Ok(data) => Piece::Data(data),
                Err(cut) => Piece::Cut(cut),
            });
        }
        let whole = end.await == Ok(State::Answered) && body.len() <= HOLD;
        let answer = whole.then(|| held(head, body.freeze()));
        self.context.claims.ended(request, RunOutcome::Ran(answer));
    }

    fn fail(mut self, failure: Failure) {
        self.flight.failed(&failure);
        self.tell(Piece::Failed(failure));
    }

    /// A caller that is gone is told nothing.
    fn tell(&self, piece: Piece) {
        let _ = self.sender.send(piece);
    }
}

fn held(head: Head, body: Bytes) -> CachedAnswer {
    CachedAnswer {
        status: head.status,
        headers: head.headers,
        body,
    }
}
