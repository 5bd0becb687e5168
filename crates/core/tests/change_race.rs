//! Concurrent changes on a platform that loses responses.
//!
//! Several operators change the same few items. Daemons crash, clients switch to
//! another daemon while the first still works, writes take effect long after
//! their timeout, parts are swept. In every schedule, each accepted change is
//! applied once and never reverted, and the verdict that an operator received
//! is true.

#[path = "change_race/platform.rs"]
mod platform;

use std::collections::BTreeMap;

use googletest::prelude::*;
use medlarrill_core::change::committer::{Action, Event, Outcome};
use medlarrill_core::change::sweep::{self, Sweep};
use medlarrill_core::change::{Committer, Head, Part, apply, join};
use medlarrill_core::clock::Millis;
use medlarrill_core::config::Config;
use medlarrill_core::ids::{ChangeId, Generation};
use medlarrill_core::operator::{Change, parse};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use platform::Platform;

const SEEDS: u64 = 150;
const CHANGES: usize = 24;
const TRIES: usize = 4;
const DEADLINE: Millis = Millis(5000);

/// A committer in one daemon, with its calls in progress.
struct Run {
    committer: Committer,
    calls: Vec<Action>,
    timer: Option<Millis>,
    /// When the request reaches the daemon; none once it has.
    begin: Option<Millis>,
    outcome: Option<Outcome>,
}

/// One change as its operator sees it.
struct Session {
    change: ChangeId,
    changes: Vec<Change>,
    runs: Vec<Run>,
    verdict: Option<Outcome>,
}

impl Session {
    /// Whether the operator has its result and no daemon works on the change any more.
    fn is_over(&self) -> bool {
        let over = |run: &Run| run.outcome.is_some() || run.timer.is_none();
        self.verdict.is_some() && self.runs.iter().all(over)
    }
}

struct World {
    rng: Pcg64Mcg,
    now: Millis,
    platform: Platform,
    sessions: Vec<Session>,
    sweep: Sweep,
    swept: usize,
}

fn changes(text: &str) -> Vec<Change> {
    let sentences = parse(text).unwrap();
    let changes = sentences.iter().filter_map(|sentence| sentence.change());
    changes.cloned().collect()
}

const FIRST: &str = "create pool a kind service; create pool b kind service
    create institution p
    create endpoint e0 pool a address 127.0.0.1:1 data-centre dc1
    create endpoint e1 pool a address 127.0.0.1:2 data-centre dc2
    create endpoint e2 pool b address 127.0.0.1:3 data-centre dc1";

fn random_text(rng: &mut Pcg64Mcg) -> String {
    let (n, e, port) = (
        rng.random_range(1..9),
        rng.random_range(0..3),
        rng.random_range(5..8),
    );
    match rng.random_range(0..8) {
        0 => format!("alter pool a slots {n}"),
        1 => format!("alter pool b queue {n}; alter institution p share {n}"),
        2 => format!("drain endpoint e{e}"),
        3 => format!("undrain endpoint e{e}"),
        4 => format!("create endpoint x{n} pool b address 127.0.0.1:{port} data-centre dc2"),
        5 => format!("drop endpoint x{n}"),
        6 => format!("create rule p route /{n} pool b idempotent"),
        _ => format!("create pool c{n} kind service; drop pool c{e}"),
    }
}

impl Run {
    fn new(session: &Session, begin: Millis, repeat: bool) -> Self {
        let committer = Committer::new(session.change, session.changes.clone(), begin, begin)
            .with_deadline(begin + DEADLINE);
        let committer = if repeat {
            committer.with_retry()
        } else {
            committer
        };
        Self {
            timer: Some(committer.deadline()),
            committer,
            calls: Vec::new(),
            begin: Some(begin),
            outcome: None,
        }
    }

    fn handle(&mut self, event: Event, now: Millis) {
        for action in self.committer.handle(event, now) {
            match action {
                Action::Wait(until) => self.timer = Some(until),
                Action::Finish(outcome) => self.outcome = Some(outcome),
                call => self.calls.push(call),
            }
        }
    }

    fn advance(&mut self, platform: &mut Platform, now: Millis, rng: &mut Pcg64Mcg) {
        let alive = self.timer.is_some();
        if alive && self.begin.take_if(|begin| now >= *begin).is_some() {
            self.handle(Event::Start, now);
        }
        if self.timer.is_some_and(|timer| now >= timer) {
            self.timer = Some(self.committer.deadline());
            self.handle(Event::Timer, now);
        }
        if !self.calls.is_empty() && rng.random_bool(0.5) {
            let call = self
                .calls
                .swap_remove(rng.random_range(0..self.calls.len()));
            let event = platform.call(call, rng);
            self.handle(event, now);
        }
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut session = |index| Session {
            change: ChangeId(index as u128 + 1),
            changes: match index {
                0 => changes(FIRST),
                _ => changes(&random_text(&mut rng)),
            },
            runs: Vec::new(),
            verdict: None,
        };
        Self {
            sessions: (0..CHANGES).map(&mut session).collect(),
            rng,
            now: Millis(1),
            platform: Platform::default(),
            sweep: Sweep::new(seed),
            swept: 0,
        }
    }

    fn run(&mut self) {
        while !self.sessions.iter().all(Session::is_over) {
            self.now += Millis(self.rng.random_range(1..4));
            if self.rng.random_bool(0.001) {
                self.platform.down = !self.platform.down;
            }
            if self.rng.random_bool(0.03) {
                self.platform.late_effect(&mut self.rng);
            }
            self.sweep();
            let first = self.sessions[0].verdict.is_none();
            let last = if first { 1 } else { CHANGES };
            let index = self.rng.random_range(0..last);
            self.step(index);
        }
        while !self.platform.late.is_empty() {
            self.platform.late_effect(&mut self.rng);
        }
    }

