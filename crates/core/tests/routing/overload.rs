//! Simulates an overloaded plain pool behind many daemons, with and without admission control.

use std::collections::VecDeque;

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::overload::{
    AdmissionControl, ResponseRates, may_refuse, retry_after,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::support::id;

const DAEMONS: usize = 75;
const SLOTS: usize = 6;
/// Length of the endpoint's queue; further requests are rejected.
const QUEUE: usize = 24;
/// Mean run time, in milliseconds like all times here.
const RUN_TIME: f64 = 60.0;
const TARGET: Millis = Millis(300);
/// Round trip between caller and endpoint.
const ROUND_TRIP: u64 = 10;
/// Least and greatest age of the load that a daemon knows: a tick of the reporting daemon, one of
/// the hub, and the time since.
const LAG: (usize, usize) = (100, 700);
/// Interval between reports.
const TICK: u64 = 250;
/// Least and greatest delay before a refused caller retries.
const RETRY_DELAY: (u64, u64) = (40, 100);
/// Time in which daemons learn response rates; not counted.
const WARM_UP: u64 = 5000;

/// Measured results, as shares of all requests.
#[derive(Debug)]
struct Results {
    in_time: f64,
    served: f64,
}

/// State of the endpoint at one time.
#[derive(Clone, Copy, Default)]
struct Snapshot {
    load: f64,
    answers: u32,
}

/// One endpoint, and the daemons that send to it.
struct Simulation {
    rng: Pcg32,
    queue: VecDeque<u64>,
    /// Arrival and end of each run.
    running: Vec<(u64, u64)>,
    history: Vec<Snapshot>,
    daemons: Vec<(ResponseRates, AdmissionControl)>,
    /// Times at which refused callers retry, and of their first attempts.
    refused: Vec<(u64, u64)>,
    got: Results,
}

impl Simulation {
    fn new() -> Self {
        Self {
            rng: Pcg32::seed_from_u64(3),
            queue: VecDeque::new(),
            running: Vec::new(),
            history: Vec::new(),
            daemons: vec![Default::default(); DAEMONS],
            refused: Vec::new(),
            got: Results {
                in_time: 0.0,
                served: 0.0,
            },
        }
    }

    /// Ends and starts runs; returns the number of answers.
    fn step_endpoint(&mut self, now: u64) -> u32 {
        let is_over = |run: &(u64, u64)| run.1 <= now;
        let ended: Vec<(u64, u64)> = self.running.iter().copied().filter(is_over).collect();
        self.running.retain(|run| !is_over(run));
        if now > WARM_UP {
            let in_time = |(arrived, _): &&(u64, u64)| now - arrived + ROUND_TRIP <= TARGET.0;
            self.got.served += ended.len() as f64;
            self.got.in_time += ended.iter().filter(in_time).count() as f64;
        }
        while self.running.len() < SLOTS
            && let Some(arrived) = self.queue.pop_front()
        {
            let work = RUN_TIME * self.rng.random_range(0.5..1.5);
            self.running.push((arrived, now + work as u64));
        }
        ended.len() as u32
    }

    /// Whether a daemon admits a request.
    fn is_admitted(&mut self, daemon: usize, now: u64) -> bool {
        let lag = self.rng.random_range(LAG.0..LAG.1);
        let Some(index) = self.history.len().checked_sub(lag) else {
            return true;
        };
        let load = self.history[index].load;
        let (rates, admission) = &mut self.daemons[daemon];
        let Some(time) = rates.response_time(&id("e"), load, Millis(now)) else {
            return true;
        };
        let share = admission.update(time, TARGET, Millis(now));
        !may_refuse(load, SLOTS as u32) || self.rng.random::<f64>() < share
    }

    /// Simulates a minute at a rate of requests, with or without admission control.
    fn simulate(mut self, per_second: f64, admits: bool) -> Results {
        let mut all = 0.0;
        for now in 0..60_000 {
            let answers = self.step_endpoint(now);
            self.report(now);
            if self.rng.random::<f64>() < per_second / 1000.0 {
                all += if now > WARM_UP { 1.0 } else { 0.0 };
                if !self.arrive(now, admits) {
                    let pause = self.rng.random_range(RETRY_DELAY.0..RETRY_DELAY.1);
                    self.refused.push((now + pause, now));
                }
            }
            while let Some(at) = self.refused.iter().position(|(at, _)| *at <= now) {
                // Response time counts from the first attempt.
                let (_, first_sent) = self.refused.swap_remove(at);
                self.arrive(first_sent, admits);
            }
            self.history.push(Snapshot {
                load: (self.queue.len() + self.running.len()) as f64,
                answers,
            });
        }
        Results {
            in_time: self.got.in_time / all,
            served: self.got.served / all,
        }
    }

    /// Sends a request to a random daemon; returns whether it is accepted.
    fn arrive(&mut self, first_sent: u64, admits: bool) -> bool {
        let now = self.history.len() as u64;
        let daemon = self.rng.random_range(0..DAEMONS);
        let taken = (!admits || self.is_admitted(daemon, now)) && self.queue.len() < QUEUE;
        if taken {
            self.queue.push_back(first_sent);
        }
        taken
    }

    /// Reports to each daemon the number of answers since its previous report.
    fn report(&mut self, now: u64) {
        let recent = self.history.iter().rev().take(TICK as usize);
        let answers = recent.map(|snapshot| snapshot.answers).sum();
        for (number, (rates, _)) in self.daemons.iter_mut().enumerate() {
            // Daemons tick at different times.
            if (now + number as u64 * 7).is_multiple_of(TICK) {
                rates.record(&id("e"), answers, Millis(now));
            }
        }
    }
}

#[gtest]
fn asked_for_more_than_it_can_run_a_pool_serves_as_many_and_most_of_them_in_time() {
    for (per_second, before, after) in [(110.0, 0.65, 0.8), (150.0, 0.25, 0.55)] {
        let without = Simulation::new().simulate(per_second, false);
        let with = Simulation::new().simulate(per_second, true);
        expect_that!(without.in_time, lt(before), "{per_second}: {without:?}");
        expect_that!(with.in_time, gt(after), "{per_second}: {with:?}");
        expect_that!(with.served, gt(without.served - 0.03), "{per_second}");
    }
}

#[gtest]
fn below_its_capacity_next_to_nothing_is_refused() {
    for per_second in [50.0, 70.0, 90.0] {
        let without = Simulation::new().simulate(per_second, false);
        let with = Simulation::new().simulate(per_second, true);
        expect_that!(with.in_time, gt(without.in_time - 0.005), "{per_second}");
        expect_that!(with.served, gt(0.99), "{per_second}");
    }
}

#[gtest]
fn the_pace_of_an_endpoint_is_believed_after_a_second() {
    let mut rates = ResponseRates::default();
    for now in 0..30 {
        rates.record(&id("e"), 10, Millis(now * 100));
        let time = rates.response_time(&id("e"), 50.0, Millis(now * 100));
        expect_that!(time.is_some(), eq(now >= 10), "{now}");
    }
    let time = rates.response_time(&id("e"), 50.0, Millis(2900));
    expect_that!(time, some(near(500.0, 50.0)));
    expect_that!(
        rates.response_time(&id("other"), 50.0, Millis(2900)),
        none()
    );
}

#[gtest]
fn a_share_of_requests_is_taken_however_long_they_take() {
    let mut admission = AdmissionControl::default();
    let update = |round| admission.update(10_000.0, TARGET, Millis(round * 100));
    let shares: Vec<f64> = (0..200_u64).map(update).collect();
    expect_that!(shares[199], near(0.2, 1e-9));
    // Once response times are short, all requests are admitted again, but gradually.
    let mut share = 0.0;
    let mut rounds = 200_u64;
    while share < 1.0 {
        rounds += 1;
        share = admission.update(0.0, TARGET, Millis(rounds * 100));
    }
    expect_that!(rounds, all!(gt(205), lt(260)));
}

#[gtest]
fn a_round_of_requests_may_always_wait() {
    expect_that!(may_refuse(12.0, 6), eq(false));
    expect_that!(may_refuse(13.0, 6), eq(true));
}

#[gtest]
fn a_refused_caller_comes_back_while_it_can_still_be_answered_in_time() {
    expect_that!(retry_after(TARGET, 0.0), eq(Millis(30)));
    expect_that!(retry_after(TARGET, 1.0), eq(Millis(90)));
}
