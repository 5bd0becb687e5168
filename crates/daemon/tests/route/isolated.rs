//! Daemons whose paths to the endpoints are cut, while callers, the store and the other daemons
//! reach them.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::{Behaviour, Call};
use medlarrill_testkit::proxy::{Entry, Harm};
use medlarrill_testkit::routed::{WAIT, read};
use tokio::time::Instant;

use super::cut::{Cut, PATHS, Site};
use super::setup::Bench;

/// Time from a cut until a daemon serves as well as the others again.
const SETTLE: Duration = Duration::from_secs(1);
/// First tries at one daemon in a second.
const A_SECOND: usize = 25;
/// Endpoints of which one link resets all connections at once.
const ENDPOINTS: usize = 6;
/// Times that this happens.
const RESETS: usize = 8;
/// Time in which a request is refused that can't be served.
const AT_ONCE: Duration = Duration::from_millis(300);

async fn is_served_as_well_as_others(cut: Cut) {
    let site = Site::start(4, 1, 3).await;
    assert_that!(site.first_tries(0, "before", A_SECOND).await, is_empty());
    site.cut(0, cut);
    let until = Instant::now() + SETTLE;
    site.first_tries(0, "early", A_SECOND).await;
    tokio::time::sleep_until(until).await;
    let (cut_off, others) = tokio::join!(
        site.first_tries(0, "late", 2 * A_SECOND),
        site.first_tries(1, "late", 2 * A_SECOND)
    );
    assert_that!(others, is_empty());
    assert_that!(cut_off, is_empty());
    site.heal(0);
    tokio::time::sleep(SETTLE).await;
    assert_that!(site.first_tries(0, "after", A_SECOND).await, is_empty());
}

#[tokio::test]
async fn a_daemon_whose_ways_to_endpoints_hang_serves_as_well_as_others() {
    is_served_as_well_as_others(Cut::Hang).await;
}

#[tokio::test]
async fn a_daemon_whose_ways_to_endpoints_are_reset_serves_as_well_as_others() {
    is_served_as_well_as_others(Cut::Reset).await;
}

#[tokio::test]
async fn a_daemon_that_gets_no_new_connection_to_endpoints_serves_as_well_as_others() {
    is_served_as_well_as_others(Cut::NewOnly).await;
}

#[tokio::test]
async fn a_daemon_that_never_reached_an_endpoint_serves_as_well_as_others() {
    for cut in [Cut::Hang, Cut::Reset] {
        let site = Site::start(4, 1, 2).await;
        site.cut(0, cut);
        let failed = site.first_tries(0, "first", A_SECOND).await;
        let faults = site.bench.daemons[0].lines_with("attempt failed");
        assert_that!(failed, is_empty(), "{faults:?}");
    }
}

/// The value of a counter with a reason at a daemon.
fn counted(site: &Site, daemon: usize, name: &str) -> u64 {
    let text = read(site.bench.daemons[daemon].listen[2], "/metrics", WAIT).expect("metrics");
    let lines = text.lines().filter(|line| line.starts_with(name));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}

async fn all_cut_off_refuse_at_once(cut: Cut) {
    let site = Site::start(4, 2, 2).await;
    site.cut(0, cut);
    site.cut(1, cut);
    site.first_tries(0, "early", A_SECOND).await;
    site.first_tries(1, "early", A_SECOND).await;
    let asked = counted(&site, 0, "medlarrill_tunnels_total");
    let from = Instant::now();
    for number in 0..2 * A_SECOND {
        let attempt = format!("late-{number}");
        let call = Call::new(&attempt, PATHS[number % PATHS.len()]);
        let sent = Instant::now();
        let reply = site.bench.send_to(0, &call).await;
        assert_that!(sent.elapsed(), lt(AT_ONCE));
        assert_that!(reply.promises_not_run(), eq(true), "{reply:?}");
        assert_that!(site.bench.ledger.runs(&attempt), is_empty());
        Bench::pause(20).await;
    }
    // One other daemon, which is asked again after a pause only.
    let asked = counted(&site, 0, "medlarrill_tunnels_total") - asked;
    let most = 2 * (1 + from.elapsed().as_secs());
    assert_that!(asked, le(most));
    site.heal(0);
    site.heal(1);
    tokio::time::sleep(SETTLE).await;
    assert_that!(site.first_tries(0, "after", A_SECOND).await, is_empty());
}

#[tokio::test]
async fn daemons_that_are_all_cut_off_and_hang_refuse_at_once_and_truly() {
    all_cut_off_refuse_at_once(Cut::Hang).await;
}

#[tokio::test]
async fn daemons_that_are_all_cut_off_and_reset_refuse_at_once_and_truly() {
    all_cut_off_refuse_at_once(Cut::Reset).await;
}

