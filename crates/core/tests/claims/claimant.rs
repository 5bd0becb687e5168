//! The entry's machine on its own.

use bytes::Bytes;
use googletest::prelude::*;
use medlarrill_core::claims::{
    CacheLimits, CachedAnswer, ClaimStatus, Claimant, ClaimantAction, ClaimantEvent,
    ClaimantLimits, Digest, KeyHash, KeyState, KeyedRequest, RunOutcome, ShutdownRecord,
};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{Incarnation, RequestId};
use medlarrill_core::reason::Reason;
use medlarrill_core::units::ByteSize;
use medlarrill_core::wire::{ClaimAnswer, ClaimRequest, KeyAnswer, KeyQuery};

use crate::bench::{key, member};

const NOW: Millis = Millis::from_secs(1);

fn claimant() -> Claimant {
    Claimant::new(member(0))
}

fn start(request: u128, key_number: u64) -> ClaimantEvent {
    ClaimantEvent::Start(KeyedRequest {
        request: RequestId(request),
        key: key(key_number),
        digest: Digest::of("POST", "/book", b"one"),
        lifetime: Millis::from_secs(3600),
    })
}

/// The one question among the actions.
fn asked(actions: &[ClaimantAction]) -> ClaimRequest {
    match actions {
        [ClaimantAction::RequestClaim(ask)] => ask.clone(),
        other => panic!("no question: {other:?}"),
    }
}

fn answer(ask: &ClaimRequest, verdict: ClaimStatus) -> ClaimAnswer {
    ClaimAnswer {
        ask: ask.ask,
        verdict: verdict.code(),
        asker: ask.claimant,
        ..ClaimAnswer::default()
    }
}

/// Starts a request and has its claim granted.
fn run(claimant: &mut Claimant, request: u128, key_number: u64, now: Millis) -> ClaimRequest {
    let ask = asked(&claimant.handle(start(request, key_number), now));
    let granted = ClaimantEvent::Answer(answer(&ask, ClaimStatus::Granted));
    let actions = claimant.handle(granted, now);
    let request = RequestId(request);
    assert_that!(actions, eq(&vec![ClaimantAction::Dispatch { request }]));
    ask
}

fn end(claimant: &mut Claimant, request: u128, end: RunOutcome) {
    let request = RequestId(request);
    let event = ClaimantEvent::Ended { request, end };
    assert_that!(claimant.handle(event, NOW), is_empty());
}

fn ran(body: &'static str) -> RunOutcome {
    RunOutcome::Ran(Some(CachedAnswer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(body.as_bytes()),
    }))
}

fn refused(request: u128, reason: Reason) -> Vec<ClaimantAction> {
    let request = RequestId(request);
    vec![ClaimantAction::Refuse { request, reason }]
}

/// What a claimant tells another daemon of a claim.
fn told(claimant: &mut Claimant, key: KeyHash, held: u64, now: Millis) -> KeyAnswer {
    let ask = KeyQuery {
        ask: 77,
        key: key.to_bytes(),
        claimant: member(0).incarnation.0,
        held,
        asker: 9,
    };
    let from = "d9".into();
    match &claimant.handle(ClaimantEvent::KeyQueried { from, query: ask }, now)[..] {
        [ClaimantAction::AnswerKey { answer, .. }] => answer.clone(),
        other => panic!("no answer: {other:?}"),
    }
}

fn told_state(claimant: &mut Claimant, key: KeyHash, held: u64) -> KeyState {
    KeyState::from_code(told(claimant, key, held, NOW).state)
}

/// Starts a request whose key process 9 holds under number 5; returns the question to it.
fn inquire(claimant: &mut Claimant) -> KeyQuery {
    let ask = asked(&claimant.handle(start(1, 7), NOW));
    let held = ClaimAnswer {
        claimant: 9,
        daemon: "d9".into(),
        held: 5,
        ..answer(&ask, ClaimStatus::Held)
    };
    match &claimant.handle(ClaimantEvent::Answer(held), NOW)[..] {
        [ClaimantAction::QueryKey { to, query: ask }] if to == "d9" => ask.clone(),
        other => panic!("no question: {other:?}"),
    }
}

fn key_answer(ask: &KeyQuery, state: KeyState) -> ClaimantEvent {
    ClaimantEvent::KeyAnswer(KeyAnswer {
        ask: ask.ask,
        asker: ask.asker,
        state: state.code(),
        status: 200,
        body: Bytes::from_static(b"done"),
        ..KeyAnswer::default()
    })
}

