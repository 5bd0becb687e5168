//! Whether a daemon is cut off from endpoints, and whom it asks for connections.

use std::collections::HashMap;
use std::net::SocketAddr;

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::reach::{HelpFailure, Helpers, Path, Reach, ReachChange, Resets};
use rand::SeedableRng;
use rand_pcg::Pcg32;

/// A time at which a daemon has run for long.
const START: Millis = Millis(100_000);
/// Endpoints that there are.
const KNOWN: usize = 13;

fn endpoint(number: usize) -> InstanceId {
    InstanceId::new(format!("e-{number}").parse().expect("an id"), None)
}

fn at(millis: u64) -> Millis {
    START + Millis(millis)
}

/// A daemon that heard an endpoint at the start.
fn heard() -> Reach {
    let mut reach = Reach::default();
    reach.record_heard(START);
    reach
}

/// A daemon that was cut off 500 ms after the start.
fn cut_off() -> Reach {
    let mut reach = heard();
    for number in 0..3 {
        reach.record_unconnected(&endpoint(number), KNOWN, at(500));
    }
    assert_that!(reach.is_cut_off(), eq(true));
    reach
}

#[test]
fn a_daemon_is_cut_off_if_it_hears_nobody_and_reaches_none_of_three() {
    let mut reach = heard();
    for number in 0..2 {
        let change = reach.record_unconnected(&endpoint(number), KNOWN, at(500));
        assert_that!(change, none());
        // The same endpoint again says nothing new.
        let change = reach.record_unconnected(&endpoint(number), KNOWN, at(500));
        assert_that!(change, none());
    }
    let change = reach.record_unconnected(&endpoint(2), KNOWN, at(500));
    let silence = Millis(500);
    let expected = ReachChange::CutOff {
        endpoints: 3,
        silence,
    };
    assert_that!(change, some(eq(expected)));
    assert_that!(reach.path(&endpoint(9), at(500)), eq(Path::CutOff));
}

/// A daemon that hears endpoints, five of which it can't connect to.
fn five_unreached() -> Reach {
    let mut reach = heard();
    for number in 0..5 {
        reach.record_heard(at(1000));
        assert_that!(
            reach.record_unconnected(&endpoint(number), KNOWN, at(1000)),
            none()
        );
    }
    reach
}

#[test]
fn endpoints_that_fail_one_by_one_or_beside_others_that_answer_cut_nobody_off() {
    let mut reach = heard();
    for number in 0..KNOWN {
        let now = at(600 * number as u64);
        assert_that!(
            reach.record_unconnected(&endpoint(number), KNOWN, now),
            none()
        );
    }
    let mut reach = five_unreached();
    assert_that!(reach.record_connected(&endpoint(12), at(1000)), none());
    assert_that!(
        reach.record_unconnected(&endpoint(5), KNOWN, at(1000)),
        none()
    );
}

#[test]
fn a_daemon_whose_older_connections_live_on_is_cut_off_if_it_reaches_none_of_six() {
    let mut reach = five_unreached();
    reach.record_unconnected(&endpoint(5), KNOWN, at(1000));
    assert_that!(reach.is_cut_off(), eq(true));
    assert_that!(reach.trusts_idle(false, at(1000)), eq(true));
}

#[test]
fn two_endpoints_that_are_reached_end_it() {
    let mut reach = cut_off();
    assert_that!(reach.record_connected(&endpoint(0), at(1500)), none());
    assert_that!(reach.record_connected(&endpoint(0), at(1500)), none());
    let change = reach.record_connected(&endpoint(1), at(1500));
    let span = Millis(1000);
    assert_that!(change, some(eq(ReachChange::Restored { span })));
    assert_that!(reach.path(&endpoint(2), at(1500)), eq(Path::Direct));
}

#[test]
fn probes_of_a_daemon_that_stays_cut_off_are_few() {
    let mut reach = cut_off();
    let rounds = (500..60_500).filter(|now| reach.should_probe(false, at(*now)));
    assert_that!(rounds.count(), le(60_000 / 800 + 3));
    // One that hears endpoints doesn't probe, whatever it suspects.
    let mut reach = heard();
    assert_that!(reach.should_probe(true, at(200)), eq(false));
    assert_that!(reach.should_probe(true, at(400)), eq(true));
}

