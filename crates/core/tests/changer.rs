//! One change at a time: rebase, conflict, retry, unknown outcomes.

#[path = "change_race/platform.rs"]
#[expect(dead_code, reason = "shared with the races, which use all of it")]
mod platform;

use googletest::prelude::*;
use medlarrill_core::change::committer::{Accepted, Action, Conflict, Event, Outcome};
use medlarrill_core::change::{ChangeRecord, Committer, Head, MAX_RECORDS, RECORD_AGE};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{ChangeId, Generation};
use medlarrill_core::operator::{Change, parse};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use platform::Platform;

const FIRST: &str = "create pool a kind service; create pool b kind service; create institution p";
const NOW: Millis = Millis(1000);
const LATE: Millis = Millis(1_000_000);

fn changes(text: &str) -> Vec<Change> {
    let sentences = parse(text).unwrap();
    let changes = sentences.iter().filter_map(|sentence| sentence.change());
    changes.cloned().collect()
}

fn committer(id: u128, text: &str) -> Committer {
    Committer::new(ChangeId(id), changes(text), NOW, NOW)
}

/// A platform without faults that holds the first configuration, as change 1.
fn platform() -> Platform {
    let mut platform = Platform {
        calm: true,
        ..Platform::default()
    };
    accept(&mut platform, 1, FIRST);
    platform
}

/// Runs to the end, or until the head is about to be written.
fn run(
    platform: &mut Platform,
    committer: &mut Committer,
    event: Event,
    stop: bool,
) -> Vec<Action> {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut actions = committer.handle(event, NOW);
    while let Some(action) = actions.pop() {
        let writes = matches!(action, Action::WriteHead { .. });
        if matches!(action, Action::Finish(_) | Action::Wait(_)) || stop && writes {
            return vec![action];
        }
        let event = platform.call(action, &mut rng);
        actions.extend(committer.handle(event, NOW));
    }
    Vec::new()
}

fn finish(platform: &mut Platform, mut committer: Committer) -> Outcome {
    outcome(run(platform, &mut committer, Event::Start, false))
}

fn outcome(mut actions: Vec<Action>) -> Outcome {
    match actions.pop() {
        Some(Action::Finish(outcome)) => outcome,
        other => panic!("{other:?} is no end"),
    }
}

fn accept(platform: &mut Platform, id: u128, text: &str) -> Accepted {
    match finish(platform, committer(id, text)) {
        Outcome::Accepted(accepted) => accepted,
        other => panic!("{other:?}"),
    }
}

fn head(platform: &Platform) -> Head {
    platform.history.last().unwrap().clone()
}

#[gtest]
fn a_change_of_another_part_is_rebased() {
    let mut platform = platform();
    let mut slow = committer(2, "alter pool a slots 3");
    run(&mut platform, &mut slow, Event::Start, true);
    accept(&mut platform, 3, "alter pool b slots 4");
    let end = outcome(run(&mut platform, &mut slow, Event::VersionMismatch, false));
    expect_that!(
        end,
        matches_pattern!(Outcome::Accepted(field!(
            &Accepted.generation,
            eq(Generation(3))
        )))
    );
    expect_that!(head(&platform).parts, len(eq(3)));
}

#[gtest]
fn a_change_of_the_same_part_is_a_conflict_that_names_both() {
    let mut platform = platform();
    let mut slow = committer(2, "alter pool a slots 3");
    run(&mut platform, &mut slow, Event::Start, true);
    accept(&mut platform, 3, "alter pool a queue 4");
    let end = outcome(run(&mut platform, &mut slow, Event::VersionMismatch, false));
    let wanted = Conflict {
        change: ChangeId(2),
        with: Some(ChangeId(3)),
        generation: Generation(2),
        part: "pool/a".parse().unwrap(),
    };
    expect_that!(end, eq(&Outcome::Conflict(wanted)));
    expect_that!(head(&platform).generation, eq(Generation(2)));
}

#[gtest]
fn what_changed_since_the_operator_looked_is_a_conflict() {
    let mut platform = platform();
    accept(&mut platform, 2, "alter pool a slots 3");
    let stale = committer(3, "alter pool a slots 4").with_base(Generation(1));
    expect_that!(
        finish(&mut platform, stale),
        matches_pattern!(Outcome::Conflict(_))
    );
    let other = committer(4, "alter pool b slots 4").with_base(Generation(1));
    expect_that!(
        finish(&mut platform, other),
        matches_pattern!(Outcome::Accepted(_))
    );
}

