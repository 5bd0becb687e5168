//! The operators' language: parsing, formatting, and errors with their place.

use googletest::prelude::*;
use medlarrill_core::operator::{
    Change, ParsedStatement, Show, Span, Statement, SyntaxError, parse,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn errors(text: &str) -> Vec<SyntaxError> {
    parse(text).expect_err("the text is wrong").0
}

fn error(text: &str) -> SyntaxError {
    let mut errors = errors(text);
    assert_eq!(errors.len(), 1);
    errors.remove(0)
}

#[gtest]
fn statements_stand_on_lines_or_between_semicolons() {
    let text = "show pools; show load of chat # Comment; more.\n\n  ;drain endpoint e1\r\n";
    let sentences = parse(text).unwrap();
    let shown: Vec<_> = sentences.iter().map(|s| s.statement.to_string()).collect();
    expect_that!(
        shown,
        elements_are![
            eq("show pools"),
            eq("show load of chat"),
            eq("drain endpoint e1")
        ]
    );
    expect_that!(sentences[2].span.of(text), eq("drain endpoint e1"));
}

#[gtest]
fn every_verb_is_read_and_written_back() {
    let hash = "ab".repeat(32);
    let account =
        format!("create account padkos.leaders key-hash {hash} rate 50/s concurrency 200");
    let texts = [
        "create institution padkos share 3 key-lifetime 86400000ms queue-wait 10000ms",
        account.as_str(),
        "create pool chat kind model model m1 slots 16 load-bound 1.25 queue 64 refusal not-run first-byte 30000ms gap 30000ms",
        "create endpoint e1 pool chat address 127.0.0.1:9001 data-centre dc1 vm vm-9 fencing checked",
        "create endpoint e2 pool chat address [::1]:9001 data-centre dc1",
        "create rule padkos route /v1/chat/completions model m1 pool chat non-idempotent",
        "alter institution padkos share 4",
        "alter rule padkos route /book idempotent",
        "drop institution padkos",
        "drop account padkos.leaders",
        "drop pool chat",
        "drop endpoint e1",
        "drop rule padkos route /book model \"m 1\"",
        "drain endpoint e1",
        "undrain endpoint e1",
        "order engine e1 load-model m2",
        "order engine e1 load-adapter \"a b\"",
        "order engine e1 set-version 7",
        "order engine e1 set-role prefill",
        "show daemons",
        "show endpoints of chat where state = live and vm != \"\\\"\"",
        "show endpoint e1",
        "show request 0000000000000000000000000000002a",
    ];
    for text in texts {
        let sentences = parse(text).unwrap();
        expect_that!(sentences[0].statement.to_string(), eq(text));
    }
}

#[gtest]
fn the_operators_page_can_be_read() {
    let page = include_str!("../../../docs/OPERATOR-LANGUAGE.md");
    let blocks: Vec<_> = page.split("```operator\n").skip(1).collect();
    expect_that!(blocks, len(eq(3)));
    for block in blocks {
        let text = block.split("```").next().unwrap();
        expect_that!(parse(text), ok(not(is_empty())));
    }
}

#[gtest]
fn every_statement_of_the_page_by_task_can_be_read() {
    let page = include_str!("../../../docs/OPERATING.md");
    let blocks: Vec<_> = page.split("```operator\n").skip(1).collect();
    expect_that!(blocks, not(is_empty()));
    for block in blocks {
        let text = block.split("```").next().unwrap();
        expect_that!(parse(text), ok(not(is_empty())));
    }
}

#[gtest]
fn an_error_points_at_its_word_and_says_what_was_expected() {
    let text = "show pools; create pool chat knd model";
    let error = error(text);
    expect_that!(error.statement, eq(2));
    expect_that!(error.word, eq(4));
    expect_that!(error.span.of(text), eq("knd"));
    expect_that!(
        error.message,
        all![
            contains_substring("`kind`"),
            contains_substring("found `knd`")
        ]
    );
}

#[gtest]
fn an_error_at_the_end_points_behind_the_last_word() {
    let text = "create endpoint e1 pool chat address 127.0.0.1:1";
    let error = error(text);
    expect_that!(error.span, eq(Span::from(text.len()..text.len())));
    expect_that!(
        error.message,
        eq("expected `data-centre`; the statement ends here")
    );
}

#[gtest]
fn a_bad_value_is_explained() {
    let text = "create institution padkos queue-wait soon";
    let error = error(text);
    expect_that!(error.span.of(text), eq("soon"));
    expect_that!(
        error.message,
        contains_substring("write a number and ms, s, m, h or d")
    );
}

#[gtest]
fn all_wrong_statements_are_reported() {
    let found = errors("shw pools\nshow pools\ndrain pool chat; show \"pools\"; drop pool \"x");
    let places: Vec<_> = found.iter().map(|e| (e.statement, e.word)).collect();
    expect_that!(places, eq(&vec![(1, 1), (3, 2), (4, 2), (5, 3)]));
}

#[gtest]
fn a_key_given_twice_is_an_error() {
    let twice = error("alter pool chat slots 1 slots 2");
    expect_that!(twice.word, eq(6));
    let both = error("create rule p route /x pool q idempotent non-idempotent");
    expect_that!(both.message, contains_substring("only one of"));
    expect_that!(both.word, eq(9));
}

#[gtest]
fn too_long_a_text_is_refused_whole() {
    let text = "show pools\n".repeat(100_000);
    expect_that!(error(&text).message, contains_substring("at most"));
}

fn name() -> impl Strategy<Value = String> {
    // Keywords are valid names too.
    let words = proptest::sample::select(vec!["pool", "kind", "share", "of", "where", "and"]);
    prop_oneof![3 => "[a-zA-Z0-9_-]{1,12}", 1 => words.prop_map(String::from)]
}

fn quoted() -> impl Strategy<Value = String> {
    "[ -~\u{e4}]{1,12}".prop_map(|text| {
        let escaped = text.replace('\\', r"\\").replace('"', "\\\"");
        format!("\"{escaped}\"")
    })
}

fn time() -> impl Strategy<Value = String> {
    (
        0u64..1 << 40,
        proptest::sample::select(vec!["ms", "s", "m", "h"]),
    )
        .prop_map(|(number, unit)| format!("{number}{unit}"))
}

/// Some of the keys, each with a value, in any order.
fn terms(
    terms: Vec<(&'static str, BoxedStrategy<String>)>,
    least: usize,
) -> impl Strategy<Value = String> {
    let count = terms.len();
    let values: Vec<_> = terms
        .into_iter()
        .map(|(key, value)| value.prop_map(move |value| format!("{key} {value}")))
        .collect();
    (values, least..=count).prop_flat_map(|(all, count)| {
        proptest::sample::subsequence(all, count)
            .prop_shuffle()
            .prop_map(|some| some.join(" "))
    })
}

fn pool_terms(least: usize) -> impl Strategy<Value = String> {
    let kind = proptest::sample::select(vec!["model", "service"]).prop_map(String::from);
    let refusal = proptest::sample::select(vec!["not-run", "unknown"]).prop_map(String::from);
    let number = || any::<u32>().prop_map(|n| n.to_string()).boxed();
    let bound = (0.0f64..1e6).prop_map(|n| n.to_string());
    let all = vec![
        ("kind", kind.boxed()),
        ("model", name().boxed()),
        ("slots", number()),
        ("load-bound", bound.boxed()),
        ("queue", number()),
        ("refusal", refusal.boxed()),
        ("first-byte", time().boxed()),
        ("gap", time().boxed()),
    ];
    terms(all, least)
}

fn statement() -> impl Strategy<Value = String> {
    let rate = (0u32..100_000).prop_map(|n| format!("{}/s", f64::from(n) / 8.0));
    let hash = "[0-9a-f]{64}";
    let account = terms(
        vec![
            ("key-hash", hash.boxed()),
            ("rate", rate.boxed()),
            (
                "concurrency",
                any::<u32>().prop_map(|n| n.to_string()).boxed(),
            ),
        ],
        3,
    );
    prop_oneof![
        (name(), pool_terms(8)).prop_map(|(id, terms)| format!("create pool {id} {terms}")),
        (name(), pool_terms(1)).prop_map(|(id, terms)| format!("alter pool {id} {terms}")),
        (name(), name(), account).prop_map(|(i, a, t)| format!("create account {i}.{a} {t}")),
        (name(), quoted(), quoted(), name()).prop_map(|(i, r, m, p)| format!(
            "create rule {i} route {r} model {m} pool {p} idempotent"
        )),
        (name(), quoted()).prop_map(|(i, r)| format!("drop rule {i} route {r}")),
        (name(), quoted(), quoted())
            .prop_map(|(of, f, v)| format!("show load of {of} where {f} != {v} and {f} = {v}")),
        (name(), quoted()).prop_map(|(e, v)| format!("order engine {e} set-version {v}")),
    ]
}

const SEED: u64 = 7;

fn seeded() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn what_is_written_reads_back_as_the_same(texts in prop::collection::vec(statement(), 1..5)) {
        let first = parse(&texts.join(" ; ")).unwrap();
        let shown: Vec<_> = first.iter().map(|s| s.statement.to_string()).collect();
        let second = parse(&shown.join("\n")).unwrap();
        prop_assert_eq!(first.len(), texts.len());
        let statements = |sentences: Vec<ParsedStatement>| -> Vec<Statement> {
            sentences.into_iter().map(|s| s.statement).collect()
        };
        prop_assert_eq!(statements(first), statements(second));
    }

    #[test]
    fn any_text_is_read_or_gets_errors_within_it(text in "[ -~\n;\"#=\u{0}\u{e4}]{0,60}") {
        let Err(errors) = parse(&text) else { return Ok(()) };
        prop_assert!(!errors.0.is_empty());
        for error in errors.0 {
            prop_assert!(text.get(error.span.start..error.span.end).is_some());
        }
    }

    #[test]
    fn a_broken_statement_never_panics(text in statement(), cut in any::<prop::sample::Index>()) {
        let at = cut.index(text.len());
        let at = (0..=at).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
        let _ = parse(&text[..at]);
        let _ = parse(&text[at..]);
    }
}

#[gtest]
fn statements_are_typed() {
    let sentences = parse("drain endpoint e1; show endpoint e1").unwrap();
    let endpoint = "e1".parse().unwrap();
    expect_that!(
        sentences[0].statement,
        eq(&Statement::Change(Change::Drain(endpoint)))
    );
    expect_that!(
        sentences[1].statement,
        matches_pattern!(Statement::Show(matches_pattern!(Show::Endpoint(_))))
    );
}
