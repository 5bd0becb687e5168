//! Dispatches each message from a peer to the task that handles it.

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

/// Handles of the tasks that receive messages from peers.
pub struct Dispatcher {
    /// Attempts of this entry.
    pub attempts: AttemptTable,
    /// Answers that no attempt waits for.
    pub strays: StrayFrames,
    /// Handle of the claims task.
    pub claims: claims::Handle,
    /// Queries for the state of requests.
    pub states: RequestStates,
    /// Handle of the limits task.
    pub limits: limits::Handle,
    /// Handle of the home task.
    pub home: home::Handle,
    /// Handle of the membership task.
    pub fleet: fleet::Handle,
    /// Handle of the configuration task.
    pub configuration: configuration::Handle,
    /// Queries to other daemons for the state of their endpoints.
    pub state_queries: StateQueries,
    /// Counters and gauges.
    pub metrics: Arc<Metrics>,
}

impl Dispatcher {
    /// Handles one event of the links; never blocks.
    pub fn handle_event(&self, event: Event) {
        match event {
            Event::Message(from, body) => self.dispatch(&from, *body),
            Event::Closed(peer) => {
                self.attempts.peer_lost(&peer);
                self.home.peer_lost(peer.clone());
                let lost = configuration::Message::PeerLost(peer.clone());
                self.configuration.send(lost);
                self.claims.send(claims::Message::PeerLost(peer.clone()));
                self.limits
                    .send(limits::Message::DaemonLost(peer.daemon.clone()));
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

    fn dispatch(&self, from: &PeerId, body: Body) {
        let kind = body.kind();
        let handled = match body {
            Body::Forward(forward) => self.home.offer(from.clone(), forward),
            Body::Credit(credit) => self.home.credit(from.clone(), credit),
            Body::Cancel(cancel) => self.home.cancel(from.clone(), cancel),
            Body::ClaimRequest(ask) => self.claims.send(claims::Message::ClaimRequested(ask)),
            Body::ClaimAnswer(answer) => self.claims.send(claims::Message::ClaimAnswered(answer)),
            Body::KeyQuery(ask) => self
                .claims
                .send(claims::Message::KeyQueried(from.clone(), ask)),
            Body::KeyAnswer(answer) => self.claims.send(claims::Message::KeyAnswered(answer)),
            Body::Usage(usage) => self
                .limits
                .send(limits::Message::Usage(from.daemon.clone(), usage)),
            Body::Grant(grant) => self
                .limits
                .send(limits::Message::Grant(from.daemon.clone(), grant)),
            Body::Gossip(gossip) => self
                .fleet
                .send(fleet::Message::Heartbeat(from.clone(), gossip)),
            Body::DirectoryTransfer(moved) => self.home.moved(moved),
            Body::Placed(placed) => self.home.placed(placed),
            Body::StateQuery(ask) => self.home.state_requested(from.clone(), ask),
            Body::StateAnswer(answer) => self.state_queries.deliver(answer),
            Body::PartRequest(ask) => {
                let asked = configuration::Message::PartRequested(from.clone(), ask);
                self.configuration.send(asked)
            }
            Body::PartAnswer(answer) => {
                let answered = configuration::Message::PartAnswered(from.clone(), answer);
                self.configuration.send(answered)
            }
            Body::RequestQuery(ask) => self.states.requested(from, ask),
            Body::RequestAnswer(answer) => self.states.take_answer(answer),
            answer @ (Body::Accepted(_)
            | Body::Rerouted(_)
            | Body::Refused(_)
            | Body::Chunk(_)
            | Body::End(_)) => self.deliver_answer(from, answer),
            _ => false,
        };
        if !handled {
            self.metrics.record_stray(kind);
        }
    }

    /// Delivers an answer to its attempt; if none waits for it, records it so that the sender is cancelled.
    fn deliver_answer(&self, from: &PeerId, answer: Body) -> bool {
        let running = match &answer {
            Body::Accepted(accepted) => accepted.attempt.clone(),
            Body::Chunk(chunk) => chunk.attempt.clone(),
            _ => None,
        };
        let delivered = self.attempts.deliver(from, answer);
        if let Some(attempt) = running.filter(|_| !delivered) {
            self.strays.record(from, attempt);
        }
        delivered
    }
}
