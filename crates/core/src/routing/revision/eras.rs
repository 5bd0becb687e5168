//! The latest era, from the answers of the store and from other daemons.

use derive_more::Debug;

use super::Era;
use crate::clock::Millis;

/// Time in which all answers name an earlier era before the store counts as built anew. Answers
/// that are late, or come from a replica that lags behind, end sooner.
const REBUILT_AFTER: Millis = Millis::from_secs(10);
/// Number of such answers at least: more than a daemon that stood still may find waiting.
const REBUILT_ANSWERS: u32 = 10;

/// What an answer of the store says of its era.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum Answer {
    /// It is of the latest era.
    Current(Era),
    /// It is the first one of an era, by the store's own count.
    Restored(Era),
    /// It is the first one of a store that was built anew.
    Rebuilt(Era),
    /// It is of an era that has ended.
    Old(Era),
}

/// The latest era that is known.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
pub struct Eras {
    /// `None` before the first copy, or answer that names one.
    latest: Option<Era>,
    /// Since when all answers are of an earlier era, and how many.
    behind: Option<Behind>,
}

/// Answers of an earlier era without one of the latest between them.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Behind {
    since: Millis,
    answers: u32,
}

impl Eras {
    /// The latest era.
    pub const fn latest(&self) -> Option<Era> {
        self.latest
    }

    /// Records the count that an answer of the store names.
    pub fn record(&mut self, count: Era, now: Millis) -> Answer {
        let latest = self.latest.unwrap_or_default();
        let named = latest.with_count(count);
        if self.latest.is_none() || named >= latest {
            self.behind = None;
            let before = self.latest.replace(named);
            return match before.is_some_and(|before| before < named) {
                true => Answer::Restored(named),
                false => Answer::Current(named),
            };
        }
        let behind = self.behind.get_or_insert(Behind {
            since: now,
            answers: 0,
        });
        behind.answers = behind.answers.saturating_add(1);
        if now.since(behind.since) < REBUILT_AFTER || behind.answers <= REBUILT_ANSWERS {
            return Answer::Old(named);
        }
        let rebuilt = latest.rebuilt(count);
        *self = Self {
            latest: Some(rebuilt),
            behind: None,
        };
        Answer::Rebuilt(rebuilt)
    }

    /// Records the era of a copy that another daemon sent; returns whether it is a later one.
    pub fn learn(&mut self, era: Era) -> bool {
        let is_later = self.latest.is_none_or(|latest| era > latest);
        if is_later {
            *self = Self {
                latest: Some(era),
                behind: None,
            };
        }
        is_later
    }

    /// Records that another daemon is up to date with an era.
    pub fn confirm(&mut self, era: Era) {
        if self.latest.is_some_and(|latest| era >= latest) {
            self.behind = None;
        }
    }
}
