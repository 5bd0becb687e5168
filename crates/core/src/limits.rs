//! Account limits over the whole fleet.
//!
//! Each account has a rate and a concurrency. One daemon, found by hash, owns
//! the account and keeps a [`Ledger`]; every entry keeps [`Accounts`]. Entries
//! report use and demand, the owner grants shares that expire. A request that
//! doesn't fit its entry's share is held for one round trip while the entry
//! asks for more; it is refused at once if the owner has just said that there
//! is none. An entry whose owner is lost moves from its last grant towards
//! its even part of the limit.

mod accounts;
mod book;
mod ease;
mod event;
mod ledger;
mod line;
mod local;
mod meter;
mod share;
mod split;

use derive_more::Debug;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::config::Account;
use crate::ids::{AccountId, InstitutionId};
use crate::wire::Watch;

pub use accounts::Accounts;
pub use event::{Action, Event};
pub use ledger::{Ledger, LedgerAction, LedgerEvent};

/// How long a grant holds.
pub const EXPIRY: Millis = Millis::from_secs(15);
/// How often an entry reports an account whose use hasn't changed.
pub const RENEWAL: Millis = Millis::from_secs(10);
/// By how much longer a grant holds, and how much more rarely it is renewed, while little is used.
const EASY_TIMES: u64 = 6;
/// Daemons up to which the sum of shares is always kept to the limit, which costs little then.
const STRICT_LIVE: u32 = 32;
/// Hundredths, the unit of rates in messages.
const RATE_UNIT: f64 = 100.0;

/// What an account may use over the whole fleet.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Limits {
    /// Requests a second.
    pub rate: f64,
    /// Requests in flight.
    pub concurrency: u32,
}

impl From<&Account> for Limits {
    fn from(account: &Account) -> Self {
        Self {
            rate: account.rate.0,
            concurrency: account.concurrency,
        }
    }
}

/// Hash that names an account in messages.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug)]
#[debug("{_0:016x}")]
pub struct AccountHash(pub u64);

impl AccountHash {
    /// Hashes an account's full name.
    pub fn of(institution: &InstitutionId, account: &AccountId) -> Self {
        let name = format!("{institution}/{account}");
        Self(xxh3_64(name.as_bytes()))
    }
}

/// A rate as it is written in messages.
fn to_wire(rate: f64) -> u32 {
    (rate * RATE_UNIT) as u32
}

/// A rate as it was written in a message.
fn from_wire(rate: u32) -> f64 {
    f64::from(rate) / RATE_UNIT
}

/// One cell of a column that may have been left out.
fn cell(column: &[u32], row: usize) -> u32 {
    column.get(row).copied().unwrap_or(0)
}

/// How closely one account is watched.
fn watch(column: &[i32], row: usize) -> Watch {
    let cell = column.get(row).copied().unwrap_or(0);
    Watch::try_from(cell).unwrap_or(Watch::Normal)
}

/// A column, left out if it holds only zeros.
fn column(cells: impl Iterator<Item = u32>) -> Vec<u32> {
    let cells: Vec<u32> = cells.collect();
    if cells.iter().all(|cell| *cell == 0) {
        return Vec::new();
    }
    cells
}
