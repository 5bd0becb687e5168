//! The owner's side of one shard's chain, as a state machine without I/O.
//!
//! A driver passes each event to [`ShardLog::handle`] and carries out the
//! returned actions in order. Every call to the platform gets exactly one
//! reply; a call that timed out gets [`Reply::Lost`].

mod batch;
mod calls;
mod event;
mod ownership;
mod reader;
mod replies;
mod stats;
mod sweep;
mod write;

use std::collections::VecDeque;

use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::claims::backoff::Backoff;
use crate::claims::chain::Chain;
use crate::clock::Millis;
use crate::wire::ClaimRequest;

use batch::PendingClaim;
use calls::Calls;
use ownership::Ownership;
use reader::Reader;

pub use event::{Action, CallId, ClaimStatus, Event, ListedObject, LogLimits, ProcessId, Reply};
pub use stats::{LogState, LogStats};

/// State machine for one shard's chain, on a daemon that owns the shard or may take it over.
#[derive(Debug)]
pub struct ShardLog {
    me: ProcessId,
    limits: LogLimits,
    /// Wall time minus machine time.
    wall_offset: Millis,
    /// Whether placement assigns the shard to this daemon.
    assigned: bool,
    phase: Phase,
    queue: VecDeque<PendingClaim>,
    calls: Calls,
    /// Earliest time of the next takeover.
    next_takeover: Millis,
    /// Delay before the next takeover after this daemon was fenced.
    takeover_backoff: Backoff,
    stats: LogStats,
}

#[derive(Debug)]
enum Phase {
    Idle,
    /// Replaced by another owner, or can't read the chain; waits before the next takeover.
    Fenced {
        until: Millis,
    },
    Reading(Reader),
    Opening {
        ownership: Ownership,
        lost_opens: u32,
    },
    /// Its `Open` is recorded; checks that its number had not been used and deleted before.
    Checking {
        ownership: Ownership,
        call: Option<CallId>,
        retry: Millis,
    },
    Owner(Ownership),
}

impl ShardLog {
    /// A state machine for `shard` in process `me`, at wall time `wall` and machine time `now`.
    ///
    /// The seed must differ between processes because nonces are derived from it.
    pub fn new(shard: u16, me: ProcessId, seed: u64, wall: Millis, now: Millis) -> Self {
        let limits = LogLimits::default();
        Self {
            me,
            wall_offset: wall.since(now),
            assigned: false,
            next_takeover: Millis::ZERO,
            phase: Phase::Idle,
            queue: VecDeque::new(),
            calls: Calls::new(shard, Pcg64::seed_from_u64(seed), &limits),
            takeover_backoff: limits.takeover_backoff(),
            stats: LogStats::default(),
            limits,
        }
    }

    /// Replaces the default limits.
    pub fn with_limits(mut self, limits: LogLimits) -> Self {
        self.calls.set_limits(&limits);
        self.takeover_backoff = limits.takeover_backoff();
        self.limits = limits;
        self
    }

