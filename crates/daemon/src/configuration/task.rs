//! The configuration task: drives the core's `Spread`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use medlarrill_core::change::changer::Stored;
use medlarrill_core::change::spread::{Action, Event};
use medlarrill_core::change::{HEAD_KEY, Spread};
use medlarrill_core::clock::Millis;
use medlarrill_core::config::Config;
use medlarrill_core::ids::{DaemonId, Generation, Incarnation};
use medlarrill_core::placement::key_of;
use medlarrill_core::wire::{Body, PartAsk};
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

/// Daemons of a data centre that read the platform for it.
const WATCHERS: usize = 2;
/// How long a daemon without a configuration leaves the platform to others.
const ALONE: Millis = Millis::from_secs(5);

/// State of the configuration task.
pub struct Task {
    context: Arc<Context>,
    handle: Handle,
    view: watch::Sender<Arc<ConfigView>>,
    spread: Spread,
    fleet: Arc<FleetView>,
    /// Peers by process, to find those that are gone.
    known: BTreeMap<Incarnation, DaemonId>,
    watch: Option<Watch>,
    wake: Option<Millis>,
    started: Millis,
}

/// What runs only while this daemon watches.
struct Watch {
    sweeper: Sweeper,
    _follow: AbortOnDropHandle<()>,
}

impl Task {
    /// A task without a configuration.
    pub fn new(context: Arc<Context>, view: watch::Sender<Arc<ConfigView>>) -> Self {
        Self {
            handle: context.configuration.clone(),
            view,
            spread: Spread::new(rand::random()),
            fleet: Arc::default(),
            known: BTreeMap::new(),
            watch: None,
            wake: None,
            started: now(),
            context,
        }
    }

    /// Runs until every handle is gone.
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
                    Some(message) => self.take(message),
                    None => return,
                },
                Some((peer, generation)) = generations.recv() => self.announced(&peer, generation),
                Ok(()) = fleet.changed() => {
                    self.fleet = fleet.borrow_and_update().clone();
                    self.regroup();
                }
                () = tokio::time::sleep(pause), if wake.is_some() => self.drive(Event::Timer),
            }
            self.rewatch();
        }
    }

    /// When the machine, or the wait for others, is due.
    fn next_wake(&self) -> Option<Millis> {
        let alone = self.started + ALONE;
        let waiting = !self.spread.is_ready() && now() < alone;
        let alone = waiting.then_some(alone);
        [alone, self.wake].into_iter().flatten().min()
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Asked(from, ask) => self.serve(from, &ask),
            Message::Answered(from, answer) => self.drive(Event::Answer {
                peer: from.incarnation,
                answer,
            }),
            Message::Lost(peer) => self.drive(Event::Unanswered(peer.incarnation)),
            Message::Changed => self.drive(Event::Changed),
            Message::Head(read) => self.head(read),
            Message::Part(digest, Ok(bytes)) => self.drive(Event::Part(digest, bytes)),
            Message::Part(digest, Err(error)) => {
                log::info!(target: "config", "config: no part from the platform: {error}");
                self.drive(Event::PartLost(digest));
            }
            Message::Written(head, parts) => self.drive(Event::Head { head, parts }),
            Message::Held(reply) => {
                // Who asked may have gone away.
                let _ = reply.send(self.spread.parts().cloned().collect());
            }
        }
    }

    fn head(&mut self, read: platform::Result<Option<Stored>>) {
        match read {
            Ok(Some(stored)) => {
                let head = stored.bytes.clone();
                if let Some(watch) = &self.watch {
                    watch.sweeper.saw(stored);
                }
                let parts = Vec::new();
                self.drive(Event::Head { head, parts });
            }
            // The first head will show as a change.
            Ok(None) => {}
            Err(error) => {
                log::info!(target: "config", "config: no head from the platform: {error}");
                self.drive(Event::HeadLost);
            }
        }
    }

    fn serve(&self, from: PeerId, ask: &PartAsk) {
        let answer = self.spread.serve(ask);
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            // Who doesn't get an answer asks another peer.
            let body = Body::PartAnswer(answer);
            let _ = context.peers.send(&from.daemon, body).await;
        });
    }

    fn announced(&mut self, peer: &DaemonId, generation: Generation) {
        let Some(known) = self.fleet.peers.get(peer) else {
            // Its heartbeats go on; by the next it may be known.
            return;
        };
        let event = Event::Announced {
            peer: known.incarnation,
            near: known.data_centre == self.context.settings.data_centre,
            generation,
        };
        self.drive(event);
    }

    fn regroup(&mut self) {
        let own = self.context.me.incarnation;
        let fleet = Arc::clone(&self.fleet);
        let present: BTreeMap<_, _> = fleet
            .peers
            .iter()
            .filter(|(_, peer)| peer.incarnation != own)
            .map(|(name, peer)| (peer.incarnation, name.clone()))
            .collect();
        let gone: BTreeSet<_> = self.known.keys().copied().collect();
        for peer in gone.into_iter().filter(|peer| !present.contains_key(peer)) {
            self.drive(Event::Gone(peer));
        }
        self.known = present;
        for name in self.known.clone().values() {
            if let Some(peer) = fleet.peers.get(name) {
                self.announced(name, peer.generation);
            }
        }
    }

    /// Watches if this daemon is a watcher of its data centre, or nobody gives it a configuration.
    fn rewatch(&mut self) {
        let centre = &self.context.settings.data_centre;
        let key = key_of(HEAD_KEY);
        let owners = self.fleet.placement.owners_in(centre, key, WATCHERS);
        let chosen = owners.contains(&&self.context.me.daemon);
        let alone = !self.spread.is_ready() && now() >= self.started + ALONE;
        let watching = chosen || alone;
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
        for action in self.spread.handle(event, now()) {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Ask { peer, ask } => self.ask(peer, ask),
            Action::ReadHead => self.read_head(),
            Action::ReadPart(digest) => {
                let (platform, handle) = (self.context.platform.clone(), self.handle.clone());
                tokio::spawn(async move {
                    let read = read_part(&platform, digest, CALL_TIMEOUT).await;
                    handle.send(Message::Part(digest, read));
                });
            }
            Action::Apply(config) => self.apply(*config),
            Action::Reject(why) => {
                self.context.metrics.record_rejected_part();
                log::warn!(target: "config", "config: {why}");
            }
            Action::Wait(until) => self.wake = Some(until),
        }
    }

    fn ask(&self, peer: Incarnation, ask: PartAsk) {
        let Some(name) = self.known.get(&peer).cloned() else {
            // Its time to answer runs out, and another is asked.
            return;
        };
        let context = Arc::clone(&self.context);
        let handle = self.handle.clone();
        tokio::spawn(async move {
            if context.peers.send(&name, Body::PartAsk(ask)).await.is_err() {
                let peer = PeerId {
                    daemon: name,
                    incarnation: peer,
                };
                handle.send(Message::Lost(peer));
            }
        });
    }

    fn read_head(&self) {
        let (platform, handle) = (self.context.platform.clone(), self.handle.clone());
        tokio::spawn(async move {
            let read = read_head(&platform, CALL_TIMEOUT).await;
            handle.send(Message::Head(read));
        });
    }

    fn apply(&self, config: Config) {
        let generation = config.generation;
        log::info!(target: "config", "config: generation {generation} is in force");
        self.view.send_replace(Arc::new(ConfigView::new(config)));
        self.context.metrics.applied.inc();
        let told = fleet::Message::InForce(generation);
        self.context.fleet_task.send(told);
    }
}
