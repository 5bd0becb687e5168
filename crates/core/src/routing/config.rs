//! The configuration in force: routes, pools, client accounts and limits for callers.

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::{Debug, Display};

use crate::clock::Millis;
use crate::ids::{AccountId, PoolId};
use crate::routing::slow_start::SlowStart;
use crate::units::ByteSize;

/// Version of a configuration; versions increase, not always by one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display)]
#[debug("v{_0}")]
#[display("{_0}")]
pub struct Version(pub u64);

/// Priority of a request; 0 is the most urgent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display)]
pub struct Priority(pub u8);

/// Whether and how a request may be retried once it may have run.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display)]
pub enum RetryPolicy {
    /// Idempotent: it may run any number of times.
    #[display("idempotent")]
    Always,
    /// A stream that can resume at another endpoint after the last event received.
    #[display("resumable")]
    Resume,
    /// Not retried once it may have run.
    #[display("once")]
    Never,
}

impl RetryPolicy {
    /// Whether running a request twice does no harm.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Always | Self::Resume)
    }
}

/// One of the pools among which a route splits its requests.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolId,
    /// Weight relative to the route's other pools.
    pub weight: f64,
}

/// How requests of one host and path prefix are routed.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct Route {
    /// Name, used in logs.
    pub name: String,
    /// Host that it matches.
    pub host: String,
    /// Prefix of the paths that it matches; ends with a slash.
    pub prefix: String,
    /// Whether its requests may be retried.
    pub retry: RetryPolicy,
    /// Whether responses are event streams.
    pub stream: bool,
    /// Whether endpoints cache prompt prefixes.
    pub cached: bool,
    /// Maximum number of endpoints that may run one request.
    pub attempts: u32,
    /// Longest time that a caller waits for the response.
    pub timeout: Millis,
    /// Latency target: time to the end of the response, for streams to the first event.
    pub target: Millis,
    /// Longest pause between two events of a stream.
    pub gap: Millis,
    /// Priority of its requests.
    pub priority: Priority,
    /// Whether callers may omit the key.
    pub auth_exempt: bool,
    /// The pools that serve it, with their weights.
    pub shares: Vec<PoolShare>,
}

impl Route {
    /// The pools that serve it.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.shares.iter().map(|share| &share.pool)
    }

    /// Picks a pool by weight, for a random number between 0 and 1.
    pub fn pool(&self, draw: f64) -> Option<&PoolId> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut remaining = draw * total;
        for share in &self.shares {
            remaining -= share.weight;
            if remaining < 0.0 {
                return Some(&share.pool);
            }
        }
        self.shares.first().map(|share| &share.pool)
    }
}

/// Configuration of a pool.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Pool {
    /// Maximum number of connections that one endpoint accepts from all senders.
    pub connections: u32,
    /// Slow start of its endpoints, if they need one.
    pub slow_start: Option<SlowStart>,
}

/// A client account.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Account {
    /// Its name.
    pub id: AccountId,
    /// Priority of its requests; overrides the route's.
    pub priority: Option<Priority>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct CallerLimits {
    /// Largest request head.
    pub head: ByteSize,
    /// Largest request body.
    pub body: ByteSize,
    /// Longest time that an idle connection is kept open.
    pub idle: Millis,
}

/// One version of the configuration.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct Configuration {
    /// Its version.
    pub version: Version,
    /// Pools by name.
    pub pools: HashMap<PoolId, Pool>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Routes by host, sorted by descending prefix length.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Accounts by key; `None` if no keys are required.
    #[debug(skip)]
    accounts: Option<HashMap<String, Arc<Account>>>,
    /// Whether overloaded pools are divided among accounts.
    has_shares: bool,
}

/// Why a caller's key isn't accepted.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display)]
pub enum Denied {
    /// The route needs a key.
    #[display("no key")]
    Missing,
    /// No account has the key.
    #[display("unknown key")]
    Unknown,
}

impl Configuration {
    /// A configuration without pools and accounts.
    pub fn new(version: Version, limits: CallerLimits, routes: Vec<Route>) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = hosts.entry(route.host.clone()).or_default();
            host.push(Arc::new(route));
        }
        for host in hosts.values_mut() {
            host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            pools: HashMap::new(),
            limits,
            routes: hosts,
            accounts: None,
            has_shares: false,
        }
    }

    /// Sets the pools.
    pub fn with_pools(self, pools: HashMap<PoolId, Pool>) -> Self {
        Self { pools, ..self }
    }

    /// Sets the accounts by key, and requires callers to send a key.
    pub fn with_accounts(self, accounts: HashMap<String, Arc<Account>>) -> Self {
        let mut names = accounts.values().map(|account| &account.id);
        let first = names.next();
        let has_several = names.any(|name| Some(name) != first);
        let routes = self.routes.values().flatten();
        let mut priorities = routes.map(|route| route.priority);
        let first = priorities.next();
        let has_shares = has_several || priorities.any(|priority| Some(priority) != first);
        Self {
            accounts: Some(accounts),
            has_shares,
            ..self
        }
    }

    /// The route that matches a host and path; the longest prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Whether there are several accounts, or accounts and several priorities, so that overloaded
    /// pools are divided among them.
    pub const fn has_shares(&self) -> bool {
        self.has_shares
    }

    /// The account of a key; `None` if the route accepts the request without an account.
    ///
    /// # Errors
    ///
    /// If the route requires a key and it is missing or unknown.
    pub fn account(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Arc<Account>>, Denied> {
        let Some(accounts) = &self.accounts else {
            return Ok(None);
        };
        let found = key.and_then(|key| accounts.get(key));
        if route.auth_exempt || found.is_some() {
            return Ok(found);
        }
        Err(key.map_or(Denied::Missing, |_| Denied::Unknown))
    }
}
