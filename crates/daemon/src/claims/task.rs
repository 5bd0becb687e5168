//! The claims task: drives the shards of the claim log and the claimant.

use std::collections::HashMap;
use std::sync::Arc;

use medlarrill_core::claims::{
    Claimant, ClaimantAction, ClaimantEvent, KeyHash, KeyedRequest, LogAction, LogEvent, ProcessId,
    RunOutcome, ShardLog, ShutdownRecord, shard_of, shutdown_retention,
};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{DaemonId, RequestId};
use medlarrill_core::placement::key_of;
use medlarrill_core::wire::{Body, ClaimRequest, KeyQuery};
use medlarrill_net::link::PeerId;
use medlarrill_net::now::{now, wall};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use super::handle::Decision;
use super::message::Message;
use super::{SHARDS, calls};
use crate::context::Context;
use crate::fleet::FleetView;

/// Maximum time between ticks, which pass the wall clock to the shards.
const MAX_SLEEP: Millis = Millis(1000);

/// A request to another daemon that waits for its answer.
struct Pending {
    to: DaemonId,
    /// Whether it is a key query to a claimant rather than a claim request to an owner.
    is_key: bool,
}

/// State of the claims task.
pub struct Task {
    context: Arc<Context>,
    shards: Vec<ShardLog>,
    claimant: Claimant,
    waiting: HashMap<RequestId, oneshot::Sender<Decision>>,
    pending: HashMap<u64, Pending>,
}

impl Task {
    /// Creates a task that owns no shard yet.
    pub fn new(context: Arc<Context>) -> Self {
        let me = ProcessId {
            daemon: context.me.daemon.clone(),
            incarnation: context.me.incarnation,
        };
        let shard = |number| ShardLog::new(number, me.clone(), rand::random(), wall(), now());
        Self {
            shards: (0..SHARDS).map(shard).collect(),
            claimant: Claimant::new(me),
            waiting: HashMap::new(),
            pending: HashMap::new(),
            context,
        }
    }

