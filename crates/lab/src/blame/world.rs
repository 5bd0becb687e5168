//! Requests, endpoints and crashes in model time, in milliseconds.

use std::collections::BTreeSet;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::rules::{Known, Lost, Part, Rule};

/// Time of a play.
const END: u64 = 25_000;
/// When the first request with a bad part comes.
const BAD_FROM: u64 = 5000;
/// Time until a successor of an endpoint takes requests.
const REPLACED: u64 = 2500;
/// Time until what one daemon sees is known to all.
const TOLD: u64 = 300;
/// Time between the head of an answer and the crash.
const CRASH: u64 = 50;
const CONTACT: u64 = 3000;
/// Age of an answer from which on its request is not suspected first.
const OLD: u64 = 1000;
const FIRST: Part = 1;
const BAD: Part = 10;

/// What comes to the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub name: &'static str,
    endpoints: usize,
    /// Time between two requests.
    step: u64,
    /// Shortest and longest answer.
    answer: (u64, u64),
    /// Number of second parts of sound requests.
    second: u64,
    /// Whether the first part is a new one each second.
    renews: bool,
    bad_parts: u64,
    /// When the bad part was sound before.
    was_sound: bool,
    /// When all endpoints but two crash for another reason.
    mass_crash: Option<u64>,
}

impl Scenario {
    const BASE: Self = Self {
        name: "short answers",
        endpoints: 9,
        step: 40,
        answer: (100, 500),
        second: 5,
        renews: false,
        bad_parts: 1,
        was_sound: false,
        mass_crash: None,
    };
    pub const ALL: [Self; 8] = [
        Self::BASE,
        Self {
            name: "long answers",
            answer: (800, 4000),
            ..Self::BASE
        },
        Self {
            name: "long answers, rare parts",
            answer: (800, 4000),
            second: 60,
            ..Self::BASE
        },
        Self {
            name: "new first parts",
            answer: (800, 2000),
            renews: true,
            ..Self::BASE
        },
        Self {
            name: "two bad parts",
            answer: (300, 1500),
            bad_parts: 2,
            ..Self::BASE
        },
        Self {
            name: "sound until a moment ago",
            answer: (300, 1500),
            was_sound: true,
            ..Self::BASE
        },
        Self {
            name: "no bad part, 7 of 9 crash",
            answer: (300, 1500),
            bad_parts: 0,
            mass_crash: Some(9000),
            ..Self::BASE
        },
        Self {
            name: "90 endpoints",
            endpoints: 90,
            step: 4,
            answer: (300, 1500),
            second: 50,
            ..Self::BASE
        },
    ];
}

#[derive(Clone, Default, Debug)]
pub struct Seen {
    pub crashes: usize,
    /// Requests with a bad part sent later than three seconds after the fifth crash.
    pub late: usize,
    /// Sound requests that were refused.
    pub refused: usize,
}

struct Running {
    endpoint: usize,
    began: u64,
    ends: u64,
    is_bad: bool,
    parts: Vec<Part>,
}

struct World<'a> {
    scenario: &'a Scenario,
    rng: Pcg32,
    running: Vec<Running>,
    /// Name of each endpoint's process, and when it is up.
    processes: Vec<(u64, u64)>,
    next_process: u64,
    /// What is on its way to all, by when it arrives.
    told: Vec<(u64, Lost)>,
    served: Vec<(u64, u64, Vec<Part>)>,
    known: Known,
    crash_times: Vec<u64>,
    seen: Seen,
}

