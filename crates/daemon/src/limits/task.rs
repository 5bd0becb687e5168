//! The limits task: drives the entry limiter, the share allocator and the retry budget.

use std::collections::HashMap;
use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, DaemonId};
use medlarrill_core::limits::{
    AccountHash, Action, AllocatorEvent, Daemons, EntryLimiter, Event, Limits, ShareAllocator,
};
use medlarrill_core::retry::{Budget, Settings};
use medlarrill_core::wire::Body;
use medlarrill_net::now::now;
use rand_pcg::Pcg32;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use super::message::{Decision, Message, PermitRequest, Refusal};
use crate::configuration::ConfigView;
use crate::context::Context;
use crate::fleet::FleetView;

/// Maximum time between ticks, at which the allocator removes expired grants.
const MAX_SLEEP: Millis = Millis::from_secs(5);

/// Retries that a pool may make at once without first attempts: when a daemon is
/// lost, all its requests in flight need a retry, however few preceded them.
const RETRY_RESERVE: f64 = 64.0;

/// State of the limits task.
pub struct Task {
    context: Arc<Context>,
    limiter: EntryLimiter,
    allocator: ShareAllocator,
    budget: Budget,
    limits: HashMap<AccountHash, Limits>,
    waiting: HashMap<AttemptId, oneshot::Sender<Decision>>,
}

impl Task {
    /// Creates a task that knows no account yet.
    pub fn new(context: Arc<Context>, rng: Pcg32) -> Self {
        Self {
            limiter: EntryLimiter::new(1, rng, now()),
            allocator: ShareAllocator::new(1, now()),
            budget: Budget::new(Settings {
                reserve: RETRY_RESERVE,
                ..Settings::default()
            }),
            limits: HashMap::new(),
            waiting: HashMap::new(),
            context,
        }
    }

    /// Runs until every handle is dropped.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let mut fleet = self.context.fleet.clone();
        let mut config = self.context.config.clone();
        config.mark_changed();
        loop {
            let wake = Instant::now() + self.sleep_time().as_duration();
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                Ok(()) = fleet.changed() => self.update_members(&mut fleet),
                Ok(()) = config.changed() => self.update_limits(&mut config),
                () = sleep_until(wake) => self.tick(),
            }
        }
    }

    fn sleep_time(&self) -> Millis {
        let wake = self.limiter.wake().unwrap_or(Millis::MAX);
        wake.since(now()).clamp(Millis(1), MAX_SLEEP)
    }

    fn tick(&mut self) {
        self.drive_limiter(Event::Tick);
        self.drive_allocator(AllocatorEvent::Tick);
    }

    fn update_members(&mut self, fleet: &mut watch::Receiver<Arc<FleetView>>) {
        let view = fleet.borrow_and_update().clone();
        let daemons = Daemons {
            live: u32::try_from(view.placement.len().max(1)).unwrap_or(u32::MAX),
            lost: u32::try_from(view.lost).unwrap_or(u32::MAX),
        };
        self.drive_limiter(Event::Members(daemons));
        self.drive_allocator(AllocatorEvent::Members(daemons));
    }

    fn update_limits(&mut self, config: &mut watch::Receiver<Arc<ConfigView>>) {
        let view = config.borrow_and_update().clone();
        let institutions = view.config.institutions.iter();
        let accounts = institutions.flat_map(|(institution, terms)| {
            let accounts = terms.accounts.iter();
            accounts.map(move |(id, account)| (AccountHash::of(institution, id), account.into()))
        });
        self.limits = accounts.collect();
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Acquire(request, sender) => self.acquire(request, sender),
            Message::Release(id) => {
                self.waiting.remove(&id);
                self.drive_limiter(Event::Release { id });
            }
            Message::Usage(from, usage) => {
                self.drive_allocator(AllocatorEvent::Usage { from, usage })
            }
            Message::Grant(from, grant) => self.drive_limiter(Event::Grant { from, grant }),
            Message::DaemonLost(daemon) => {
                self.drive_limiter(Event::OwnerLost(daemon.clone()));
                self.drive_allocator(AllocatorEvent::DaemonLost(daemon));
            }
            Message::FirstAttempt(pool) => self.budget.deposit(&pool, now()),
            Message::TakeRetry(pool, sender) => {
                let taken = self.budget.withdraw(&pool, now());
                // If the request has ended meanwhile, the retry is lost.
                let _ = sender.send(taken);
            }
        }
    }

    fn acquire(&mut self, request: PermitRequest, sender: oneshot::Sender<Decision>) {
        self.waiting.insert(request.id, sender);
        self.drive_limiter(Event::Acquire {
            id: request.id,
            account: request.account,
            limits: request.limits,
        });
    }

    fn drive_limiter(&mut self, event: Event) {
        let view = self.context.fleet.borrow().clone();
        let owner = |account: AccountHash| view.placement.owner_of(account.0).cloned();
        for action in self.limiter.handle(event, now(), owner) {
            match action {
                Action::Admit { id } => self.decide(id, Ok(())),
                Action::Refuse {
                    id,
                    reason,
                    retry_after: after,
                } => {
                    self.decide(
                        id,
                        Err(Refusal {
                            reason,
                            retry_after: after,
                        }),
                    );
                }
                Action::Send { to, usage } => self.send(to, Body::Usage(usage)),
            }
        }
    }

    fn decide(&mut self, id: AttemptId, decision: Decision) {
        if let Some(sender) = self.waiting.remove(&id) {
            // If the caller has gone away, dropping its permit releases it.
            let _ = sender.send(decision);
        }
    }

    fn drive_allocator(&mut self, event: AllocatorEvent) {
        let limits = |account: AccountHash| self.limits.get(&account).copied();
        for action in self.allocator.handle(event, now(), limits) {
            self.send(action.to, Body::Grant(action.grant));
        }
    }

    fn send(&self, to: DaemonId, body: Body) {
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            if context.peers.send(&to, body).await.is_err() {
                context.limits.send(Message::DaemonLost(to));
            }
        });
    }
}
