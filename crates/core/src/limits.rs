//! Rate and concurrency limits of accounts over all daemons.
//!
//! Each account is owned by one daemon, found by hash, which divides the
//! account's limits in its [`ShareAllocator`]; every entry has an
//! [`EntryLimiter`]. Entries report use and demand; the owner grants shares
//! that expire. A request that doesn't fit its entry's share is held for one
//! round trip while the entry asks for more; it is refused at once if the
//! owner has just reported that there is no more. An entry that has lost the
//! owner moves from its last grant towards an equal share of the limit.

mod entry_account;
mod entry_limiter;
mod entry_usage;
mod event;
mod fair_split;
mod meter;
mod owned_account;
mod share;
mod share_allocator;
mod utilisation;

use derive_more::Debug;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::config::Account;
use crate::ids::{AccountId, InstitutionId};
use crate::wire::Watch;

pub use entry_limiter::EntryLimiter;
pub use event::{Action, Event};
pub use share_allocator::{AllocatorAction, AllocatorEvent, ShareAllocator};

/// Time for which a grant is valid.
pub const GRANT_EXPIRY: Millis = Millis::from_secs(15);
/// Interval at which an entry reports an account whose use hasn't changed.
pub const RENEWAL: Millis = Millis::from_secs(10);
/// Factor on the validity and on the renewal interval of a grant while utilisation is low.
const LOW_USE_FACTOR: u64 = 6;
/// Number of daemons up to which the sum of shares is always kept within the limit, as that costs
/// few messages there.
const STRICT_FLEET_SIZE: u32 = 32;
/// Factor from requests a second to the unit of rates in messages, a hundredth of a request a
/// second.
const RATE_UNIT: f64 = 100.0;

/// Numbers of daemons among which limits are divided.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Daemons {
    /// Daemons that are live.
    pub live: u32,
    /// Daemons that were lost without leaving. Where they run on, cut off from this one, they use
    /// their part.
    pub lost: u32,
}

impl Daemons {
    /// Live daemons, of which none was lost.
    pub const fn live(live: u32) -> Self {
        Self { live, lost: 0 }
    }

    /// All of them.
    const fn all(self) -> u32 {
        self.live.saturating_add(self.lost)
    }

    /// The part of an account's limits that the live ones may use.
    fn part_of(self, limits: Limits) -> Limits {
        let part = f64::from(self.live) / f64::from(self.all().max(1));
        Limits {
            rate: limits.rate * part,
            concurrency: limits.at_least_one(f64::from(limits.concurrency) * part),
        }
    }
}

/// Limits of an account over all daemons.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Limits {
    /// Requests a second.
    pub rate: f64,
    /// Requests in flight.
    pub concurrency: u32,
}

impl Limits {
    /// A part of the concurrency in whole requests, at least one: an account must be able to run
    /// requests at any daemon.
    fn at_least_one(self, concurrency: f64) -> u32 {
        (concurrency as u32).max(1).min(self.concurrency)
    }
}

impl From<&Account> for Limits {
    fn from(account: &Account) -> Self {
        Self {
            rate: account.rate.0,
            concurrency: account.concurrency,
        }
    }
}

/// Hash that identifies an account in messages.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug)]
#[debug("{_0:016x}")]
pub struct AccountHash(pub u64);

impl AccountHash {
    /// Hashes the names of the institution and the account.
    pub fn of(institution: &InstitutionId, account: &AccountId) -> Self {
        let name = format!("{institution}/{account}");
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Converts requests a second to the unit of messages.
fn rate_to_wire(rate: f64) -> u32 {
    (rate * RATE_UNIT) as u32
}

/// Converts the unit of messages to requests a second.
fn rate_from_wire(rate: u32) -> f64 {
    f64::from(rate) / RATE_UNIT
}

/// The cell of a row in a column, zero if the column was left out.
fn cell(column: &[u32], row: usize) -> u32 {
    column.get(row).copied().unwrap_or(0)
}

/// How closely the account of a row is watched, `Usual` if the column was left out.
fn watch_cell(column: &[i32], row: usize) -> Watch {
    let cell = column.get(row).copied().unwrap_or(0);
    Watch::try_from(cell).unwrap_or(Watch::Normal)
}

/// Collects a column, left out if it contains only zeros.
fn column(cells: impl Iterator<Item = u32>) -> Vec<u32> {
    let cells: Vec<u32> = cells.collect();
    if cells.iter().all(|cell| *cell == 0) {
        return Vec::new();
    }
    cells
}
