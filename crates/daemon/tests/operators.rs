//! Operators' changes and questions, through separate processes.

#[path = "support/bench.rs"]
mod bench;
#[path = "support/operator.rs"]
mod operator;

use bench::{GUARD, bench};
use googletest::prelude::*;
use medlarrill_core::change::HEAD_KEY;
use medlarrill_core::clock::Millis;
use medlarrill_core::config::KeyHash;
use medlarrill_core::ids::Generation;
use medlarrill_core::operator::answer::{Request, Verdict};
use medlarrill_testkit::engine::{Message, expected_answer, messages_text};
use medlarrill_testkit::fleet::{Caller, Fleet, Layout, OPERATOR_KEY, metric};
use medlarrill_testkit::http::Outage;
use medlarrill_testkit::platform::Faults;
use medlarrill_testkit::wait::until;
use nix::sys::signal::Signal;
use operator::{accept, ask, generation, head, in_force, post, request, rows, verdicts};

const TOKENS: u64 = 8;

fn opening(text: &str) -> Vec<Message> {
    vec![Message::new("user", &text.repeat(20))]
}

#[gtest]
#[tokio::test]
async fn a_change_through_one_daemon_is_in_force_on_all_and_used() {
    let bench = bench(Layout::default()).await;
    let fleet = &bench.fleet;
    let hash = KeyHash::of(b"parents-key");
    let text = format!("create account padkos.parents key-hash {hash}");
    let accepted = accept(fleet, 0, &text).await;
    expect_that!(accepted, eq(Generation(2)));
    for at in 0..fleet.daemons.len() {
        expect_that!(generation(fleet, at).await, some(eq(2.0)));
        let caller = Caller::new(fleet.daemons[at].started.callers, "parents-key");
        let messages = opening(&format!("stop {at} "));
        let answer = caller.chat("trip", &messages, TOKENS).await.unwrap();
        let right = expected_answer(&messages_text(&messages), TOKENS);
        expect_that!(answer.text, eq(&right));
    }
}

#[gtest]
#[tokio::test]
async fn of_two_operators_who_race_for_one_part_one_is_told_of_the_conflict() {
    let bench = bench(Layout::default()).await;
    let fleet = &bench.fleet;
    let alter = |concurrency: u32| Request {
        base: Some(Generation(1)),
        ..request(&format!(
            "alter account padkos.leaders concurrency {concurrency}"
        ))
    };
    let (one, other) = (alter(11), alter(22));
    let (first, second) = tokio::join!(ask(fleet, 0, &one), ask(fleet, 1, &other));
    let mut seen = [verdicts(&first), verdicts(&second)].concat();
    seen.sort_by_key(ToString::to_string);
    expect_that!(seen, eq(&vec![Verdict::Accepted, Verdict::Conflict]));
    let winner = if verdicts(&first) == [Verdict::Accepted] {
        "11"
    } else {
        "22"
    };
    in_force(fleet, 2, 2.0).await;
    let accounts = rows(fleet, 2, "show accounts of padkos").await;
    expect_that!(accounts[0][3].as_str(), eq(winner));
    expect_that!(head(fleet).generation, eq(Generation(2)));
}

#[gtest]
#[tokio::test]
async fn two_operators_who_race_for_two_parts_are_both_accepted() {
    let bench = bench(Layout::default()).await;
    let fleet = &bench.fleet;
    let (one, other) = (
        request("alter account padkos.leaders concurrency 11"),
        request("alter account kelaniya.toolroom concurrency 22"),
    );
    let (first, second) = tokio::join!(ask(fleet, 0, &one), ask(fleet, 1, &other));
    expect_that!(verdicts(&first), eq(&vec![Verdict::Accepted]));
    expect_that!(verdicts(&second), eq(&vec![Verdict::Accepted]));
    in_force(fleet, 2, 3.0).await;
    let accounts = rows(fleet, 2, "show accounts").await;
    let concurrency = |of: &str| {
        let row = accounts.iter().find(|row| row[1] == of);
        row.map(|row| row[3].clone())
    };
    expect_that!(concurrency("padkos"), some(eq("11")));
    expect_that!(concurrency("kelaniya"), some(eq("22")));
}

#[gtest]
#[tokio::test]
async fn a_change_whose_answer_the_platform_loses_is_accepted_once() {
    let bench = bench(Layout::default()).await;
    let fleet = &bench.fleet;
    fleet.platform.set_faults(Faults {
        lost_answers: 1,
        prefix: HEAD_KEY.into(),
        ..Faults::default()
    });
    let generation = accept(fleet, 0, "create institution harbour").await;
    expect_that!(fleet.platform.faults().lost_answers, eq(0));
    expect_that!(generation, eq(Generation(2)));
    expect_that!(head(fleet).generation, eq(Generation(2)));
    expect_that!(rows(fleet, 1, "show institutions").await, len(eq(3)));
}

