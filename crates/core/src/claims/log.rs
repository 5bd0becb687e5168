//! The owner's side of one shard's chain.
//!
//! A driver hands each event to [`ShardLog::handle`] and carries out the
//! actions in order. Every call to the platform gets exactly one reply; one
//! that timed out is [`Reply::Lost`].

mod batch;
mod calls;
mod event;
mod reader;
mod replies;
mod stats;
mod sweep;
mod tenure;
mod write;

use std::collections::VecDeque;

use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::claims::backoff::Backoff;
use crate::claims::chain::Chain;
use crate::clock::Millis;
use crate::wire::ClaimRequest;

use batch::Waiting;
use calls::Calls;
use reader::Reader;
use tenure::Tenure;

pub use event::{Action, CallId, Event, Listed, LogLimits, Member, Reply, Verdict};
pub use stats::{LogStats, Standing};

/// One shard's chain, seen by a daemon that owns it or may come to.
#[derive(Debug)]
pub struct ShardLog {
    me: Member,
    limits: LogLimits,
    /// Wall time less the machine's own.
    offset: Millis,
    /// Whether placement wants this daemon to own the shard.
    wanted: bool,
    phase: Phase,
    queue: VecDeque<Waiting>,
    calls: Calls,
    /// When the next takeover may start.
    rested: Millis,
    /// Delays of takeovers after lost ones.
    fights: Backoff,
    stats: LogStats,
}

#[derive(Debug)]
enum Phase {
    Idle,
    /// Was replaced, or can't read the chain; tries again later.
    Fenced {
        until: Millis,
    },
    Reading(Reader),
    Opening {
        tenure: Tenure,
        lost: u32,
    },
    /// Its `open` stands; makes sure that the number had not been deleted before.
    Checking {
        tenure: Tenure,
        call: Option<CallId>,
        retry: Millis,
    },
    Owner(Tenure),
}

impl ShardLog {
    /// A machine for `shard`, run by `me`, at wall time `wall` and machine time `now`.
    ///
    /// The seed must differ between processes: nonces come from it.
    pub fn new(shard: u16, me: Member, seed: u64, wall: Millis, now: Millis) -> Self {
        let limits = LogLimits::default();
        Self {
            me,
            offset: wall.since(now),
            wanted: false,
            rested: Millis::ZERO,
            phase: Phase::Idle,
            queue: VecDeque::new(),
            calls: Calls::new(shard, Pcg64::seed_from_u64(seed), &limits),
            fights: limits.takeover_backoff(),
            stats: LogStats::default(),
            limits,
        }
    }

    /// Sets limits other than the usual ones.
    pub fn with_limits(mut self, limits: LogLimits) -> Self {
        self.calls.set_limits(&limits);
        self.fights = limits.takeover_backoff();
        self.limits = limits;
        self
    }

