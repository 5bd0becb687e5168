//! Looks up the state of a request, also one that another daemon's entry accepted.
//!
//! The upper half of a request's identifier is the incarnation of the entry
//! that accepted it, so one question over the peer link finds it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{DaemonId, RequestId};
use medlarrill_core::wire::{Body, RequestAnswer, RequestQuery};
use medlarrill_net::link::PeerId;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::tracker::State;
use crate::context::Context;

/// Most questions of other daemons that may wait to be answered.
const QUEUE_LENGTH: usize = 1024;
/// Longest wait for the answer of another daemon.
const TIMEOUT: Millis = Millis(1000);

/// A question from another daemon.
struct StateQuestion {
    from: PeerId,
    ask: RequestQuery,
}

/// Looks up states at other daemons, and queues their questions. Cheap to clone.
#[derive(Clone)]
pub struct RequestStates {
    questions: mpsc::Sender<StateQuestion>,
    waiting: Arc<Mutex<HashMap<u64, oneshot::Sender<RequestAnswer>>>>,
}

/// Questions of other daemons, to be answered.
pub struct StateQueue(mpsc::Receiver<StateQuestion>);

impl RequestStates {
    /// The handle, and the queue of its task.
    pub fn new() -> (Self, StateQueue) {
        let (questions, receiver) = mpsc::channel(QUEUE_LENGTH);
        let waiting = Arc::default();
        (Self { questions, waiting }, StateQueue(receiver))
    }

    /// Queues a question; false if the queue is full.
    pub fn requested(&self, from: &PeerId, ask: RequestQuery) -> bool {
        let from = from.clone();
        self.questions.try_send(StateQuestion { from, ask }).is_ok()
    }

    /// Delivers an answer; false if no lookup waits for it.
    pub fn take_answer(&self, answer: RequestAnswer) -> bool {
        let waiting = self.lock().remove(&answer.question);
        waiting.is_some_and(|waiting| waiting.send(answer).is_ok())
    }

    /// The state of a request, from this daemon or the live one that accepted it.
    pub async fn find(&self, context: &Context, request: RequestId) -> Option<State> {
        if let Some(state) = context.tracker.state(request) {
            return Some(state);
        }
        let daemon = entry_daemon(context, request)?;
        let question = rand::random();
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(question, sender);
        let ask = RequestQuery {
            request: Bytes::copy_from_slice(&request.to_bytes()),
            question,
        };
        let answer = async {
            let sent = context
                .peers
                .try_send(&daemon, Body::RequestQuery(ask))
                .await;
            sent.ok()?;
            receiver.await.ok()
        };
        let answer = timeout(TIMEOUT.as_duration(), answer).await;
        self.lock().remove(&question);
        decode_state(&answer.ok()??)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<RequestAnswer>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StateQueue {
    /// Answers until every handle is dropped.
    pub async fn run(mut self, context: Arc<Context>) {
        while let Some(StateQuestion { from, ask }) = self.0.recv().await {
            let request = RequestId::from_bytes(&ask.request);
            let known = request.and_then(|request| context.tracker.state(request));
            let answer = Body::RequestAnswer(encode_answer(ask.question, known));
            if let Err(error) = context.peers.try_send(&from.daemon, answer).await {
                log::debug!(target: "entry", "entry: can't answer {from}: {error}");
            }
        }
    }
}

/// The other live daemon whose entry generated a request's identifier.
fn entry_daemon(context: &Context, request: RequestId) -> Option<DaemonId> {
    let incarnation = (request.0 >> 64) as u64;
    let fleet = context.fleet.borrow();
    let is_entry = |(_, peer): &(&DaemonId, &crate::fleet::Peer)| peer.incarnation.0 == incarnation;
    let (daemon, _) = fleet.peers.iter().find(is_entry)?;
    (*daemon != context.me.daemon).then(|| daemon.clone())
}

fn encode_answer(question: u64, known: Option<State>) -> RequestAnswer {
    let mut answer = RequestAnswer {
        question,
        ..RequestAnswer::default()
    };
    match known {
        None => {}
        Some(State::Running) => answer.state = "running".into(),
        Some(State::Answered) => answer.state = "answered".into(),
        Some(State::Failed { code, outcome }) => {
            answer.state = "failed".into();
            answer.code = code.code().into();
            answer.outcome = outcome.to_string();
        }
    }
    answer
}

fn decode_state(answer: &RequestAnswer) -> Option<State> {
    match answer.state.as_str() {
        "running" => Some(State::Running),
        "answered" => Some(State::Answered),
        "failed" => Some(State::Failed {
            code: answer.code.parse().ok()?,
            outcome: answer.outcome.parse().ok()?,
        }),
        _ => None,
    }
}
