//! The claims task: drives shards and claimant.

use std::collections::HashMap;
use std::sync::Arc;

use medlarrill_core::claims::{
    Claimant, ClaimantAction, ClaimantEvent, End, Farewell, KeyHash, LogAction, LogEvent, Member,
    ShardLog, Start, shard_of,
};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{DaemonId, RequestId};
use medlarrill_core::placement::key_of;
use medlarrill_core::wire::{Body, ClaimAsk, KeyAsk};
use medlarrill_net::link::PeerId;
use medlarrill_net::now::{now, wall};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use super::handle::Decision;
use super::message::Message;
use super::{SHARDS, calls};
use crate::context::Context;
use crate::fleet::FleetView;

/// How long a last word is kept after the longest key.
const FAREWELL_KEPT: Millis = Millis::from_secs(7 * 24 * 3600);
/// Longest sleep, so that the wall clock is told now and then.
const LONGEST_SLEEP: Millis = Millis(1000);

/// A question to another daemon.
struct Asked {
    to: DaemonId,
    /// Whether it went to another claimant rather than to an owner.
    is_key: bool,
}

/// State of the claims task.
pub struct Task {
    context: Arc<Context>,
    shards: Vec<ShardLog>,
    claimant: Claimant,
    waiting: HashMap<RequestId, oneshot::Sender<Decision>>,
    asked: HashMap<u64, Asked>,
}

