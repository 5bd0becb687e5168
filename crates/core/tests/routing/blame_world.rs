//! Daemons that hear of each other's evidence late, before endpoints that one part of prompts
//! crashes, in model time: requests with the part stop, and sound ones are never refused for long.

use std::collections::HashSet;

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::quarantine::{Evidence, Quarantine, Standing};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const END: u64 = 20_000;
const BAD_FROM: u64 = 4000;
const CONTACT: u64 = 3000;
const ENOUGH: usize = 5;
const SENT_MAX: usize = 3;
const TRIAL_INTERVAL: u64 = 3000;

#[derive(Clone, Copy, Debug)]
struct World {
    daemons: usize,
    endpoints: usize,
    /// Milliseconds between two requests.
    step: u64,
    /// Shortest and longest answer.
    answer: (u64, u64),
    /// Second parts of sound requests.
    seconds: u64,
    /// Whether the first part is a new one each second.
    renews: bool,
    bad_parts: u64,
    /// Whether requests with the part were served before.
    was_sound: bool,
    /// Time until evidence arrives, and the share that never does in time.
    told: u64,
    unheard: f64,
}

const BASE: World = World {
    daemons: 4,
    endpoints: 9,
    step: 40,
    answer: (100, 500),
    seconds: 5,
    renews: false,
    bad_parts: 1,
    was_sound: false,
    told: 300,
    unheard: 0.0,
};

struct Run {
    daemon: usize,
    endpoint: usize,
    began: u64,
    ends: u64,
    is_bad: bool,
    causes: Vec<Fingerprint>,
}

#[derive(Debug, Default)]
struct Seen {
    ends: Vec<u64>,
    late: usize,
    sound: usize,
    refused: usize,
}

struct Play {
    world: World,
    rng: Pcg32,
    quarantines: Vec<Quarantine>,
    runs: Vec<Run>,
    /// When each endpoint's process takes requests, and its number.
    processes: Vec<(u64, u32)>,
    messages: Vec<(u64, usize, Vec<Evidence>)>,
    next_trial: u64,
    seen: Seen,
}

impl Play {
    fn new(world: World, seed: u64) -> Self {
        Self {
            world,
            rng: Pcg32::seed_from_u64(seed),
            quarantines: vec![Quarantine::default(); world.daemons],
            runs: Vec::new(),
            processes: (0..world.endpoints as u32)
                .map(|number| (0, number))
                .collect(),
            messages: Vec::new(),
            next_trial: 0,
            seen: Seen::default(),
        }
    }

    fn play(mut self) -> Seen {
        for now in 0..END {
            let due: Vec<_> = self
                .messages
                .extract_if(.., |(at, ..)| *at <= now)
                .collect();
            for (_, to, evidence) in due {
                self.quarantines[to].merge(&evidence, Millis(now));
            }
            if now % self.world.step == 0 {
                self.send(now);
            }
            self.end_runs(now);
        }
        self.seen
    }

    fn send(&mut self, now: u64) {
        let world = self.world;
        let draw: u64 = self.rng.random_range(0..6);
        let is_bad = draw == 0 && now >= BAD_FROM;
        let has_part = draw == 0 && (is_bad || world.was_sound);
        let second = match has_part {
            true => 10 + self.rng.random_range(0..world.bad_parts),
            false => 100 + self.rng.random_range(0..world.seconds),
        };
        let first = if world.renews {
            1_000_000 + now / 1000
        } else {
            1
        };
        let request: u64 = self.rng.random();
        let parts = [first, second, 50 + self.rng.random_range(0..3), request];
        let causes: Vec<Fingerprint> = parts.into_iter().map(Fingerprint).collect();
        let daemon = self.rng.random_range(0..world.daemons);
        let is_refused = self.is_refused(daemon, &causes, now);
        if !is_bad && now >= BAD_FROM {
            self.seen.sound += 1;
            self.seen.refused += usize::from(is_refused);
        }
        let up: Vec<usize> = (0..world.endpoints)
            .filter(|e| self.processes[*e].0 <= now)
            .collect();
        if is_refused || up.is_empty() {
            return;
        }
        let fifth = self.seen.ends.get(ENOUGH - 1);
        let is_late = fifth.is_some_and(|fifth| now > fifth + CONTACT);
        self.seen.late += usize::from(is_bad && is_late);
        let endpoint = up[self.rng.random_range(0..up.len())];
        let began = now + self.rng.random_range(5..60);
        let (least, most) = world.answer;
        let length = if is_bad {
            50
        } else {
            self.rng.random_range(least..most)
        };
        self.runs.push(Run {
            daemon,
            endpoint,
            began,
            ends: began + length,
            is_bad,
            causes,
        });
    }