#[gtest]
fn grant_after_the_deadline_is_ignored() {
    let mut claimant = claimant();
    let ask = asked(&claimant.handle(start(1, 7), NOW));
    let late = NOW + ClaimantLimits::default().claim_timeout;
    let granted = ClaimantEvent::Answer(answer(&ask, ClaimStatus::Granted));
    let actions = claimant.handle(granted, late);
    expect_that!(actions, eq(&refused(1, Reason::ClaimUnavailable)));
    expect_that!(
        told_state(&mut claimant, key(7), ask.ask),
        eq(KeyState::NotRun)
    );
}

#[gtest]
fn grant_to_an_earlier_process_of_the_daemon_is_ignored() {
    let mut claimant = claimant();
    let ask = asked(&claimant.handle(start(1, 7), NOW));
    let mut granted = answer(&ask, ClaimStatus::Granted);
    granted.asker = 12;
    expect_that!(
        claimant.handle(ClaimantEvent::Answer(granted), NOW),
        is_empty()
    );
}

#[gtest]
fn answer_is_held_for_callers_here_and_elsewhere() {
    let mut claimant = claimant();
    let ask = run(&mut claimant, 1, 7, NOW);
    let running = claimant.handle(start(2, 7), NOW);
    expect_that!(running, eq(&refused(2, Reason::KeyRunning)));
    expect_that!(
        told_state(&mut claimant, key(7), ask.ask),
        eq(KeyState::Running)
    );
    end(&mut claimant, 1, ran("done"));
    let replayed = claimant.handle(start(3, 7), NOW);
    let is_replay =
        matches!(&replayed[..], [ClaimantAction::Replay { answer, .. }] if answer.body == "done");
    expect_that!(is_replay, eq(true));
    expect_that!(told(&mut claimant, key(7), ask.ask, NOW).body, eq("done"));
    let late = NOW + CacheLimits::default().retention;
    let state = told(&mut claimant, key(7), ask.ask, late).state;
    expect_that!(KeyState::from_code(state), eq(KeyState::Ran));
    let again = claimant.handle(start(4, 7), late);
    expect_that!(again, eq(&refused(4, Reason::KeyRan)));
}

#[gtest]
fn held_answer_goes_only_with_its_own_claim() {
    let mut claimant = claimant();
    // The first claim of the key was given up; the second, which may be of another request, ran.
    let first = asked(&claimant.handle(start(1, 7), NOW));
    let refusal = ClaimantEvent::Answer(answer(&first, ClaimStatus::Unavailable));
    claimant.handle(refusal, NOW);
    let second = run(&mut claimant, 2, 7, NOW);
    end(&mut claimant, 2, ran("done"));
    expect_that!(
        told_state(&mut claimant, key(7), first.ask),
        eq(KeyState::Ran)
    );
    expect_that!(
        told_state(&mut claimant, key(7), second.ask),
        eq(KeyState::Held)
    );
}

#[gtest]
fn request_that_was_not_sent_may_run_later() {
    let mut claimant = claimant();
    let first = run(&mut claimant, 1, 7, NOW);
    end(&mut claimant, 1, RunOutcome::NotRun);
    expect_that!(
        told_state(&mut claimant, key(7), first.ask),
        eq(KeyState::NotRun)
    );
    let second = asked(&claimant.handle(start(2, 7), NOW));
    let held = ClaimAnswer {
        claimant: first.claimant,
        held: first.ask,
        ..answer(&second, ClaimStatus::Held)
    };
    let third = asked(&claimant.handle(ClaimantEvent::Answer(held), NOW));
    expect_that!(third.abandoned_ask, eq(first.ask));
    expect_that!(third.abandoned_claimant, eq(first.claimant));
    expect_that!(third.ask, gt(second.ask));
}

#[gtest]
fn forgotten_runs_are_not_said_to_be_not_run() {
    let limits = ClaimantLimits {
        max_keys: 1,
        ..ClaimantLimits::default()
    };
    let mut claimant = claimant().with_limits(limits);
    let first = run(&mut claimant, 1, 1, NOW);
    end(&mut claimant, 1, RunOutcome::Ran(None));
    let second = run(&mut claimant, 2, 2, NOW);
    end(&mut claimant, 2, RunOutcome::Ran(None));
    let third = asked(&claimant.handle(start(3, 3), NOW));
    claimant.handle(
        ClaimantEvent::Answer(answer(&third, ClaimStatus::Unavailable)),
        NOW,
    );
    expect_that!(
        told_state(&mut claimant, key(1), first.ask),
        eq(KeyState::Unknown)
    );
    expect_that!(
        told_state(&mut claimant, key(2), second.ask),
        eq(KeyState::Ran)
    );
    expect_that!(
        told_state(&mut claimant, key(3), third.ask),
        eq(KeyState::NotRun)
    );
}

