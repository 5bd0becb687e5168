//! Retries that back off and end.

use medlarrill_core::clock::Millis;

use super::Client;
use super::error::{Error, Refusal, Result};
use super::role::{Ending, Role};
use crate::now::now;

/// Which failures are tried again.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Repeat {
    /// Only calls that were certainly not done: for writes.
    NotDone,
    /// Also calls that may have been done: for reads.
    Any,
}

impl Repeat {
    const fn covers(self, error: &Error) -> bool {
        match error.ending() {
            Ending::Budget
            | Ending::Down
            | Ending::Unreachable
            | Ending::Unavailable
            | Ending::Throttled => true,
            Ending::Unknown => matches!(self, Self::Any),
            _ => false,
        }
    }
}

impl Client {
    /// Makes a call until it ends in another way than `repeat` covers, or the
    /// next try would come after `until` on the monotonic clock of this
    /// process.
    ///
    /// # Errors
    ///
    /// That of the last try.
    pub async fn retry<T>(
        &self,
        role: Role,
        until: Millis,
        repeat: Repeat,
        mut call: impl AsyncFnMut() -> Result<T>,
    ) -> Result<T> {
        let mut tries = 0;
        loop {
            let error = match call().await {
                Err(error) if repeat.covers(&error) => error,
                result => return result,
            };
            tries += 1;
            let wait = self.wait(role, tries, &error);
            if now() + wait > until {
                return Err(error);
            }
            tokio::time::sleep(wait.as_duration()).await;
        }
    }

    /// A random wait before the next try, no shorter than the error asks for.
    pub fn wait(&self, role: Role, tries: u32, error: &Error) -> Millis {
        let (tries, after) = match error {
            // The circuit and the budget have set the time; only spread it.
            Error::NotDone {
                why: Refusal::Down | Refusal::Budget,
                after,
            } => (1, *after),
            Error::NotDone { after, .. } => (tries, *after),
            _ => (tries, None),
        };
        self.shared.gate(role).wait(tries, after)
    }
}
