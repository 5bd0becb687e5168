//! A pool that is asked for more than it can run: what callers get, with and without admission.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::pace::{Paces, admit};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::support::id;

const SLOTS: u32 = 6;
/// Requests that the endpoint queues; more are turned away.
const QUEUE: usize = 24;
const WORK: f64 = 60.0;
const TARGET: Millis = Millis(300);
/// Time on the way to the caller and back.
const WAY: Millis = Millis(10);
/// How old the load is that entries know.
const LAG: usize = 200;

/// What callers got, as shares of all requests.
struct Got {
    in_time: f64,
    served: f64,
}

/// Plays an endpoint for a while, in steps of one millisecond.
fn play(per_second: f64, admits: bool) -> Got {
    let mut rng = Pcg32::seed_from_u64(3);
    let mut paces = Paces::default();
    let mut queue: Vec<(u64, f64)> = Vec::new();
    let mut running: Vec<(u64, u64, f64)> = Vec::new();
    let mut history = vec![0.0; LAG];
    let (mut all, mut in_time, mut served) = (0.0, 0.0, 0.0);
    for now in 0..60_000_u64 {
        running.retain(|(arrived, end, load)| {
            if *end > now {
                return true;
            }
            let took = Millis(now - arrived);
            paces.answer(&id("e"), took, *load, SLOTS);
            served += 1.0;
            in_time += if took + WAY <= TARGET { 1.0 } else { 0.0 };
            false
        });
        while running.len() < SLOTS as usize && !queue.is_empty() {
            let (arrived, load) = queue.remove(0);
            let work = WORK * rng.random_range(0.5..1.5);
            running.push((arrived, now + work as u64, load));
        }
        if rng.random::<f64>() < per_second / 1000.0 {
            all += 1.0;
            let known = history[history.len() - LAG];
            let work = paces.work(&id("e"));
            let taken = !admits || admit(work, known, SLOTS, TARGET, rng.random()).is_ok();
            if taken && queue.len() < QUEUE {
                queue.push((now, (queue.len() + running.len()) as f64));
            }
        }
        history.push((queue.len() + running.len()) as f64);
    }
    Got {
        in_time: in_time / all,
        served: served / all,
    }
}

#[gtest]
fn asked_for_more_than_it_can_run_a_pool_serves_as_many_and_most_of_them_in_time() {
    let (without, with) = (play(120.0, false), play(120.0, true));
    expect_that!(without.in_time, lt(0.65));
    expect_that!(with.in_time, gt(0.8));
    expect_that!(with.served, gt(without.served - 0.03));
}

#[gtest]
fn below_its_capacity_nothing_is_refused_to_speak_of() {
    let (without, with) = (play(70.0, false), play(70.0, true));
    expect_that!(without.served, gt(0.99));
    expect_that!(with.served, gt(0.99));
}

#[gtest]
fn an_endpoint_of_unknown_pace_takes_requests() {
    expect_that!(admit(None, 100.0, SLOTS, TARGET, 0.0), ok(anything()));
}

#[gtest]
fn a_refusal_says_how_long_the_queue_is_too_long() {
    let overload = admit(Some(WORK), 47.0, SLOTS, TARGET, 0.5).expect_err("too long");
    expect_that!(overload.predicted, near(480.0, 1e-6));
    expect_that!(overload.wait, eq(Millis(330)));
}

#[gtest]
fn a_slow_endpoint_may_always_have_a_round_of_requests_waiting() {
    expect_that!(admit(Some(900.0), 11.0, SLOTS, TARGET, 0.0), ok(anything()));
    expect_that!(
        admit(Some(900.0), 12.0, SLOTS, TARGET, 0.0),
        err(anything())
    );
}
