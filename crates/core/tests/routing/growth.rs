//! How the work of one daemon grows with the number of endpoints that the platform lists: in
//! proportion where all of them are read, not at all where only some of them change.
//!
//! Work is measured as processor time of the test's thread. What is compared is the ratio between
//! two sizes, so that the machine's speed doesn't matter.

use std::collections::HashMap;

use bytes::Bytes;
use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::endpoint::{Endpoint, InstanceId, StartTime};
use medlarrill_core::routing::exchange::{PeerCounts, PeerUpdate, short_id};
use medlarrill_core::routing::mirror::{Change, Mirror, Object, Update};
use medlarrill_core::routing::view::View;
use nix::time::{ClockId, clock_gettime};

use super::support;

const SMALL: usize = 2500;
const LARGE: usize = 20_000;
/// How much more than in proportion to the endpoints work may grow between the two sizes. What
/// grows with their square grows by a factor of eight.
const MAX_EXCESS: f64 = 3.0;
/// How much work may grow that doesn't depend on the number of endpoints; in proportion would be a
/// factor of eight.
const MAX_GROWTH: f64 = 3.0;
/// Measurements of both sizes.
const PAIRS: usize = 9;
const NOW: Millis = Millis(60_000);

fn thread_time() -> f64 {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("a clock");
    time.tv_sec() as f64 + time.tv_nsec() as f64 / 1e9
}

/// Processor time of some work in seconds, the shortest of three runs, each of which is prepared
/// outside the measurement.
fn cost<S>(prepare: impl Fn() -> S, work: impl Fn(&mut S)) -> f64 {
    let run = |_| {
        let mut state = prepare();
        let start = thread_time();
        work(&mut state);
        thread_time() - start
    };
    (0..3).map(run).fold(f64::INFINITY, f64::min)
}

/// How much the work grows between the two sizes: the median of several pairs. Beside other
/// processes, which share the caches, a single one may be twice as high.
fn growth(cost: impl Fn(usize) -> f64) -> f64 {
    let mut pairs: Vec<f64> = (0..PAIRS).map(|_| cost(LARGE) / cost(SMALL)).collect();
    pairs.sort_by(f64::total_cmp);
    pairs[PAIRS / 2]
}

/// How much more the work grows between the two sizes than in proportion to the endpoints.
fn excess(cost: impl Fn(usize) -> f64) -> f64 {
    growth(cost) / (LARGE / SMALL) as f64
}

/// Names of endpoints come in no order.
fn id(number: usize) -> InstanceId {
    let mixed = (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24;
    let name = format!("i-{mixed:010x}");
    InstanceId::new(name.parse().expect("a name"), Some(StartTime(1000)))
}

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        id: id(number),
        ..support::endpoint("any")
    }
}

fn view(endpoints: usize) -> View {
    let mut view = support::view("near", 7);
    for number in 0..endpoints {
        view.upsert(endpoint(number), Millis(0));
    }
    view
}

fn list(endpoints: usize) -> Update {
    let put = |number| {
        Change::Put(Object {
            name: id(number).endpoint.as_str().to_owned(),
            revision: (number as u64 + 1).into(),
            spec: Bytes::from_static(b"x"),
        })
    };
    Update {
        complete: true,
        changes: (0..endpoints).map(put).collect(),
        revision: (endpoints as u64).into(),
    }
}

fn copy(update: &Update) -> Mirror {
    let mut copy = Mirror::default();
    copy.apply(update.clone(), Some(NOW), NOW);
    copy
}

#[gtest]
fn a_first_list_takes_work_in_proportion_to_its_endpoints() {
    let cost = |endpoints: usize| {
        let all = || (0..endpoints).map(endpoint).collect::<Vec<Endpoint>>();
        let prepare = || (support::view("near", 7), all());
        cost(prepare, |(view, all)| {
            for endpoint in all.drain(..) {
                view.upsert(endpoint, NOW);
            }
        })
    };
    expect_that!(excess(cost), lt(MAX_EXCESS));
}

#[gtest]
fn the_list_of_a_second_source_takes_work_in_proportion_to_its_endpoints() {
    let cost = |endpoints: usize| {
        let update = list(endpoints);
        let prepare = || (copy(&update), Some(update.clone()));
        cost(prepare, |(copy, update)| {
            let update = update.take().expect("an update");
            expect_that!(copy.apply(update, Some(NOW), NOW), is_empty());
        })
    };
    expect_that!(excess(cost), lt(MAX_EXCESS));
}

/// Every entry of a list is compared with the removals that are kept.
#[gtest]
fn a_list_after_many_removals_takes_work_in_proportion_to_its_endpoints() {
    let cost = |endpoints: usize| {
        let update = list(endpoints);
        let mut before = copy(&update);
        let removed = (0..endpoints / 4).map(|number| Change::Removed {
            name: id(number).endpoint.as_str().to_owned(),
            revision: (endpoints as u64 + 1).into(),
        });
        let removals = Update {
            complete: false,
            changes: removed.collect(),
            revision: (endpoints as u64 + 1).into(),
        };
        before.apply(removals, Some(NOW), NOW);
        let prepare = || (before.clone(), Some(update.clone()));
        cost(prepare, |(copy, update)| {
            let update = update.take().expect("an update");
            expect_that!(copy.apply(update, Some(NOW), NOW), is_empty());
        })
    };
    expect_that!(excess(cost), lt(MAX_EXCESS));
}

#[gtest]
fn an_endpoint_that_is_replaced_takes_the_same_work_among_few_and_many() {
    const REPLACED: usize = 500;
    let cost = |endpoints: usize| {
        cost(
            || view(endpoints),
            |view| {
                for number in 0..REPLACED {
                    view.remove(&id(number).endpoint);
                    view.upsert(endpoint(endpoints + number), NOW);
                }
            },
        )
    };
    expect_that!(growth(cost), lt(MAX_GROWTH));
}

/// The same requests in flight in both fleets.
#[gtest]
fn updates_on_other_daemons_take_the_same_work_among_few_and_many_endpoints() {
    const BUSY: usize = 500;
    const UPDATES: u64 = 10;
    let cost = |endpoints: usize| {
        let counts = PeerCounts {
            in_flight: 1,
            ..PeerCounts::default()
        };
        let busy = (0..BUSY).map(|number| (short_id(&id(number)), counts));
        let update = PeerUpdate {
            endpoints: busy.collect::<HashMap<_, _>>(),
            ..PeerUpdate::default()
        };
        cost(
            || view(endpoints),
            |view| {
                for tick in 0..UPDATES {
                    view.update_peers(update.clone(), 1000, NOW + Millis(100 * tick));
                }
            },
        )
    };
    expect_that!(growth(cost), lt(MAX_GROWTH));
}

#[gtest]
fn reviews_of_health_take_the_same_work_among_few_and_many_endpoints() {
    let cost = |endpoints: usize| {
        cost(
            || view(endpoints),
            |view| {
                for tick in 0..20 {
                    view.review(NOW + Millis(500 * tick));
                }
            },
        )
    };
    expect_that!(growth(cost), lt(MAX_GROWTH));
}