#[gtest]
fn claimant_of_another_process_is_unknown() {
    let mut claimant = claimant();
    let ask = KeyQuery {
        key: key(7).to_bytes(),
        claimant: 12,
        held: 1,
        ..KeyQuery::default()
    };
    let from = "d9".into();
    let actions = claimant.handle(ClaimantEvent::KeyQueried { from, query: ask }, NOW);
    let is_unknown =
        matches!(&actions[..], [ClaimantAction::AnswerKey { answer, .. }] if answer.state == 0);
    expect_that!(is_unknown, eq(true));
}

#[gtest]
fn holder_decides_what_the_caller_is_told() {
    for (state, reason) in [
        (KeyState::Running, Reason::KeyRunning),
        (KeyState::Ran, Reason::KeyRan),
    ] {
        let mut claimant = claimant();
        let ask = inquire(&mut claimant);
        let actions = claimant.handle(key_answer(&ask, state), NOW);
        expect_that!(actions, eq(&refused(1, reason)));
    }
    let mut claimant = claimant();
    let ask = inquire(&mut claimant);
    let actions = claimant.handle(key_answer(&ask, KeyState::Held), NOW);
    let is_replay =
        matches!(&actions[..], [ClaimantAction::Replay { answer, .. }] if answer.body == "done");
    expect_that!(is_replay, eq(true));
}

#[gtest]
fn claim_that_its_holder_gave_up_is_asked_for_again() {
    let mut claimant = claimant();
    let ask = inquire(&mut claimant);
    let again = asked(&claimant.handle(key_answer(&ask, KeyState::NotRun), NOW));
    expect_that!((again.abandoned_claimant, again.abandoned_ask), eq((9, 5)));
}

#[gtest]
fn last_word_of_a_holder_that_is_gone_counts() {
    let cases = [
        (Some((6, vec![5])), Some(Reason::KeyRan)),
        (Some((6, vec![4])), None),
        (None, Some(Reason::KeyUnknown)),
    ];
    for (record, reason) in cases {
        let mut claimant = claimant();
        let ask = inquire(&mut claimant);
        let gone = ClaimantEvent::QueryLost { number: ask.ask };
        let reading = claimant.handle(gone, NOW);
        let holder = Incarnation(9);
        let read = ClaimantAction::ReadShutdownRecord { claimant: holder };
        expect_that!(reading, eq(&vec![read]));
        let bytes = record.map(|(next, ran)| {
            let claims = medlarrill_core::claims::NumberOutcomes {
                next,
                ran,
                ..Default::default()
            };
            ShutdownRecord::new(holder, Some(claims), None, Millis::MAX).to_bytes()
        });
        let event = ClaimantEvent::ShutdownRecord {
            claimant: holder,
            bytes,
        };
        let actions = claimant.handle(event, NOW);
        match reason {
            Some(reason) => expect_that!(actions, eq(&refused(1, reason))),
            None => expect_that!(asked(&actions).abandoned_ask, eq(5)),
        }
    }
}

#[gtest]
fn stopping_process_refuses_what_it_has_not_dispatched() {
    let mut claimant = claimant();
    let running = run(&mut claimant, 1, 1, NOW);
    asked(&claimant.handle(start(2, 2), NOW));
    expect_that!(claimant.outcomes(), none());
    let actions = claimant.handle(ClaimantEvent::Stop, NOW);
    expect_that!(actions, eq(&refused(2, Reason::Stopping)));
    expect_that!(
        claimant.handle(start(3, 3), NOW),
        eq(&refused(3, Reason::Stopping))
    );
    end(&mut claimant, 1, ran("done"));
    let outcomes = claimant.outcomes().unwrap();
    expect_that!(outcomes.ran, eq(&vec![running.ask]));
}

#[gtest]
fn held_answers_stay_within_their_bytes() {
    let limits = ClaimantLimits {
        answers: CacheLimits {
            max_total: ByteSize(3000),
            max_answer: ByteSize(1500),
            retention: Millis::from_secs(60),
        },
        ..ClaimantLimits::default()
    };
    let mut claimant = claimant().with_limits(limits);
    for number in 1..=10 {
        run(&mut claimant, number, number as u64, NOW);
        let size = if number == 10 { 2000 } else { 1000 };
        let answer = CachedAnswer {
            status: 200,
            headers: Vec::new(),
            body: vec![0; size].into(),
        };
        end(&mut claimant, number, RunOutcome::Ran(Some(answer)));
        expect_that!(claimant.cached_bytes(), le(3000));
    }
    let large = claimant.handle(start(20, 10), NOW);
    expect_that!(large, eq(&refused(20, Reason::KeyRan)));
    let kept = claimant.handle(start(21, 9), NOW);
    expect_that!(
        matches!(kept[..], [ClaimantAction::Replay { .. }]),
        eq(true)
    );
}
