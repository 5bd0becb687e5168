//! The configuration task: drives the core's `ConfigSync`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use medlarrill_core::change::committer::Stored;
use medlarrill_core::change::sync::{Action, Event};
use medlarrill_core::change::{ConfigSync, HEAD_KEY};
use medlarrill_core::clock::Millis;
use medlarrill_core::config::Config;
use medlarrill_core::ids::{DaemonId, Generation, Incarnation};
use medlarrill_core::placement::key_of;
use medlarrill_core::wire::{Body, PartRequest};
use medlarrill_net::link::PeerId;
use medlarrill_net::now::now;
use medlarrill_net::platform;
use tokio::sync::{mpsc, watch};
use tokio_util::task::AbortOnDropHandle;

use super::follow::follow;
use super::handle::{Handle, Message};
use super::source::{CALL_TIMEOUT, read_head, read_part};
use super::sweep::Sweeper;
use super::view::ConfigView;
use crate::context::Context;
use crate::fleet::{self, FleetView};

/// Number of daemons of a data centre that watch the platform for it.
const WATCHERS: usize = 2;
/// Time that a daemon without a configuration waits for peers before it reads the platform itself.
const PEER_WAIT: Millis = Millis::from_secs(5);

/// State of the configuration task.
pub struct Task {
    context: Arc<Context>,
    handle: Handle,
    view: watch::Sender<Arc<ConfigView>>,
    sync: ConfigSync,
    fleet: Arc<FleetView>,
    /// Names of the peers by incarnation, to detect lost ones.
    names: BTreeMap<Incarnation, DaemonId>,
    watch: Option<Watch>,
    wake: Option<Millis>,
    started: Millis,
}

/// Background tasks that run only while this daemon is a watcher.
struct Watch {
    sweeper: Sweeper,
    _follow: AbortOnDropHandle<()>,
}

impl Task {
    /// Creates a task without a configuration.
    pub fn new(context: Arc<Context>, view: watch::Sender<Arc<ConfigView>>) -> Self {
        Self {
            handle: context.configuration.clone(),
            view,
            sync: ConfigSync::new(rand::random()),
            fleet: Arc::default(),
            names: BTreeMap::new(),
            watch: None,
            wake: None,
            started: now(),
            context,
        }
    }

