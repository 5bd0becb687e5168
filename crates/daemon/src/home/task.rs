//! The home task: owns admission, directory and load view.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use medlarrill_core::admission::{Action, Ending, Event, Mean, Offer};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, EndpointId, Incarnation};
use medlarrill_core::placement::{Directory, HOP_LIMIT, LoadView};
use medlarrill_core::reason::Reason;
use medlarrill_core::units::Tokens;
use medlarrill_core::wire::Forward;
use medlarrill_net::endpoint::{CallResult, Load};
use medlarrill_net::link::PeerId;
use medlarrill_net::now::now;
use rand_pcg::Pcg32;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval_at};

use super::dispatch::{Control, Dispatch};
use super::gossip::Names;
use super::handover::Handover;
use super::held::Held;
use super::message::{Finished, Message};
use super::reply::{Refusal, Reply};
use super::slot::Slot;
use crate::configuration::ConfigView;
use crate::context::Context;
use crate::fleet::FleetView;

/// Time between two looks at queues and means.
const TICK: Millis = Millis(25);
/// Endpoints that one home tries before it lets a request wait.
const MAX_TRIED: usize = 3;

/// State of the home task.
pub struct Task {
    pub(super) context: Arc<Context>,
    pub(super) config: Arc<ConfigView>,
    pub(super) fleet: Arc<FleetView>,
    pub(super) loads: LoadView,
    pub(super) directory: Directory,
    pub(super) slots: BTreeMap<EndpointId, Slot>,
    pub(super) held: HashMap<AttemptId, Held>,
    pub(super) rng: Pcg32,
    pub(super) names: Names,
    pub(super) told: Millis,
    pub(super) handover: Handover,
}

impl Task {
    /// A home without endpoints, until the first configuration.
    pub fn new(context: Arc<Context>, rng: Pcg32) -> Self {
        let chats = context.settings.limits.chats as usize;
        Self {
            config: Arc::default(),
            fleet: Arc::default(),
            loads: LoadView::new(),
            directory: Directory::new(chats),
            slots: BTreeMap::new(),
            held: HashMap::new(),
            context,
            rng,
            names: Names::default(),
            told: Millis::ZERO,
            handover: Handover::default(),
        }
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let mut config = self.context.config.clone();
        let mut fleet = self.context.fleet.clone();
        config.mark_changed();
        fleet.mark_changed();
        let mut ticks = interval_at(Instant::now(), TICK.as_duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                Ok(()) = config.changed() => self.configure(&mut config),
                Ok(()) = fleet.changed() => self.regroup(&mut fleet),
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Offer(from, forward) => self.offer(&from, *forward),
            Message::Credit(_, credit) => {
                let id = credit.attempt.as_ref().and_then(|attempt| attempt.id());
                self.tell(id, Control::Credit(credit.bytes));
            }
            Message::Cancel(_, cancel) => {
                let id = cancel.attempt.as_ref().and_then(|attempt| attempt.id());
                let control = match cancel.detach {
                    true => Control::Drop,
                    false => Control::Cancel,
                };
                if let Some(id) = id {
                    self.cancel(id, control);
                }
            }
            Message::Placed(placed) => self.placed(&placed),
            Message::Moved(moved) => self.moved(moved),
            Message::LoadHeard(from, at, pools) => self.load_heard(&from, at, &pools),
            Message::PeerLost(peer) => self.entry_lost(peer.incarnation),
            Message::Progress(id, tokens) => self.progress(id, tokens),
            Message::Finished(finished) => self.finished(&finished),
            Message::Polled(endpoint, asked, load) => self.polled(&endpoint, asked, load),
            Message::StateAsked(from, ask) => self.tell_state(from, ask),
            Message::Show(reply) => {
                // Who asked may have gone away.
                let _ = reply.send(self.show());
            }
        }
    }

    fn offer(&mut self, from: &PeerId, forward: Forward) {
        let id = forward.attempt.as_ref().and_then(|attempt| attempt.id());
        let origin = forward.origin.parse();
        let (Some(id), Ok(origin)) = (id, origin) else {
            log::warn!(target: "home", "home: {from} sent a request that names no try or origin");
            return;
        };
        if self.held.contains_key(&id) {
            return;
        }
        let held = Held {
            id,
            reply: Reply::new(Arc::clone(&self.context), id, origin),
            endpoint: None,
            since: now(),
            control: None,
            forward,
        };
        if held.forward.resume {
            self.resume(held);
        } else if let Ok(endpoint) = held.forward.endpoint.parse() {
            self.admit(held, &endpoint);
        } else {
            self.place(held);
        }
    }

