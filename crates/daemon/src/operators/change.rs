//! Makes changes of the configuration: drives the core's `Changer`.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use medlarrill_core::change::changer::{Action, Event, Outcome};
use medlarrill_core::change::{Changer, Digest, HEAD_KEY};
use medlarrill_core::clock::Millis;
use medlarrill_core::operator::Change;
use medlarrill_core::operator::answer::Request;
use medlarrill_net::now::{now, wall};
use medlarrill_net::platform::{Client, Error, Result, Role, Version};

use crate::configuration::{CALL_TIMEOUT, Message, read_head, read_part};
use crate::context::Context;

/// Makes the changes of a request, all or none, and spreads them.
pub async fn make(
    context: &Context,
    request: &Request,
    changes: Vec<Change>,
    deadline: Millis,
) -> Outcome {
    let held = context.configuration.parts().await;
    let mut changer = Changer::new(request.change, changes, now(), wall())
        .with_deadline(deadline)
        .with_parts(held);
    if let Some(base) = request.base {
        changer = changer.with_base(base);
    }
    if request.repeat {
        changer = changer.with_repeat();
    }
    let mut drive = Drive {
        platform: &context.platform,
        deadline,
        parts: BTreeMap::new(),
    };
    let outcome = drive.run(changer).await;
    if let Outcome::Accepted(accepted) = &outcome
        && !accepted.head.is_empty()
    {
        let parts = drive.parts.into_values().collect();
        let written = Message::Written(accepted.head.clone(), parts);
        context.configuration.send(written);
    }
    outcome
}

/// One change on its way.
struct Drive<'a> {
    platform: &'a Client,
    deadline: Millis,
    /// Parts that were read or stored, for this daemon's own configuration.
    parts: BTreeMap<Digest, Bytes>,
}

impl Drive<'_> {
    async fn run(&mut self, mut changer: Changer) -> Outcome {
        let mut actions = VecDeque::from(changer.handle(Event::Start, now()));
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
            actions.extend(changer.handle(event, now()));
        }
        // The machine ends by saying how; if it doesn't, nothing is known.
        Outcome::Unknown
    }

    /// Longest time for a call, so that it ends by the deadline.
    fn timeout(&self) -> Millis {
        self.deadline.since(now()).min(CALL_TIMEOUT).max(Millis(1))
    }

    async fn read_head(&self) -> Event {
        match read_head(self.platform, self.timeout()).await {
            Ok(stored) => Event::Head(stored),
            Err(error) => lost(&error, Event::HeadLost),
        }
    }

    async fn read_part(&mut self, digest: Digest) -> Event {
        match read_part(self.platform, digest, self.timeout()).await {
            Ok(bytes) => {
                self.parts
                    .extend(bytes.clone().map(|bytes| (digest, bytes)));
                Event::Part(digest, bytes)
            }
            Err(error) => lost(&error, Event::PartLost),
        }
    }

    async fn create_part(&mut self, digest: Digest, bytes: Bytes) -> Event {
        let timeout = self.timeout();
        self.parts.insert(digest, bytes.clone());
        let key = digest.key();
        let created = self.platform.create(Role::Config, &key, bytes, timeout);
        match created.await {
            // A part is named by its digest, so one that exists is the same.
            Ok(_) | Err(Error::Precondition { .. }) => Event::Created(digest),
            Err(error) => lost(&error, Event::CreateLost),
        }
    }

    async fn write_head(&self, version: Option<u64>, bytes: Bytes) -> Event {
        match self.put_head(version, bytes).await {
            Ok(_) => Event::Written,
            Err(Error::Precondition { .. }) => Event::Moved,
            Err(error @ (Error::NotDone { .. } | Error::TooLarge { .. })) => {
                lost(&error, Event::WriteFailed)
            }
            Err(error) => lost(&error, Event::WriteLost),
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

fn lost(error: &Error, event: Event) -> Event {
    log::info!(target: "operators", "operators: the platform: {error}");
    event
}
