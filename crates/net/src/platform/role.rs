//! Who spends the platform's calls, on what, and how they end.

use derive_more::{Debug, Display};
use medlarrill_core::units::Rate;

/// What a daemon spends a call for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, Display)]
pub enum Role {
    /// Reading and changing the configuration.
    #[display("config")]
    Config,
    /// Claims of non-idempotent requests.
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
    /// Tickets of a daemon that stops.
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

    /// The budget unless set: what one daemon may spend in this role.
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

/// Calls that one role may spend.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Budget {
    /// Calls a second.
    pub rate: Rate,
    /// Calls at once after a pause, at least one.
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
    /// It did what was asked.
    #[display("done")]
    Done,
    /// Its condition did not hold.
    #[display("precondition")]
    Precondition,
    /// The object is not there.
    #[display("not-found")]
    NotFound,
    /// The revision asked for is no longer held.
    #[display("gone")]
    Gone,
    /// The object or the answer is too large.
    #[display("too-large")]
    TooLarge,
    /// The role's budget here is spent; not sent.
    #[display("budget")]
    Budget,
    /// The platform looks down; not sent.
    #[display("down")]
    Down,
    /// No connection could be made in time.
    #[display("unreachable")]
    Unreachable,
    /// The platform answered 503.
    #[display("unavailable")]
    Unavailable,
    /// The platform answered 429.
    #[display("throttled")]
    Throttled,
    /// The platform refused the call as wrong.
    #[display("rejected")]
    Rejected,
    /// It was sent and no whole answer came.
    #[display("unknown")]
    Unknown,
    /// The answer can't be read.
    #[display("malformed")]
    Malformed,
    /// The caller went away first.
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
