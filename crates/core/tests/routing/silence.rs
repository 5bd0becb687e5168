//! Endpoints that give no sign of life while they have requests.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::causes::Causes;
use medlarrill_core::routing::endpoint::InstanceId;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::runs::Silences;
use medlarrill_core::routing::view::View;

use super::support::{endpoint, id, view};

const START: Millis = Millis(5000);

/// Sends a request to an endpoint, which begins to answer it.
fn answer(view: &mut View, id: &InstanceId, now: Millis) {
    let causes = Causes::of_request(Fingerprint(1));
    let run_id = view.runs().begin(id, &"v1".into(), causes, now);
    view.runs().set_sent(id, run_id, true);
    view.record_sign(id, run_id, now);
}

fn three_of_four_busy() -> View {
    let mut view = view("near", 1);
    for name in ["a", "b", "c", "d"] {
        view.upsert(endpoint(name), START);
    }
    for (name, sign) in [("a", 0), ("b", 100), ("c", 500)] {
        answer(&mut view, &id(name), START + Millis(sign));
    }
    view
}

#[gtest]
fn a_silence_is_told_with_how_many_others_are_silent() {
    let view = three_of_four_busy();
    let seen = view
        .silence(&id("a"), START + Millis(600))
        .expect("a silence");
    expect_that!(seen.lasted, eq(Millis(600)));
    expect_that!(
        seen.others,
        eq(Silences {
            silent: 1,
            heard: 1
        })
    );
}

#[gtest]
fn an_endpoint_without_requests_is_not_silent() {
    let view = three_of_four_busy();
    expect_that!(view.silence(&id("d"), START + Millis(600)), none());
}