/// Plays a scenario with a rule.
pub fn play(scenario: &Scenario, rule: Rule, seed: u64) -> Seen {
    let mut world = World {
        scenario,
        rng: Pcg32::seed_from_u64(seed),
        running: Vec::new(),
        processes: (0..scenario.endpoints as u64)
            .map(|name| (name, 0))
            .collect(),
        next_process: 1000,
        told: Vec::new(),
        served: Vec::new(),
        known: Known::default(),
        crash_times: Vec::new(),
        seen: Seen::default(),
    };
    let mut convicted = Vec::new();
    for now in 0..END {
        if world.learn(now) {
            convicted = rule(&world.known);
        }
        if now % scenario.step == 0 {
            world.send(&convicted, now);
        }
        if scenario
            .mass_crash
            .is_some_and(|at| (at..at + 700).contains(&now) && now % 100 == 0)
        {
            let endpoint = (now / 100 % 7) as usize;
            world.crash(endpoint, now);
        }
        world.end_answers(now);
    }
    world.seen
}

impl World<'_> {
    /// Takes what has arrived; returns whether there was any.
    fn learn(&mut self, now: u64) -> bool {
        let lost: Vec<Lost> = self
            .told
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, lost)| lost)
            .collect();
        let served: Vec<_> = self.served.extract_if(.., |(at, ..)| *at <= now).collect();
        let is_new = !lost.is_empty() || !served.is_empty();
        self.known.lost.extend(lost);
        for (_, began, parts) in served {
            for part in parts {
                let last = self.known.served.entry(part).or_default();
                *last = began.max(*last);
            }
        }
        is_new
    }

    fn send(&mut self, convicted: &[BTreeSet<Part>], now: u64) {
        let scenario = self.scenario;
        let number: u64 = self.rng.random_range(0..u64::MAX);
        let is_bad = scenario.bad_parts > 0 && now >= BAD_FROM && number.is_multiple_of(6);
        let first = if scenario.renews {
            1_000_000 + now / 1000
        } else {
            FIRST
        };
        let second = match is_bad {
            true => BAD + self.rng.random_range(0..scenario.bad_parts),
            false => 100 + self.rng.random_range(0..scenario.second),
        };
        // Before it turns bad, the part is served.
        let second = match scenario.was_sound && now < BAD_FROM && number.is_multiple_of(6) {
            true => BAD,
            false => second,
        };
        let parts = vec![first, second, 50 + self.rng.random_range(0..3)];
        if convicted
            .iter()
            .any(|set| set.iter().all(|part| parts.contains(part)))
        {
            self.seen.refused += usize::from(!is_bad);
            return;
        }
        let up: Vec<usize> = (0..scenario.endpoints)
            .filter(|e| self.processes[*e].1 <= now)
            .collect();
        if up.is_empty() {
            return;
        }
        let is_late = self
            .crash_times
            .get(4)
            .is_some_and(|fifth| now > fifth + CONTACT);
        self.seen.late += usize::from(is_bad && is_late);
        let endpoint = up[self.rng.random_range(0..up.len())];
        let began = now + self.rng.random_range(5..60);
        let (least, most) = scenario.answer;
        let ends = match is_bad {
            true => began + CRASH,
            false => began + self.rng.random_range(least..most),
        };
        self.running.push(Running {
            endpoint,
            began,
            ends,
            is_bad,
            parts,
        });
    }

    fn crash(&mut self, endpoint: usize, now: u64) {
        if self.processes[endpoint].1 > now {
            return;
        }
        self.seen.crashes += 1;
        self.crash_times.push(now);
        let process = self.processes[endpoint].0;
        for lost in self.running.extract_if(.., |run| run.endpoint == endpoint) {
            self.told.push((
                now + TOLD,
                Lost {
                    endpoint: process,
                    at: now,
                    is_old: lost.began + OLD < now,
                    parts: lost.parts,
                },
            ));
        }
        self.next_process += 1;
        self.processes[endpoint] = (self.next_process, now + REPLACED);
    }

    fn end_answers(&mut self, now: u64) {
        let ended: Vec<Running> = self.running.extract_if(.., |run| run.ends <= now).collect();
        for run in ended {
            if run.is_bad {
                let endpoint = run.endpoint;
                self.running.push(run);
                self.crash(endpoint, now);
                self.running.retain(|run| run.endpoint != endpoint);
            } else {
                self.served.push((now + TOLD, run.began, run.parts));
            }
        }
    }
}