#[test]
fn an_endpoint_that_only_others_reach_is_tried_again_after_pauses_of_two_seconds_at_most() {
    let mut reach = heard();
    let mut tries = 0;
    for now in 0..20_000 {
        reach.record_heard(at(now));
        if reach.path(&endpoint(0), at(now)) == Path::Direct {
            tries += 1;
            reach.record_tunnel(&endpoint(0), at(now));
        }
    }
    assert_that!(tries, ge(10));
    assert_that!(tries, le(16));
    reach.record_connected(&endpoint(0), at(20_000));
    assert_that!(reach.path(&endpoint(0), at(20_000)), eq(Path::Direct));
}

#[test]
fn connections_lost_together_are_lost_by_the_own_link_and_single_ones_are_not() {
    let mut reach = heard();
    reach.record_loss(&endpoint(0), at(0));
    reach.record_loss(&endpoint(0), at(1));
    assert_that!(reach.is_own_loss(&endpoint(0), at(0), at(100)), eq(false));
    for number in 0..3 {
        reach.record_loss(&endpoint(number), at(5000 + number as u64));
    }
    assert_that!(
        reach.is_own_loss(&endpoint(0), at(5000), at(5100)),
        eq(true)
    );
    assert_that!(
        reach.is_own_loss(&endpoint(7), at(9000), at(9100)),
        eq(false)
    );
}

/// Resets of a daemon with a connection to each of some endpoints.
fn connected(endpoints: usize) -> Resets {
    let mut resets = Resets::default();
    for number in 0..endpoints {
        resets.record_opened(&endpoint(number));
    }
    resets
}

fn reset(resets: &mut Resets, endpoints: std::ops::Range<usize>, now: Millis) {
    for number in endpoints {
        resets.record_reset(&endpoint(number), now);
        resets.record_closed(&endpoint(number));
    }
}

#[test]
fn a_link_that_resets_most_connections_is_known_though_they_ran_one_request() {
    let mut resets = connected(10);
    reset(&mut resets, 0..7, at(0));
    assert_that!(resets.is_own(at(0)), eq(true));
    assert_that!(resets.is_own(at(100)), eq(true));
    assert_that!(resets.is_own(at(101)), eq(false));
}

#[test]
fn endpoints_that_end_beside_as_many_others_are_not_taken_for_the_link() {
    let mut resets = connected(10);
    reset(&mut resets, 0..5, at(0));
    assert_that!(resets.is_own(at(0)), eq(false));
    // Nor are two that are all there are, or several that end one after the other.
    let mut resets = connected(2);
    reset(&mut resets, 0..2, at(0));
    assert_that!(resets.is_own(at(0)), eq(false));
    let mut resets = connected(10);
    for number in 0..10 {
        let now = at(60 * number as u64);
        reset(&mut resets, number..number + 1, now);
        assert_that!(resets.is_own(now), eq(false));
    }
}

#[test]
fn an_endpoint_with_connections_left_counts_as_reset_and_closed_ones_do_not_count() {
    let mut resets = connected(8);
    for number in 0..8 {
        resets.record_opened(&endpoint(number));
    }
    // The link spares one of the two connections to each.
    reset(&mut resets, 0..5, at(0));
    assert_that!(resets.is_own(at(0)), eq(true));
    let mut resets = connected(10);
    for number in 3..8 {
        resets.record_closed(&endpoint(number));
    }
    reset(&mut resets, 0..3, at(0));
    assert_that!(resets.is_own(at(0)), eq(true));
}

fn daemon(centre: usize, number: usize) -> SocketAddr {
    let ip = [10, centre as u8, (number / 250) as u8, (number % 250) as u8];
    (ip, 7340).into()
}

/// Daemons of five data centres, the first of which is cut off but for `well` of them.
struct Fleet {
    size: usize,
    well: usize,
}

impl Fleet {
    fn helps(&self, daemon: SocketAddr) -> bool {
        (0..self.well).any(|number| daemon == self::daemon(0, number))
            || (0..self.size).all(|number| daemon != self::daemon(0, number))
    }

