//! Storing quarantined requests on the platform, and reading them back when a daemon starts.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::quarantine::{
    BASE_DURATION, PlatformSync, Quarantine, RETENTION, Step, StoredRequest,
};

const CRASHING: Fingerprint = Fingerprint(1);
const NOW: Millis = Millis(5000);
const WALL: Millis = Millis(1_800_000_000_000);

fn quarantined() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for endpoint in 1..4 {
        quarantine.record_loss(CRASHING, endpoint, NOW);
    }
    quarantine
}

fn stored() -> StoredRequest {
    quarantined()
        .stored_request(CRASHING, NOW, WALL)
        .expect("quarantined")
}

#[gtest]
fn a_hub_reads_once_what_is_kept_and_no_other_daemon_does() {
    let quarantine = Quarantine::default();
    let mut sync = PlatformSync::default();
    expect_that!(sync.next_step(&quarantine, false), none());
    expect_that!(sync.next_step(&quarantine, true), some(eq(Step::List)));
    sync.listed(&[]);
    expect_that!(sync.next_step(&quarantine, true), none());
}

#[gtest]
fn whoever_lost_endpoints_has_it_kept_and_hubs_do_and_each_once() {
    let quarantine = quarantined();
    let mut finder = PlatformSync::default();
    expect_that!(
        finder.next_step(&quarantine, false),
        some(eq(Step::Create(CRASHING)))
    );
    finder.written(&stored());
    expect_that!(finder.next_step(&quarantine, false), none());
    let mut other = Quarantine::default();
    other.merge(&quarantine.evidence(CRASHING, NOW), NOW);
    expect_that!(PlatformSync::default().next_step(&other, false), none());
    let mut hub = PlatformSync::default();
    hub.listed(&[]);
    expect_that!(
        hub.next_step(&other, true),
        some(eq(Step::Create(CRASHING)))
    );
}

#[gtest]
fn a_further_loss_is_kept_too() {
    let mut quarantine = quarantined();
    let mut sync = PlatformSync::default();
    sync.written(&stored());
    quarantine.record_loss(CRASHING, 4, NOW);
    let step = sync.next_step(&quarantine, false);
    expect_that!(step, some(eq(Step::Replace(CRASHING))));
    sync.written(
        &quarantine
            .stored_request(CRASHING, NOW, WALL)
            .expect("quarantined"),
    );
    expect_that!(sync.next_step(&quarantine, false), none());
}

#[gtest]
fn two_losses_are_not_kept() {
    let mut quarantine = Quarantine::default();
    quarantine.record_loss(CRASHING, 1, NOW);
    quarantine.record_loss(CRASHING, 2, NOW);
    expect_that!(
        PlatformSync::default().next_step(&quarantine, false),
        none()
    );
    expect_that!(quarantine.stored_request(CRASHING, NOW, WALL), none());
}

#[gtest]
fn what_was_served_or_is_old_is_removed() {
    let mut quarantine = quarantined();
    let mut sync = PlatformSync::default();
    sync.written(&stored());
    quarantine.record_served(CRASHING, NOW);
    expect_that!(
        sync.next_step(&quarantine, false),
        some(eq(Step::Remove(CRASHING)))
    );
    sync.removed(CRASHING);
    expect_that!(sync.next_step(&quarantine, false), none());
    // Evidence as old as the retention time is ignored, and its object removed.
    let mut started = Quarantine::default();
    let evidence: Vec<_> = stored().evidence(WALL + RETENTION).collect();
    started.merge(&evidence, Millis(1000));
    let mut hub = PlatformSync::default();
    hub.listed(&[stored()]);
    expect_that!(
        hub.next_step(&started, true),
        some(eq(Step::Remove(CRASHING)))
    );
}

#[gtest]
fn a_daemon_that_starts_holds_what_is_left_of_the_time() {
    let stored = stored();
    expect_that!(stored.lost_at, eq(WALL));
    let mut started = Quarantine::default();
    let evidence: Vec<_> = stored.evidence(WALL + Millis(60_000)).collect();
    started.merge(&evidence, Millis(1000));
    let wait = started.remaining(CRASHING, Millis(1000));
    expect_that!(wait, some(eq(Millis(BASE_DURATION.0 - 60_000))));
    let again = started.stored_request(CRASHING, Millis(1000), WALL + Millis(60_000));
    expect_that!(again, some(eq(&stored)));
}

#[gtest]
fn a_time_of_day_that_was_set_back_makes_no_loss_older_or_younger_than_now() {
    let mut started = Quarantine::default();
    let evidence: Vec<_> = stored().evidence(WALL - Millis(60_000)).collect();
    started.merge(&evidence, Millis(1000));
    expect_that!(
        started.remaining(CRASHING, Millis(1000)),
        some(eq(BASE_DURATION))
    );
}
