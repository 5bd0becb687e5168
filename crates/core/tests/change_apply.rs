//! Changes applied to a configuration, and its validation.

use googletest::prelude::*;
use medlarrill_core::change::committer::Outcome;
use medlarrill_core::change::{Applied, Body, Faults, Part, PartName, apply, export, join, split};
use medlarrill_core::config::Config;
use medlarrill_core::ids::Generation;
use medlarrill_core::operator::answer::{self, Verdict};
use medlarrill_core::operator::{Change, parse};

const FIRST: &str = "create pool chat kind model model m1
    create pool notes kind service refusal not-run
    create endpoint e1 pool chat address 127.0.0.1:9001 data-centre dc1 fencing checked
    create endpoint e2 pool chat address 127.0.0.1:9002 data-centre dc2
    create endpoint n1 pool notes address 127.0.0.1:9003 data-centre dc1 vm vm-3
    create institution padkos share 3
    create account padkos.leaders rate 50/s concurrency 200 key-hash \
    0000000000000000000000000000000000000000000000000000000000000001
    create rule padkos route /v1/chat/completions pool chat idempotent
    create rule padkos route /v1/bookings pool notes non-idempotent
    drain endpoint e2";

fn changes(text: &str) -> Vec<Change> {
    let sentences = parse(text).unwrap();
    let changes = sentences.iter().filter_map(|sentence| sentence.change());
    changes.cloned().collect()
}

fn first() -> Config {
    apply(&Config::default(), &changes(FIRST)).unwrap().config
}

fn run(text: &str) -> std::result::Result<Applied, Faults> {
    apply(&first(), &changes(text))
}

/// Findings of a text as the operator sees them: place, text pointed at, message.
fn findings(text: &str) -> Vec<String> {
    let faults = run(text).expect_err("the text is wrong");
    let sentences = parse(text).unwrap();
    let found = answer::locate(&sentences, &faults).concat();
    let show = |finding: &answer::Finding| {
        let word = finding.span.map_or("", |span| span.of(text));
        format!("{} `{word}`: {}", finding.place, finding.message)
    };
    found.iter().map(show).collect()
}

#[gtest]
fn touched_parts_are_those_that_differ() {
    let changed = |text| -> Vec<String> {
        let applied = run(text).unwrap();
        applied.changed.iter().map(PartName::to_string).collect()
    };
    expect_that!(
        changed("drain endpoint e1"),
        elements_are![eq("endpoints/chat/dc1")]
    );
    expect_that!(changed("drain endpoint e2"), is_empty());
    expect_that!(
        changed("alter endpoint e1 data-centre dc3; alter pool chat slots 8"),
        elements_are![
            eq("pool/chat"),
            eq("endpoints/chat/dc1"),
            eq("endpoints/chat/dc3")
        ]
    );
    expect_that!(
        changed("drop account padkos.leaders"),
        elements_are![eq("institution/padkos")]
    );
}

#[gtest]
fn alter_leaves_what_is_not_named() {
    let config = run("alter pool chat slots 8").unwrap().config;
    let pool = &config.pools[&"chat".parse().unwrap()];
    expect_that!(pool.slots, eq(8));
    expect_that!(pool.queue, eq(64));
    expect_that!(pool.model.as_ref().unwrap().as_str(), eq("m1"));
}

#[gtest]
fn a_missing_pool_is_found_at_its_word() {
    expect_that!(
        findings("show pools; create rule padkos route /x pool caht idempotent"),
        elements_are![eq(
            "statement 2, word 7 `caht`: rule padkos route /x, pool: there is no pool `caht`"
        )]
    );
}

#[gtest]
fn a_drop_that_leaves_things_dangling_is_to_blame() {
    expect_that!(
        findings("drop pool notes"),
        elements_are![
            eq(
                "statement 1, word 3 `notes`: rule padkos route /v1/bookings, pool: there is no pool `notes`"
            ),
            eq("statement 1, word 3 `notes`: endpoint n1, pool: there is no pool `notes`"),
        ]
    );
}

