//! Counters and standing of a shard's machine.

use derive_more::Display;

use crate::claims::log::event::ClaimStatus;

/// Where a shard's machine stands.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
#[derive(Display)]
pub enum LogState {
    /// It has nothing to do with the shard.
    #[display("idle")]
    Idle,
    /// It reads the chain to its end.
    #[display("reading")]
    Reading,
    /// It writes its `open`.
    #[display("opening")]
    Opening,
    /// It owns the shard.
    #[display("owner")]
    Owner,
    /// It owns the shard, and a write's answer was lost.
    #[display("settling")]
    Settling,
    /// Another daemon has taken over.
    #[display("fenced")]
    Fenced,
}

/// Counters of a shard's machine since its start.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct LogStats {
    /// Claims asked for.
    pub asks: u64,
    /// Answers by the code of their status.
    pub statuses: [u64; ClaimStatus::ALL.len()],
    /// Takeovers that succeeded.
    pub takeovers: u64,
    /// Times that another daemon took over.
    pub fenced: u64,
    /// Batches recorded.
    pub batches: u64,
    /// Checkpoints recorded.
    pub checkpoints: u64,
    /// Claims recorded after their claimants had been refused.
    pub late: u64,
    /// Reads begun anew since objects went away meanwhile.
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
