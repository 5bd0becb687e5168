//! Membership under loss, cuts, pauses, restarts and wrong lists.

#[path = "membership/fleet.rs"]
#[expect(dead_code, reason = "more is used by the measurement")]
mod fleet;

use googletest::prelude::*;

use fleet::{Fleet, Health};

#[gtest]
fn daemons_join_by_seeds() {
    let mut fleet = Fleet::new(9, 3, 1);
    expect_that!(fleet.until(20_000, Fleet::agreed), some(le(5_000)));
}

#[gtest]
fn a_killed_daemon_is_gone_everywhere() {
    let mut fleet = Fleet::new(9, 3, 2);
    assert_that!(fleet.until(20_000, Fleet::agreed), some(anything()));
    fleet.run(20_000);
    fleet.set(4, Health::Vanished);
    let took = fleet.until(20_000, |f| f.removed(4));
    expect_that!(took, some(le(7_000)));
}
