//! Tickets: the right to run a request once, kept in one process's memory.
//!
//! While the platform is down no claim can be recorded. A caller may then ask
//! for a ticket first and send its request with it. Only the process that
//! issued a ticket may run it, so no write is needed; whoever else is shown
//! it can say at most that its outcome is unknown. A request is identified
//! by its ticket or by its idempotency key, never by both.

mod event;

use std::collections::{BTreeMap, HashMap};

use derive_more::Debug;

use crate::claims::answer_cache::AnswerCache;
use crate::claims::claimant::RunOutcome;
use crate::claims::hash::Digest;
use crate::claims::log::ProcessId;
use crate::claims::shutdown::NumberOutcomes;
use crate::clock::Millis;
use crate::ids::RequestId;
use crate::reason::Reason;

pub use event::{
    Redemption, Ticket, TicketAction, TicketError, TicketEvent, TicketHolder, TicketLimits,
};

/// Tickets of one process.
#[derive(Debug)]
pub struct Tickets {
    me: ProcessId,
    limits: TicketLimits,
    /// Tickets that can be used or were used, by number.
    issued: BTreeMap<u64, Issued>,
    /// Unused tickets by holder.
    unused: HashMap<TicketHolder, u32>,
    /// Numbers by the request that runs.
    requests: HashMap<RequestId, u64>,
    answers: AnswerCache,
    next: u64,
    /// Of numbers up to this one, some that ran are forgotten.
    forgotten: u64,
    stopped: bool,
}

#[derive(Debug)]
struct Issued {
    holder: TicketHolder,
    /// Machine time at which it can no longer be used.
    expiry: Millis,
    state: State,
    /// The request that it was used for.
    digest: Option<Digest>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
enum State {
    Unused,
    Running,
    Ran,
    Unknown,
}

impl Tickets {
    /// A machine for one process.
    pub fn new(me: ProcessId) -> Self {
        Self {
            me,
            limits: TicketLimits::default(),
            issued: BTreeMap::new(),
            unused: HashMap::new(),
            requests: HashMap::new(),
            answers: AnswerCache::new(TicketLimits::default().answers),
            next: 1,
            forgotten: 0,
            stopped: false,
        }
    }

    /// Sets limits other than the usual ones.
    pub fn with_limits(mut self, limits: TicketLimits) -> Self {
        self.answers = AnswerCache::new(limits.answers.clone());
        self.limits = limits;
        self
    }

    /// Takes an event at machine time `now` and returns what has to be done, if anything.
    pub fn handle(&mut self, event: TicketEvent, now: Millis) -> Option<TicketAction> {
        self.answers.expire(now);
        self.expire(now);
        match event {
            TicketEvent::Tick => None,
            TicketEvent::Issue {
                request,
                holder,
                wall,
            } => Some(self.issue(request, holder, wall, now)),
            TicketEvent::Redeem(redemption) => Some(self.redeem(&redemption, now)),
            TicketEvent::Ended { request, end } => {
                self.ended(request, end, now);
                None
            }
            TicketEvent::Stop => {
                self.stopped = true;
                None
            }
        }
    }

    /// Tickets in memory.
    pub fn len(&self) -> usize {
        self.issued.len()
    }

    /// Whether no ticket is in memory.
    pub fn is_empty(&self) -> bool {
        self.issued.is_empty()
    }

    /// What became of its tickets, for the object that it leaves; only after [`TicketEvent::Stop`].
    pub fn outcomes(&self) -> Option<NumberOutcomes> {
        let numbers = |states: &[State]| {
            let issued = self.issued.iter();
            let wanted = issued.filter(|(_, ticket)| states.contains(&ticket.state));
            wanted.map(|(number, _)| *number).collect()
        };
        self.stopped.then(|| NumberOutcomes {
            next: self.next,
            forgotten: self.forgotten,
            ran: numbers(&[State::Ran]),
            unknown: numbers(&[State::Unknown, State::Running]),
        })
    }

    fn issue(
        &mut self,
        request: RequestId,
        holder: TicketHolder,
        wall: Millis,
        now: Millis,
    ) -> TicketAction {
        if let Some(reason) = self.refusal(&holder) {
            return TicketAction::Refuse { request, reason };
        }
        *self.unused.entry(holder.clone()).or_default() += 1;
        let number = self.next;
        self.next += 1;
        let issued = Issued {
            holder,
            expiry: now + self.limits.lifetime,
            state: State::Unused,
            digest: None,
        };
        self.issued.insert(number, issued);
        let ticket = Ticket {
            daemon: self.me.daemon.clone(),
            incarnation: self.me.incarnation,
            number,
            expiry: wall + self.limits.lifetime,
        };
        TicketAction::Issued { request, ticket }
    }

