//! State and counters of [`ShardLog`](super::ShardLog).

use derive_more::Display;

use crate::claims::log::event::ClaimStatus;

/// State of a shard's claim log on one daemon.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
#[derive(Display)]
pub enum LogState {
    /// The daemon doesn't own the shard.
    #[display("idle")]
    Idle,
    /// The daemon reads the chain to take it over.
    #[display("reading")]
    Reading,
    /// The daemon writes its `Open`.
    #[display("opening")]
    Opening,
    /// The daemon owns the shard.
    #[display("owner")]
    Owner,
    /// The daemon owns the shard, and resolves a write whose reply was lost.
    #[display("settling")]
    Settling,
    /// Another daemon has taken over.
    #[display("fenced")]
    Fenced,
}

/// Counters since the start of the process.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct LogStats {
    /// Claims requested.
    pub requests: u64,
    /// Answers, indexed by the code of their status.
    pub statuses: [u64; ClaimStatus::ALL.len()],
    /// Takeovers that succeeded.
    pub takeovers: u64,
    /// Times that another daemon took over, or that the chain could not be read.
    pub fenced: u64,
    /// Batches recorded.
    pub batches: u64,
    /// Checkpoints recorded.
    pub checkpoints: u64,
    /// Claims recorded after their claimants were refused.
    pub late: u64,
    /// Reads restarted because objects were deleted meanwhile.
    pub restarts: u64,
    /// Chains that could not be read.
    pub unreadable: u64,
}

impl LogStats {
    /// Number of answers with this status.
    pub const fn answered(&self, status: ClaimStatus) -> u64 {
        self.statuses[status as usize]
    }
}
