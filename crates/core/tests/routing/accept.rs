//! A daemon that gets most new connections, in model time: what it takes is served in time.

use std::collections::VecDeque;

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::accept::{AcceptControl, SAMPLE_INTERVAL};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Time that a request needs of the processor, and the time in which it must be served.
const WORK_US: u64 = 4000;
const IN_TIME: u64 = 300;

/// A daemon with one processor that works first come, first served.
struct Daemon {
    control: AcceptControl,
    is_controlled: bool,
    /// When each waiting request came.
    waiting: VecDeque<u64>,
    taken: usize,
    in_time: usize,
    closed: usize,
    rng: Pcg32,
}

impl Daemon {
    fn new(is_controlled: bool) -> Self {
        Self {
            control: AcceptControl::new(Millis(0)),
            is_controlled,
            waiting: VecDeque::new(),
            taken: 0,
            in_time: 0,
            closed: 0,
            rng: Pcg32::seed_from_u64(3),
        }
    }

    /// Runs with so many requests a second from `from` to `to`; those of the last second don't count.
    fn run(&mut self, rate: u64, from: u64, to: u64) {
        let mut work_us = 0;
        for now in from..to {
            if now.is_multiple_of(SAMPLE_INTERVAL.0) {
                let wait = Millis(self.waiting.len() as u64 * WORK_US / 1000);
                self.control.record_wait(wait, Millis(now));
            }
            let arrivals = rate * (now + 1) / 1000 - rate * now / 1000;
            for _ in 0..arrivals {
                let takes = self.control.takes(self.rng.random());
                if self.is_controlled && !takes {
                    self.closed += 1;
                    continue;
                }
                self.taken += 1;
                self.waiting.push_back(now);
            }
            work_us += 1000;
            while work_us >= WORK_US && !self.waiting.is_empty() {
                work_us -= WORK_US;
                let came = self.waiting.pop_front().expect("a request");
                self.in_time += usize::from(now - came <= IN_TIME);
            }
            work_us = work_us.min(WORK_US);
        }
    }

    /// The share of what it took that it served in time.
    fn share(&self) -> f64 {
        self.in_time as f64 / self.taken as f64
    }
}

/// After three seconds of a crowd, the share that is served in time of what is taken then.
fn share_after_contact(is_controlled: bool, rate: u64) -> f64 {
    let mut daemon = Daemon::new(is_controlled);
    daemon.run(rate, 0, 3000);
    (daemon.taken, daemon.in_time) = (0, 0);
    daemon.run(rate, 3000, 13_000);
    daemon.share()
}

#[gtest]
fn what_a_crowded_daemon_takes_is_served_in_time_and_would_not_be_if_it_took_all() {
    // It can serve 250 requests a second.
    for rate in [400, 1000, 2500] {
        expect_that!(share_after_contact(false, rate), lt(0.1), "{rate}");
        expect_that!(share_after_contact(true, rate), ge(0.75), "{rate}");
    }
}

#[gtest]
fn a_crowded_daemon_goes_on_working_at_most_of_what_it_can() {
    let mut daemon = Daemon::new(true);
    daemon.run(1000, 0, 3000);
    daemon.in_time = 0;
    daemon.run(1000, 3000, 13_000);
    expect_that!(daemon.in_time, ge(250 * 10 * 6 / 10));
}

#[gtest]
fn a_daemon_that_can_serve_what_comes_closes_nothing() {
    for rate in [50, 150, 230] {
        let mut daemon = Daemon::new(true);
        daemon.run(rate, 0, 10_000);
        expect_that!(daemon.closed, eq(0), "{rate}");
    }
}

#[gtest]
fn all_is_taken_again_soon_after_a_crowd() {
    let mut daemon = Daemon::new(true);
    daemon.run(2500, 0, 5000);
    daemon.run(50, 5000, 10_000);
    daemon.closed = 0;
    daemon.run(200, 10_000, 15_000);
    expect_that!(daemon.closed, eq(0));
}

#[gtest]
fn pauses_of_a_processor_that_is_shared_by_quotas_close_nothing() {
    let mut control = AcceptControl::new(Millis(0));
    for tick in 0..1000 {
        let now = Millis(tick * SAMPLE_INTERVAL.0);
        // Nine tenths of each tenth of a second without the processor.
        let wait = 90_u64.saturating_sub(now.0 % 100);
        control.record_wait(Millis(wait), now);
        expect_that!(control.takes(0.999), eq(true));
    }
}

#[gtest]
fn one_pause_of_the_whole_process_closes_nothing() {
    let mut control = AcceptControl::new(Millis(0));
    let mut now = Millis(0);
    for quiet in 1..30 {
        for wait in std::iter::repeat_n(2, quiet).chain([300 + quiet as u64]) {
            now = now + SAMPLE_INTERVAL + Millis(wait);
            control.record_wait(Millis(wait), now);
            expect_that!(control.takes(0.999), eq(true), "{wait}");
        }
    }
}
