//! Bandwidth of membership per daemon, which must not grow with the fleet.

use googletest::prelude::*;

use crate::fleet::{Fleet, Sent};

const SPAN: u64 = 30_000;

fn joined(size: usize, centres: usize) -> Fleet {
    let mut fleet = Fleet::new(size, centres, 40);
    fleet.keep = false;
    assert!(fleet.until(20_000, Fleet::agreed).is_some());
    fleet.run(20_000);
    fleet.reset_sent();
    fleet
}

#[gtest]
fn an_idle_fleet_spends_the_same_at_any_size() {
    for (size, centres) in [(9, 3), (50, 4), (100, 5)] {
        let mut fleet = joined(size, centres);
        fleet.run(SPAN);
        let rates = fleet.rates(SPAN, |s: &Sent| s.bytes);
        expect_that!(rates.most, le(150.0), "{size} daemons");
    }
}

#[gtest]
fn churn_and_loads_stay_within_their_budgets() {
    for (size, centres, most) in [(9, 3, 1000.0), (50, 4, 2000.0)] {
        let mut fleet = joined(size, centres);
        for step in 0..SPAN / 1000 {
            if step < size.div_ceil(10) as u64 {
                fleet.restart(size - 1 - step as usize);
            }
            fleet.set_loads(4, 13, 2);
            fleet.run(1000);
        }
        let rates = fleet.rates(SPAN, |s: &Sent| s.bytes);
        expect_that!(rates.most, le(most), "{size} daemons");
        let loads = fleet.rates(SPAN, |s: &Sent| s.loads);
        expect_that!(loads.most, le(2500.0), "{size} daemons");
    }
}

#[gtest]
fn a_seed_is_not_swamped_when_all_start_at_once() {
    let mut fleet = Fleet::new(60, 4, 41);
    let took = fleet.until(30_000, Fleet::agreed);
    assert_that!(took, some(le(10_000)));
    let rates = fleet.rates(fleet.now - 1000, |s: &Sent| s.bytes);
    expect_that!(rates.most, le(40_000.0));
}
