//! A home with a simulated engine, driven by seeded arrivals in simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use medlarrill_core::admission::{Action, Ending, Event, Home, Mean, Offer, Report, Settings};
use medlarrill_core::clock::Millis;
use medlarrill_core::config::{Pool, PoolKind};
use medlarrill_core::ids::{AttemptId, Incarnation, RequestId};
use medlarrill_core::reason::Reason;
use medlarrill_core::units::Tokens;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Tokens that a slot completes per millisecond.
const SPEED: f64 = 0.1;

pub fn id(number: u64) -> AttemptId {
    AttemptId {
        request: RequestId(number.into()),
        number: 0,
        sender: Incarnation(1),
    }
}

pub fn offer(number: u64, institution: &str, account: &str) -> Offer {
    Offer {
        id: id(number),
        institution: institution.parse().expect("a name"),
        share: 1,
        account: account.parse().expect("a name"),
        prompt: Tokens(100),
        output: Tokens(100),
        patience: Millis::from_secs(10),
        movable: false,
        keep_local: false,
    }
}

pub fn settings() -> Settings {
    Settings::new(&Pool::new(PoolKind::Model)).with_slot_rate(SPEED * 1000.0)
}

pub fn mean(load: u64, at: u64) -> Event {
    Event::Mean(Mean {
        as_of: Millis(at),
        load: Tokens(load),
        endpoints: 20,
    })
}

/// A home past its probation, with a mean too high for the load bound to apply.
pub fn open_home(settings: Settings, seed: u64) -> Home {
    let mut home = Home::new(settings, Pcg32::seed_from_u64(seed), Millis(0));
    let as_of = Millis(1);
    home.handle(
        Event::Report(Report {
            as_of,
            ..Report::default()
        }),
        as_of,
    );
    home.handle(mean(1 << 40, 1), as_of);
    home
}

/// One account's arrivals.
pub struct Source {
    pub institution: &'static str,
    pub account: &'static str,
    /// Requests per second.
    pub rate: f64,
    /// Requests per second during `surge`.
    pub surged: f64,
    pub surge: std::ops::Range<u64>,
}

impl Source {
    pub fn steady(institution: &'static str, account: &'static str, rate: f64) -> Self {
        Self {
            institution,
            account,
            rate,
            surged: rate,
            surge: 0..0,
        }
    }
}

#[derive(Default)]
pub struct Tally {
    pub waits: BTreeMap<&'static str, Vec<u64>>,
    pub refused: BTreeMap<Reason, u64>,
    pub answers: HashMap<AttemptId, u32>,
    pub late: u64,
    pub empty_after: u64,
    pub served: u64,
    pub longest: usize,
}

impl Tally {
    pub fn wait(&self, account: &str, quantile: f64) -> u64 {
        let mut waits = self.waits[account].clone();
        waits.sort_unstable();
        waits[((waits.len() - 1) as f64 * quantile) as usize]
    }
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Finish(AttemptId, u64),
}

/// Runs sources against one home in simulated time; requests and work count from time `from` on.
pub struct Run {
    pub home: Home,
    rng: Pcg32,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    number: u64,
    arrivals: HashMap<AttemptId, (u64, &'static str, u64, u64)>,
    pub tally: Tally,
    from: u64,
}

impl Run {
    pub fn new(settings: Settings, seed: u64, from: u64) -> Self {
        Self {
            home: open_home(settings, seed),
            rng: Pcg32::seed_from_u64(seed),
            steps: BinaryHeap::new(),
            number: 0,
            arrivals: HashMap::new(),
            tally: Tally::default(),
            from,
        }
    }

    pub fn drive(mut self, sources: &[Source], until: u64) -> Tally {
        for index in 0..sources.len() {
            self.next_arrival(sources, index, 1);
        }
        loop {
            let wake = self.home.wake().map_or(u64::MAX, |at| at.0);
            let next = self.steps.peek().map_or(u64::MAX, |step| step.0.0);
            if wake.min(next) > until {
                return self.tally;
            }
            if wake <= next {
                self.handle(Event::Tick, wake);
                let later = self.home.wake().is_none_or(|at| at.0 > wake);
                assert!(
                    later,
                    "the home must not ask for a tick that it has just had"
                );
                continue;
            }
            let Some(Reverse((at, _, step))) = self.steps.pop() else {
                return self.tally;
            };
            match step {
                Step::Arrive(index) => self.arrive(sources, index, at),
                Step::Finish(id, work) => {
                    self.tally.served += if at > self.from { work } else { 0 };
                    self.handle(
                        Event::Finished {
                            id,
                            ending: Ending::Done,
                        },
                        at,
                    );
                }
            }
        }
    }

    fn exp(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn push(&mut self, at: u64, step: Step) {
        self.number += 1;
        self.steps.push(Reverse((at, self.number, step)));
    }

    fn next_arrival(&mut self, sources: &[Source], index: usize, now: u64) {
        let source = &sources[index];
        let surges = source.surge.contains(&now);
        let rate = if surges { source.surged } else { source.rate };
        let gap = self.exp(1000.0 / rate).ceil() as u64;
        self.push(now + gap, Step::Arrive(index));
    }

    fn arrive(&mut self, sources: &[Source], index: usize, now: u64) {
        let source = &sources[index];
        self.next_arrival(sources, index, now);
        let mut offer = offer(self.number, source.institution, source.account);
        offer.output = Tokens(50 + self.exp(150.0) as u64);
        let work = offer.prompt.0 + offer.output.0;
        let patience = offer.patience.0;
        self.arrivals
            .insert(offer.id, (now, source.account, work, patience));
        self.handle(Event::Offer(offer), now);
    }

    fn handle(&mut self, event: Event, now: u64) {
        let actions = self.home.handle(event, Millis(now));
        for action in actions {
            *self.tally.answers.entry(action.id()).or_default() += 1;
            let (since, account, work, patience) = self.arrivals[&action.id()];
            self.tally.late += u64::from(now > since + patience);
            match action {
                Action::Dispatch { id, .. } => {
                    if since >= self.from {
                        self.tally
                            .waits
                            .entry(account)
                            .or_default()
                            .push(now - since);
                    }
                    self.push(now + (work as f64 / SPEED) as u64, Step::Finish(id, work));
                }
                Action::Refuse {
                    reason,
                    retry_after,
                    ..
                } => {
                    *self.tally.refused.entry(reason).or_default() += 1;
                    self.tally.empty_after += u64::from(retry_after == Millis::ZERO);
                }
                Action::PassOn { .. } => {}
            }
        }
        self.tally.longest = self.tally.longest.max(self.home.queued());
    }
}
