//! The limits task: drives accounts, ledger and budget.

use std::collections::HashMap;
use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, DaemonId};
use medlarrill_core::limits::{AccountHash, Accounts, Action, Event, Ledger, LedgerEvent, Limits};
use medlarrill_core::retry::{Budget, Settings};
use medlarrill_core::wire::Body;
use medlarrill_net::now::now;
use rand_pcg::Pcg32;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use super::message::{Message, PermitRequest, Refusal, Verdict};
use crate::configuration::ConfigView;
use crate::context::Context;
use crate::fleet::FleetView;

/// Longest sleep, after which the ledger forgets what has expired.
const LONGEST_SLEEP: Millis = Millis::from_secs(5);

/// Retries that a pool may spend at once without first tries: a daemon that is
/// lost takes along all that it had in flight, however few requests came before.
const RETRY_FLOOR: f64 = 64.0;

/// State of the limits task.
pub struct Task {
    context: Arc<Context>,
    accounts: Accounts,
    ledger: Ledger,
    budget: Budget,
    limits: HashMap<AccountHash, Limits>,
    waiting: HashMap<AttemptId, oneshot::Sender<Verdict>>,
}

impl Task {
    /// A task that knows no account yet.
    pub fn new(context: Arc<Context>, rng: Pcg32) -> Self {
        Self {
            accounts: Accounts::new(1, rng, now()),
            ledger: Ledger::new(1, now()),
            budget: Budget::new(Settings {
                reserve: RETRY_FLOOR,
                ..Settings::default()
            }),
            limits: HashMap::new(),
            waiting: HashMap::new(),
            context,
        }
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let mut fleet = self.context.fleet.clone();
        let mut config = self.context.config.clone();
        config.mark_changed();
        loop {
            let wake = Instant::now() + self.sleep().as_duration();
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                Ok(()) = fleet.changed() => self.regroup(&mut fleet),
                Ok(()) = config.changed() => self.configure(&mut config),
                () = sleep_until(wake) => self.tick(),
            }
        }
    }

    fn sleep(&self) -> Millis {
        let wake = self.accounts.wake().unwrap_or(Millis::MAX);
        wake.since(now()).clamp(Millis(1), LONGEST_SLEEP)
    }

    fn tick(&mut self) {
        self.drive(Event::Tick);
        self.keep(LedgerEvent::Tick);
    }

    fn regroup(&mut self, fleet: &mut watch::Receiver<Arc<FleetView>>) {
        let live = fleet.borrow_and_update().placement.len().max(1);
        let live = u32::try_from(live).unwrap_or(u32::MAX);
        self.drive(Event::Members { live });
        self.keep(LedgerEvent::Members { live });
    }

    fn configure(&mut self, config: &mut watch::Receiver<Arc<ConfigView>>) {
        let view = config.borrow_and_update().clone();
        let institutions = view.config.institutions.iter();
        let accounts = institutions.flat_map(|(institution, terms)| {
            let accounts = terms.accounts.iter();
            accounts.map(move |(id, account)| (AccountHash::of(institution, id), account.into()))
        });
        self.limits = accounts.collect();
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Ask(ask, sender) => self.ask(ask, sender),
            Message::Done(id) => {
                self.waiting.remove(&id);
                self.drive(Event::Done { id });
            }
            Message::Usage(from, usage) => self.keep(LedgerEvent::Usage { from, usage }),
            Message::Grant(from, grant) => self.drive(Event::Grant { from, grant }),
            Message::Lost(daemon) => {
                self.drive(Event::Lost(daemon.clone()));
                self.keep(LedgerEvent::Gone(daemon));
            }
            Message::First(pool) => self.budget.deposit(&pool, now()),
            Message::Spend(pool, sender) => {
                let spent = self.budget.withdraw(&pool, now());
                // A request that has gone meanwhile loses the retry to nobody.
                let _ = sender.send(spent);
            }
        }
    }

    fn ask(&mut self, ask: PermitRequest, sender: oneshot::Sender<Verdict>) {
        self.waiting.insert(ask.id, sender);
        self.drive(Event::Ask {
            id: ask.id,
            account: ask.account,
            limits: ask.limits,
        });
    }

    fn drive(&mut self, event: Event) {
        let view = self.context.fleet.borrow().clone();
        let owner = |account: AccountHash| view.placement.owner_of(account.0).cloned();
        for action in self.accounts.handle(event, now(), owner) {
            match action {
                Action::Admit { id } => self.decide(id, Ok(())),
                Action::Refuse { id, reason, after } => {
                    self.decide(id, Err(Refusal { reason, retry_after: after }));
                }
                Action::Send { to, usage } => self.send(to, Body::Usage(usage)),
            }
        }
    }

    fn decide(&mut self, id: AttemptId, verdict: Verdict) {
        if let Some(sender) = self.waiting.remove(&id) {
            // A caller that has gone gives the room back by its permit.
            let _ = sender.send(verdict);
        }
    }

    fn keep(&mut self, event: LedgerEvent) {
        let limits = |account: AccountHash| self.limits.get(&account).copied();
        for action in self.ledger.handle(event, now(), limits) {
            self.send(action.to, Body::Grant(action.grant));
        }
    }

    fn send(&self, to: DaemonId, body: Body) {
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            if context.peers.send(&to, body).await.is_err() {
                context.limits.send(Message::Lost(to));
            }
        });
    }
}
