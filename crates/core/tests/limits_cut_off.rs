//! Account limits at a daemon that hears no others, or only a part of them.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, DaemonId, Incarnation, RequestId};
use medlarrill_core::limits::{
    AccountHash, Action, AllocatorEvent, Daemons, EntryLimiter, Event, Limits, ShareAllocator,
};
use rand::SeedableRng;
use rand_pcg::Pcg32;

const ACCOUNT: AccountHash = AccountHash(42);
const LIMITS: Limits = Limits {
    rate: 900.0,
    concurrency: 90,
};

/// A daemon that owns all accounts itself.
struct Alone {
    name: DaemonId,
    entry: EntryLimiter,
    allocator: ShareAllocator,
    admitted: usize,
}

impl Alone {
    /// It is cut off at 0 s.
    fn new(daemons: Daemons) -> Self {
        let mut alone = Self {
            name: "d0".parse().expect("a name"),
            entry: EntryLimiter::new(9, Pcg32::seed_from_u64(3), Millis(0)),
            allocator: ShareAllocator::new(9, Millis(0)),
            admitted: 0,
        };
        alone
            .allocator
            .handle(AllocatorEvent::Members(daemons), Millis(0), |_| {
                Some(LIMITS)
            });
        alone.tell(Event::Members(daemons), Millis(0));
        alone
    }

    fn tell(&mut self, event: Event, at: Millis) {
        let owner = self.name.clone();
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.entry.handle(event, at, |_| Some(owner.clone())) {
                match action {
                    Action::Admit { .. } => self.admitted += 1,
                    Action::Refuse { .. } => {}
                    Action::Send { usage, .. } => {
                        let event = AllocatorEvent::Usage {
                            from: owner.clone(),
                            usage,
                        };
                        let grants = self.allocator.handle(event, at, |_| Some(LIMITS));
                        events.extend(grants.into_iter().map(|action| Event::Grant {
                            from: owner.clone(),
                            grant: action.grant,
                        }));
                    }
                }
            }
        }
    }

    /// Requests that are in flight at once, of a surge from 5 s on whose requests don't end.
    fn surge(mut self) -> usize {
        for number in 0..2000 {
            let at = Millis(5000 + 5 * u64::from(number));
            let event = Event::Acquire {
                id: AttemptId {
                    request: RequestId(1),
                    number,
                    sender: Incarnation(1),
                },
                account: ACCOUNT,
                limits: LIMITS,
            };
            self.tell(event, at);
        }
        self.admitted
    }
}

#[gtest]
fn a_daemon_that_is_cut_off_grants_itself_whole_limits() {
    let all = [(1, 8, 10), (4, 5, 40), (5, 4, 50)];
    for (live, lost, allowed) in all {
        let in_flight = Alone::new(Daemons { live, lost }).surge();
        expect_that!(in_flight, all!(le(allowed), ge(allowed / 2)), "{live} of 9");
    }
}

#[gtest]
fn a_daemon_that_the_others_have_left_uses_whole_limits() {
    expect_that!(Alone::new(Daemons::live(1)).surge(), eq(90));
}
