use std::collections::HashMap;
use std::sync::Arc;

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::config::{
    Account, CallerLimits, Configuration, Denied, PoolShare, RetryPolicy, Route, Version,
};
use medlarrill_core::units::ByteSize;

use super::support::route;

const LIMITS: CallerLimits = CallerLimits {
    head: ByteSize(16_384),
    body: ByteSize(1 << 20),
    idle: Millis(15_000),
};

fn at(prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        prefix: prefix.into(),
        ..route(RetryPolicy::Always, 1)
    }
}

fn config(routes: Vec<Route>) -> Configuration {
    Configuration::new(Version(7), LIMITS, routes)
}

#[gtest]
fn the_longest_prefix_of_the_host_matches() {
    let config = config(vec![at("/a/"), at("/a/b/"), at("/c/")]);
    let name = |path| config.route("host", path).map(|route| route.name.clone());
    expect_that!(name("/a/b/x"), some(eq("/a/b/")));
    expect_that!(name("/a/bx"), some(eq("/a/")));
    expect_that!(name("/a"), none());
    expect_that!(name("/d/"), none());
    expect_that!(config.route("other", "/a/x"), none());
}

#[gtest]
fn a_split_route_draws_pools_by_weight() {
    let share = |pool: &str, weight| PoolShare {
        pool: pool.parse().expect("a name"),
        weight,
    };
    let route = Route {
        shares: vec![share("most", 90.0), share("few", 10.0)],
        ..at("/a/")
    };
    let pool = |draw| route.pool(draw).map(|pool| pool.as_str().to_owned());
    expect_that!(pool(0.0), some(eq("most")));
    expect_that!(pool(0.899), some(eq("most")));
    expect_that!(pool(0.901), some(eq("few")));
    expect_that!(pool(1.0), some(eq("most")));
    let no_pools = Route {
        shares: Vec::new(),
        ..at("/a/")
    };
    expect_that!(no_pools.pool(0.5), none());
}

#[gtest]
fn a_key_of_no_account_is_denied_unless_the_route_is_open() {
    let account = Arc::new(Account {
        id: "account".parse().expect("a name"),
        priority: None,
    });
    let accounts = HashMap::from([("key".to_owned(), account)]);
    let config = config(vec![at("/a/")]).with_accounts(accounts);
    let closed = at("/a/");
    let open = Route {
        auth_exempt: true,
        ..at("/a/")
    };
    expect_that!(config.account(&closed, Some("key")), ok(some(anything())));
    expect_that!(
        config.account(&closed, Some("other")),
        err(eq(Denied::Unknown))
    );
    expect_that!(config.account(&closed, None), err(eq(Denied::Missing)));
    expect_that!(config.account(&open, Some("key")), ok(some(anything())));
    expect_that!(config.account(&open, None), ok(none()));
}

#[gtest]
fn a_configuration_without_accounts_asks_for_no_key() {
    let config = config(vec![at("/a/")]);
    expect_that!(config.account(&at("/a/"), None), ok(none()));
}