    /// Runs until every handle is dropped.
    pub async fn run(
        mut self,
        mut messages: mpsc::UnboundedReceiver<Message>,
        mut generations: mpsc::UnboundedReceiver<(DaemonId, Generation)>,
    ) {
        let mut fleet = self.context.fleet.clone();
        fleet.mark_changed();
        loop {
            let wake = self.next_wake();
            let pause = wake.unwrap_or_default().since(now()).as_duration();
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                Some((peer, generation)) = generations.recv() => self.announced(&peer, generation),
                Ok(()) = fleet.changed() => {
                    self.fleet = fleet.borrow_and_update().clone();
                    self.update_peers();
                }
                () = tokio::time::sleep(pause), if wake.is_some() => self.drive(Event::Timer),
            }
            self.update_watch();
        }
    }

    /// The earlier of the timer of `ConfigSync` and the end of the wait for peers.
    fn next_wake(&self) -> Option<Millis> {
        let deadline = self.started + PEER_WAIT;
        let waiting = !self.sync.is_ready() && now() < deadline;
        let deadline = waiting.then_some(deadline);
        [deadline, self.wake].into_iter().flatten().min()
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::PartRequested(from, ask) => self.serve(from, &ask),
            Message::PartAnswered(from, answer) => self.drive(Event::Answer {
                peer: from.incarnation,
                answer,
            }),
            Message::PeerLost(peer) => self.drive(Event::Unanswered(peer.incarnation)),
            Message::HeadChanged => self.drive(Event::HeadChanged),
            Message::HeadRead(read) => self.head_read(read),
            Message::PartRead(digest, Ok(bytes)) => self.drive(Event::Part(digest, bytes)),
            Message::PartRead(digest, Err(error)) => {
                log::info!(target: "config", "config: cannot read part from the platform: {error}");
                self.drive(Event::PartFailed(digest));
            }
            Message::HeadWritten(head, parts) => self.drive(Event::Head { head, parts }),
            Message::Parts(reply) => {
                // The requester may have gone away.
                let _ = reply.send(self.sync.parts().cloned().collect());
            }
        }
    }

    fn head_read(&mut self, read: platform::Result<Option<Stored>>) {
        match read {
            Ok(Some(stored)) => {
                let head = stored.bytes.clone();
                if let Some(watch) = &self.watch {
                    watch.sweeper.head_read(stored);
                }
                let parts = Vec::new();
                self.drive(Event::Head { head, parts });
            }
            // The first head will be reported as a change.
            Ok(None) => {}
            Err(error) => {
                log::info!(target: "config", "config: cannot read head from the platform: {error}");
                self.drive(Event::HeadFailed);
            }
        }
    }

    fn serve(&self, from: PeerId, ask: &PartRequest) {
        let answer = self.sync.serve(ask);
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            // A peer that gets no answer asks another peer.
            let body = Body::PartAnswer(answer);
            let _ = context.peers.send(&from.daemon, body).await;
        });
    }

    fn announced(&mut self, peer: &DaemonId, generation: Generation) {
        let Some(known) = self.fleet.peers.get(peer) else {
            // It may be known by its next heartbeat.
            return;
        };
        let event = Event::Announced {
            peer: known.incarnation,
            local: known.data_centre == self.context.settings.data_centre,
            generation,
        };
        self.drive(event);
    }

    fn update_peers(&mut self) {
        let own = self.context.me.incarnation;
        let fleet = Arc::clone(&self.fleet);
        let present: BTreeMap<_, _> = fleet
            .peers
            .iter()
            .filter(|(_, peer)| peer.incarnation != own)
            .map(|(name, peer)| (peer.incarnation, name.clone()))
            .collect();
        let previous: BTreeSet<_> = self.names.keys().copied().collect();
        for peer in previous
            .into_iter()
            .filter(|peer| !present.contains_key(peer))
        {
            self.drive(Event::PeerLost(peer));
        }
        self.names = present;
        for name in self.names.clone().values() {
            if let Some(peer) = fleet.peers.get(name) {
                self.announced(name, peer.generation);
            }
        }
    }

    /// Watches the platform if this daemon is a watcher of its data centre, or has received no configuration.
    fn update_watch(&mut self) {
        let data_centre = &self.context.settings.data_centre;
        let key = key_of(HEAD_KEY);
        let owners = self.fleet.placement.owners_in(data_centre, key, WATCHERS);
        let chosen = owners.contains(&&self.context.me.daemon);
        let timed_out = !self.sync.is_ready() && now() >= self.started + PEER_WAIT;
        let watching = chosen || timed_out;
        if watching == self.watch.is_some() {
            return;
        }
        log::info!(target: "config", "config: watching the platform: {watching}");
        self.watch = watching.then(|| Watch {
            sweeper: Sweeper::start(self.context.platform.clone()),
            _follow: follow(&self.context.platform, self.handle.clone()),
        });
        self.drive(Event::Watching(watching));
    }

    fn drive(&mut self, event: Event) {
        self.wake = None;
        for action in self.sync.handle(event, now()) {
            self.apply_action(action);
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Request { peer, request } => self.request_parts(peer, request),
            Action::ReadHead => self.read_head(),
            Action::ReadPart(digest) => {
                let (platform, handle) = (self.context.platform.clone(), self.handle.clone());
                tokio::spawn(async move {
                    let read = read_part(&platform, digest, CALL_TIMEOUT).await;
                    handle.send(Message::PartRead(digest, read));
                });
            }
            Action::Apply(config) => self.apply(*config),
            Action::Reject(reason) => {
                self.context.metrics.record_rejected_part();
                log::warn!(target: "config", "config: {reason}");
            }
            Action::Wait(until) => self.wake = Some(until),
        }
    }

    fn request_parts(&self, peer: Incarnation, ask: PartRequest) {
        let Some(name) = self.names.get(&peer).cloned() else {
            // Its request times out, and another peer is asked.
            return;
        };
        let context = Arc::clone(&self.context);
        let handle = self.handle.clone();
        tokio::spawn(async move {
            if context
                .peers
                .send(&name, Body::PartRequest(ask))
                .await
                .is_err()
            {
                let peer = PeerId {
                    daemon: name,
                    incarnation: peer,
                };
                handle.send(Message::PeerLost(peer));
            }
        });
    }

    fn read_head(&self) {
        let (platform, handle) = (self.context.platform.clone(), self.handle.clone());
        tokio::spawn(async move {
            let read = read_head(&platform, CALL_TIMEOUT).await;
            handle.send(Message::HeadRead(read));
        });
    }

    fn apply(&self, config: Config) {
        let generation = config.generation;
        log::info!(target: "config", "config: generation {generation} is in force");
        self.view.send_replace(Arc::new(ConfigView::new(config)));
        self.context.metrics.applied.inc();
        let message = fleet::Message::InForce(generation);
        self.context.fleet_task.send(message);
    }
}