    /// Advances one session: its daemons, then its client.
    fn step(&mut self, index: usize) {
        let (now, rng) = (self.now, &mut self.rng);
        let session = &mut self.sessions[index];
        if session.verdict.is_some() && session.runs.is_empty() {
            return;
        }
        for run in &mut session.runs {
            run.advance(&mut self.platform, now, rng);
        }
        if session.verdict.is_some() {
            return;
        }
        let tries = session.runs.len();
        let outcome = session.runs.last().map(|run| run.outcome.clone());
        let again = match outcome {
            None => true,
            Some(None) => rng.random_bool(0.005),
            Some(Some(Outcome::Unknown)) => true,
            Some(Some(outcome)) => {
                session.verdict = Some(outcome);
                false
            }
        };
        if again && tries < TRIES {
            // The daemon crashes, or continues although its client has left.
            let crashed = rng.random_bool(0.5);
            if let Some(run) = session.runs.last_mut().filter(|_| crashed) {
                self.platform
                    .late
                    .extend(run.calls.drain(..).filter(is_write));
                run.timer = None;
            }
            let delay = if rng.random_bool(0.2) { 3000 } else { 0 };
            let run = Run::new(session, now + Millis(delay), tries > 0);
            session.runs.push(run);
        } else if again {
            session.verdict = Some(Outcome::Unknown);
        }
    }

    /// A watcher that sweeps without pauses, so that many parts are deleted.
    fn sweep(&mut self) {
        self.now = self.now.max(Millis(1));
        let event = match self.rng.random_range(0..12) {
            0 => sweep::Event::Timer,
            1 => sweep::Event::Listed(self.platform.list()),
            2 => match self.platform.head.clone() {
                Some(head) => sweep::Event::Head(head),
                None => sweep::Event::Failed,
            },
            _ => return,
        };
        let far = Millis(self.now.0 * 1_000_000);
        for action in self.sweep.handle(event, far) {
            if let sweep::Action::Delete(part) = action {
                self.swept += usize::from(self.platform.parts.remove(&part.digest).is_some());
            }
        }
    }

    fn config(&self, head: &Head) -> Config {
        let bodies = head.parts.iter().map(|(name, part)| {
            let bytes = &self.platform.archive[&part.digest];
            (name.clone(), Part::read(name, bytes).unwrap().body)
        });
        join(Generation(0), bodies.collect())
    }

    /// Each head is the previous one with one more change accepted or withdrawn.
    fn check_history(&self) {
        let mut before = Head::default();
        let mut seen = BTreeMap::new();
        for head in &self.platform.history {
            let record = *head.recent.last().unwrap();
            assert_eq!(
                seen.insert(record.change, record.void),
                None,
                "applied twice"
            );
            let steps = u64::from(!record.void);
            assert_eq!(head.generation.0, before.generation.0 + steps);
            if record.void {
                assert_eq!(head.parts, before.parts);
            } else {
                let index = record.change.0 as usize - 1;
                let wanted = apply(&self.config(&before), &self.sessions[index].changes);
                assert_eq!(self.config(head), wanted.unwrap().config);
            }
            before = head.clone();
        }
    }

    /// The operators' verdicts are true.
    fn check_verdicts(&self, counts: &mut BTreeMap<&'static str, usize>) {
        let last = self.platform.history.last().cloned().unwrap_or_default();
        for session in &self.sessions {
            let record = last.record(session.change).filter(|record| !record.void);
            let (name, held) = match session.verdict.as_ref().unwrap() {
                Outcome::Accepted(accepted) if accepted.head.is_empty() => {
                    ("unchanged", record.is_none())
                }
                Outcome::Accepted(accepted) => {
                    let generation = record.map(|record| record.generation);
                    ("accepted", generation == Some(accepted.generation))
                }
                Outcome::Refused(_) => ("refused", record.is_none()),
                Outcome::Conflict(conflict) => {
                    assert_eq!(conflict.change, session.change);
                    assert_ne!(conflict.with, Some(session.change));
                    assert!(conflict.with.is_some());
                    ("conflict", record.is_none())
                }
                Outcome::Withdrawn => ("withdrawn", record.is_none()),
                Outcome::Unavailable(_) => ("unavailable", record.is_none()),
                Outcome::Unknown => ("unknown", true),
            };
            assert!(held, "change {} was told {name}", session.change);
            *counts.entry(name).or_default() += 1;
        }
    }
}

fn is_write(call: &Action) -> bool {
    matches!(call, Action::CreatePart(..) | Action::WriteHead { .. })
}

#[gtest]
fn accepted_changes_stay_and_verdicts_are_true() {
    let mut counts = BTreeMap::new();
    let (mut late, mut swept) = (0, 0);
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        world.run();
        world.check_history();
        world.check_verdicts(&mut counts);
        late += world.platform.late_writes;
        swept += world.swept;
    }
    println!("{counts:?}, {late} late writes of the head, {swept} parts swept");
    for name in [
        "accepted",
        "refused",
        "conflict",
        "withdrawn",
        "unavailable",
        "unknown",
    ] {
        expect_that!(counts.get(name), some(gt(&0)), "{name}");
    }
    expect_that!(late, gt(0));
    expect_that!(swept, gt(0));
}
