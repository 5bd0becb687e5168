//! How long the record of a stopped process answers for its keys.

use googletest::prelude::*;
use medlarrill_core::claims::shutdown_retention;
use medlarrill_core::clock::Millis;
use medlarrill_core::config::{Config, Contract, Institution};

const DAY: u64 = 86_400;

fn with_lifetimes(days: &[u64]) -> Config {
    let institution = |(number, days): (usize, &u64)| {
        let contract = Contract {
            key_lifetime: Millis::from_secs(days * DAY),
            ..Contract::default()
        };
        let terms = Institution {
            contract,
            accounts: Default::default(),
            rules: Vec::new(),
        };
        (format!("i{number}").parse().expect("a name"), terms)
    };
    Config {
        institutions: days.iter().enumerate().map(institution).collect(),
        ..Config::default()
    }
}

#[gtest]
fn a_key_run_twice_since_it_outlived_the_record_of_its_stopped_process() {
    for days in [vec![], vec![1], vec![6, 7], vec![30, 1], vec![400]] {
        let longest = days.iter().max().copied().unwrap_or_default();
        let kept = shutdown_retention(&with_lifetimes(&days));
        expect_that!(kept, gt(Millis::from_secs(longest * DAY)), "{days:?}");
        expect_that!(kept, ge(Millis::from_secs(7 * DAY)));
    }
}
