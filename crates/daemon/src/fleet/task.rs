//! The membership task: drives the state machine `medlarrill_core::membership`.

use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{DaemonId, Generation};
use medlarrill_core::membership::{Action, Event, Membership, Peer, Target};
use medlarrill_core::wire::{Body, Gossip};
use medlarrill_net::link::{Links, PeerId};
use medlarrill_net::now::{now, wall};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::handle::Message;
use super::view::FleetView;
use crate::home;

/// Interval between two ticks of the state machine.
const TICK: Millis = Millis(100);

/// Where the task sends its results.
pub struct Outputs {
    /// The fleet view, for all other tasks.
    pub view: watch::Sender<Arc<FleetView>>,
    /// Load reports received from peers.
    pub home: home::Handle,
    /// Peers that have a later configuration, and its generation.
    pub generation: mpsc::UnboundedSender<(DaemonId, Generation)>,
    /// Number of peers that know that this daemon is leaving or has departed.
    pub leave_acks: watch::Sender<usize>,
}

/// State of the membership task.
pub struct Task {
    membership: Membership,
    links: Links,
    outputs: Outputs,
    version: u64,
    is_fresh: bool,
}

impl Task {
    /// A task for a daemon that has just started.
    pub const fn new(membership: Membership, links: Links, outputs: Outputs) -> Self {
        Self {
            membership,
            links,
            outputs,
            version: 0,
            is_fresh: false,
        }
    }

    /// Runs until every handle is dropped.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let mut ticks = interval(TICK.as_duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let actions = tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                _ = ticks.tick() => self.membership.handle(Event::Tick { wall: wall() }, now()),
            };
            for action in actions {
                self.apply(action);
            }
            self.publish();
        }
    }

    fn handle_message(&mut self, message: Message) -> Vec<Action> {
        let event = match message {
            Message::Heartbeat(from, message) => Event::Received {
                from: peer(from),
                message,
            },
            Message::Opened(from) => Event::Connected(peer(from)),
            Message::Closed(from) => Event::Closed(peer(from)),
            Message::Unreachable(address) => Event::Refused(address),
            Message::Listed(vms) => Event::VmList(vms),
            Message::Leave => Event::Leave,
            Message::Depart => Event::Depart,
            Message::OwnLoad(pools) => {
                self.membership.set_own_load(pools, now());
                return Vec::new();
            }
            Message::InForce(generation) => {
                self.membership.set_generation(generation);
                return Vec::new();
            }
            Message::Lagging {
                generation,
                probe,
                reply,
            } => {
                let lagging = self.membership.lagging(generation);
                let lagging = lagging.map(|member| member.daemon.clone()).collect();
                // The caller may have been dropped.
                let _ = reply.send(lagging);
                return match probe {
                    true => self.membership.probe_lagging(generation, now()),
                    false => Vec::new(),
                };
            }
            Message::Ready(ready) => {
                self.membership.set_ready(ready);
                return Vec::new();
            }
        };
        self.membership.handle(event, now())
    }

    fn apply(&self, action: Action) {
        match action {
            Action::Send { to, message } => self.send(to, message),
            Action::LoadReceived { from, at, pools } => {
                self.outputs.home.load_received(from, at, pools)
            }
            Action::NewerGeneration { from, generation } => {
                // The configuration task ends only with the daemon.
                let _ = self.outputs.generation.send((from, generation));
            }
            Action::Changed(member) => {
                log::info!(target: "fleet", "fleet: {} is {}", member.daemon, member.state());
            }
            Action::Forgotten(daemon) => log::info!(target: "fleet", "fleet: forgot {daemon}"),
            Action::Stale => {
                log::warn!(target: "fleet", "fleet: this process was paused, the fleet view is stale")
            }
            Action::Fresh => log::info!(target: "fleet", "fleet: the fleet view is fresh"),
            Action::ListedLeaving => {
                log::warn!(target: "fleet", "fleet: the platform lists this VM as leaving")
            }
            Action::LeaveAcknowledged { peers } | Action::Departed { peers } => {
                self.outputs.leave_acks.send_replace(peers);
            }
            Action::Replaced { by } => {
                log::error!(target: "fleet", "fleet: {by} runs under this daemon's name");
            }
            Action::SumsReceived { .. } => {}
        }
    }

    /// Sends without waiting: a heartbeat is dropped if the link's queue is full.
    fn send(&self, to: Target, message: Gossip) {
        let links = self.links.clone();
        let address = to.address.or_else(|| {
            let daemon = to.daemon.as_ref()?;
            let member = self.membership.get(daemon).map(|member| member.address);
            member.or_else(|| links.address_of(daemon))
        });
        let Some(address) = address else {
            return;
        };
        tokio::spawn(async move {
            if let Ok(link) = links.at(address).await {
                // The next heartbeat makes up for a lost one.
                let _ = link.try_send(Body::Gossip(message));
            }
        });
    }

    fn publish(&mut self) {
        let is_fresh = self.membership.is_fresh(now());
        if self.version == self.membership.version() && self.is_fresh == is_fresh {
            return;
        }
        self.version = self.membership.version();
        self.is_fresh = is_fresh;
        let view = FleetView::new(&self.membership, is_fresh);
        self.outputs.view.send_replace(Arc::new(view));
    }
}

fn peer(id: PeerId) -> Peer {
    Peer {
        daemon: id.daemon,
        incarnation: id.incarnation,
    }
}