    /// Offers a request to an endpoint's admission.
    pub(super) fn admit(&mut self, mut held: Held, endpoint: &EndpointId) {
        if !self.ensure_slot(endpoint) {
            self.refuse(held, Refusal::new(Reason::NoEndpoint));
            return;
        }
        if let Some(slot) = self.slots.get_mut(endpoint).filter(|slot| !slot.own) {
            slot.stand_in();
        }
        self.refresh(endpoint);
        held.endpoint = Some(endpoint.clone());
        let offer = self.describe(&held);
        let id = held.id;
        self.held.insert(id, held);
        self.drive(endpoint, Event::Offer(offer));
    }

    fn describe(&self, held: &Held) -> Offer {
        let forward = &held.forward;
        let institution = forward.institution.parse().ok();
        let contract = institution
            .as_ref()
            .and_then(|id| self.config.config.institutions.get(id));
        let waited = now().since(held.since);
        Offer {
            id: held.id,
            share: contract.map_or(1, |institution| institution.contract.share),
            institution: institution.unwrap_or_else(unnamed),
            account: forward.account.parse().unwrap_or_else(|_| unnamed()),
            prompt: Tokens(forward.prompt.saturating_sub(forward.cached)),
            output: Tokens(forward.output),
            patience: Millis(forward.max_wait).since(waited),
            movable: forward.hops < HOP_LIMIT && forward.tried.len() < MAX_TRIED,
            keep_local: false,
        }
    }

    /// Feeds an event to an endpoint's admission and carries out its actions.
    pub(super) fn drive(&mut self, endpoint: &EndpointId, event: Event) {
        let now = now();
        let Some(slot) = self.slots.get_mut(endpoint) else {
            return;
        };
        // After a pause the evidence is old, whatever message is read first.
        let mut actions = slot.refresh(now);
        actions.extend(slot.home.handle(event, now));
        self.note_load(endpoint, now);
        self.act(endpoint, actions);
    }

    pub(super) fn act(&mut self, endpoint: &EndpointId, actions: Vec<Action>) {
        for action in actions {
            let Some(held) = self.held.remove(&action.id()) else {
                continue;
            };
            match action {
                Action::Dispatch { priority, .. } => self.dispatch(held, endpoint, priority),
                Action::Refuse {
                    reason,
                    retry_after,
                    ..
                } => {
                    let refusal = Refusal {
                        after: retry_after,
                        endpoint: Some(endpoint.clone()),
                        ..Refusal::new(reason)
                    };
                    self.refuse(held, refusal);
                }
                Action::PassOn { reason, .. } => self.pass_on(held, endpoint, reason),
            }
        }
    }

    /// Sends a request to its endpoint, in a task of its own.
    pub(super) fn dispatch(&mut self, mut held: Held, endpoint: &EndpointId, priority: u8) {
        let slot = self.slots.get(endpoint);
        let pool = slot.and_then(|slot| self.config.pool(&slot.pool));
        let (Some(slot), Some(pool)) = (slot, pool) else {
            self.refuse(held, Refusal::new(Reason::NoEndpoint));
            return;
        };
        let (sender, receiver) = mpsc::unbounded_channel();
        let dispatch = Dispatch {
            id: held.id,
            forward: held.forward.clone(),
            endpoint: endpoint.clone(),
            address: slot.address,
            pool: pool.clone(),
            priority,
            reply: held.reply.clone(),
        };
        // The body lives on in the request's own task.
        held.forward.body = bytes::Bytes::new();
        held.control = Some(sender);
        self.held.insert(held.id, held);
        tokio::spawn(dispatch.run(Arc::clone(&self.context), receiver));
    }

    /// Takes up a stream at its endpoint, past admission: it runs there already.
    fn resume(&mut self, mut held: Held) {
        let endpoint = held.forward.endpoint.parse::<EndpointId>().ok();
        let Some(endpoint) = endpoint.filter(|id| self.ensure_slot(id)) else {
            self.refuse(held, Refusal::new(Reason::NoEndpoint));
            return;
        };
        held.endpoint = Some(endpoint.clone());
        self.dispatch(held, &endpoint, RESUME_PRIORITY);
    }

    pub(super) fn refuse(&self, held: Held, refusal: Refusal) {
        tokio::spawn(async move { held.reply.refused(refusal).await });
    }