    /// Runs until every handle is dropped.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let mut fleet = self.context.fleet.clone();
        let mut stopping = self.context.stopping.clone();
        loop {
            let wake = Instant::now() + self.sleep_time().as_duration();
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                Ok(()) = fleet.changed() => self.update_ownership(&mut fleet),
                Ok(()) = stopping.changed() => self.update_ownership(&mut fleet),
                () = sleep_until(wake) => self.tick(),
            }
        }
    }

    /// Time until the next tick of a shard or the claimant is due.
    fn sleep_time(&self) -> Millis {
        let wakes = self.shards.iter().map(ShardLog::wake);
        let next = wakes.chain([self.claimant.wake()]).min();
        next.unwrap_or(Millis::MAX)
            .since(now())
            .clamp(Millis(1), MAX_SLEEP)
    }

    fn tick(&mut self) {
        for shard in 0..SHARDS {
            self.drive_shard(shard, LogEvent::Tick { wall: wall() });
        }
        self.drive_claimant(ClaimantEvent::Tick);
    }

    /// Decides which shards this daemon owns. After a pause it owns none until its view of the fleet is fresh again.
    fn update_ownership(&mut self, fleet: &mut watch::Receiver<Arc<FleetView>>) {
        let view = fleet.borrow_and_update().clone();
        let eligible = view.fresh && !*self.context.stopping.borrow();
        for shard in 0..SHARDS {
            let owner = owner_of(&view, shard);
            let own = eligible && owner == Some(&self.context.me.daemon);
            self.drive_shard(shard, LogEvent::Assign(own));
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Start(start, sender) => self.start(start, sender),
            Message::Ended(request, end) => {
                self.drive_claimant(ClaimantEvent::Ended { request, end })
            }
            Message::ClaimRequested(ask) => self.handle_claim_request(ask),
            Message::ClaimAnswered(answer) => {
                self.pending.remove(&answer.ask);
                self.drive_claimant(ClaimantEvent::Answer(answer));
            }
            Message::KeyQueried(from, ask) => self.drive_claimant(ClaimantEvent::KeyQueried {
                from: from.daemon.to_string(),
                query: ask,
            }),
            Message::KeyAnswered(answer) => {
                self.pending.remove(&answer.ask);
                self.drive_claimant(ClaimantEvent::KeyAnswer(answer));
            }
            Message::ClaimRequestLost(number) => self.request_lost(number, false),
            Message::KeyQueryLost(number) => self.request_lost(number, true),
            Message::PeerLost(peer) => self.peer_lost(&peer),
            Message::Replied(shard, call, reply) => {
                self.drive_shard(shard, LogEvent::Reply { call, reply });
            }
            Message::ShutdownRecord(claimant, bytes) => {
                self.drive_claimant(ClaimantEvent::ShutdownRecord { claimant, bytes });
            }
            Message::Stop(done) => self.stop(done),
        }
    }

    fn start(&mut self, start: KeyedRequest, sender: oneshot::Sender<Decision>) {
        self.waiting.insert(start.request, sender);
        self.drive_claimant(ClaimantEvent::Start(start));
    }

    fn request_lost(&mut self, number: u64, is_key: bool) {
        self.pending.remove(&number);
        self.drive_claimant(match is_key {
            true => ClaimantEvent::QueryLost { number },
            false => ClaimantEvent::ClaimRequestLost { number },
        });
    }

    fn peer_lost(&mut self, peer: &PeerId) {
        let with = |(number, pending): (&u64, &Pending)| {
            (pending.to == peer.daemon).then_some((*number, pending.is_key))
        };
        let lost: Vec<_> = self.pending.iter().filter_map(with).collect();
        for (number, is_key) in lost {
            self.request_lost(number, is_key);
        }
    }

    fn handle_claim_request(&mut self, ask: ClaimRequest) {
        let Ok(key) = KeyHash::from_bytes(&ask.key) else {
            log::warn!(target: "claims", "claims: {} sent a claim request with a key of the wrong length", ask.daemon);
            return;
        };
        self.drive_shard(shard_of(&key, SHARDS), LogEvent::Request(ask));
    }

    fn drive_shard(&mut self, shard: u16, event: LogEvent) {
        let Some(log) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        for action in log.handle(event, now()) {
            self.apply_log_action(shard, action);
        }
    }

    fn apply_log_action(&self, shard: u16, action: LogAction) {
        let context = Arc::clone(&self.context);
        if let LogAction::Answer { to, answer, .. } = action {
            self.send(&to, Body::ClaimAnswer(answer), None);
            return;
        }
        tokio::spawn(async move {
            let platform = &context.platform;
            let (call, reply) = match action {
                LogAction::Create { call, key, bytes } => {
                    (call, calls::create(platform, &key, bytes).await)
                }
                LogAction::Read { call, key } => (call, calls::read(platform, &key).await),
                LogAction::List {
                    call,
                    prefix,
                    after,
                    limit,
                } => (call, calls::list(platform, &prefix, &after, limit).await),
                LogAction::Delete { call, key, version } => {
                    (call, calls::delete(platform, &key, version).await)
                }
                LogAction::Answer { .. } => return,
            };
            context.claims.send(Message::Replied(shard, call, reply));
        });
    }

    fn drive_claimant(&mut self, event: ClaimantEvent) {
        for action in self.claimant.handle(event, now()) {
            self.apply_claimant_action(action);
        }
    }

    fn apply_claimant_action(&mut self, action: ClaimantAction) {
        match action {
            ClaimantAction::RequestClaim(ask) => self.request_claim(ask),
            ClaimantAction::QueryKey { to, query: ask } => self.query_key(&to, ask),
            ClaimantAction::Dispatch { request } => self.decide(request, Decision::Dispatch),
            ClaimantAction::Refuse { request, reason } => {
                self.decide(request, Decision::Refuse(reason));
            }
            ClaimantAction::Replay { request, answer } => {
                self.decide(request, Decision::Replay(answer));
            }
            ClaimantAction::AnswerKey { to, answer } => {
                self.send(&to, Body::KeyAnswer(answer), None)
            }
            ClaimantAction::ReadShutdownRecord { claimant } => {
                let context = Arc::clone(&self.context);
                tokio::spawn(async move {
                    let bytes = calls::read_shutdown_record(&context.platform, claimant).await;
                    context
                        .claims
                        .send(Message::ShutdownRecord(claimant, bytes));
                });
            }
        }
    }

    /// Sends a decision to the request's own task. If that has ended, nothing was sent to an endpoint.
    fn decide(&mut self, request: RequestId, decision: Decision) {
        let runs = decision == Decision::Dispatch;
        let delivered = match self.waiting.remove(&request) {
            Some(sender) => sender.send(decision).is_ok(),
            None => false,
        };
        if runs && !delivered {
            let end = RunOutcome::NotRun;
            self.context.claims.ended(request, end);
        }
    }

    fn request_claim(&mut self, ask: ClaimRequest) {
        let number = ask.ask;
        let owner = {
            let view = self.context.fleet.borrow();
            let key = KeyHash::from_bytes(&ask.key).ok();
            let shard = key.map(|key| shard_of(&key, SHARDS));
            shard.and_then(|shard| owner_of(&view, shard)).cloned()
        };
        match owner {
            Some(owner) => {
                let pending = Pending {
                    to: owner.clone(),
                    is_key: false,
                };
                self.pending.insert(number, pending);
                let lost = Message::ClaimRequestLost(number);
                self.send(owner.as_str(), Body::ClaimRequest(ask), Some(lost));
            }
            None => {
                self.context.claims.send(Message::ClaimRequestLost(number));
            }
        }
    }

    fn query_key(&mut self, to: &str, ask: KeyQuery) {
        let number = ask.ask;
        let lost = Message::KeyQueryLost(number);
        if let Ok(daemon) = to.parse() {
            let pending = Pending {
                to: daemon,
                is_key: true,
            };
            self.pending.insert(number, pending);
        }
        self.send(to, Body::KeyQuery(ask), Some(lost));
    }

    /// Sends a message; if that fails, sends `lost` to this task.
    fn send(&self, to: &str, body: Body, lost: Option<Message>) {
        let context = Arc::clone(&self.context);
        let to = to.parse::<DaemonId>();
        tokio::spawn(async move {
            let sent = match &to {
                Ok(to) => context.peers.send(to, body).await.is_ok(),
                Err(_) => false,
            };
            if let Some(lost) = lost.filter(|_| !sent) {
                context.claims.send(lost);
            }
        });
    }

    /// Refuses all requests that aren't running, and writes the shutdown record.
    fn stop(&mut self, done: oneshot::Sender<()>) {
        self.drive_claimant(ClaimantEvent::Stop);
        let expiry = wall() + shutdown_retention(&self.context.config.borrow().config);
        let claimant = self.context.me.incarnation;
        let record = ShutdownRecord::new(claimant, self.claimant.outcomes(), None, expiry);
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            if !record.is_empty() {
                calls::write_shutdown_record(&context.platform, claimant, &record).await;
            }
            let _ = done.send(());
        });
    }
}

/// The daemon that owns a shard according to a view.
fn owner_of(view: &FleetView, shard: u16) -> Option<&DaemonId> {
    view.placement.owner_of(key_of(&format!("claims/{shard}")))
}
