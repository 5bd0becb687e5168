//! At-most-once execution of non-idempotent requests.
//!
//! Idempotency keys are divided into shards. Each shard has a chain of
//! numbered objects in the platform's store, `claims/<shard>/<number>`,
//! written by conditional create and never overwritten. [`ShardLog`] is the
//! owner's side: it takes over a chain, writes claims in batches and resolves
//! writes whose replies were lost. [`Claimant`] is the entry's side: it
//! requests claims, decides when a request may be sent, and reports the
//! outcome of a key. While the platform is down, [`Tickets`] let a process run
//! a request once without any write.
//!
//! Safety never depends on time: a claim is granted only after its object is
//! known to be in the chain, and an owner that was replaced fails at its next
//! create. `docs/design/claims.md` gives the argument.

mod answer_cache;
mod backoff;
mod chain;
mod claimant;
mod hash;
mod log;
mod record;
mod shutdown;
mod table;
mod tickets;

pub use answer_cache::{CacheLimits, CachedAnswer};
pub use backoff::Backoff;
pub use chain::{Chain, ChainError, Segment};
pub use claimant::{
    Action as ClaimantAction, Claimant, ClaimantLimits, Event as ClaimantEvent, KeyState,
    KeyedRequest, RunOutcome,
};
pub use hash::{Digest, HashError, KeyHash, shard_of};
pub use log::{
    Action as LogAction, CallId, ClaimStatus, Event as LogEvent, ListedObject, LogLimits, LogState,
    LogStats, ProcessId, Reply, ShardLog,
};
pub use record::{
    Batch, Body, Checkpoint, ClaimEntry, Close, Holder, Open, Record, RecordError, Span, Void,
    object_key, object_number, shard_prefix,
};
pub use shutdown::{NumberOutcomes, SHUTDOWN_PREFIX, ShutdownRecord, shutdown_retention};
pub use table::{Claim, ClaimId, Table};
pub use tickets::{
    Redemption, Ticket, TicketAction, TicketError, TicketEvent, TicketHolder, TicketLimits, Tickets,
};
