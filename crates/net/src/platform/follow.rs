//! Follows the objects under a prefix: lists them, then long-polls for changes, and
//! lists them again when the platform no longer holds the revision or was restored
//! from a copy.

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use tokio::sync::{mpsc, watch};
use tokio_util::task::AbortOnDropHandle;

use super::Client;
use super::error::{Error, Result};
use super::model::{Change, Entry, Era, Revision};
use super::role::Role;
use crate::now::now;

/// Events queued for the reader; the follower waits while the queue is full.
const EVENT_QUEUE_LEN: usize = 16;

/// Settings of a follower.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Follow {
    /// Role of the calls.
    pub role: Role,
    /// Key prefix.
    pub prefix: String,
    /// Longest wait of one long poll.
    pub poll: Millis,
    /// Timeout of each call beyond that wait.
    pub timeout: Millis,
    /// Page size of the list, in keys.
    pub page: u32,
}

impl Follow {
    /// Settings for a prefix with the default limits.
    pub fn new(role: Role, prefix: impl Into<String>) -> Self {
        Self {
            role,
            prefix: prefix.into(),
            poll: Millis::from_secs(20),
            timeout: Millis::from_secs(2),
            page: 1000,
        }
    }

    /// Sets the longest wait of one long poll.
    #[must_use]
    pub const fn with_poll(mut self, poll: Millis) -> Self {
        self.poll = poll;
        self
    }

    /// Sets the timeout of each call beyond its wait.
    #[must_use]
    pub const fn with_timeout(mut self, timeout: Millis) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the page size of the list, in keys.
    #[must_use]
    pub const fn with_page(mut self, page: u32) -> Self {
        self.page = page;
        self
    }
}

/// An update of the objects under a prefix.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub enum FollowEvent {
    /// All present objects; any other object that the reader knows was deleted.
    Listed {
        /// Later changes are reported from this revision on. Some of them may
        /// be contained in the list already.
        revision: Revision,
        /// The objects, in key order.
        entries: Vec<Entry>,
    },
    /// Changes since the previous event.
    Changed {
        /// The revision up to which changes are reported.
        revision: Revision,
        /// The changes.
        changes: Vec<Change>,
    },
}

/// Times of the last successful call, on the monotonic clock of this process.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct LastContact {
    /// When the last answered call was sent; `None` before the first. Older than
    /// `received` if the response waited unread while the process was paused.
    pub sent: Option<Millis>,
    /// When its response was read; `None` before the first.
    pub received: Option<Millis>,
}

impl LastContact {
    /// Time since the last response; `Millis::MAX` before the first.
    pub fn age(&self, now: Millis) -> Millis {
        self.received.map_or(Millis::MAX, |at| now.since(at))
    }
}

/// Receives the events of a prefix; dropping it ends the background task.
#[derive(Debug)]
pub struct Follower {
    #[debug(skip)]
    events: mpsc::Receiver<FollowEvent>,
    #[debug(skip)]
    last_contact: watch::Receiver<LastContact>,
    #[debug(skip)]
    _task: AbortOnDropHandle<()>,
}

impl Follower {
    /// The next event; `None` only if the runtime stops. Cancel safe: no event
    /// is lost if the future is dropped.
    pub async fn next(&mut self) -> Option<FollowEvent> {
        self.events.recv().await
    }

    /// Times of the last successful call, also if it reported no change.
    pub fn last_contact(&self) -> LastContact {
        *self.last_contact.borrow()
    }
}

impl Client {
    /// Starts a task that follows a prefix.
    pub fn follow(&self, follow: Follow) -> Follower {
        let (events, event_receiver) = mpsc::channel(EVENT_QUEUE_LEN);
        let (last_contact, contact_receiver) = watch::channel(LastContact::default());
        let task = Task {
            client: self.clone(),
            follow,
            events,
            last_contact,
            failures: 0,
        };
        Follower {
            events: event_receiver,
            last_contact: contact_receiver,
            _task: AbortOnDropHandle::new(tokio::spawn(task.run())),
        }
    }
}

struct Task {
    client: Client,
    follow: Follow,
    events: mpsc::Sender<FollowEvent>,
    last_contact: watch::Sender<LastContact>,
    /// Failed calls since the last successful poll.
    failures: u32,
}

impl Task {
    async fn run(mut self) {
        let mut from = None;
        while !self.events.is_closed() {
            let step = match from {
                None => self.list().await,
                Some(position) => self.poll(position).await,
            };
            match step {
                Ok(position) => from = Some(position),
                Err(error) => {
                    if error == Error::Gone {
                        from = None;
                    }
                    self.back_off(&error).await;
                }
            }
        }
    }

    async fn back_off(&mut self, error: &Error) {
        self.failures = self.failures.saturating_add(1);
        let role = self.follow.role;
        log::debug!(target: "platform", "platform: following `{}`: {error}", self.follow.prefix);
        let wait = self.client.wait(role, self.failures, error);
        tokio::time::sleep(wait.as_duration()).await;
    }

    /// Lists all objects; changes made meanwhile are reported after the list.
    async fn list(&self) -> Result<(Era, Revision)> {
        let follow = &self.follow;
        let mut entries: Vec<Entry> = Vec::new();
        let mut first = None;
        loop {
            let after = entries.last().map_or("", |entry| entry.key.as_str());
            let sent = now();
            let page = self
                .client
                .list(
                    follow.role,
                    &follow.prefix,
                    after,
                    follow.page,
                    follow.timeout,
                )
                .await?;
            self.record_contact(sent);
            let (era, revision) = *first.get_or_insert((page.era, page.revision));
            if page.era != era {
                return Err(Error::Gone);
            }
            let more = page.more && !page.entries.is_empty();
            entries.extend(page.entries);
            if !more {
                self.send_event(FollowEvent::Listed { revision, entries })
                    .await;
                return Ok((era, revision));
            }
        }
    }

    async fn poll(&mut self, (era, after): (Era, Revision)) -> Result<(Era, Revision)> {
        let follow = &self.follow;
        // After a failure, poll without waiting: a prompt response shows that the
        // platform has recovered.
        let poll = if self.failures == 0 {
            follow.poll
        } else {
            Millis::ZERO
        };
        let sent = now();
        let update = self
            .client
            .watch(
                follow.role,
                &follow.prefix,
                (era, after),
                poll,
                follow.timeout,
            )
            .await?;
        if update.revision < after {
            // A platform without eras was restored to an earlier state.
            return Err(Error::Gone);
        }
        self.record_contact(sent);
        self.failures = 0;
        if !update.changes.is_empty() {
            let (revision, changes) = (update.revision, update.changes);
            self.send_event(FollowEvent::Changed { revision, changes })
                .await;
        }
        Ok((era, update.revision))
    }

    fn record_contact(&self, sent: Millis) {
        self.last_contact.send_replace(LastContact {
            sent: Some(sent),
            received: Some(now()),
        });
    }

    async fn send_event(&self, event: FollowEvent) {
        // If the reader was dropped, `run` ends at its next iteration.
        let _ = self.events.send(event).await;
    }
}
