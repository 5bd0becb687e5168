//! Requests with an idempotency key, which run at most once.
//!
//! Such a request has a task of its own, which continues if the caller
//! disconnects: a retry with the same key gets the response made meanwhile.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream;
use medlarrill_core::claims::{CachedAnswer, Digest, KeyHash, KeyedRequest, RunOutcome};
use medlarrill_core::clock::Millis;
use medlarrill_core::outcome::Outcome;
use salvo::http::ResBody;
use tokio::sync::{mpsc, oneshot};

use super::answer::{Reply, Truncated, respond, write_head};
use super::attempt::{Failure, Head};
use super::flight::InFlight;
use super::job::Job;
use super::tracker::State;
use crate::claims::Decision;
use crate::context::Context;

/// Largest response that is kept for a retry, in bytes.
const MAX_REPLAY_SIZE: usize = 1 << 20;

/// What makes a non-idempotent request safe to retry.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Keyed {
    /// Hash of institution and key.
    pub key: KeyHash,
    /// Digest of method, path and body, to recognise a key that is reused for another request.
    pub digest: Digest,
    /// How long the key is remembered.
    pub lifetime: Millis,
}

/// Messages from the request's task to the caller's response.
enum CallerMessage {
    Head(Head),
    Data(Bytes),
    Truncated(Truncated),
    Failed(Failure),
}

/// Runs a keyed request and writes its response.
///
/// # Errors
///
/// The failure to report to the caller, if nothing has been written.
pub async fn serve(
    context: &Arc<Context>,
    job: Job,
    keyed: Keyed,
    flight: InFlight,
    response: &mut salvo::Response,
) -> Result<(), Failure> {
    let (sender, mut messages) = mpsc::unbounded_channel();
    let run = KeyedRun {
        context: Arc::clone(context),
        flight,
        job,
        keyed,
        sender,
    };
    tokio::spawn(run.run());
    match messages.recv().await {
        Some(CallerMessage::Head(head)) => {
            write_head(&head, response);
            response.body = ResBody::stream(stream::unfold(messages, |mut messages| async move {
                let item = match messages.recv().await? {
                    CallerMessage::Data(data) => Ok(data),
                    CallerMessage::Truncated(error) => Err(error),
                    CallerMessage::Head(_) | CallerMessage::Failed(_) => return None,
                };
                Some((item, messages))
            }));
            Ok(())
        }
        Some(CallerMessage::Failed(failure)) => Err(failure),
        _ => Err(Failure::new(medlarrill_core::reason::Reason::Internal)),
    }
}

struct KeyedRun {
    context: Arc<Context>,
    job: Job,
    keyed: Keyed,
    flight: InFlight,
    sender: mpsc::UnboundedSender<CallerMessage>,
}

impl KeyedRun {
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
                self.send(CallerMessage::Head(Head {
                    endpoint: None,
                    status: answer.status,
                    headers: answer.headers,
                }));
                self.send(CallerMessage::Data(answer.body));
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
            Ok(reply) => return self.relay(reply).await,
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

    /// Relays the response to the caller, and keeps it for a retry.
    async fn relay(mut self, reply: Reply) {
        let request = self.job.request;
        let head = reply.head().clone();
        self.send(CallerMessage::Head(head.clone()));
        let stream = match reply {
            Reply::Complete(_, body) => {
                self.context.claims.ended(
                    request,
                    RunOutcome::Ran(Some(held_answer(head, body.clone()))),
                );
                self.send(CallerMessage::Data(body));
                self.flight.answered();
                return;
            }
            Reply::Stream(stream) => stream,
        };
        let (end_sender, end) = oneshot::channel();
        let flight = self.flight.with_callback(move |state| {
            let _ = end_sender.send(state);
        });
        let mut chunks = std::pin::pin!(stream.into_chunks(flight));
        let mut body = BytesMut::new();
        while let Some(chunk) = chunks.next().await {
            if let Ok(data) = &chunk
                && body.len() <= MAX_REPLAY_SIZE
            {
                body.extend_from_slice(data);
            }
            let _ = self.sender.send(match chunk {
                Ok(data) => CallerMessage::Data(data),
                Err(error) => CallerMessage::Truncated(error),
            });
        }
        let complete = end.await == Ok(State::Answered) && body.len() <= MAX_REPLAY_SIZE;
        let answer = complete.then(|| held_answer(head, body.freeze()));
        self.context.claims.ended(request, RunOutcome::Ran(answer));
    }

    fn fail(mut self, failure: Failure) {
        self.flight.failed(&failure);
        self.send(CallerMessage::Failed(failure));
    }

    /// Sends to the caller, unless it has disconnected.
    fn send(&self, message: CallerMessage) {
        let _ = self.sender.send(message);
    }
}

fn held_answer(head: Head, body: Bytes) -> CachedAnswer {
    CachedAnswer {
        status: head.status,
        headers: head.headers,
        body,
    }
}
