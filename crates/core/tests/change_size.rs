//! The configuration at the size that the fleet is designed for.

use std::time::Instant;

use googletest::prelude::*;
use medlarrill_core::change::committer::{Action, Event, Outcome};
use medlarrill_core::change::{Committer, MAX_PART, apply};
use medlarrill_core::clock::Millis;
use medlarrill_core::config::Config;
use medlarrill_core::ids::ChangeId;
use medlarrill_core::operator::{Change, parse};

const POOLS: usize = 4;
const CENTRES: usize = 11;
const ENDPOINTS: usize = 4500;
const INSTITUTIONS: usize = 8;
const ACCOUNTS: usize = 740;

fn text() -> String {
    let mut lines = Vec::new();
    for pool in 0..POOLS {
        lines.push(format!(
            "create pool model-{pool} kind model model large-model-{pool}"
        ));
    }
    for index in 0..ENDPOINTS {
        let (pool, centre) = (index % POOLS, index / POOLS % CENTRES);
        let address = format!("10.{}.{}.{}:9001", centre, index / 200, 1 + index % 200);
        lines.push(format!(
            "create endpoint engine-{index:05} pool model-{pool} address {address} \
             data-centre centre-{centre:02} vm machine-{index:05} fencing checked"
        ));
    }
    for index in 0..INSTITUTIONS {
        let name = format!("institution-{index}");
        lines.push(format!("create institution {name} share 3"));
        for pool in 0..POOLS {
            lines.push(format!(
                "create rule {name} route /v1/chat/completions model m{pool} pool model-{pool} idempotent"
            ));
        }
    }
    for index in 0..ACCOUNTS {
        let owner = index % INSTITUTIONS;
        lines.push(format!(
            "create account institution-{owner}.account-{index:04} key-hash {index:064x} rate 50/s"
        ));
    }
    lines.join("\n")
}

fn changes(text: &str) -> Vec<Change> {
    let sentences = parse(text).unwrap();
    let changes = sentences.iter().filter_map(|sentence| sentence.change());
    changes.cloned().collect()
}

/// The whole configuration is one change; a fleet's first would be many.
#[gtest]
fn the_design_size_fits_the_platforms_objects() {
    let start = Instant::now();
    let changes = changes(&text());
    let parsed = start.elapsed();
    let start = Instant::now();
    let applied = apply(&Config::default(), &changes).unwrap();
    let checked = start.elapsed();
    let mut committer = Committer::new(ChangeId(1), changes, Millis(0), Millis(0));
    committer.handle(Event::Start, Millis(0));
    let mut parts = Vec::new();
    let mut head = None;
    let mut actions = committer.handle(Event::Head(None), Millis(0));
    while let Some(action) = actions.pop() {
        let event = match action {
            Action::CreatePart(digest, bytes) => {
                parts.push(bytes.len());
                Event::Created(digest)
            }
            Action::WriteHead { bytes, .. } => {
                head = Some(bytes.len());
                Event::Written
            }
            other => {
                assert!(matches!(other, Action::Finish(Outcome::Accepted(_))));
                break;
            }
        };
        actions.extend(committer.handle(event, Millis(0)));
    }
    let (head, largest) = (head.unwrap(), *parts.iter().max().unwrap());
    println!(
        "{} parts, {} bytes, largest {largest}, head {head}; read {parsed:?}, applied and checked {checked:?}",
        parts.len(),
        parts.iter().sum::<usize>()
    );
    expect_that!(parts, len(eq(applied.changed.len())));
    expect_that!(largest, lt(MAX_PART / 8));
    expect_that!(head, lt(MAX_PART / 8));
}
