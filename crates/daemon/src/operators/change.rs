//! Commits changes of the configuration: drives the core's `Committer`.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use medlarrill_core::change::committer::{Action, Event, Outcome};
use medlarrill_core::change::{Committer, Digest, HEAD_KEY};
use medlarrill_core::clock::Millis;
use medlarrill_core::operator::Change;
use medlarrill_core::operator::answer::Request;
use medlarrill_net::now::{now, wall};
use medlarrill_net::platform::{Client, Error, Result, Role, Version};

use crate::configuration::{CALL_TIMEOUT, Message, read_head, read_part};
use crate::context::Context;

/// Commits the changes of a request, all or none, and publishes the new head here.
pub async fn commit_changes(
    context: &Context,
    request: &Request,
    changes: Vec<Change>,
    deadline: Millis,
) -> Outcome {
    let held = context.configuration.parts().await;
    let mut committer = Committer::new(request.change, changes, now(), wall())
        .with_deadline(deadline)
        .with_parts(held);
    if let Some(base) = request.base {
        committer = committer.with_base(base);
    }
    if request.repeat {
        committer = committer.with_retry();
    }
    let mut driver = Driver {
        platform: &context.platform,
        deadline,
        parts: BTreeMap::new(),
    };
    let outcome = driver.run(committer).await;
    if let Outcome::Accepted(accepted) = &outcome
        && !accepted.head.is_empty()
    {
        let parts = driver.parts.into_values().collect();
        let written = Message::HeadWritten(accepted.head.clone(), parts);
        context.configuration.send(written);
    }
    outcome
}

/// Carries out the platform calls of one change.
struct Driver<'a> {
    platform: &'a Client,
    deadline: Millis,
    /// Parts that were read or stored, passed to this daemon's configuration task.
    parts: BTreeMap<Digest, Bytes>,
}

impl Driver<'_> {
    async fn run(&mut self, mut committer: Committer) -> Outcome {
        let mut actions = VecDeque::from(committer.handle(Event::Start, now()));
        while let Some(action) = actions.pop_front() {
            let event = match action {
                Action::Finish(outcome) => return outcome,
                Action::ReadHead => self.read_head().await,
                Action::ReadPart(digest) => self.read_part(digest).await,
                Action::CreatePart(digest, bytes) => self.create_part(digest, bytes).await,
                Action::WriteHead { version, bytes } => self.write_head(version, bytes).await,
                Action::Wait(until) => {
                    tokio::time::sleep(until.since(now()).as_duration()).await;
                    Event::Timer
                }
            };
            actions.extend(committer.handle(event, now()));
        }
        // The state machine ends with `Finish`; without it the outcome is unknown.
        Outcome::Unknown
    }

    /// Timeout of a call, so that it ends by the deadline.
    fn timeout(&self) -> Millis {
        self.deadline.since(now()).min(CALL_TIMEOUT).max(Millis(1))
    }

    async fn read_head(&self) -> Event {
        match read_head(self.platform, self.timeout()).await {
            Ok(stored) => Event::Head(stored),
            Err(error) => log_failure(&error, Event::HeadFailed),
        }
    }

    async fn read_part(&mut self, digest: Digest) -> Event {
        match read_part(self.platform, digest, self.timeout()).await {
            Ok(bytes) => {
                self.parts
                    .extend(bytes.clone().map(|bytes| (digest, bytes)));
                Event::Part(digest, bytes)
            }
            Err(error) => log_failure(&error, Event::PartFailed),
        }
    }

    async fn create_part(&mut self, digest: Digest, bytes: Bytes) -> Event {
        let timeout = self.timeout();
        self.parts.insert(digest, bytes.clone());
        let key = digest.key();
        let created = self.platform.create(Role::Config, &key, bytes, timeout);
        match created.await {
            // The key of a part is its digest, so an existing part is identical.
            Ok(_) | Err(Error::Precondition { .. }) => Event::Created(digest),
            Err(error) => log_failure(&error, Event::CreateUnknown),
        }
    }

    async fn write_head(&self, version: Option<u64>, bytes: Bytes) -> Event {
        match self.put_head(version, bytes).await {
            Ok(_) => Event::Written,
            Err(Error::Precondition { .. }) => Event::VersionMismatch,
            Err(error @ (Error::NotDone { .. } | Error::TooLarge { .. })) => {
                log_failure(&error, Event::WriteFailed)
            }
            Err(error) => log_failure(&error, Event::WriteUnknown),
        }
    }

    async fn put_head(&self, version: Option<u64>, bytes: Bytes) -> Result<Version> {
        let timeout = self.timeout();
        let role = Role::Config;
        match version.map(Version) {
            Some(version) => {
                let update = self
                    .platform
                    .update(role, HEAD_KEY, version, bytes, timeout);
                update.await
            }
            None => self.platform.create(role, HEAD_KEY, bytes, timeout).await,
        }
    }
}

fn log_failure(error: &Error, event: Event) -> Event {
    log::info!(target: "operators", "operators: the platform: {error}");
    event
}