    /// Why no ticket can be issued.
    fn refusal(&self, holder: &TicketHolder) -> Option<Reason> {
        let unused = self.unused.get(holder).copied().unwrap_or(0);
        match () {
            () if self.stopped => Some(Reason::Stopping),
            () if self.issued.len() >= self.limits.max_tickets => Some(Reason::QueueFull),
            () if unused >= self.limits.max_unused => Some(Reason::AccountConcurrency),
            () => None,
        }
    }

    fn redeem(&mut self, redemption: &Redemption, now: Millis) -> TicketAction {
        let request = redemption.request;
        match self.judge(redemption) {
            Ok(()) => self.dispatch(redemption),
            Err(Reason::KeyRan) => match self.answers.get(redemption.ticket.number, now).cloned() {
                Some(answer) => TicketAction::Replay { request, answer },
                None => TicketAction::Refuse {
                    request,
                    reason: Reason::KeyRan,
                },
            },
            Err(reason) => TicketAction::Refuse { request, reason },
        }
    }

    /// Whether a ticket may be used now, or why not.
    fn judge(&self, redemption: &Redemption) -> Result<(), Reason> {
        let ticket = &redemption.ticket;
        if ticket.incarnation != self.me.incarnation || ticket.number >= self.next {
            return Err(Reason::TicketUnknown);
        }
        let Some(issued) = self.issued.get(&ticket.number) else {
            // Not forgotten and not in memory: it expired before anything ran with it.
            let is_unused = ticket.number > self.forgotten;
            let reason = if is_unused {
                Reason::TicketExpired
            } else {
                Reason::TicketUnknown
            };
            return Err(reason);
        };
        if issued.holder != redemption.holder {
            return Err(Reason::Forbidden);
        }
        if issued
            .digest
            .is_some_and(|digest| digest != redemption.digest)
        {
            return Err(Reason::KeyReused);
        }
        match issued.state {
            State::Unused if self.stopped => Err(Reason::Stopping),
            State::Unused => Ok(()),
            State::Running => Err(Reason::KeyRunning),
            State::Ran => Err(Reason::KeyRan),
            State::Unknown => Err(Reason::KeyUnknown),
        }
    }

    fn dispatch(&mut self, redemption: &Redemption) -> TicketAction {
        let number = redemption.ticket.number;
        let request = redemption.request;
        if let Some(issued) = self.issued.get_mut(&number) {
            issued.state = State::Running;
            issued.digest = Some(redemption.digest);
            release(&mut self.unused, &issued.holder);
        }
        self.requests.insert(request, number);
        TicketAction::Dispatch { request }
    }

    fn ended(&mut self, request: RequestId, end: RunOutcome, now: Millis) {
        let Some(number) = self.requests.remove(&request) else {
            return;
        };
        let Some(issued) = self.issued.get_mut(&number) else {
            return;
        };
        issued.expiry = issued.expiry.max(now + self.limits.retention);
        issued.state = match end {
            RunOutcome::Unknown => State::Unknown,
            RunOutcome::NotRun => {
                *self.unused.entry(issued.holder.clone()).or_default() += 1;
                State::Unused
            }
            RunOutcome::Ran(answer) => {
                if let Some(answer) = answer {
                    self.answers.put(number, answer, now);
                }
                State::Ran
            }
        };
    }

    /// Forgets tickets whose time is over, unless they run.
    fn expire(&mut self, now: Millis) {
        let is_over = |issued: &Issued| issued.expiry <= now && issued.state != State::Running;
        for (number, issued) in self.issued.extract_if(.., |_, issued| is_over(issued)) {
            if issued.state == State::Unused {
                release(&mut self.unused, &issued.holder);
            } else {
                self.forgotten = self.forgotten.max(number);
            }
        }
    }
}

/// Counts one unused ticket less.
fn release(unused: &mut HashMap<TicketHolder, u32>, holder: &TicketHolder) {
    if let Some(count) = unused.get_mut(holder) {
        *count -= 1;
        if *count == 0 {
            unused.remove(holder);
        }
    }
}
