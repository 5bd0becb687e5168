//! Endpoints that fail if they have to turn many requests away.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::{Behaviour, Call, Caller, Notice};
use tokio::time::Instant;

use super::cut::{Cut, PATHS, Site};

/// Requests that an endpoint runs at once, as its entry says.
const SLOTS: usize = 8;
/// Requests that an endpoint turns away in a second without failing.
const LIMIT: &str = "5";
const BRITTLE: Notice = Notice {
    leaving: false,
    retry_after: None,
    brittle: Some(LIMIT),
    extra: None,
};
/// Time from which on endpoints let nobody wait, after they said that they are brittle.
const WARNING: Duration = Duration::from_secs(1);
/// How long callers press.
const PRESS: Duration = Duration::from_secs(4);
/// Time between two requests at one daemon: with three daemons, three times what three endpoints
/// bear.
const PACE: Duration = Duration::from_millis(18);
/// Time between events, and of a whole answer; a request takes one or two.
const STEP: Duration = Duration::from_millis(300);

fn brittle(room: usize) -> Behaviour {
    Behaviour {
        room,
        events: 2,
        pace: STEP,
        ..Behaviour::default()
    }
}

/// Sends requests to a daemon for a while, whatever becomes of them; returns how many were served.
async fn press(site: &Site, daemon: usize, pace: Duration, span: Duration) -> usize {
    let address = site.bench.daemons[daemon].callers();
    let until = Instant::now() + span;
    let mut calls = Vec::new();
    while Instant::now() < until {
        let number = calls.len();
        let path = PATHS[number % PATHS.len()];
        let call = Call::new(format!("p-{daemon}-{number}"), path).with_wait(2000);
        calls.push(tokio::spawn(async move {
            Caller::new(address).send(&call).await.is_success()
        }));
        tokio::time::sleep(pace).await;
    }
    let mut served = 0;
    for call in calls {
        served += usize::from(call.await.expect("a reply"));
    }
    served
}

async fn no_endpoint_falls(site: &Site) {
    for endpoint in &site.bench.endpoints {
        endpoint.say(BRITTLE);
        endpoint.behave(brittle(usize::MAX));
    }
    let slow = PACE * 10;
    tokio::join!(
        press(site, 0, slow, WARNING),
        press(site, 1, slow, WARNING),
        press(site, 2, slow, WARNING)
    );
    site.bench.behave(brittle(SLOTS));
    let served = tokio::join!(
        press(site, 0, PACE, PRESS),
        press(site, 1, PACE, PRESS),
        press(site, 2, PACE, PRESS)
    );
    let fallen = site.bench.endpoints.iter().filter(|e| e.has_crashed());
    assert_that!(fallen.count(), eq(0));
    // A third of what the endpoints could run in that time.
    let could = SLOTS * 3 * PRESS.as_millis() as usize / (2 * STEP.as_millis() as usize);
    assert_that!(served.0 + served.1 + served.2, gt(could / 3));
}

#[tokio::test]
async fn endpoints_that_are_brittle_do_not_fall_under_a_load_beyond_their_slots() {
    let site = Site::start(3, 0, 3).await;
    no_endpoint_falls(&site).await;
}

#[tokio::test]
async fn endpoints_that_are_brittle_do_not_fall_by_daemons_that_are_cut_off() {
    let site = Site::start(3, 1, 3).await;
    site.cut(0, Cut::Reset);
    no_endpoint_falls(&site).await;
}

#[tokio::test]
async fn endpoints_that_are_brittle_do_not_fall_by_a_daemon_that_has_just_started() {
    let mut site = Site::start(3, 0, 3).await;
    no_endpoint_falls(&site).await;
    site.bench.restart_all();
    site.bench.behave(brittle(SLOTS));
    for daemon in 0..3 {
        site.bench.ready(daemon, 3).await;
    }
    tokio::join!(
        press(&site, 0, PACE, WARNING),
        press(&site, 1, PACE, WARNING),
        press(&site, 2, PACE, WARNING)
    );
    let fallen = site.bench.endpoints.iter().filter(|e| e.has_crashed());
    assert_that!(fallen.count(), eq(0));
}