#[gtest]
fn all_findings_come_together() {
    let text = "create endpoint e3 pool chat address 127.0.0.1:9001 data-centre dc1
        create institution kelaniya share 0
        create account kelaniya.toolroom key-hash 0000000000000000000000000000000000000000000000000000000000000001 rate 0/s concurrency 0
        alter pool chat load-bound 0.5 slots 0 gap 0s
        alter pool notes model m9
        create rule padkos route /v1/bookings pool notes idempotent
        create rule padkos route x pool notes idempotent
        drop account padkos.none
        alter endpoint n1 address 0.0.0.0:0
        create account nobody.x key-hash 0000000000000000000000000000000000000000000000000000000000000002";
    let found = findings(text);
    let wanted = [
        "statement 1, word 7 `127.0.0.1:9001`: endpoint e3, address: endpoint `e1` has the same address",
        "statement 2, word 5 `0`: institution kelaniya, share: must be at least 1",
        "account `kelaniya.toolroom` has the same key",
        "statement 3, word 7 `0/s`: account kelaniya.toolroom, rate: must be over 0",
        "statement 3, word 9 `0`: account kelaniya.toolroom, concurrency: must be at least 1",
        "statement 4, word 5 `0.5`: pool chat, load-bound: must be at least 1",
        "statement 4, word 7 `0`: pool chat, slots: must be at least 1",
        "statement 4, word 9 `0s`: pool chat, gap: must be over 0",
        "statement 5, word 5 `m9`: pool notes, model: a service pool has no model",
        "statement 6, word 3 `padkos`: rule padkos route /v1/bookings: exists already",
        "statement 7, word 5 `x`: rule padkos route x, route: must begin with `/`",
        "statement 8, word 3 `padkos.none`: account padkos.none: doesn't exist",
        "statement 9, word 5 `0.0.0.0:0`: endpoint n1, address: the port must not be 0",
        "statement 9, word 5 `0.0.0.0:0`: endpoint n1, address: must be the address of one host",
        "statement 10, word 3 `nobody.x`: account nobody.x: there is no institution `nobody`",
    ];
    expect_that!(found, len(eq(wanted.len())));
    for message in wanted {
        expect_that!(found, contains(contains_substring(message)));
    }
}

#[gtest]
fn all_changes_of_a_text_share_one_verdict() {
    let text = "alter pool chat slots 8; show pools; drop pool none";
    let sentences = parse(text).unwrap();
    let refused = Outcome::Refused(run(text).expect_err("the text is wrong"));
    let results = answer::results(text, &sentences, &refused);
    let verdicts: Vec<_> = results.iter().map(|result| result.verdict).collect();
    let wanted = vec![Verdict::Refused, Verdict::Done, Verdict::Refused];
    expect_that!(verdicts, eq(&wanted));
    expect_that!(results[0].findings, is_empty());
    expect_that!(results[2].findings, len(eq(1)));
    expect_that!(results[2].statement, eq("drop pool none"));
    let results = answer::results(text, &sentences, &Outcome::Unavailable("no".into()));
    expect_that!(results[0].findings[0].message, eq("no"));
    expect_that!(results[1].verdict, eq(Verdict::Done));
}

#[gtest]
fn an_institution_with_a_dot_is_refused() {
    expect_that!(
        findings("create institution a.b"),
        elements_are![ends_with("an institution's name has no `.`")]
    );
}

#[gtest]
fn nothing_is_applied_if_one_change_is_wrong() {
    expect_that!(
        run("alter pool chat slots 8; drop pool none"),
        err(anything())
    );
}

#[gtest]
fn an_export_makes_the_same_configuration() {
    let config = first();
    let text: Vec<_> = export(&config).iter().map(Change::to_string).collect();
    let again = apply(&Config::default(), &changes(&text.join("\n"))).unwrap();
    expect_that!(again.config, eq(&config));
}

#[gtest]
fn parts_make_up_the_configuration_again() {
    let config = first();
    let stored = split(&config).into_iter().map(|(name, body)| {
        let bytes = Part { base: 7, body }.to_bytes();
        let part = Part::read(&name, &bytes).unwrap();
        (name.to_string().parse().unwrap(), part.body)
    });
    let again = join(Generation(0), stored.collect());
    expect_that!(again, eq(&config));
}

#[gtest]
fn a_part_under_another_kinds_name_is_refused() {
    let name: PartName = "pool/chat".parse().unwrap();
    let body = Body::Endpoints(Default::default());
    let bytes = Part { base: 7, body }.to_bytes();
    expect_that!(Part::read(&name, &bytes), err(anything()));
    expect_that!(Part::read(&name, b"{}"), err(anything()));
}
