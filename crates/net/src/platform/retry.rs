//! Retries with backoff and a deadline.

use medlarrill_core::clock::Millis;

use super::Client;
use super::error::{Error, Refusal, Result};
use super::role::{Ending, Role};
use crate::now::now;

/// Which failures are retried.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RetryOn {
    /// Only calls that certainly had no effect: for writes.
    NotDone,
    /// Also calls that may have taken effect: for reads.
    Any,
}

impl RetryOn {
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
    /// Retries a call while it fails in a way that `retry_on` covers and the next
    /// attempt would start by `until`, on the monotonic clock of this process.
    ///
    /// # Errors
    ///
    /// The error of the last attempt.
    pub async fn retry<T>(
        &self,
        role: Role,
        until: Millis,
        retry_on: RetryOn,
        mut call: impl AsyncFnMut() -> Result<T>,
    ) -> Result<T> {
        let mut failures = 0;
        loop {
            let error = match call().await {
                Err(error) if retry_on.covers(&error) => error,
                result => return result,
            };
            failures += 1;
            let wait = self.wait(role, failures, &error);
            if now() + wait > until {
                return Err(error);
            }
            tokio::time::sleep(wait.as_duration()).await;
        }
    }

    /// Random delay before the next attempt, at least what the error asks for.
    pub fn wait(&self, role: Role, failures: u32, error: &Error) -> Millis {
        let (failures, after) = match error {
            // The circuit or the budget has set the delay; add only jitter.
            Error::NotDone {
                why: Refusal::Down | Refusal::Budget,
                after,
            } => (1, *after),
            Error::NotDone { after, .. } => (failures, *after),
            _ => (failures, None),
        };
        self.shared.gate(role).wait(failures, after)
    }
}