impl Task {
    /// A task that owns no shard yet.
    pub fn new(context: Arc<Context>) -> Self {
        let me = Member {
            daemon: context.me.daemon.clone(),
            incarnation: context.me.incarnation,
        };
        let shard = |number| ShardLog::new(number, me.clone(), rand::random(), wall(), now());
        Self {
            shards: (0..SHARDS).map(shard).collect(),
            claimant: Claimant::new(me),
            waiting: HashMap::new(),
            asked: HashMap::new(),
            context,
        }
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let mut fleet = self.context.fleet.clone();
        let mut stopping = self.context.stopping.clone();
        loop {
            let wake = Instant::now() + self.sleep().as_duration();
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                Ok(()) = fleet.changed() => self.settle(&mut fleet),
                Ok(()) = stopping.changed() => self.settle(&mut fleet),
                () = sleep_until(wake) => self.tick(),
            }
        }
    }

    /// Time until a machine wants a tick.
    fn sleep(&self) -> Millis {
        let wakes = self.shards.iter().map(ShardLog::wake);
        let next = wakes.chain([self.claimant.wake()]).min();
        next.unwrap_or(Millis::MAX)
            .since(now())
            .clamp(Millis(1), LONGEST_SLEEP)
    }

    fn tick(&mut self) {
        for shard in 0..SHARDS {
            self.drive(shard, LogEvent::Tick { wall: wall() });
        }
        self.claim(ClaimantEvent::Tick);
    }

    /// Decides which shards this daemon owns. One that was paused owns none until it has heard again.
    fn settle(&mut self, fleet: &mut watch::Receiver<Arc<FleetView>>) {
        let view = fleet.borrow_and_update().clone();
        let able = view.fresh && !*self.context.stopping.borrow();
        for shard in 0..SHARDS {
            let owner = owner_of(&view, shard);
            let own = able && owner == Some(&self.context.me.daemon);
            self.drive(shard, LogEvent::Own(own));
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Start(start, sender) => self.start(start, sender),
            Message::Ended(request, end) => self.claim(ClaimantEvent::Ended { request, end }),
            Message::Ask(ask) => self.asked_as_owner(ask),
            Message::Answer(answer) => {
                self.asked.remove(&answer.ask);
                self.claim(ClaimantEvent::Answer(answer));
            }
            Message::KeyAsk(from, ask) => self.claim(ClaimantEvent::KeyAsked {
                from: from.daemon.to_string(),
                ask,
            }),
            Message::KeyAnswer(answer) => {
                self.asked.remove(&answer.ask);
                self.claim(ClaimantEvent::KeyAnswer(answer));
            }
            Message::AskLost(ask) => self.lost(ask, false),
            Message::KeyAskLost(ask) => self.lost(ask, true),
            Message::PeerLost(peer) => self.peer_lost(&peer),
            Message::Replied(shard, call, reply) => {
                self.drive(shard, LogEvent::Reply { call, reply });
            }
            Message::Farewell(claimant, bytes) => {
                self.claim(ClaimantEvent::Farewell { claimant, bytes });
            }
            Message::Stop(done) => self.stop(done),
        }
    }

    fn start(&mut self, start: Start, sender: oneshot::Sender<Decision>) {
        self.waiting.insert(start.request, sender);
        self.claim(ClaimantEvent::Start(start));
    }

    fn lost(&mut self, ask: u64, is_key: bool) {
        self.asked.remove(&ask);
        self.claim(match is_key {
            true => ClaimantEvent::KeyAskLost { ask },
            false => ClaimantEvent::AskLost { ask },
        });
    }

    fn peer_lost(&mut self, peer: &PeerId) {
        let with = |(ask, asked): (&u64, &Asked)| {
            (asked.to == peer.daemon).then_some((*ask, asked.is_key))
        };
        let lost: Vec<_> = self.asked.iter().filter_map(with).collect();
        for (ask, is_key) in lost {
            self.lost(ask, is_key);
        }
    }

    fn asked_as_owner(&mut self, ask: ClaimAsk) {
        let Ok(key) = KeyHash::from_bytes(&ask.key) else {
            log::warn!(target: "claims", "claims: {} asks for a key of the wrong length", ask.daemon);
            return;
        };
        self.drive(shard_of(&key, SHARDS), LogEvent::Ask(ask));
    }

    fn drive(&mut self, shard: u16, event: LogEvent) {
        let Some(log) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        for action in log.handle(event, now()) {
            self.act_as_owner(shard, action);
        }
    }

    fn act_as_owner(&self, shard: u16, action: LogAction) {
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

    fn claim(&mut self, event: ClaimantEvent) {
        for action in self.claimant.handle(event, now()) {
            self.act_as_claimant(action);
        }
    }

    fn act_as_claimant(&mut self, action: ClaimantAction) {
        match action {
            ClaimantAction::Ask(ask) => self.ask(ask),
            ClaimantAction::AskKey { to, ask } => self.ask_key(&to, ask),
            ClaimantAction::Dispatch { request } => self.decide(request, Decision::Dispatch),
            ClaimantAction::Refuse { request, reason } => {
                self.decide(request, Decision::Refuse(reason));
            }
            ClaimantAction::Replay { request, answer } => {
                self.decide(request, Decision::Replay(answer));
            }
            ClaimantAction::TellKey { to, answer } => self.send(&to, Body::KeyAnswer(answer), None),
            ClaimantAction::ReadFarewell { claimant } => {
                let context = Arc::clone(&self.context);
                tokio::spawn(async move {
                    let bytes = calls::farewell(&context.platform, claimant).await;
                    context.claims.send(Message::Farewell(claimant, bytes));
                });
            }
        }
    }

    /// Hands a decision to the request's own task. If that is gone, nothing was sent.
    fn decide(&mut self, request: RequestId, decision: Decision) {
        let runs = decision == Decision::Dispatch;
        let told = match self.waiting.remove(&request) {
            Some(sender) => sender.send(decision).is_ok(),
            None => false,
        };
        if runs && !told {
            let end = End::NotRun;
            self.context.claims.ended(request, end);
        }
    }

    fn ask(&mut self, ask: ClaimAsk) {
        let number = ask.ask;
        let owner = {
            let view = self.context.fleet.borrow();
            let key = KeyHash::from_bytes(&ask.key).ok();
            let shard = key.map(|key| shard_of(&key, SHARDS));
            shard.and_then(|shard| owner_of(&view, shard)).cloned()
        };
        match owner {
            Some(owner) => {
                let asked = Asked {
                    to: owner.clone(),
                    is_key: false,
                };
                self.asked.insert(number, asked);
                let lost = Message::AskLost(number);
                self.send(owner.as_str(), Body::ClaimAsk(ask), Some(lost));
            }
            None => {
                self.context.claims.send(Message::AskLost(number));
            }
        }
    }

    fn ask_key(&mut self, to: &str, ask: KeyAsk) {
        let number = ask.ask;
        let lost = Message::KeyAskLost(number);
        if let Ok(daemon) = to.parse() {
            let asked = Asked {
                to: daemon,
                is_key: true,
            };
            self.asked.insert(number, asked);
        }
        self.send(to, Body::KeyAsk(ask), Some(lost));
    }

    /// Sends a message; tells this task if it can't go.
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

    /// Ends all that isn't running, and leaves word of what ran.
    fn stop(&mut self, done: oneshot::Sender<()>) {
        self.claim(ClaimantEvent::Stop);
        let expiry = wall() + FAREWELL_KEPT;
        let claimant = self.context.me.incarnation;
        let farewell = Farewell::new(claimant, self.claimant.account(), None, expiry);
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            if !farewell.is_empty() {
                calls::leave(&context.platform, claimant, &farewell).await;
            }
            let _ = done.send(());
        });
    }
}

/// The daemon that owns a shard by a view.
fn owner_of(view: &FleetView, shard: u16) -> Option<&DaemonId> {
    view.placement.owner_of(key_of(&format!("claims/{shard}")))
}
