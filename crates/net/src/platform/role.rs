//! Roles, kinds and outcomes of calls to the platform.

use derive_more::{Debug, Display};
use medlarrill_core::units::Rate;

/// Purpose of a call; each has its own rate budget.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
pub enum Role {
    /// Reading and changing the configuration.
    #[display("config")]
    Config,
    /// Claiming non-idempotent requests.
    #[display("claims")]
    Claims,
    /// Watching for changes.
    #[display("watch")]
    Watch,
    /// Reading the list of VMs.
    #[display("vms")]
    Vms,
    /// Orders to engines.
    #[display("orders")]
    Orders,
    /// Tickets of a stopping daemon.
    #[display("tickets")]
    Tickets,
}

impl Role {
    /// Every role, in the order of its declaration.
    pub const ALL: [Self; 6] = [
        Self::Config,
        Self::Claims,
        Self::Watch,
        Self::Vms,
        Self::Orders,
        Self::Tickets,
    ];

    /// Default budget of one daemon in this role.
    pub const fn default_budget(self) -> Budget {
        let (rate, burst) = match self {
            Self::Claims => (8.0, 8),
            Self::Config => (4.0, 64),
            Self::Watch => (4.0, 8),
            Self::Orders => (2.0, 8),
            Self::Vms => (1.0, 2),
            Self::Tickets => (1.0, 4),
        };
        Budget {
            rate: Rate(rate),
            burst,
        }
    }
}

/// Rate limit of one role.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Budget {
    /// Calls per second.
    pub rate: Rate,
    /// Burst size, in calls; at least one.
    pub burst: u32,
}

/// A kind of call.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
pub enum Kind {
    /// Conditional create.
    #[display("create")]
    Create,
    /// Conditional update.
    #[display("update")]
    Update,
    /// Conditional delete.
    #[display("delete")]
    Delete,
    /// Read of one object.
    #[display("get")]
    Get,
    /// List of keys.
    #[display("list")]
    List,
    /// Long poll.
    #[display("watch")]
    Watch,
    /// List of VMs.
    #[display("vms")]
    Vms,
}

impl Kind {
    /// Every kind, in the order of its declaration.
    pub const ALL: [Self; 7] = [
        Self::Create,
        Self::Update,
        Self::Delete,
        Self::Get,
        Self::List,
        Self::Watch,
        Self::Vms,
    ];
}

/// How a call ended.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
pub enum Ending {
    /// It succeeded.
    #[display("done")]
    Done,
    /// Its condition did not hold.
    #[display("precondition")]
    Precondition,
    /// The object does not exist.
    #[display("not-found")]
    NotFound,
    /// The platform no longer holds the revision.
    #[display("gone")]
    Gone,
    /// The object or the response is too large.
    #[display("too-large")]
    TooLarge,
    /// The role's budget is exhausted; not sent.
    #[display("budget")]
    Budget,
    /// The circuit breaker is open; not sent.
    #[display("down")]
    Down,
    /// No connection could be established in time.
    #[display("unreachable")]
    Unreachable,
    /// The platform answered 503.
    #[display("unavailable")]
    Unavailable,
    /// The platform answered 429.
    #[display("throttled")]
    Throttled,
    /// The platform rejected the call as invalid.
    #[display("rejected")]
    Rejected,
    /// It was sent and no complete response arrived.
    #[display("unknown")]
    Unknown,
    /// The response can't be parsed.
    #[display("malformed")]
    Malformed,
    /// The caller abandoned it.
    #[display("dropped")]
    Dropped,
}

impl Ending {
    /// Every ending, in the order of its declaration.
    pub const ALL: [Self; 14] = [
        Self::Done,
        Self::Precondition,
        Self::NotFound,
        Self::Gone,
        Self::TooLarge,
        Self::Budget,
        Self::Down,
        Self::Unreachable,
        Self::Unavailable,
        Self::Throttled,
        Self::Rejected,
        Self::Unknown,
        Self::Malformed,
        Self::Dropped,
    ];
}
