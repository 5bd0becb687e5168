//! The pages name tests that exist: the register of findings, and the guarantees.

use std::collections::HashSet;
use std::path::{Path, PathBuf};

use googletest::prelude::*;

/// What an entry without a test says instead.
const REASONS: [&str; 7] = [
    "none",
    "open",
    "no test",
    "not ",
    "KNOWN-RED",
    "schedules",
    "questions",
];
/// Fields of a line of the register, with the empty ones at both ends.
const FIELDS: usize = 8;
/// Words of the shortest name of a test that pages are searched for.
const MIN_WORDS: usize = 5;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Names of all test files, and of all functions in them.
fn tests() -> HashSet<String> {
    let mut names = HashSet::new();
    let mut folders = vec![root().join("crates"), root().join("platform")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
            let path = entry.path();
            let is_test = path.components().any(|part| part.as_os_str() == "tests");
            if path.is_dir() {
                folders.push(path);
            } else if is_test && path.extension().is_some_and(|end| end == "rs") {
                let text = std::fs::read_to_string(&path).expect("a test");
                names.insert(entry.file_name().to_string_lossy().into_owned());
                let functions = text.split("fn ").skip(1);
                names.extend(functions.filter_map(|f| Some(f.split_once('(')?.0.to_owned())));
            }
        }
    }
    names
}

fn page(name: &str) -> String {
    std::fs::read_to_string(root().join("docs").join(name)).expect("a page")
}

/// What stands between backticks in a text.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

#[gtest]
fn each_line_of_the_register_names_a_test_that_exists_or_a_reason() {
    let tests = tests();
    let page = page("FINDINGS.md");
    let (_, register) = page
        .split_once("## What we know and left")
        .expect("a register");
    let rows: Vec<Vec<&str>> = register
        .lines()
        .filter(|line| line.starts_with('|'))
        .map(|line| line.split('|').collect())
        .collect();
    assert_that!(rows.len(), gt(2));
    for row in &rows[2..] {
        assert_that!(row.len(), eq(FIELDS), "{row:?}");
        let last = row[FIELDS - 2];
        let files = quoted(last).filter(|name| name.ends_with(".rs"));
        let files: Vec<&str> = files
            .filter_map(|file| file.split('/').next_back())
            .collect();
        for file in &files {
            expect_that!(tests.contains(*file), eq(true), "{file}");
        }
        let has_test = !files.is_empty() || quoted(last).any(|name| tests.contains(name));
        let has_reason = REASONS.iter().any(|reason| last.contains(reason));
        expect_that!(
            has_test || has_reason || last.contains("--"),
            eq(true),
            "{last}"
        );
    }
}

#[gtest]
fn tests_that_the_guarantees_name_exist() {
    let tests = tests();
    let page = page("GUARANTEES.md");
    let is_name = |name: &&str| {
        let is_word = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
        name.split('_').count() >= MIN_WORDS && name.chars().all(is_word) && !name.starts_with('_')
    };
    for name in quoted(&page).filter(is_name) {
        expect_that!(tests.contains(name), eq(true), "{name}");
    }
}
