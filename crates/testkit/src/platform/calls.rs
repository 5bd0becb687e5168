//! Counts of calls by the role that spends them.

use std::collections::BTreeMap;

use derive_more::{Display, FromStr};
use hyper::header::IF_MATCH;
use hyper::{HeaderMap, Method};
use serde::{Deserialize, Serialize};

/// Where objects are found.
pub(super) const OBJECTS: &str = "/v1/objects/";

/// A kind of call.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
#[derive(Serialize, Deserialize, Display, FromStr)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    /// A conditional create.
    #[display("create")]
    Create,
    /// A conditional update.
    #[display("update")]
    Update,
    /// A conditional delete.
    #[display("delete")]
    Delete,
    /// A read of one object.
    #[display("read")]
    Read,
    /// A list of objects.
    #[display("list")]
    List,
    /// A long poll.
    #[display("watch")]
    Watch,
    /// A read of the list of VMs.
    #[display("vms")]
    Vms,
}

impl Call {
    /// The kind of a request; `None` if there is no such call.
    pub(super) fn of(method: &Method, path: &str, headers: &HeaderMap) -> Option<Self> {
        match (method, path) {
            (&Method::GET, "/v1/vms") => Some(Self::Vms),
            (&Method::GET, "/v1/watch") => Some(Self::Watch),
            (&Method::GET, "/v1/objects") => Some(Self::List),
            _ if !path.starts_with(OBJECTS) => None,
            (&Method::GET, _) => Some(Self::Read),
            (&Method::DELETE, _) => Some(Self::Delete),
            (&Method::PUT, _) if headers.contains_key(IF_MATCH) => Some(Self::Update),
            (&Method::PUT, _) => Some(Self::Create),
            _ => None,
        }
    }

    /// Whether it is spent from the budget for writes.
    pub const fn is_write(self) -> bool {
        matches!(self, Self::Create | Self::Update | Self::Delete)
    }
}

/// How often a role made a kind of call.
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Serialize, Deserialize)]
pub struct CallCount {
    /// The role, `-` if none was named.
    pub role: String,
    /// The kind.
    pub call: Call,
    /// Calls that came, with those refused or met by an outage.
    pub count: u64,
    /// Calls refused for the budget.
    pub refused: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord, Debug)]
struct Spender {
    role: String,
    call: Call,
}

#[derive(Default, Debug)]
struct Spent {
    count: u64,
    refused: u64,
}

/// All counts.
#[derive(Default, Debug)]
pub(super) struct Calls(BTreeMap<Spender, Spent>);

impl Calls {
    /// Counts a call that came.
    pub(super) fn count(&mut self, role: &str, call: Call) {
        self.spent(role, call).count += 1;
    }

    /// Counts a call that was refused for the budget.
    pub(super) fn refuse(&mut self, role: &str, call: Call) {
        self.spent(role, call).refused += 1;
    }

    fn spent(&mut self, role: &str, call: Call) -> &mut Spent {
        let role = role.into();
        self.0.entry(Spender { role, call }).or_default()
    }

    pub(super) fn list(&self) -> Vec<CallCount> {
        let count = |(spender, spent): (&Spender, &Spent)| CallCount {
            role: spender.role.clone(),
            call: spender.call,
            count: spent.count,
            refused: spent.refused,
        };
        self.0.iter().map(count).collect()
    }
}
