//! Fingerprints that identify equal requests.

use googletest::prelude::*;
use medlarrill_core::ids::AccountId;
use medlarrill_core::routing::fingerprint::Fingerprint;

fn account(name: &str) -> AccountId {
    name.parse().expect("an account")
}

#[gtest]
fn the_same_host_path_account_and_body_are_the_same_request() {
    let one = Fingerprint::new("a.example", "/x/1", Some(&account("one")), b"body");
    let other = Fingerprint::new("a.example", "/x/1", Some(&account("one")), b"body");
    expect_that!(one, eq(other));
}

#[gtest]
fn whatever_differs_makes_another_request() {
    let one = account("one");
    let two = account("two");
    let base = Fingerprint::new("a.example", "/x/1", Some(&one), b"body");
    for other in [
        Fingerprint::new("b.example", "/x/1", Some(&one), b"body"),
        Fingerprint::new("a.example", "/x/2", Some(&one), b"body"),
        Fingerprint::new("a.example", "/x/1?q=1", Some(&one), b"body"),
        Fingerprint::new("a.example", "/x/1", Some(&two), b"body"),
        Fingerprint::new("a.example", "/x/1", None, b"body"),
        Fingerprint::new("a.example", "/x/1", Some(&one), b"bodies"),
        Fingerprint::new("a.example", "/x/", Some(&one), b"1body"),
    ] {
        expect_that!(other, not(eq(base)));
    }
}

#[gtest]
fn it_is_written_and_read_as_sixteen_digits() {
    let fingerprint = Fingerprint(0xab);
    expect_that!(fingerprint.to_string(), eq("00000000000000ab"));
    expect_that!(
        "00000000000000ab".parse::<Fingerprint>(),
        ok(eq(&fingerprint))
    );
    expect_that!("no".parse::<Fingerprint>(), err(anything()));
}
