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
use super::gossip::NameHashes;
use super::handover::Handover;
use super::held::HeldRequest;
use super::message::{Finished, Message};
use super::reply::{Refusal, Reply};
use super::slot::Slot;
use crate::configuration::ConfigView;
use crate::context::Context;
use crate::fleet::FleetView;

/// Interval between checks of queues and mean loads.
const TICK: Millis = Millis(25);
/// Endpoints attempted before a request has to wait.
const MAX_TRIED: usize = 3;

/// State of the home task.
pub struct Task {
    pub(super) context: Arc<Context>,
    pub(super) config: Arc<ConfigView>,
    pub(super) fleet: Arc<FleetView>,
    pub(super) loads: LoadView,
    pub(super) directory: Directory,
    pub(super) slots: BTreeMap<EndpointId, Slot>,
    pub(super) held: HashMap<AttemptId, HeldRequest>,
    pub(super) rng: Pcg32,
    pub(super) names: NameHashes,
    pub(super) load_published: Millis,
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
            names: NameHashes::default(),
            load_published: Millis::ZERO,
            handover: Handover::default(),
        }
    }

    /// Runs until every handle is dropped.
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
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                Ok(()) = config.changed() => self.update_config(&mut config),
                Ok(()) = fleet.changed() => self.update_fleet(&mut fleet),
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Offer(from, forward) => self.offer(&from, *forward),
            Message::Credit(_, credit) => {
                let id = credit.attempt.as_ref().and_then(|attempt| attempt.id());
                self.send_control(id, Control::Credit(credit.bytes));
            }
            Message::Cancel(_, cancel) => {
                let id = cancel.attempt.as_ref().and_then(|attempt| attempt.id());
                let control = match cancel.detach {
                    true => Control::Detach,
                    false => Control::Cancel,
                };
                if let Some(id) = id {
                    self.cancel(id, control);
                }
            }
            Message::Placed(placed) => self.placed(&placed),
            Message::Moved(moved) => self.moved(moved),
            Message::LoadReceived(from, at, pools) => self.load_received(&from, at, &pools),
            Message::PeerLost(peer) => self.entry_lost(peer.incarnation),
            Message::Progress(id, tokens) => self.progress(id, tokens),
            Message::Finished(finished) => self.finished(&finished),
            Message::Polled(endpoint, asked_at, load) => self.polled(&endpoint, asked_at, load),
            Message::StateRequested(from, ask) => self.send_state(from, ask),
            Message::Show(reply) => {
                // The caller may have been dropped.
                let _ = reply.send(self.show());
            }
        }
    }

    fn offer(&mut self, from: &PeerId, forward: Forward) {
        let id = forward.attempt.as_ref().and_then(|attempt| attempt.id());
        let origin = forward.origin.parse();
        let (Some(id), Ok(origin)) = (id, origin) else {
            log::warn!(target: "home", "home: {from} sent a request without an attempt or origin");
            return;
        };
        if self.held.contains_key(&id) {
            return;
        }
        let held = HeldRequest {
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
    pub(super) fn admit(&mut self, mut held: HeldRequest, endpoint: &EndpointId) {
        if !self.ensure_slot(endpoint) {
            self.refuse(held, Refusal::new(Reason::NoEndpoint));
            return;
        }
        if let Some(slot) = self.slots.get_mut(endpoint).filter(|slot| !slot.own) {
            slot.stand_in();
        }
        self.refresh(endpoint);
        held.endpoint = Some(endpoint.clone());
        let offer = self.to_offer(&held);
        let id = held.id;
        self.held.insert(id, held);
        self.handle_event(endpoint, Event::Offer(offer));
    }

    fn to_offer(&self, held: &HeldRequest) -> Offer {
        let forward = &held.forward;
        let institution = forward.institution.parse().ok();
        let contract = institution
            .as_ref()
            .and_then(|id| self.config.config.institutions.get(id));
        let waited = now().since(held.since);
        Offer {
            id: held.id,
            share: contract.map_or(1, |institution| institution.contract.share),
            institution: institution.unwrap_or_else(placeholder_name),
            account: forward
                .account
                .parse()
                .unwrap_or_else(|_| placeholder_name()),
            prompt: Tokens(forward.prompt.saturating_sub(forward.cached)),
            output: Tokens(forward.output),
            patience: Millis(forward.max_wait).since(waited),
            movable: forward.hops < HOP_LIMIT && forward.tried.len() < MAX_TRIED,
            keep_local: false,
        }
    }

    /// Passes an event to an endpoint's admission and applies the resulting actions.
    pub(super) fn handle_event(&mut self, endpoint: &EndpointId, event: Event) {
        let now = now();
        let Some(slot) = self.slots.get_mut(endpoint) else {
            return;
        };
        // After a pause of this process the evidence may be stale, whichever message comes first.
        let mut actions = slot.refresh(now);
        actions.extend(slot.home.handle(event, now));
        self.record_load(endpoint, now);
        self.apply(endpoint, actions);
    }

    pub(super) fn apply(&mut self, endpoint: &EndpointId, actions: Vec<Action>) {
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
                        retry_after,
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
    pub(super) fn dispatch(&mut self, mut held: HeldRequest, endpoint: &EndpointId, priority: u8) {
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
        // The request's own task keeps the body.
        held.forward.body = bytes::Bytes::new();
        held.control = Some(sender);
        self.held.insert(held.id, held);
        tokio::spawn(dispatch.run(Arc::clone(&self.context), receiver));
    }

    /// Resumes a stream at its endpoint, without admission as it already runs there.
    fn resume(&mut self, mut held: HeldRequest) {
        let endpoint = held.forward.endpoint.parse::<EndpointId>().ok();
        let Some(endpoint) = endpoint.filter(|id| self.ensure_slot(id)) else {
            self.refuse(held, Refusal::new(Reason::NoEndpoint));
            return;
        };
        held.endpoint = Some(endpoint.clone());
        self.dispatch(held, &endpoint, RESUME_PRIORITY);
    }

    pub(super) fn refuse(&self, held: HeldRequest, refusal: Refusal) {
        tokio::spawn(async move { held.reply.refused(refusal).await });
    }

    fn cancel(&mut self, id: AttemptId, control: Control) {
        let Some(held) = self.held.get(&id) else {
            return;
        };
        let endpoint = held.endpoint.clone();
        if !held.send_control(control) {
            self.held.remove(&id);
        }
        if let Some(endpoint) = endpoint {
            self.handle_event(&endpoint, Event::Cancelled { id });
        }
    }

    /// Ends the requests of a lost entry. Streams can be resumed within the endpoint's grace period.
    fn entry_lost(&mut self, sender: Incarnation) {
        let lost: Vec<AttemptId> = self
            .held
            .keys()
            .copied()
            .filter(|id| id.sender == sender)
            .collect();
        for id in lost {
            self.cancel(id, Control::Detach);
        }
    }

    fn send_control(&self, id: Option<AttemptId>, control: Control) {
        if let Some(held) = id.and_then(|id| self.held.get(&id)) {
            held.send_control(control);
        }
    }

    fn progress(&mut self, id: AttemptId, output: Tokens) {
        let endpoint = self.held.get(&id).and_then(|held| held.endpoint.clone());
        if let Some(endpoint) = endpoint {
            self.handle_event(&endpoint, Event::Progress { id, output });
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
            self.record_served(&held, &endpoint, finished.usage);
        }
        self.handle_event(&endpoint, Event::Finished { id, ending });
    }

    fn polled(&mut self, endpoint: &EndpointId, asked_at: Millis, load: CallResult<Load>) {
        let now = now();
        let Some(slot) = self.slots.get_mut(endpoint) else {
            return;
        };
        let actions = match load {
            Ok(load) => {
                let cache = load.cache.as_ref();
                let age = cache.and_then(|cache| cache.eviction_age).map(Millis);
                let pool = slot.pool.clone();
                let actions = slot.polled(&load, asked_at, now);
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
        self.record_load(endpoint, now);
        self.apply(endpoint, actions);
    }

    fn tick(&mut self) {
        let now = now();
        self.context.home.set_held(self.held.len());
        self.publish_load(now);
        self.step_handover(now);
        let endpoints: Vec<EndpointId> = self.slots.keys().cloned().collect();
        for endpoint in endpoints {
            let Some(slot) = self.slots.get_mut(&endpoint) else {
                continue;
            };
            let mut actions = slot.refresh(now);
            if let Some(mean) = pool_mean(&self.loads, slot, now) {
                actions.extend(slot.home.handle(Event::Mean(mean), now));
            }
            if slot.home.wake().is_some_and(|at| at <= now) {
                actions.extend(slot.home.handle(Event::Tick, now));
            }
            self.record_load(&endpoint, now);
            self.apply(&endpoint, actions);
        }
        self.slots.retain(|_, slot| slot.own || !slot.is_idle());
        self.update_gauges();
    }

    fn update_gauges(&self) {
        let own = self.slots.values().filter(|slot| slot.own);
        let probation = own.clone().filter(|slot| slot.home.on_probation());
        let metrics = &self.context.metrics;
        metrics.homes.set(own.count() as i64);
        metrics.probation.set(probation.count() as i64);
        metrics.daemons.set(self.fleet.placement.len() as i64);
    }

    fn update_config(&mut self, config: &mut watch::Receiver<Arc<ConfigView>>) {
        self.config = config.borrow_and_update().clone();
        self.rebuild();
    }

    fn update_fleet(&mut self, fleet: &mut watch::Receiver<Arc<FleetView>>) {
        self.fleet = fleet.borrow_and_update().clone();
        self.rebuild();
    }
}

/// Priority of a resumed stream.
const RESUME_PRIORITY: u8 = 9;

fn pool_mean(loads: &LoadView, slot: &Slot, now: Millis) -> Option<Mean> {
    let mean = loads.pool(&slot.pool)?.mean(now);
    Some(Mean {
        as_of: now,
        load: Tokens(mean.load as u64),
        endpoints: mean.endpoints,
    })
}

fn placeholder_name<T: std::str::FromStr>() -> T
where
    T::Err: std::fmt::Debug,
{
    "unnamed".parse().expect("the text is a valid name")
}