    /// Whether a daemon refuses a request; after a quarantine the first one tries one now and then.
    fn is_refused(&mut self, daemon: usize, causes: &[Fingerprint], now: u64) -> bool {
        match self.quarantines[daemon].standing(causes, Millis(now)) {
            None => false,
            Some(Standing::Held { .. }) => true,
            Some(Standing::Trial { .. }) => {
                let is_turn = daemon == 0 && now >= self.next_trial;
                if is_turn {
                    self.next_trial = now + TRIAL_INTERVAL;
                }
                !is_turn
            }
        }
    }

    fn end_runs(&mut self, now: u64) {
        while let Some(number) = self.runs.iter().position(|run| run.ends <= now) {
            if self.runs[number].is_bad {
                self.crash(self.runs[number].endpoint, now);
                continue;
            }
            let run = self.runs.swap_remove(number);
            self.quarantines[run.daemon].record_response(
                &run.causes,
                Millis(run.began),
                Millis(now),
            );
            self.tell(run.daemon, now);
        }
    }

    fn crash(&mut self, endpoint: usize, now: u64) {
        self.seen.ends.push(now);
        let (_, process) = self.processes[endpoint];
        let mut daemons = HashSet::new();
        let lost: Vec<Run> = self
            .runs
            .extract_if(.., |run| run.endpoint == endpoint)
            .collect();
        for run in lost {
            let began = (run.began <= now).then_some(Millis(run.began));
            let quarantine = &mut self.quarantines[run.daemon];
            quarantine.record_losses(&run.causes, process, began, Millis(now));
            daemons.insert(run.daemon);
        }
        for daemon in daemons {
            self.tell(daemon, now);
        }
        self.processes[endpoint] = (now + 2500, process + 1000);
    }

    /// Tells all others what a daemon has just seen itself.
    fn tell(&mut self, from: usize, now: u64) {
        let own = self.quarantines[from].snapshot(Millis(now)).own;
        if own.is_empty() {
            return;
        }
        for to in (0..self.world.daemons).filter(|to| *to != from) {
            let is_unheard = self.rng.random::<f64>() < self.world.unheard;
            let delay = if is_unheard {
                3 * self.world.told
            } else {
                self.world.told
            };
            self.messages.push((now + delay, to, own.clone()));
        }
    }
}

/// Plays a world with many seeds: none sends too many, and next to no sound request is refused.
fn is_contained(world: World, seeds: u64) {
    for seed in 0..seeds {
        let seen = Play::new(world, seed).play();
        expect_that!(seen.late, le(SENT_MAX), "{world:?} {seed}");
        expect_that!(seen.refused * 50, le(seen.sound), "{world:?} {seed}");
    }
}

#[gtest]
fn a_bad_part_is_contained_and_sound_requests_are_served() {
    is_contained(BASE, 30);
    is_contained(
        World {
            daemons: 40,
            endpoints: 90,
            step: 8,
            seconds: 50,
            ..BASE
        },
        6,
    );
}

#[gtest]
fn so_it_is_beside_long_answers_with_rare_parts() {
    let long = World {
        answer: (800, 4000),
        ..BASE
    };
    is_contained(long, 30);
    is_contained(
        World {
            seconds: 60,
            ..long
        },
        30,
    );
}

#[gtest]
fn so_it_is_beside_new_first_parts() {
    is_contained(
        World {
            answer: (800, 2000),
            renews: true,
            ..BASE
        },
        30,
    );
}

#[gtest]
fn two_bad_parts_are_contained() {
    is_contained(
        World {
            answer: (300, 1500),
            bad_parts: 2,
            ..BASE
        },
        30,
    );
}

#[gtest]
fn a_part_that_was_sound_until_a_moment_ago_is_contained() {
    is_contained(
        World {
            answer: (300, 1500),
            was_sound: true,
            ..BASE
        },
        30,
    );
}

#[gtest]
fn a_bad_part_is_contained_where_evidence_comes_late() {
    is_contained(
        World {
            unheard: 0.3,
            ..BASE
        },
        30,
    );
    is_contained(
        World {
            answer: (300, 1500),
            told: 900,
            ..BASE
        },
        30,
    );
}