    /// Takes an event at machine time `now` and returns what has to be done.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        match event {
            Event::Tick { wall } => self.offset = wall.since(now),
            Event::Own(wanted) => self.set_wanted(wanted),
            Event::Ask(ask) => self.ask(ask, now),
            Event::Reply { call, reply } => self.reply(call, reply, now),
        }
        self.advance(now);
        self.calls.take_actions()
    }

    /// When the next [`Event::Tick`] is wanted.
    pub fn wake(&self) -> Millis {
        let retry = match &self.phase {
            Phase::Idle | Phase::Fenced { .. } if !self.wanted => Millis::MAX,
            Phase::Idle => self.rested,
            Phase::Fenced { until } => self.rested.max(*until),
            Phase::Reading(reader) => reader.wake(),
            Phase::Opening { tenure, .. } => tenure.wake(),
            Phase::Checking {
                call: None, retry, ..
            } => *retry,
            Phase::Checking { .. } => Millis::MAX,
            Phase::Owner(tenure) if self.queue.is_empty() => tenure.wake(),
            Phase::Owner(tenure) => tenure.wake().min(tenure.write_at()),
        };
        let written = match &self.phase {
            Phase::Owner(tenure) => tenure.oldest_ask(),
            _ => None,
        };
        let queued = self.queue.front().map(|waiting| waiting.since);
        let oldest = written.into_iter().chain(queued).min();
        let expiry = oldest.map_or(Millis::MAX, |since| since + self.limits.ask_wait);
        retry.min(expiry)
    }

    /// Whether it neither owns the shard nor is about to.
    pub const fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle | Phase::Fenced { .. })
    }

    /// Where it stands.
    pub fn standing(&self) -> Standing {
        match &self.phase {
            Phase::Idle => Standing::Idle,
            Phase::Fenced { .. } => Standing::Fenced,
            Phase::Reading(_) => Standing::Reading,
            Phase::Opening { .. } | Phase::Checking { .. } => Standing::Opening,
            Phase::Owner(tenure) if tenure.is_settling() => Standing::Settling,
            Phase::Owner(_) => Standing::Owner,
        }
    }

    /// The chain that it owns; `None` unless it is the owner by its own knowledge.
    pub const fn chain(&self) -> Option<&Chain> {
        match &self.phase {
            Phase::Owner(tenure) => Some(tenure.chain()),
            _ => None,
        }
    }

    /// Counters since the start.
    pub const fn stats(&self) -> &LogStats {
        &self.stats
    }

    fn wall(&self, now: Millis) -> Millis {
        now + self.offset
    }

    fn set_wanted(&mut self, wanted: bool) {
        if self.wanted == wanted {
            return;
        }
        self.wanted = wanted;
        if wanted {
            return;
        }
        self.refuse_queue(Verdict::NotOwner);
        // An owner closes its chain first; an `open` on its way may still take effect, and harms nothing.
        if !matches!(self.phase, Phase::Owner(_) | Phase::Fenced { .. }) {
            self.phase = Phase::Idle;
        }
    }

    fn ask(&mut self, ask: ClaimRequest, now: Millis) {
        self.stats.asks += 1;
        let waiting = match Waiting::read(&ask, now) {
            Ok(waiting) => waiting,
            Err(_) => {
                let verdict = Verdict::Unavailable;
                return self.calls.answer(&ask, verdict, None, &mut self.stats);
            }
        };
        let is_full = self.queue.len() >= self.limits.queue;
        if !self.wanted || self.is_idle() {
            waiting.answer(Verdict::NotOwner, &mut self.calls, &mut self.stats);
        } else if self.calls.is_down() || is_full {
            waiting.answer(Verdict::Unavailable, &mut self.calls, &mut self.stats);
        } else {
            self.queue.push_back(waiting);
        }
    }

    fn refuse_queue(&mut self, verdict: Verdict) {
        for waiting in std::mem::take(&mut self.queue) {
            waiting.answer(verdict, &mut self.calls, &mut self.stats);
        }
    }

    fn advance(&mut self, now: Millis) {
        self.start(now);
        self.expire(now);
        match &mut self.phase {
            Phase::Reading(reader) => reader.tick(&mut self.calls, now),
            Phase::Opening { tenure, .. } => tenure.tick(&mut self.calls, now),
            Phase::Checking {
                tenure,
                call: call @ None,
                retry,
            } if *retry <= now => *call = Some(tenure.list_later(&mut self.calls)),
            Phase::Owner(_) => self.advance_owner(now),
            _ => {}
        }
    }

    fn advance_owner(&mut self, now: Millis) {
        let wall = self.wall(now);
        let Phase::Owner(tenure) = &mut self.phase else {
            return;
        };
        if tenure.lasted(now) > self.limits.takeover_most {
            self.fights.succeed();
        }
        tenure.tick(&mut self.calls, now);
        if !self.wanted {
            tenure.close(&mut self.calls, &self.me);
            return;
        }
        let mut work = batch::Work {
            queue: &mut self.queue,
            calls: &mut self.calls,
            stats: &mut self.stats,
            me: &self.me,
            limits: &self.limits,
            wall,
        };
        tenure.pump(&mut work, now);
    }

    /// Starts to take over if placement wants it and the last try is long enough ago.
    fn start(&mut self, now: Millis) {
        let may = match &self.phase {
            Phase::Idle => self.rested <= now,
            Phase::Fenced { until } => self.rested.max(*until) <= now,
            _ => false,
        };
        if self.wanted && may {
            self.rested = now + self.limits.takeover_first;
            self.phase = Phase::Reading(Reader::new(now));
        }
    }

    /// Refuses what has waited too long, or all while the platform is down.
    fn expire(&mut self, now: Millis) {
        let down = self.calls.is_down();
        let wait = self.limits.ask_wait;
        let late = |waiting: &Waiting| down || now.since(waiting.since) >= wait;
        while self.queue.front().is_some_and(late) {
            if let Some(waiting) = self.queue.pop_front() {
                waiting.answer(Verdict::Unavailable, &mut self.calls, &mut self.stats);
            }
        }
        if let Phase::Owner(tenure) = &mut self.phase {
            tenure.expire(late, &mut self.calls, &mut self.stats);
        }
    }
}
