//! Counters of calls to the platform, by role, kind and ending.

use std::sync::atomic::{AtomicU64, Ordering};

use derive_more::Debug;

use super::role::{Ending, Kind, Role};

/// Monotonic counters.
#[derive(Debug)]
pub(super) struct Counts {
    calls: [[[AtomicU64; Ending::ALL.len()]; Kind::ALL.len()]; Role::ALL.len()],
    sent: [AtomicU64; Role::ALL.len()],
    received: [AtomicU64; Role::ALL.len()],
}

/// Calls of one role, kind and ending.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct CallCount {
    /// Role of the calls.
    pub role: Role,
    /// Kind of the calls.
    pub kind: Kind,
    /// Ending of the calls.
    pub ending: Ending,
    /// Number of calls.
    pub count: u64,
}

/// Bytes of one role.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct ByteCount {
    /// Role of the calls.
    pub role: Role,
    /// Bytes of paths and bodies sent.
    pub sent: u64,
    /// Bytes of bodies received.
    pub received: u64,
}

/// The counters at one time.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Snapshot {
    /// Calls; combinations with a count of zero are left out.
    pub calls: Vec<CallCount>,
    /// Bytes, by role.
    pub bytes: Vec<ByteCount>,
}

impl Snapshot {
    /// Number of calls of a role with an ending, over all kinds.
    pub fn ended(&self, role: Role, ending: Ending) -> u64 {
        self.calls
            .iter()
            .filter(|call| call.role == role && call.ending == ending)
            .map(|call| call.count)
            .sum()
    }
}

impl Default for Counts {
    fn default() -> Self {
        let zero = |_| AtomicU64::new(0);
        Self {
            calls: std::array::from_fn(|_| std::array::from_fn(|_| std::array::from_fn(zero))),
            sent: std::array::from_fn(zero),
            received: std::array::from_fn(zero),
        }
    }
}

impl Counts {
    pub(super) fn add(&self, role: Role, kind: Kind, ending: Ending) {
        let call = &self.calls[role as usize][kind as usize][ending as usize];
        call.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn add_sent(&self, role: Role, bytes: usize) {
        self.sent[role as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn add_received(&self, role: Role, bytes: usize) {
        self.received[role as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn snapshot(&self) -> Snapshot {
        let mut calls = Vec::new();
        for role in Role::ALL {
            for kind in Kind::ALL {
                let counts = &self.calls[role as usize][kind as usize];
                calls.extend(kind_counts(role, kind, counts));
            }
        }
        let bytes = Role::ALL.map(|role| ByteCount {
            role,
            sent: self.sent[role as usize].load(Ordering::Relaxed),
            received: self.received[role as usize].load(Ordering::Relaxed),
        });
        Snapshot {
            calls,
            bytes: bytes.into(),
        }
    }
}

fn kind_counts(
    role: Role,
    kind: Kind,
    counts: &[AtomicU64; Ending::ALL.len()],
) -> impl Iterator<Item = CallCount> {
    let count = move |ending: Ending| CallCount {
        role,
        kind,
        ending,
        count: counts[ending as usize].load(Ordering::Relaxed),
    };
    Ending::ALL
        .into_iter()
        .map(count)
        .filter(|call| call.count > 0)
}