#[tokio::test]
async fn a_request_that_may_run_once_is_not_lost_on_a_connection_that_died_unseen() {
    let site = Site::start(4, 1, 2).await;
    assert_that!(site.first_tries(0, "before", A_SECOND).await, is_empty());
    site.cut(0, Cut::Hang);
    Bench::pause(400).await;
    for number in 0..6 {
        let call = Call::new(format!("once-{number}"), "/once/x");
        let reply = site.bench.send_to(0, &call).await;
        assert_that!(reply.is_success(), eq(true), "{reply:?}");
    }
}

#[tokio::test]
async fn an_endpoint_that_is_silent_for_a_second_is_used_again_and_nobody_is_taken_as_cut_off() {
    let site = Site::start(4, 2, 2).await;
    for daemon in [0, 1] {
        site.paths[daemon][0].harm(Harm::Hold);
        site.paths[daemon][0].admit(Entry::Hang);
    }
    let silent = tokio::join!(
        site.first_tries(0, "silent", A_SECOND),
        site.first_tries(1, "silent", A_SECOND)
    );
    for daemon in [0, 1] {
        site.paths[daemon][0].harm(Harm::None);
        site.paths[daemon][0].admit(Entry::Open);
    }
    assert_that!(silent.0, is_empty());
    assert_that!(silent.1, is_empty());
    let before = site.bench.endpoints[0].arrivals().len();
    for daemon in [0, 1] {
        assert_that!(
            site.first_tries(daemon, "after", A_SECOND).await,
            is_empty()
        );
        let cut_off = site.bench.daemons[daemon].lines_with("none can be reached");
        assert_that!(cut_off, is_empty());
    }
    // A tenth of its share at least.
    let after = site.bench.endpoints[0].arrivals().len() - before;
    assert_that!(after, ge(2 * A_SECOND / 40));
}

#[tokio::test]
async fn what_a_daemon_that_is_cut_off_sees_is_not_held_against_endpoints() {
    for cut in [Cut::Hang, Cut::Reset] {
        let site = Site::start(4, 1, 2).await;
        site.bench.behave(Behaviour {
            pace: Duration::from_millis(150),
            ..Behaviour::default()
        });
        let (before, _) = tokio::join!(site.first_tries(0, "before", 2 * A_SECOND), async {
            Bench::pause(1000).await;
            site.cut(0, cut);
        });
        // Requests that were under way when their paths were cut.
        assert_that!(before.len(), gt(0));
        let (_, others) = tokio::join!(
            site.first_tries(0, "late", 2 * A_SECOND),
            site.first_tries(1, "late", 2 * A_SECOND)
        );
        assert_that!(others, is_empty());
        let judged = site.bench.daemons[1].lines_with("endpoint judged anew");
        let faults = site.bench.daemons[0].lines_with("attempt failed");
        assert_that!(judged, is_empty(), "{faults:?}");
        let quarantined = site.bench.daemons[1].lines_with("quarantine: begins");
        assert_that!(quarantined, is_empty());
    }
}

#[tokio::test]
async fn a_request_that_runs_while_the_own_link_is_reset_is_not_quarantined() {
    let site = Site::start(ENDPOINTS, 1, 2).await;
    site.bench.behave(Behaviour {
        pace: Duration::from_millis(100),
        ..Behaviour::default()
    });
    let call = |name: String| Call::new(name, "/stream-once/x").with_body(b"again".as_slice());
    for round in 0..RESETS {
        // Leaves idle connections to most endpoints.
        let warm = site
            .first_tries(0, &format!("warm-{round}"), A_SECOND)
            .await;
        assert_that!(warm, is_empty());
        let call = call(format!("reset-{round}"));
        let (reply, ()) = tokio::join!(site.bench.send_to(0, &call), async {
            Bench::pause(150).await;
            site.paths[0].iter().for_each(|path| path.harm(Harm::Reset));
            Bench::pause(50).await;
            site.paths[0].iter().for_each(|path| path.harm(Harm::None));
        });
        assert_that!(reply.is_success(), eq(false), "{reply:?}");
    }
    for (number, daemon) in site.bench.daemons.iter().enumerate() {
        assert_that!(daemon.lines_with("quarantine: begins"), is_empty());
        let reply = site
            .bench
            .send_to(number, &call(format!("after-{number}")))
            .await;
        assert_that!(reply.is_success(), eq(true), "{reply:?}");
    }
}

#[tokio::test]
async fn a_request_that_no_connection_could_be_made_for_has_truly_not_run() {
    let site = Site::start(1, 1, 1).await;
    site.cut(0, Cut::Hang);
    for number in 0..4 {
        let attempt = format!("r-{number}");
        let call = Call::new(&attempt, "/once/x").with_wait(250);
        let reply = site.bench.send_to(0, &call).await;
        assert_that!(reply.promises_not_run(), eq(true), "{reply:?}");
        assert_that!(site.bench.ledger.runs(&attempt), is_empty());
    }
}
