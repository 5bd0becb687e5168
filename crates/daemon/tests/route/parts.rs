//! Requests that share one part of their prompts and end each endpoint that begins to answer them,
//! beside sound requests of the same account, route and first part. What counts is what endpoints
//! and callers see on their sockets.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::{Behaviour, Crash, Ending, Form, Framing};
use medlarrill_testkit::routed::field;
use tokio::time::Instant;

use super::incident::{
    BAD, CALM, CONTACT, DAEMONS, DELISTED, ENOUGH, Event, Incident, JUDGED, LONG, ONE_IN, PACED,
    Play, REPLACED, SENT_MAX, TWO,
};

/// Plays an incident: requests with the part stop reaching endpoints, and sound ones are served.
async fn is_contained(incident: Incident) {
    let mut play = Play::start(incident).await;
    let started = Instant::now();
    play.run(CALM, false).await;
    let calm_end = Instant::now();
    if incident.event == Event::Outage {
        play.cause(Event::Outage).await;
    }
    play.run_until_ended(ENOUGH, Duration::from_secs(6)).await;
    let ends = play.seen.ends.clone();
    assert_that!(ends.len(), ge(2), "endpoints ended");
    let known = ends[ends.len().min(ENOUGH) - 1] + CONTACT;
    play.run(CONTACT, true).await;
    if incident.event != Event::Outage {
        play.cause(incident.event).await;
    }
    play.run(CONTACT, true).await;
    let judged = Instant::now();
    play.run(JUDGED, true).await;
    let judged_end = Instant::now();
    let sent = play.bad_runs();
    let late = sent.iter().filter(|at| **at > known).count();
    let before = play.served(started..calm_end).await;
    let after = play.served(judged..judged_end).await;
    println!(
        "{} ended, {late} sent late, sound served {before:?} and {after:?}",
        play.seen.ends.len()
    );
    expect_that!(late, le(SENT_MAX));
    assert_that!(before.1.min(after.1), ge(20));
    expect_that!(after.0, ge(before.0 / 2.0));
}

const UNFRAMED: Behaviour = Behaviour {
    form: Form {
        ending: Some(Ending::new(Framing::None)),
        ..Form::DEFAULT
    },
    ..PACED
};

/// An end after the head and some events.
const fn after_events(events: u64) -> Behaviour {
    Behaviour {
        crash: Some(Crash {
            events,
            ..Crash::of(BAD)
        }),
        ..PACED
    }
}

#[gtest]
#[tokio::test]
async fn a_part_that_ends_endpoints_after_the_head_of_a_stream_is_contained() {
    is_contained(Incident::new("/stream-once/x")).await;
}

