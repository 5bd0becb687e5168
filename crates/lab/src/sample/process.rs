//! Processor time and memory of a process, from `/proc`.

use std::fs;
use std::time::Duration;

use crate::error::Result;

const KIB: u64 = 1024;

/// What a process has spent.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct Spent {
    /// Processor time of all threads.
    pub processor: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
}

impl Spent {
    /// Reads a process; time of threads that have ended isn't in it.
    ///
    /// # Errors
    ///
    /// When the process has ended.
    pub fn of(pid: u32) -> Result<Self> {
        let mut nanos = 0;
        for task in fs::read_dir(format!("/proc/{pid}/task"))? {
            // A thread may end between the two reads.
            let text = fs::read_to_string(task?.path().join("schedstat"));
            let text = text.unwrap_or_default();
            let first = text.split(' ').next().and_then(|word| word.parse().ok());
            nanos += first.unwrap_or(0);
        }
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        Ok(Self {
            processor: Duration::from_nanos(nanos),
            resident: resident(&status) * KIB,
        })
    }
}

/// Resident memory in KiB.
fn resident(status: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let word = line.and_then(|rest| rest.split_whitespace().next());
    word.and_then(|word| word.parse().ok()).unwrap_or(0)
}
