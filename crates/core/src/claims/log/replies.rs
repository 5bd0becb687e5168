//! Handling of the platform's replies in each phase.

use crate::claims::chain::Chain;
use crate::claims::log::event::{CallId, ClaimStatus, Reply};
use crate::claims::log::ownership::Ownership;
use crate::claims::log::reader::{Progress, Reader};
use crate::claims::log::write::WriteOutcome;
use crate::claims::log::{Phase, ShardLog};
use crate::claims::record::{Body, Open};
use crate::clock::Millis;

/// Number of `Open` writes lost to other writers after which the takeover is postponed.
const MAX_LOST_OPENS: u32 = 8;

impl ShardLog {
    pub(super) fn reply(&mut self, call: CallId, reply: Reply, now: Millis) {
        let phase = std::mem::replace(&mut self.phase, Phase::Idle);
        self.phase = match phase {
            Phase::Reading(reader) => self.reply_reading(reader, call, reply, now),
            Phase::Opening {
                ownership,
                lost_opens,
            } => self.reply_opening(ownership, lost_opens, call, reply, now),
            Phase::Checking {
                ownership,
                call: Some(pending),
                ..
            } if pending == call => self.reply_checking(ownership, reply, now),
            Phase::Owner(ownership) => self.reply_owner(ownership, call, reply, now),
            other => other,
        };
    }

    fn reply_reading(
        &mut self,
        mut reader: Reader,
        call: CallId,
        reply: Reply,
        now: Millis,
    ) -> Phase {
        match reader.reply(call, reply, &mut self.calls, now) {
            Progress::Pending => Phase::Reading(reader),
            Progress::Done(chain) => self.open(chain, 0, now),
            Progress::Restart => {
                self.stats.restarts += 1;
                let at = now + self.calls.restart_delay();
                Phase::Reading(Reader::new(at))
            }
            Progress::Unreadable => self.give_up(now),
        }
    }

    fn open(&mut self, chain: Chain, lost_opens: u32, now: Millis) -> Phase {
        let open = Open {
            daemon: self.me.daemon.to_string(),
            fence: !chain.closed,
        };
        let mut ownership = Ownership::new(chain, now);
        ownership.write(Body::Open(open), Vec::new(), &mut self.calls, &self.me);
        Phase::Opening {
            ownership,
            lost_opens,
        }
    }

    fn reply_opening(
        &mut self,
        mut ownership: Ownership,
        lost_opens: u32,
        call: CallId,
        reply: Reply,
        now: Millis,
    ) -> Phase {
        match ownership.write_reply(call, reply, &mut self.calls, now) {
            WriteOutcome::Pending => Phase::Opening {
                ownership,
                lost_opens,
            },
            WriteOutcome::Unreadable => self.give_up(now),
            WriteOutcome::Recorded(_) => Phase::Checking {
                call: Some(ownership.list_successors(&mut self.calls)),
                ownership,
                retry: Millis::ZERO,
            },
            WriteOutcome::Taken(_) if lost_opens >= MAX_LOST_OPENS => self.fence(now),
            WriteOutcome::Taken(record) => match ownership.into_chain_with(&record) {
                Ok(chain) => self.open(chain, lost_opens + 1, now),
                Err(_) => self.give_up(now),
            },
        }
    }

    fn reply_checking(&mut self, mut ownership: Ownership, reply: Reply, now: Millis) -> Phase {
        match reply {
            Reply::Listed { objects, .. } if objects.is_empty() => {
                self.calls.record_success();
                self.stats.takeovers += 1;
                ownership.begin(now);
                Phase::Owner(ownership)
            }
            Reply::Listed { .. } => self.fence(now),
            _ => Phase::Checking {
                ownership,
                call: None,
                retry: self.calls.record_failure(now),
            },
        }
    }

    fn reply_owner(
        &mut self,
        mut ownership: Ownership,
        call: CallId,
        reply: Reply,
        now: Millis,
    ) -> Phase {
        if ownership.sweep_reply(call, &reply, &mut self.calls, now) {
            return Phase::Owner(ownership);
        }
        match ownership.write_reply(call, reply, &mut self.calls, now) {
            WriteOutcome::Pending => Phase::Owner(ownership),
            WriteOutcome::Recorded(asks) => {
                ownership.finish_write(asks, &mut self.calls, &mut self.stats, now);
                if ownership.is_closed() {
                    return Phase::Idle;
                }
                Phase::Owner(ownership)
            }
            WriteOutcome::Taken(_) => {
                ownership.refuse_write(&mut self.calls, &mut self.stats);
                self.fence(now)
            }
            WriteOutcome::Unreadable => {
                ownership.refuse_write(&mut self.calls, &mut self.stats);
                self.give_up(now)
            }
        }
    }

    fn fence(&mut self, now: Millis) -> Phase {
        self.stats.fenced += 1;
        self.refuse_queue(ClaimStatus::NotOwner);
        let until = now + self.takeover_backoff.next_delay(self.calls.rng());
        Phase::Fenced { until }
    }

    /// Leaves a chain that this version can't read to other daemons.
    fn give_up(&mut self, now: Millis) -> Phase {
        self.stats.unreadable += 1;
        self.fence(now)
    }
}