#[gtest]
fn a_repeat_finds_the_change_that_was_accepted() {
    let mut platform = platform();
    accept(&mut platform, 2, "create pool c kind service");
    accept(&mut platform, 3, "alter pool c slots 9");
    let repeat = committer(2, "create pool c kind service").with_retry();
    expect_that!(
        finish(&mut platform, repeat),
        matches_pattern!(Outcome::Accepted(field!(
            &Accepted.generation,
            eq(Generation(2))
        )))
    );
    expect_that!(head(&platform).generation, eq(Generation(3)));
}

#[gtest]
fn a_refused_repeat_keeps_the_first_request_from_taking_effect() {
    let mut platform = platform();
    let repeat = committer(2, "drop pool c").with_retry();
    expect_that!(
        finish(&mut platform, repeat),
        matches_pattern!(Outcome::Refused(_))
    );
    accept(&mut platform, 3, "create pool c kind service");
    let delayed = committer(2, "drop pool c");
    expect_that!(finish(&mut platform, delayed), eq(&Outcome::Withdrawn));
}

#[gtest]
fn a_repeat_without_effect_is_remembered_all_the_same() {
    let mut platform = platform();
    let repeat = committer(2, "alter pool a slots 16").with_retry();
    expect_that!(
        finish(&mut platform, repeat),
        matches_pattern!(Outcome::Accepted(_))
    );
    accept(&mut platform, 3, "alter pool a slots 5");
    let delayed = committer(2, "alter pool a slots 16");
    expect_that!(
        finish(&mut platform, delayed),
        matches_pattern!(Outcome::Accepted(field!(
            &Accepted.generation,
            eq(Generation(2))
        )))
    );
    expect_that!(head(&platform).generation, eq(Generation(3)));
}

#[gtest]
fn a_lost_write_is_sent_again_word_for_word_until_the_head_moves() {
    let mut platform = platform();
    let mut slow = committer(2, "alter pool a slots 3");
    let write = run(&mut platform, &mut slow, Event::Start, true);
    let wait = run(&mut platform, &mut slow, Event::WriteUnknown, true);
    let Action::Wait(until) = wait[0] else {
        panic!("{wait:?}");
    };
    let read = slow.handle(Event::Timer, until);
    expect_that!(read, eq(&vec![Action::ReadHead]));
    let again = slow.handle(Event::Head(platform.head.clone()), until);
    expect_that!(again, eq(&write));
    expect_that!(
        slow.handle(Event::Timer, LATE),
        eq(&vec![Action::Finish(Outcome::Unknown)])
    );
}

#[gtest]
fn a_change_that_may_have_been_forgotten_is_unknown() {
    let mut platform = platform();
    let mut slow = committer(2, "alter pool a slots 3");
    run(&mut platform, &mut slow, Event::Start, true);
    run(&mut platform, &mut slow, Event::WriteUnknown, true);
    for id in 3..200 {
        let text = format!("alter pool b slots {id}");
        let wall = NOW + Millis(RECORD_AGE.0 * id as u64);
        let other = Committer::new(ChangeId(id), changes(&text), NOW, wall);
        finish(&mut platform, other);
    }
    slow.handle(Event::Timer, NOW + Millis(5000));
    let end = outcome(slow.handle(Event::Head(platform.head.clone()), NOW + Millis(5000)));
    expect_that!(end, eq(&Outcome::Unknown));
}

#[gtest]
fn changes_that_may_be_repeated_are_never_forgotten() {
    let mut platform = platform();
    let mut full = head(&platform);
    let first = full.recent[0];
    let more = (2..=MAX_RECORDS as u128).map(|id| ChangeRecord {
        change: ChangeId(id),
        ..first
    });
    full.recent.extend(more);
    platform.head.as_mut().unwrap().bytes = full.to_bytes().into();
    let over = committer(1 << 20, "alter pool b slots 1");
    expect_that!(
        finish(&mut platform, over),
        matches_pattern!(Outcome::Unavailable(contains_substring("too many changes")))
    );
    expect_that!(head(&platform).record(ChangeId(1)), some(anything()));
}

#[gtest]
fn a_damaged_part_is_not_used() {
    let platform = platform();
    let mut other = committer(2, "alter pool a slots 3");
    other.handle(Event::Start, NOW);
    let reads = other.handle(Event::Head(platform.head.clone()), NOW);
    let Action::ReadPart(digest) = reads[0] else {
        panic!("{reads:?}");
    };
    let bytes = Some("{}".into());
    expect_that!(
        other.handle(Event::Part(digest, bytes), NOW),
        elements_are![matches_pattern!(Action::Wait(_))]
    );
}
