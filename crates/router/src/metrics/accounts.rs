//! Refusals by client account, for a bounded number of accounts.

use std::collections::HashSet;
use std::sync::{Mutex, PoisonError};

use derive_more::Debug;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

/// Accounts that have counters of their own: the first that are refused, which are mostly those that
/// ask for most.
const MAX_ACCOUNTS: usize = 16;
/// Label of all others.
const OTHERS: &str = "other";

/// Labels of the counter of refusals by account.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
#[derive(EncodeLabelSet)]
pub struct AccountLabels {
    /// The account, or [`OTHERS`].
    pub account: String,
    /// Why its request was refused.
    pub cause: &'static str,
}

/// Counts refusals of overloaded pools by account.
#[derive(Default)]
#[derive(Debug)]
pub struct AccountRefusals {
    /// The counters.
    pub family: Family<AccountLabels, Counter>,
    known: Mutex<HashSet<String>>,
}

impl AccountRefusals {
    /// Counts a refusal.
    pub fn count(&self, account: &str, cause: &'static str) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if known.len() < MAX_ACCOUNTS && !known.contains(account) {
            known.insert(account.to_owned());
        }
        let account = if known.contains(account) {
            account
        } else {
            OTHERS
        };
        let account = account.to_owned();
        self.family
            .get_or_create(&AccountLabels { account, cause })
            .inc();
    }
}