    fn cancel(&mut self, id: AttemptId, control: Control) {
        let Some(held) = self.held.get(&id) else {
            return;
        };
        let endpoint = held.endpoint.clone();
        if !held.tell(control) {
            self.held.remove(&id);
        }
        if let Some(endpoint) = endpoint {
            self.drive(&endpoint, Event::Cancelled { id });
        }
    }

    /// Ends what a lost entry asked for. The endpoint's grace lets another entry take it up.
    fn entry_lost(&mut self, sender: Incarnation) {
        let lost: Vec<AttemptId> = self
            .held
            .keys()
            .copied()
            .filter(|id| id.sender == sender)
            .collect();
        for id in lost {
            self.cancel(id, Control::Drop);
        }
    }

    fn tell(&self, id: Option<AttemptId>, control: Control) {
        if let Some(held) = id.and_then(|id| self.held.get(&id)) {
            held.tell(control);
        }
    }

    fn progress(&mut self, id: AttemptId, output: Tokens) {
        let endpoint = self.held.get(&id).and_then(|held| held.endpoint.clone());
        if let Some(endpoint) = endpoint {
            self.drive(&endpoint, Event::Progress { id, output });
        }
    }

    fn finished(&mut self, finished: &Finished) {
        let id = finished.id;
        let Some(held) = self.held.remove(&id) else {
            return;
        };
        let Some(endpoint) = held.endpoint.clone() else {
            return;
        };
        let ending = finished.ending;
        if ending == Ending::Done {
            self.record(&held, &endpoint, finished.usage);
        }
        self.drive(&endpoint, Event::Finished { id, ending });
    }

    fn polled(&mut self, endpoint: &EndpointId, asked: Millis, load: CallResult<Load>) {
        let now = now();
        let Some(slot) = self.slots.get_mut(endpoint) else {
            return;
        };
        let actions = match load {
            Ok(load) => {
                let cache = load.cache.as_ref();
                let age = cache.and_then(|cache| cache.eviction_age).map(Millis);
                let pool = slot.pool.clone();
                let actions = slot.polled(&load, asked, now);
                if let Some(pool) = self.loads.pool_mut(&pool) {
                    pool.set_eviction_age(endpoint, age);
                }
                actions
            }
            Err(error) => {
                log::debug!(target: "home", "home: {endpoint} gives no load: {error}");
                slot.refresh(now)
            }
        };
        self.note_load(endpoint, now);
        self.act(endpoint, actions);
    }

    fn tick(&mut self) {
        let now = now();
        self.context.home.note_held(self.held.len());
        self.tell_load(now);
        self.step_handover(now);
        let endpoints: Vec<EndpointId> = self.slots.keys().cloned().collect();
        for endpoint in endpoints {
            let Some(slot) = self.slots.get_mut(&endpoint) else {
                continue;
            };
            let mut actions = slot.refresh(now);
            if let Some(mean) = mean(&self.loads, slot, now) {
                actions.extend(slot.home.handle(Event::Mean(mean), now));
            }
            if slot.home.wake().is_some_and(|at| at <= now) {
                actions.extend(slot.home.handle(Event::Tick, now));
            }
            self.note_load(&endpoint, now);
            self.act(&endpoint, actions);
        }
        self.slots.retain(|_, slot| slot.own || !slot.is_idle());
        self.count();
    }

    fn count(&self) {
        let own = self.slots.values().filter(|slot| slot.own);
        let probation = own.clone().filter(|slot| slot.home.on_probation());
        let metrics = &self.context.metrics;
        metrics.homes.set(own.count() as i64);
        metrics.probation.set(probation.count() as i64);
        metrics.daemons.set(self.fleet.placement.len() as i64);
    }

    fn configure(&mut self, config: &mut watch::Receiver<Arc<ConfigView>>) {
        self.config = config.borrow_and_update().clone();
        self.rebuild();
    }

    fn regroup(&mut self, fleet: &mut watch::Receiver<Arc<FleetView>>) {
        self.fleet = fleet.borrow_and_update().clone();
        self.rebuild();
    }
}

/// Priority of a stream that is taken up again.
const RESUME_PRIORITY: u8 = 9;

fn mean(loads: &LoadView, slot: &Slot, now: Millis) -> Option<Mean> {
    let mean = loads.pool(&slot.pool)?.mean(now);
    Some(Mean {
        as_of: now,
        load: Tokens(mean.load as u64),
        endpoints: mean.endpoints,
    })
}

fn unnamed<T: std::str::FromStr>() -> T
where
    T::Err: std::fmt::Debug,
{
    "unnamed".parse().expect("the text is a valid name")
}
