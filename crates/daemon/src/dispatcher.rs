//! Hands each message from a peer to the task that it is for.

use std::sync::Arc;

use medlarrill_core::wire::Body;
use medlarrill_net::link::{Event, PeerId};

use crate::claims;
use crate::configuration;
use crate::entry::{AttemptTable, RequestStates, StrayFrames};
use crate::fleet;
use crate::home;
use crate::limits;
use crate::metrics::Metrics;
use crate::operators::StateQueries;

/// Where messages go.
pub struct Dispatcher {
    /// Tries of this entry.
    pub attempts: AttemptTable,
    /// Where answers go that nobody waits for.
    pub strays: StrayFrames,
    /// The claims task.
    pub claims: claims::Handle,
    /// StateQueries for the state of requests.
    pub states: RequestStates,
    /// The limits task.
    pub limits: limits::Handle,
    /// The home task.
    pub home: home::Handle,
    /// The membership task.
    pub fleet: fleet::Handle,
    /// The configuration task.
    pub configuration: configuration::Handle,
    /// Questions of this daemon's operators to others.
    pub state_queries: StateQueries,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

impl Dispatcher {
    /// Takes one event of the links; never blocks.
    pub fn handle_event(&self, event: Event) {
        match event {
            Event::Message(from, body) => self.message(&from, *body),
            Event::Closed(peer) => {
                self.attempts.peer_lost(&peer);
                self.home.peer_lost(peer.clone());
                let lost = configuration::Message::Lost(peer.clone());
                self.configuration.send(lost);
                self.claims.send(claims::Message::PeerLost(peer.clone()));
                self.limits.send(limits::Message::Lost(peer.daemon.clone()));
                self.fleet.send(fleet::Message::Closed(peer));
            }
            Event::Opened(peer) => {
                self.fleet.send(fleet::Message::Opened(peer));
            }
            Event::Refused(address) => {
                self.fleet.send(fleet::Message::Unreachable(address));
            }
        }
    }

    fn message(&self, from: &PeerId, body: Body) {
        let kind = body.kind();
        let held = match body {
            Body::Forward(forward) => self.home.offer(from.clone(), forward),
            Body::Credit(credit) => self.home.credit(from.clone(), credit),
            Body::Cancel(cancel) => self.home.cancel(from.clone(), cancel),
            Body::ClaimAsk(ask) => self.claims.send(claims::Message::Ask(ask)),
            Body::ClaimAnswer(answer) => self.claims.send(claims::Message::Answer(answer)),
            Body::KeyAsk(ask) => self.claims.send(claims::Message::KeyAsk(from.clone(), ask)),
            Body::KeyAnswer(answer) => self.claims.send(claims::Message::KeyAnswer(answer)),
            Body::Usage(usage) => self
                .limits
                .send(limits::Message::Usage(from.daemon.clone(), usage)),
            Body::Grant(grant) => self
                .limits
                .send(limits::Message::Grant(from.daemon.clone(), grant)),
            Body::Gossip(gossip) => self
                .fleet
                .send(fleet::Message::Heartbeat(from.clone(), gossip)),
            Body::Moved(moved) => self.home.moved(moved),
            Body::Placed(placed) => self.home.placed(placed),
            Body::StateAsk(ask) => self.home.state_requested(from.clone(), ask),
            Body::StateAnswer(answer) => self.state_queries.deliver(answer),
            Body::PartAsk(ask) => {
                let asked = configuration::Message::Asked(from.clone(), ask);
                self.configuration.send(asked)
            }
            Body::PartAnswer(answer) => {
                let answered = configuration::Message::Answered(from.clone(), answer);
                self.configuration.send(answered)
            }
            Body::RequestAsk(ask) => self.states.requested(from, ask),
            Body::RequestAnswer(answer) => self.states.take_answer(answer),
            answer @ (Body::Accepted(_)
            | Body::Passed(_)
            | Body::Refused(_)
            | Body::Chunk(_)
            | Body::End(_)) => self.answer(from, answer),
            _ => false,
        };
        if !held {
            self.metrics.record_stray(kind);
        }
    }

    /// Hands an answer to its try; if none waits for it, its sender is told to stop.
    fn answer(&self, from: &PeerId, answer: Body) -> bool {
        let running = match &answer {
            Body::Accepted(accepted) => accepted.attempt.clone(),
            Body::Chunk(chunk) => chunk.attempt.clone(),
            _ => None,
        };
        let held = self.attempts.deliver(from, answer);
        if let Some(attempt) = running.filter(|_| !held) {
            self.strays.record(from, attempt);
        }
        held
    }
}