    /// Handles an event at machine time `now` and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        match event {
            Event::Tick { wall } => self.wall_offset = wall.since(now),
            Event::Assign(assigned) => self.set_assigned(assigned),
            Event::Request(request) => self.enqueue(request, now),
            Event::Reply { call, reply } => self.reply(call, reply, now),
        }
        self.advance(now);
        self.calls.take_actions()
    }

    /// Machine time at which the next [`Event::Tick`] is due.
    pub fn wake(&self) -> Millis {
        let retry = match &self.phase {
            Phase::Idle | Phase::Fenced { .. } if !self.assigned => Millis::MAX,
            Phase::Idle => self.next_takeover,
            Phase::Fenced { until } => self.next_takeover.max(*until),
            Phase::Reading(reader) => reader.wake(),
            Phase::Opening { ownership, .. } => ownership.wake(),
            Phase::Checking {
                call: None, retry, ..
            } => *retry,
            Phase::Checking { .. } => Millis::MAX,
            Phase::Owner(ownership) if self.queue.is_empty() => ownership.wake(),
            Phase::Owner(ownership) => ownership.wake().min(ownership.next_batch()),
        };
        let written = match &self.phase {
            Phase::Owner(ownership) => ownership.oldest_pending(),
            _ => None,
        };
        let queued = self.queue.front().map(|pending| pending.since);
        let oldest = written.into_iter().chain(queued).min();
        let expiry = oldest.map_or(Millis::MAX, |since| since + self.limits.claim_timeout);
        retry.min(expiry)
    }

    /// Whether the daemon neither owns the shard nor is taking it over.
    pub const fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle | Phase::Fenced { .. })
    }

    /// Current state.
    pub fn state(&self) -> LogState {
        match &self.phase {
            Phase::Idle => LogState::Idle,
            Phase::Fenced { .. } => LogState::Fenced,
            Phase::Reading(_) => LogState::Reading,
            Phase::Opening { .. } | Phase::Checking { .. } => LogState::Opening,
            Phase::Owner(ownership) if ownership.is_settling() => LogState::Settling,
            Phase::Owner(_) => LogState::Owner,
        }
    }

    /// The chain, if this daemon owns the shard as far as it knows.
    pub const fn chain(&self) -> Option<&Chain> {
        match &self.phase {
            Phase::Owner(ownership) => Some(ownership.chain()),
            _ => None,
        }
    }

    /// Counters since the start.
    pub const fn stats(&self) -> &LogStats {
        &self.stats
    }

    fn wall(&self, now: Millis) -> Millis {
        now + self.wall_offset
    }

    fn set_assigned(&mut self, assigned: bool) {
        if self.assigned == assigned {
            return;
        }
        self.assigned = assigned;
        if assigned {
            return;
        }
        self.refuse_queue(ClaimStatus::NotOwner);
        // An owner closes its chain first. An `Open` in flight may still take effect, which is harmless.
        if !matches!(self.phase, Phase::Owner(_) | Phase::Fenced { .. }) {
            self.phase = Phase::Idle;
        }
    }

    fn enqueue(&mut self, request: ClaimRequest, now: Millis) {
        self.stats.requests += 1;
        let pending = match PendingClaim::read(&request, now) {
            Ok(pending) => pending,
            Err(_) => {
                let status = ClaimStatus::Unavailable;
                return self.calls.answer(&request, status, None, &mut self.stats);
            }
        };
        let is_full = self.queue.len() >= self.limits.max_queue;
        if !self.assigned || self.is_idle() {
            pending.answer(ClaimStatus::NotOwner, &mut self.calls, &mut self.stats);
        } else if self.calls.is_down() || is_full {
            pending.answer(ClaimStatus::Unavailable, &mut self.calls, &mut self.stats);
        } else {
            self.queue.push_back(pending);
        }
    }

    fn refuse_queue(&mut self, status: ClaimStatus) {
        for pending in std::mem::take(&mut self.queue) {
            pending.answer(status, &mut self.calls, &mut self.stats);
        }
    }

    fn advance(&mut self, now: Millis) {
        self.start_takeover(now);
        self.expire(now);
        match &mut self.phase {
            Phase::Reading(reader) => reader.tick(&mut self.calls, now),
            Phase::Opening { ownership, .. } => ownership.tick(&mut self.calls, now),
            Phase::Checking {
                ownership,
                call: call @ None,
                retry,
            } if *retry <= now => *call = Some(ownership.list_successors(&mut self.calls)),
            Phase::Owner(_) => self.advance_owner(now),
            _ => {}
        }
    }

    fn advance_owner(&mut self, now: Millis) {
        let wall = self.wall(now);
        let Phase::Owner(ownership) = &mut self.phase else {
            return;
        };
        if ownership.duration(now) > self.limits.takeover_max {
            self.takeover_backoff.reset();
        }
        ownership.tick(&mut self.calls, now);
        if !self.assigned {
            ownership.close(&mut self.calls, &self.me);
            return;
        }
        let mut context = batch::BatchContext {
            queue: &mut self.queue,
            calls: &mut self.calls,
            stats: &mut self.stats,
            me: &self.me,
            limits: &self.limits,
            wall,
        };
        ownership.write_due(&mut context, now);
    }

    /// Starts a takeover if the shard is assigned to this daemon and the delay has passed.
    fn start_takeover(&mut self, now: Millis) {
        let is_due = match &self.phase {
            Phase::Idle => self.next_takeover <= now,
            Phase::Fenced { until } => self.next_takeover.max(*until) <= now,
            _ => false,
        };
        if self.assigned && is_due {
            self.next_takeover = now + self.limits.takeover_min;
            self.phase = Phase::Reading(Reader::new(now));
        }
    }

    /// Refuses claims that have waited too long, and all claims while the platform is down.
    fn expire(&mut self, now: Millis) {
        let down = self.calls.is_down();
        let wait = self.limits.claim_timeout;
        let is_overdue = |pending: &PendingClaim| down || now.since(pending.since) >= wait;
        while self.queue.front().is_some_and(is_overdue) {
            if let Some(pending) = self.queue.pop_front() {
                pending.answer(ClaimStatus::Unavailable, &mut self.calls, &mut self.stats);
            }
        }
        if let Phase::Owner(ownership) = &mut self.phase {
            ownership.expire(is_overdue, &mut self.calls, &mut self.stats);
        }
    }
}
