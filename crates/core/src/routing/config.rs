//! The configuration in force: routes, pools, accounts and callers' limits.

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::{Debug, Display};

use crate::clock::Millis;
use crate::ids::{AccountId, PoolId};
use crate::routing::slow_start::SlowStart;
use crate::units::ByteSize;

/// Version of a configuration; versions rise, not always by one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display)]
#[debug("v{_0}")]
#[display("{_0}")]
pub struct Version(pub u64);

/// How urgent a request is; 0 comes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display)]
pub struct Priority(pub u8);

/// What may be repeated.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display)]
pub enum RetryPolicy {
    /// Any number of times.
    #[display("idempotent")]
    Always,
    /// A stream that goes on elsewhere after the last event received.
    #[display("resumable")]
    Resume,
    /// Not at all, once it may have run.
    #[display("once")]
    Never,
}

impl RetryPolicy {
    /// Whether a second run does no harm.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Always | Self::Resume)
    }
}

/// One pool of a route, with its share of the requests.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolId,
    /// Its weight against the route's other pools.
    pub weight: f64,
}

/// Where requests of one host and path prefix go, and how.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that it matches.
    pub host: String,
    /// Start of the paths that it matches; ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub retry: RetryPolicy,
    /// Whether answers are streams of events.
    pub stream: bool,
    /// Whether prompts have cached parts.
    pub cached: bool,
    /// Most endpoints that may run one request.
    pub attempts: u32,
    /// Longest time that a caller is kept waiting.
    pub timeout: Millis,
    /// Time within which an answer is worth most: to its end, for streams to the first event.
    pub target: Millis,
    /// Longest pause between events.
    pub gap: Millis,
    /// Rank against other routes.
    pub priority: Priority,
    /// Whether callers need no key.
    pub auth_exempt: bool,
    /// Pools and weights.
    pub shares: Vec<PoolShare>,
}

impl Route {
    /// The pool for a draw between 0 and 1.
    pub fn pool(&self, draw: f64) -> Option<&PoolId> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = draw * total;
        for share in &self.shares {
            left -= share.weight;
            if left < 0.0 {
                return Some(&share.pool);
            }
        }
        self.shares.first().map(|share| &share.pool)
    }
}

/// What is configured of a pool.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Pool {
    /// Most connections that one endpoint takes from all callers.
    pub connections: u32,
    /// How its endpoints are spared after a start, if they have to be.
    pub slow_start: Option<SlowStart>,
}

/// A client account.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Account {
    /// Its name.
    pub id: AccountId,
    /// Rank of its requests, before that of the route.
    pub priority: Option<Priority>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct CallerLimits {
    /// Largest head.
    pub head: ByteSize,
    /// Largest body.
    pub body: ByteSize,
    /// Longest time that an idle connection is kept.
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
    /// Limits of callers.
    pub limits: CallerLimits,
    /// Routes of each host, the longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Accounts by key; `None` if no key is asked for.
    #[debug(skip)]
    accounts: Option<HashMap<String, Arc<Account>>>,
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
    /// A configuration of these parts.
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
        }
    }

    /// Sets the pools.
    pub fn with_pools(self, pools: HashMap<PoolId, Pool>) -> Self {
        Self { pools, ..self }
    }

    /// Sets the accounts by key; from then on callers need one.
    pub fn with_accounts(self, accounts: HashMap<String, Arc<Account>>) -> Self {
        Self {
            accounts: Some(accounts),
            ..self
        }
    }

    /// The route of a host and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The account that may use a route with this key, `None` if no key is needed.
    ///
    /// # Errors
    ///
    /// When the route needs a key that some account has, and this isn't one.
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
