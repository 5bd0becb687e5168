//! What the platform's replies lead to, phase by phase.

use crate::claims::chain::Chain;
use crate::claims::log::event::{CallId, ClaimStatus, Reply};
use crate::claims::log::reader::{Progress, Reader};
use crate::claims::log::tenure::Tenure;
use crate::claims::log::write::Settled;
use crate::claims::log::{Phase, ShardLog};
use crate::claims::record::{Body, Open};
use crate::clock::Millis;

/// Opens lost to other writers before the takeover is put off.
const MAX_LOST_OPENS: u32 = 8;

impl ShardLog {
    pub(super) fn reply(&mut self, call: CallId, reply: Reply, now: Millis) {
        let phase = std::mem::replace(&mut self.phase, Phase::Idle);
        self.phase = match phase {
            Phase::Reading(reader) => self.reply_reading(reader, call, reply, now),
            Phase::Opening { tenure, lost } => self.reply_opening(tenure, lost, call, reply, now),
            Phase::Checking {
                tenure,
                call: Some(asked),
                ..
            } if asked == call => self.reply_checking(tenure, reply, now),
            Phase::Owner(tenure) => self.reply_owner(tenure, call, reply, now),
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

    fn open(&mut self, chain: Chain, lost: u32, now: Millis) -> Phase {
        let open = Open {
            daemon: self.me.daemon.to_string(),
            fence: !chain.closed,
        };
        let mut tenure = Tenure::new(chain, now);
        tenure.write(Body::Open(open), Vec::new(), &mut self.calls, &self.me);
        Phase::Opening { tenure, lost }
    }

    fn reply_opening(
        &mut self,
        mut tenure: Tenure,
        lost: u32,
        call: CallId,
        reply: Reply,
        now: Millis,
    ) -> Phase {
        match tenure.settle(call, reply, &mut self.calls, now) {
            Settled::Pending => Phase::Opening { tenure, lost },
            Settled::Unreadable => self.give_up(now),
            Settled::Recorded(_) => Phase::Checking {
                call: Some(tenure.list_later(&mut self.calls)),
                tenure,
                retry: Millis::ZERO,
            },
            Settled::Taken(_) if lost >= MAX_LOST_OPENS => self.fence(now),
            Settled::Taken(record) => match tenure.follow(&record) {
                Ok(chain) => self.open(chain, lost + 1, now),
                Err(_) => self.give_up(now),
            },
        }
    }

    fn reply_checking(&mut self, mut tenure: Tenure, reply: Reply, now: Millis) -> Phase {
        match reply {
            Reply::Listed { objects, .. } if objects.is_empty() => {
                self.calls.record_success();
                self.stats.takeovers += 1;
                tenure.begin(now);
                Phase::Owner(tenure)
            }
            Reply::Listed { .. } => self.fence(now),
            _ => Phase::Checking {
                tenure,
                call: None,
                retry: self.calls.record_failure(now),
            },
        }
    }

    fn reply_owner(
        &mut self,
        mut tenure: Tenure,
        call: CallId,
        reply: Reply,
        now: Millis,
    ) -> Phase {
        if tenure.sweep_reply(call, &reply, &mut self.calls, now) {
            return Phase::Owner(tenure);
        }
        match tenure.settle(call, reply, &mut self.calls, now) {
            Settled::Pending => Phase::Owner(tenure),
            Settled::Recorded(asks) => {
                tenure.recorded(asks, &mut self.calls, &mut self.stats, now);
                if tenure.is_closed() {
                    return Phase::Idle;
                }
                Phase::Owner(tenure)
            }
            Settled::Taken(_) => {
                tenure.fenced(&mut self.calls, &mut self.stats);
                self.fence(now)
            }
            Settled::Unreadable => {
                tenure.fenced(&mut self.calls, &mut self.stats);
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

    /// Leaves a chain that this version can't read to others.
    fn give_up(&mut self, now: Millis) -> Phase {
        self.stats.unreadable += 1;
        self.fence(now)
    }
}