#[gtest]
#[tokio::test]
async fn a_write_that_takes_effect_late_is_accepted_once() {
    let bench = bench(Layout::default()).await;
    let fleet = &bench.fleet;
    fleet.platform.set_faults(Faults {
        late_writes: 20,
        late_by: Millis(400),
        prefix: HEAD_KEY.into(),
        ..Faults::default()
    });
    accept(fleet, 0, "create institution harbour").await;
    expect_that!(fleet.platform.faults().late_writes, lt(20));
    fleet.platform.set_faults(Faults::default());
    accept(fleet, 1, "drain endpoint e1").await;
    expect_that!(head(fleet).generation, eq(Generation(3)));
    expect_that!(rows(fleet, 1, "show institutions").await, len(eq(3)));
}

#[gtest]
#[tokio::test]
async fn a_change_sent_again_to_another_daemon_takes_effect_once() {
    let bench = bench(Layout::default()).await;
    let fleet = &bench.fleet;
    let create = request("create institution harbour");
    let first = ask(fleet, 0, &create).await;
    let again = Request {
        repeat: true,
        ..create
    };
    let second = ask(fleet, 1, &again).await;
    expect_that!(verdicts(&second), eq(&vec![Verdict::Accepted]));
    expect_that!(
        second.results[0].generation,
        eq(first.results[0].generation)
    );
    expect_that!(head(fleet).generation, eq(Generation(2)));
}

#[gtest]
#[tokio::test]
async fn a_change_while_the_platform_is_down_is_truly_refused() {
    let bench = bench(Layout::default().with_daemons(2)).await;
    let fleet = &bench.fleet;
    fleet.platform.set_faults(Faults {
        outage: Some(Outage::Unavailable),
        ..Faults::default()
    });
    let drain = Request {
        timeout: Millis(1500),
        ..request("drain endpoint e1")
    };
    let answer = ask(fleet, 0, &drain).await;
    expect_that!(verdicts(&answer), eq(&vec![Verdict::Unavailable]));
    // Questions are answered all the same.
    expect_that!(rows(fleet, 0, "show endpoints of chat").await, len(eq(4)));
    fleet.platform.set_faults(Faults::default());
    accept(fleet, 1, "drain endpoint e2").await;
    let drained = rows(fleet, 0, "show endpoints where state = drained").await;
    let names: Vec<_> = drained.iter().map(|row| row[0].as_str()).collect();
    expect_that!(names, eq(&vec!["e2"]));
}

#[gtest]
#[tokio::test]
async fn a_drained_endpoint_gets_no_new_work_from_any_daemon() {
    let bench = bench(Layout::default().with_engines(2)).await;
    let fleet = &bench.fleet;
    chats(fleet, "before").await;
    let runs = |at: usize| fleet.engines[at].runs().len();
    expect_that!(runs(0), gt(0));
    accept(fleet, 1, "drain endpoint e1").await;
    let before = (runs(0), runs(1));
    chats(fleet, "after").await;
    expect_that!(runs(0), eq(before.0));
    expect_that!(runs(1), eq(before.1 + 12));
    accept(fleet, 2, "undrain endpoint e1").await;
    chats(fleet, "again").await;
    expect_that!(runs(0), gt(before.0));
}

/// Four chats through each of three daemons.
async fn chats(fleet: &Fleet, name: &str) {
    for at in 0..12 {
        let caller = fleet.caller(at % 3).unwrap();
        let messages = opening(&format!("{name} {at} "));
        let chat = format!("{name}-{at}");
        caller.chat(&chat, &messages, TOKENS).await.unwrap();
    }
}

#[gtest]
#[tokio::test]
async fn a_wrong_operator_key_is_refused_and_counted() {
    let bench = bench(Layout::default().with_daemons(1)).await;
    let address = bench.fleet.daemons[0].started.callers;
    let body = serde_json::to_string(&request("show config")).unwrap();
    for (key, body) in [
        ("wrong", body.as_str()),
        ("padkos-leaders-key", body.as_str()),
        ("wrong", "no JSON"),
    ] {
        let (status, text) = post(address, key, body).await;
        expect_that!(status, eq(401));
        expect_that!(text, contains_substring("unauthorised"));
        expect_that!(text, not(contains_substring("padkos")));
    }
    let counted = metric(address, "medlarrill_operator_refusals_total").await;
    expect_that!(counted, some(eq(3.0)));
    let (status, text) = post(address, OPERATOR_KEY, "{\"change\": 7").await;
    expect_that!(status, eq(400));
    expect_that!(text, contains_substring("line 1"));
    let large = " ".repeat(3 << 20);
    let (status, _) = post(address, OPERATOR_KEY, &large).await;
    expect_that!(status, eq(413));
    let (status, _) = post(address, OPERATOR_KEY, &body).await;
    expect_that!(status, eq(200));
}

