//! Checks of a fleet during and after a schedule.

use medlarrill_core::claims::{LogEvent, ProcessId, ShardLog};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::Incarnation;

use crate::bench::WALL;
use crate::fleet::{Fleet, SHARD};
use crate::platform::call_of;

impl Fleet {
    /// A reader of the platform as it is now must find every grant.
    pub fn audit(&mut self) {
        self.counts.audits += 1;
        let mut platform = self.platform.clone();
        let member = ProcessId {
            daemon: "audit".parse().expect("a name"),
            incarnation: Incarnation(1),
        };
        let wall = WALL + self.now;
        let mut log = ShardLog::new(SHARD, member, 9, wall, self.now);
        let mut events = vec![LogEvent::Assign(true)];
        while let Some(event) = events.pop() {
            for action in log.handle(event, self.now) {
                let call = call_of(&action).expect("a call");
                let reply = platform.carry_out(&action).expect("a call");
                events.push(LogEvent::Reply { call, reply });
            }
            if let Some(chain) = log.chain() {
                return self.oracle.audit(&chain.table);
            }
        }
        self.oracle.fail("the chain can't be read".into());
    }

    /// Ends all faults, and checks that requests are served again.
    pub fn heal(&mut self) {
        self.quiet = true;
        self.down = false;
        self.cuts.clear();
        for daemon in 0..self.daemons.len() {
            if self.daemons[daemon].paused {
                self.resume(daemon);
            }
        }
        self.run(self.now + Millis::from_secs(2));
        self.place(0);
        self.run(self.now + Millis::from_secs(20));
        let dispatches = self.counts.dispatches;
        for daemon in 0..self.daemons.len() {
            self.request(daemon, 1_000_000 + daemon as u64, 0);
        }
        self.run(self.now + Millis::from_secs(10));
        if self.counts.dispatches - dispatches != self.daemons.len() as u64 {
            self.oracle
                .fail("requests are not served after all faults".into());
        }
        self.audit();
        self.oracle.finish();
        for daemon in 0..self.daemons.len() {
            self.count_process(daemon);
        }
    }

    pub fn count_process(&mut self, daemon: usize) {
        let stats = self.daemons[daemon].log.stats();
        self.counts.takeovers += stats.takeovers;
        self.counts.checkpoints += stats.checkpoints;
        self.counts.late += stats.late;
        self.counts.fenced += stats.fenced;
    }
}
