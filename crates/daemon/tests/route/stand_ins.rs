//! What the other tests take for granted of the endpoints that they play before.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::{Behaviour, Call, Caller, Endpoint, Ledger};
use medlarrill_testkit::wait::until;

#[gtest]
#[tokio::test]
async fn endpoints_run_as_many_requests_as_they_have_room_for() {
    for path in ["/once/x", "/stream/x"] {
        let endpoint = Endpoint::start("e-0", Ledger::default(), 1).await;
        let endpoint = endpoint.expect("an endpoint");
        endpoint.behave(Behaviour {
            room: 3,
            events: 1,
            pace: Duration::from_secs(1),
            ..Behaviour::default()
        });
        let mut calls = Vec::new();
        for number in 0..4 {
            let mut caller = Caller::new(endpoint.address());
            let call = Call::new(format!("r-{number}"), path);
            calls.push(tokio::spawn(async move { caller.send(&call).await }));
            until("arrived", async || endpoint.arrivals().len() > number).await;
        }
        let mut served = Vec::new();
        for call in calls {
            served.push(call.await.expect("a reply").is_success());
        }
        expect_that!(served, eq(&[true, true, true, false]), "{path}");
    }
}