#[gtest]
#[tokio::test]
async fn waiting_names_the_daemon_that_lags() {
    let bench = bench(Layout::default()).await;
    let fleet = &bench.fleet;
    fleet.daemons[2].signal(Signal::SIGSTOP).unwrap();
    let change = Request {
        wait: true,
        timeout: Millis(700),
        ..request("drain endpoint e1")
    };
    let answer = ask(fleet, 0, &change).await;
    fleet.daemons[2].signal(Signal::SIGCONT).unwrap();
    expect_that!(verdicts(&answer), eq(&vec![Verdict::Accepted]));
    let lagging: Vec<_> = answer.lagging.iter().map(ToString::to_string).collect();
    expect_that!(lagging, eq(&vec!["d3".to_owned()]));
    in_force(fleet, 2, 2.0).await;
}

#[gtest]
#[tokio::test]
async fn questions_are_answered_from_live_state() {
    let bench = bench(Layout::default()).await;
    let fleet = &bench.fleet;
    let daemons = rows(fleet, 0, "show daemons").await;
    let shown: Vec<_> = daemons
        .iter()
        .map(|row| [&row[0], &row[1], &row[2]])
        .collect();
    let live = |name| [name, "live", "1"];
    expect_that!(shown, eq(&vec![live("d1"), live("d2"), live("d3")]));
    expect_that!(rows(fleet, 0, "show daemons of dc2").await, len(eq(1)));
    let answer = fleet.caller(1).unwrap().chat("c", &opening("x"), 4).await;
    let question = format!("show request {}", answer.unwrap().request);
    let state = rows(fleet, 1, &question).await;
    expect_that!(state[1], eq(&vec!["state".to_owned(), "answered".into()]));
    let elsewhere = ask(fleet, 0, &request(&question)).await;
    let finding = elsewhere.results[0].findings[0].message.clone();
    expect_that!(finding, contains_substring("ask that daemon"));
    until("every home counts its endpoints' requests", async || {
        let endpoints = rows(fleet, 0, "show endpoints").await;
        endpoints.len() == 6
            && endpoints
                .iter()
                .all(|row| row[4] == "ready" && row[6] == "0")
    })
    .await;
    let control = rows(fleet, 0, "show control where kind = gossip").await;
    expect_that!(control[0][3].parse::<u64>().unwrap(), gt(0));
    let address = fleet.daemons[0].started.callers;
    for counter in [
        "medlarrill_link_bytes_total{direction=\"sent\",kind=\"gossip\"}",
        "medlarrill_platform_calls_total{role=\"config\",kind=\"get\",ending=\"done\"}",
        "medlarrill_platform_bytes_total{role=\"vms\",direction=\"heard\"}",
    ] {
        expect_that!(metric(address, counter).await, some(gt(0.0)));
    }
}

#[gtest]
#[tokio::test]
async fn an_export_of_the_configuration_reads_back_as_the_same() {
    let bench = bench(Layout::default().with_daemons(1)).await;
    let export = rows(&bench.fleet, 0, "show config").await.concat();
    let text = export.join("\n");
    let sentences = medlarrill_core::operator::parse(&text).unwrap();
    let changes: Vec<_> = sentences
        .iter()
        .filter_map(|s| s.change())
        .cloned()
        .collect();
    let empty = medlarrill_core::config::Config::default();
    let applied = medlarrill_core::change::apply(&empty, &changes)
        .unwrap()
        .config;
    // Rules have no order, the longest route wins.
    let sorted = |config| {
        let changes = medlarrill_core::change::export(config);
        let mut lines: Vec<_> = changes.iter().map(ToString::to_string).collect();
        lines.sort();
        lines
    };
    expect_that!(sorted(&applied), eq(&sorted(&bench.fleet.config)));
    expect_that!(export, len(eq(sorted(&applied).len())));
}

#[gtest]
#[tokio::test]
async fn an_error_points_at_the_word_and_nothing_is_changed() {
    let bench = bench(Layout::default().with_daemons(1)).await;
    let fleet = &bench.fleet;
    let text = "drain endpoint e1; create pool chat2 knd model";
    let answer = ask(fleet, 0, &request(text)).await;
    let finding = &answer.results[0].findings[0];
    expect_that!(finding.place.as_str(), eq("statement 2, word 4"));
    expect_that!(finding.span.unwrap().of(text), eq("knd"));
    let order = ask(fleet, 0, &request("order engine e1 load-model m2")).await;
    expect_that!(verdicts(&order), eq(&vec![Verdict::Refused]));
    let column = ask(fleet, 0, &request("show pools where colour = red")).await;
    let message = column.results[0].findings[0].message.clone();
    expect_that!(message, contains_substring("no column `colour`"));
    expect_that!(head(fleet).generation, eq(Generation(1)));
    let address = fleet.daemons[0].started.callers;
    let label = "medlarrill_operator_statements_total{verdict=\"refused\"}";
    expect_that!(metric(address, label).await, some(eq(3.0)));
    expect_that!(fleet.wait_ready(GUARD).await, eq(true));
}
