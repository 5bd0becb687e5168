//! The engine's text: answers that tests can check, and prefixes.

use std::collections::HashSet;

use googletest::prelude::*;
use medlarrill_testkit::engine::{
    BLOCK_TOKENS, Message, TOKEN_BYTES, block_hashes, expected_answer, messages_text, token_count,
};

#[gtest]
fn tokens_tell_their_place_and_prompt() {
    const TOKENS: u64 = 200;
    let answer = expected_answer("one", TOKENS);
    expect_that!(answer.len(), eq(TOKENS as usize * TOKEN_BYTES));
    let places: HashSet<_> = answer.as_bytes().chunks(TOKEN_BYTES).collect();
    expect_that!(places, len(eq(TOKENS as usize)));
    let foreign = expected_answer("two", TOKENS);
    let same = answer
        .as_bytes()
        .chunks(TOKEN_BYTES)
        .zip(foreign.as_bytes().chunks(TOKEN_BYTES));
    expect_that!(same.filter(|(own, other)| own == other).count(), eq(0));
    expect_that!(answer.starts_with(&expected_answer("one", 7)), eq(true));
}

#[gtest]
fn a_next_turn_begins_with_the_last_one() {
    let answer = expected_answer("x", 40);
    let first = [
        Message::new("user", "plan"),
        Message::new("assistant", &answer),
    ];
    let next = [first.as_slice(), &[Message::new("user", "and then?")]].concat();
    let (first, next) = (messages_text(&first), messages_text(&next));
    expect_that!(next.starts_with(&first), eq(true));
    let blocks = token_count(&first) as usize / BLOCK_TOKENS;
    expect_that!(
        block_hashes(&first)[..blocks],
        eq(&block_hashes(&next)[..blocks])
    );
}

#[gtest]
fn block_hashes_depend_on_all_before() {
    let text = |start: &str| format!("{start}{}", "a".repeat(3 * BLOCK_TOKENS * TOKEN_BYTES));
    let (one, other) = (block_hashes(&text("x")), block_hashes(&text("y")));
    expect_that!(one, len(eq(3)));
    expect_that!(
        one.iter().zip(&other).filter(|(a, b)| a == b).count(),
        eq(0)
    );
}