    /// Whom each daemon that is cut off asks for `requests` connections, one each 100 ms: for each
    /// helper its connections, and how many requests nobody helped with.
    fn ask(&self, requests: u64) -> (HashMap<SocketAddr, usize>, usize, usize) {
        let mut helped = HashMap::new();
        let (mut failed, mut asked) = (0, 0);
        for me in self.well..self.size {
            let near = (0..self.size).filter(|other| *other != me);
            let near = near.map(|number| daemon(0, number)).collect();
            let far = (1..5).flat_map(|centre| (0..self.size).map(move |n| daemon(centre, n)));
            let mut helpers = Helpers::default();
            helpers.set(near, far.collect());
            let mut rng = Pcg32::seed_from_u64(me as u64);
            for request in 0..requests {
                let now = at(request * 100);
                let candidates = helpers.candidates(now, &mut rng);
                let mut found = None;
                for candidate in candidates {
                    asked += 1;
                    if self.helps(candidate) {
                        found = Some(candidate);
                        break;
                    }
                    helpers.record_failure_of(candidate, HelpFailure::CutOff, now);
                }
                match found {
                    Some(helper) => {
                        helpers.record_help(helper);
                        *helped.entry(helper).or_default() += 1;
                    }
                    None => failed += 1,
                }
            }
        }
        (helped, failed, asked)
    }
}

#[test]
fn a_data_centre_that_is_cut_off_spreads_its_work_over_the_fleet_and_finds_it_at_once() {
    for size in [2, 3, 20, 200, 400] {
        let fleet = Fleet { size, well: 0 };
        let (helped, failed, asked) = fleet.ask(20);
        let requests = size * 20;
        assert_that!(
            failed,
            eq(0),
            "of {requests}, {size} daemons in each data centre"
        );
        assert_that!(asked, le(requests * 2));
        // Four times the mean of the daemons that can help, and of a few.
        let most = helped.values().max().copied().unwrap_or_default();
        let mean = requests / (4 * size);
        assert_that!(
            most,
            le(4 * mean + 80),
            "{size} daemons in each data centre"
        );
    }
}

#[test]
fn while_nobody_can_help_few_are_asked() {
    let near: Vec<SocketAddr> = (0..200).map(|number| daemon(0, number)).collect();
    let mut helpers = Helpers::default();
    helpers.set(near, Vec::new());
    let mut rng = Pcg32::seed_from_u64(1);
    let mut asked = 0;
    for millis in 0..10_000 {
        let candidates = helpers.candidates(at(millis), &mut rng);
        asked += candidates.len();
        for candidate in candidates {
            helpers.record_failure_of(candidate, HelpFailure::CutOff, at(millis));
        }
        helpers.record_none(at(millis));
    }
    // Five each 200 ms, at any rate of requests.
    assert_that!(asked, le(5 * 10_000 / 200 + 5));
}

#[test]
fn requests_that_nobody_is_asked_for_do_not_keep_the_next_ones_from_asking() {
    let mut helpers = Helpers::default();
    helpers.set(vec![daemon(0, 1)], vec![daemon(1, 1)]);
    let mut rng = Pcg32::seed_from_u64(1);
    for helper in [daemon(0, 1), daemon(1, 1)] {
        helpers.record_failure_of(helper, HelpFailure::Busy, START);
    }
    helpers.record_none(START);
    for millis in 0..400 {
        if helpers.candidates(at(millis), &mut rng).is_empty() {
            helpers.record_none(at(millis));
        }
    }
    assert_that!(helpers.candidates(at(400), &mut rng).len(), eq(2));
}

#[test]
fn helpers_that_were_lost_are_asked_again_later_and_later() {
    let mut helpers = Helpers::default();
    helpers.set(vec![daemon(0, 1)], Vec::new());
    let mut rng = Pcg32::seed_from_u64(1);
    let mut asked = 0;
    for millis in 0..60_000 {
        if !helpers.candidates(at(millis), &mut rng).is_empty() {
            asked += 1;
            helpers.record_failure_of(daemon(0, 1), HelpFailure::Silent, at(millis));
        }
    }
    assert_that!(asked, ge(8));
    assert_that!(asked, le(13));
}
