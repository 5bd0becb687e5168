//! Tells what became of a request that another daemon's entry took.
//!
//! The upper half of a request's identifier names the process that took it, so
//! that one question over the peer link finds it.

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

/// StateQueue of others that may wait to be answered.
const QUEUE: usize = 1024;
/// Longest wait for another daemon's answer.
const WAIT: Millis = Millis(1000);

/// A question from another daemon.
struct Asked {
    from: PeerId,
    ask: RequestQuery,
}

/// Asks and answers. Cheap to clone.
#[derive(Clone)]
pub struct States {
    asked: mpsc::Sender<Asked>,
    waiting: Arc<Mutex<HashMap<u64, oneshot::Sender<RequestAnswer>>>>,
}

/// StateQueue of others, to be answered.
pub struct StateQueue(mpsc::Receiver<Asked>);

impl States {
    /// The handle, and the queue of its task.
    pub fn new() -> (Self, StateQueue) {
        let (asked, receiver) = mpsc::channel(QUEUE);
        let waiting = Arc::default();
        (Self { asked, waiting }, StateQueue(receiver))
    }

    /// Takes a question; false if too many wait.
    pub fn asked(&self, from: &PeerId, ask: RequestQuery) -> bool {
        let from = from.clone();
        self.asked.try_send(Asked { from, ask }).is_ok()
    }

    /// Takes an answer; false if nobody waits for it.
    pub fn answered(&self, answer: RequestAnswer) -> bool {
        let waiting = self.lock().remove(&answer.question);
        waiting.is_some_and(|waiting| waiting.send(answer).is_ok())
    }

    /// The state of a request, from whichever live daemon took it.
    pub async fn find(&self, context: &Context, request: RequestId) -> Option<State> {
        if let Some(state) = context.tracker.state(request) {
            return Some(state);
        }
        let daemon = taker(context, request)?;
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
        let answer = timeout(WAIT.as_duration(), answer).await;
        self.lock().remove(&question);
        state(&answer.ok()??)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<RequestAnswer>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StateQueue {
    /// Answers, until every handle is gone.
    pub async fn run(mut self, context: Arc<Context>) {
        while let Some(Asked { from, ask }) = self.0.recv().await {
            let request = RequestId::from_bytes(&ask.request);
            let known = request.and_then(|request| context.tracker.state(request));
            let answer = Body::RequestAnswer(answer(ask.question, known));
            if let Err(error) = context.peers.try_send(&from.daemon, answer).await {
                log::debug!(target: "entry", "entry: {from} can't be answered: {error}");
            }
        }
    }
}

/// The live daemon that drew a request's identifier, if it is another one.
fn taker(context: &Context, request: RequestId) -> Option<DaemonId> {
    let incarnation = (request.0 >> 64) as u64;
    let fleet = context.fleet.borrow();
    let taker = |(_, peer): &(&DaemonId, &crate::fleet::Peer)| peer.incarnation.0 == incarnation;
    let (daemon, _) = fleet.peers.iter().find(taker)?;
    (*daemon != context.me.daemon).then(|| daemon.clone())
}

fn answer(question: u64, known: Option<State>) -> RequestAnswer {
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

fn state(answer: &RequestAnswer) -> Option<State> {
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
