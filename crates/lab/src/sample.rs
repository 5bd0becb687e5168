//! What a daemon has spent: processor time, memory and its own counters.

mod counters;
mod process;

pub use counters::Counters;
pub use process::Spent;

use medlarrill_testkit::fleet::Daemon;

use crate::error::{LabError, Result};

/// One daemon at one time.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Its processor time and memory.
    pub spent: Spent,
    /// Its counters.
    pub counters: Counters,
}

impl Sample {
    /// Reads a daemon.
    ///
    /// # Errors
    ///
    /// When the daemon has ended or doesn't answer.
    pub async fn of(daemon: &Daemon) -> Result<Self> {
        let pid = daemon
            .pid()
            .ok_or_else(|| LabError::Wrong("a daemon has ended".into()))?;
        // The counters come first, so that the cost of reading them is in both samples alike.
        let counters = Counters::read(daemon.started.callers).await?;
        Ok(Self {
            spent: Spent::of(pid)?,
            counters,
        })
    }
}
