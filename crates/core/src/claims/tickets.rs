//! Tickets: the right to run a request once, kept in the memory of one process.
//!
//! While the platform is down, no claim can be recorded. A caller can then
//! obtain a ticket first and send its request with it. Only the process that
//! issued a ticket may run it, so no write is needed; to any other process, its
//! outcome is unknown. A request is identified by its ticket or by its
//! idempotency key, never by both.

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

/// State machine for the tickets of one process.
#[derive(Debug)]
pub struct Tickets {
    me: ProcessId,
    limits: TicketLimits,
    /// Unused and used tickets in memory, by number.
    issued: BTreeMap<u64, IssuedTicket>,
    /// Number of unused tickets by holder.
    unused: HashMap<TicketHolder, u32>,
    /// Ticket numbers by running request.
    requests: HashMap<RequestId, u64>,
    answers: AnswerCache,
    next: u64,
    /// Largest number of a forgotten used ticket; outcomes up to it are no longer known.
    forgotten: u64,
    stopped: bool,
}

#[derive(Debug)]
struct IssuedTicket {
    holder: TicketHolder,
    /// Machine time from which the ticket is unusable and removed, unless its request is running.
    expiry: Millis,
    state: State,
    /// Digest of the request that it was used for.
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
    /// Ticket state of process `me`, without tickets.
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

    /// Replaces the default limits.
    pub fn with_limits(mut self, limits: TicketLimits) -> Self {
        self.answers = AnswerCache::new(limits.answers.clone());
        self.limits = limits;
        self
    }

    /// Handles an event at machine time `now` and returns the action to carry out, if any.
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

    /// Number of tickets in memory.
    pub fn len(&self) -> usize {
        self.issued.len()
    }

    /// Whether no ticket is in memory.
    pub fn is_empty(&self) -> bool {
        self.issued.is_empty()
    }

    /// Outcomes of the tickets, for the shutdown record; `None` before [`TicketEvent::Stop`].
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
        let issued = IssuedTicket {
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

    /// The reason why no ticket can be issued to `holder`, if any.
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
        match self.check(redemption) {
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

    /// Checks whether a ticket may be used now.
    ///
    /// # Errors
    ///
    /// The reason why it may not.
    fn check(&self, redemption: &Redemption) -> Result<(), Reason> {
        let ticket = &redemption.ticket;
        if ticket.incarnation != self.me.incarnation || ticket.number >= self.next {
            return Err(Reason::TicketUnknown);
        }
        let Some(issued) = self.issued.get(&ticket.number) else {
            // Neither in memory nor forgotten: it expired unused.
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
            decrement_unused(&mut self.unused, &issued.holder);
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

    /// Removes expired tickets whose requests aren't running.
    fn expire(&mut self, now: Millis) {
        let is_over =
            |issued: &IssuedTicket| issued.expiry <= now && issued.state != State::Running;
        for (number, issued) in self.issued.extract_if(.., |_, issued| is_over(issued)) {
            if issued.state == State::Unused {
                decrement_unused(&mut self.unused, &issued.holder);
            } else {
                self.forgotten = self.forgotten.max(number);
            }
        }
    }
}

/// Decrements the number of a holder's unused tickets.
fn decrement_unused(unused: &mut HashMap<TicketHolder, u32>, holder: &TicketHolder) {
    if let Some(count) = unused.get_mut(holder) {
        *count -= 1;
        if *count == 0 {
            unused.remove(holder);
        }
    }
}