#[gtest]
#[tokio::test]
async fn a_part_that_ends_endpoints_before_any_head_is_contained() {
    let behaviour = Behaviour {
        crash: Some(Crash {
            after: None,
            ..Crash::of(BAD)
        }),
        ..PACED
    };
    is_contained(Incident {
        behaviour,
        ..Incident::new("/stream-once/x")
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn a_part_whose_endpoints_close_their_connections_in_order_is_contained() {
    is_contained(Incident {
        behaviour: UNFRAMED,
        ..Incident::new("/stream-once/x")
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn a_part_whose_endpoints_end_in_order_after_an_event_is_contained() {
    let behaviour = Behaviour {
        form: UNFRAMED.form,
        ..after_events(1)
    };
    is_contained(Incident {
        behaviour,
        ..Incident::new("/stream-once/x")
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn a_part_whose_endpoints_fall_silent_is_contained() {
    let behaviour = Behaviour {
        crash: Some(Crash {
            is_silent: true,
            ..Crash::of(BAD)
        }),
        ..PACED
    };
    is_contained(Incident {
        behaviour,
        ..Incident::new("/stream-once/x")
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn a_part_in_streams_that_are_resumed_is_contained() {
    is_contained(Incident {
        behaviour: after_events(1),
        ..Incident::new("/stream/x")
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn a_part_in_idempotent_requests_is_contained() {
    is_contained(Incident::new("/plain/x")).await;
}

#[gtest]
#[tokio::test]
async fn a_first_part_is_contained() {
    is_contained(Incident {
        bad: |number| format!("bad0:200,c{}:300,b{}:80", number % 5, number % 3),
        ..Incident::new("/stream-once/x")
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn a_part_between_shared_ones_is_contained() {
    is_contained(Incident {
        bad: |_| "aa:200,bb:100,bad0:300,cc:80,dd:80".into(),
        sound: |number| format!("aa:200,bb:100,c{}:300,cc:80,dd:80", number % 5),
        behaviour: after_events(1),
        ..Incident::new("/stream-once/x")
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn a_part_that_stands_at_any_place_is_contained() {
    is_contained(Incident {
        bad: |number| {
            let mut parts = vec!["aa:200".to_owned(), format!("b{}:80", number % 3)];
            parts.insert(number / ONE_IN % 3, "bad0:300".into());
            parts.join(",")
        },
        ..Incident::new("/stream-once/x")
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn sound_requests_with_long_streams_are_served() {
    is_contained(Incident {
        behaviour: LONG,
        ..Incident::new("/stream-once/x")
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn sound_requests_with_rare_parts_and_long_streams_are_served() {
    is_contained(Incident {
        behaviour: LONG,
        sound: |number| format!("aa:200,ee{:x}:300", number % 40),
        ..Incident::new("/stream-once/x")
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn sound_requests_with_new_parts_are_served() {
    is_contained(Incident {
        behaviour: LONG,
        // A new system prompt each second, first seen during the incident.
        sound: |number| format!("aa{:x}:200,c{}:300", number / 25, number % 5),
        bad: |number| format!("aa{:x}:200,bad0:300", number / 25),
        ..Incident::new("/stream-once/x")
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn two_parts_that_end_endpoints_are_both_contained() {
    is_contained(Incident {
        behaviour: Behaviour {
            crash: Some(Crash::of(TWO)),
            ..PACED
        },
        bad: |number| format!("aa:200,bad{}:300", number / ONE_IN % 2),
        ..Incident::new("/stream-once/x")
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn a_daemon_that_starts_meanwhile_knows_the_part() {
    is_contained(Incident {
        event: Event::AnotherDaemon,
        ..Incident::new("/stream-once/x")
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn daemons_that_were_all_killed_know_the_part() {
    is_contained(Incident {
        event: Event::AllKilled,
        ..Incident::new("/stream-once/x")
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn a_part_is_contained_while_the_platform_is_away() {
    is_contained(Incident {
        event: Event::Outage,
        ..Incident::new("/stream-once/x")
    })
    .await;
}

/// A play in which the part is known to all daemons and kept on the platform.
async fn known_part() -> Play {
    let mut play = Play::start(Incident::new("/stream-once/x")).await;
    play.run_until_ended(3, Duration::from_secs(6)).await;
    for daemon in 0..DAEMONS {
        play.bench.until(daemon, "quarantine: begins", 1).await;
    }
    play.run(REPLACED + DELISTED, false).await;
    assert_that!(play.bench.store.names("quarantine"), not(is_empty()));
    play
}

#[gtest]
#[tokio::test]
async fn an_operator_lifts_a_quarantine_by_removing_its_object() {
    let play = known_part().await;
    let fixed = Behaviour {
        crash: None,
        ..PACED
    };
    play.bench.behave(fixed);
    let prompt = (play.incident.bad)(1);
    for daemon in 0..DAEMONS {
        let call = play.call("bad", 900 + daemon, &prompt);
        let reply = play.bench.send_to(daemon, &call).await;
        expect_that!(reply.promises_not_run(), eq(true), "{reply:?}");
    }
    for name in play.bench.store.names("quarantine") {
        play.bench.store.remove("quarantine", &name);
    }
    for daemon in 0..DAEMONS {
        play.bench.until(daemon, "quarantine: ends", 1).await;
        let call = play.call("bad", 910 + daemon, &prompt);
        let reply = play.bench.send_to(daemon, &call).await;
        expect_that!(reply.is_success(), eq(true), "{reply:?}");
    }
}

#[gtest]
#[tokio::test]
async fn a_refused_requests_id_leads_to_the_part_and_to_the_endpoints_that_were_lost_with_it() {
    let play = known_part().await;
    let call = play.call("bad", 900, &(play.incident.bad)(1));
    play.bench.send_to(1, &call).await;
    play.bench.until(1, "entry: quarantined", 1).await;
    let refused = play.bench.daemons[1].lines_with("entry: quarantined");
    let refused = refused.iter().find(|line| line.contains("bad-900"));
    let refused = refused.expect("a line on the request");
    expect_that!(field(refused, "part"), some(eq("bad0")));
    let cause = field(refused, "cause").expect("a cause");
    let lines = |text: &str| -> Vec<String> {
        let all = play
            .bench
            .daemons
            .iter()
            .flat_map(|daemon| daemon.lines_with(text));
        all.filter(|line| line.contains(&cause)).collect()
    };
    expect_that!(lines("quarantine: begins").len(), eq(DAEMONS));
    let lost = lines("quarantine: endpoint lost with a request");
    let mut endpoints: Vec<String> = lost
        .iter()
        .filter_map(|line| field(line, "endpoint"))
        .collect();
    endpoints.sort();
    endpoints.dedup();
    expect_that!(endpoints.len(), ge(3));
}
