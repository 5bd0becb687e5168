//! Answers of the platform to calls for changes.

use medlarrill_core::clock::Millis;
use medlarrill_core::routing::mirror::Update;
use medlarrill_core::routing::revision::Revision;
use medlarrill_net::now::now;
use medlarrill_platform::store::{self as wire, Kind};

use super::Copies;
use super::client::{Answer, CallError, Result};

/// What an answer with changes had.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct Applied {
    /// Revision that it reached.
    pub revision: Revision,
    /// Whether it had no changes.
    pub is_quiet: bool,
}

impl Copies {
    /// Applies an answer that was up to date at `as_of`.
    ///
    /// # Errors
    ///
    /// When it can't be decoded.
    pub fn apply_answer(&self, kind: Kind, answer: &Answer, as_of: Millis) -> Result<Applied> {
        let changes = wire::changes(&answer.body).map_err(CallError::Decode)?;
        let changes = changes.in_era(answer.era);
        self.report_all_unreadable(kind, &changes.unreadable);
        let applied = Applied {
            revision: Revision::new(answer.era, changes.revision),
            is_quiet: changes.changes.is_empty(),
        };
        let update = Update {
            complete: false,
            changes: changes.changes,
            revision: applied.revision,
        };
        self.apply(kind, update, Some(as_of), now());
        Ok(applied)
    }
}
