//! Following the objects under a prefix: a list, then long polls, and a list
//! again when the platform no longer holds the revision.

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use tokio::sync::{mpsc, watch};
use tokio_util::task::AbortOnDropHandle;

use super::Client;
use super::error::{Error, Result};
use super::model::{Change, Entry, Revision};
use super::role::Role;
use crate::now::now;

/// Pieces of news that wait for their reader; the follower then waits too.
const WAITING: usize = 16;

/// What to follow, and how.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Follow {
    /// Who spends the calls.
    pub role: Role,
    /// Prefix of the keys.
    pub prefix: String,
    /// How long one poll may wait for a change.
    pub poll: Millis,
    /// Longest time for each call beyond that wait.
    pub timeout: Millis,
    /// Keys in one page of a list.
    pub page: u32,
}

impl Follow {
    /// Follows a prefix with the usual limits.
    pub fn new(role: Role, prefix: impl Into<String>) -> Self {
        Self {
            role,
            prefix: prefix.into(),
            poll: Millis::from_secs(20),
            timeout: Millis::from_secs(2),
            page: 1000,
        }
    }

    /// Sets how long one poll may wait for a change.
    #[must_use]
    pub const fn with_poll(mut self, poll: Millis) -> Self {
        self.poll = poll;
        self
    }

    /// Sets the longest time for each call beyond its wait.
    #[must_use]
    pub const fn with_timeout(mut self, timeout: Millis) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the keys in one page of a list.
    #[must_use]
    pub const fn with_page(mut self, page: u32) -> Self {
        self.page = page;
        self
    }
}

/// News of the objects under a prefix.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub enum Followed {
    /// All objects there are; what is known and not listed is gone.
    Listed {
        /// The revision from which changes follow. Some of them may show in
        /// the list already.
        revision: Revision,
        /// The objects, in key order.
        entries: Vec<Entry>,
    },
    /// Changes since the news before.
    Changed {
        /// The revision up to which they are told.
        revision: Revision,
        /// The changes.
        changes: Vec<Change>,
    },
}

/// When the platform was last heard, on the monotonic clock of this process.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Heard {
    /// When the last call that was answered was made; none before the first.
    /// An answer may have waited unread while the process was paused.
    pub asked: Option<Millis>,
    /// When its answer was read; none before the first.
    pub answered: Option<Millis>,
}

impl Heard {
    /// How old the news is; `Millis::MAX` before the first answer.
    pub fn age(&self, now: Millis) -> Millis {
        self.answered.map_or(Millis::MAX, |at| now.since(at))
    }
}

/// Follows a prefix until dropped.
#[derive(Debug)]
pub struct Follower {
    #[debug(skip)]
    news: mpsc::Receiver<Followed>,
    #[debug(skip)]
    heard: watch::Receiver<Heard>,
    #[debug(skip)]
    _task: AbortOnDropHandle<()>,
}

impl Follower {
    /// The next news; `None` only if the runtime stops. Can be dropped while
    /// waiting without losing news.
    pub async fn next(&mut self) -> Option<Followed> {
        self.news.recv().await
    }

    /// When the platform was last heard, also if there was no news.
    pub fn heard(&self) -> Heard {
        *self.heard.borrow()
    }
}

impl Client {
    /// Starts to follow a prefix.
    pub fn follow(&self, follow: Follow) -> Follower {
        let (news, receiver) = mpsc::channel(WAITING);
        let (heard, hearing) = watch::channel(Heard::default());
        let task = Task {
            client: self.clone(),
            follow,
            news,
            heard,
            tries: 0,
        };
        Follower {
            news: receiver,
            heard: hearing,
            _task: AbortOnDropHandle::new(tokio::spawn(task.run())),
        }
    }
}

struct Task {
    client: Client,
    follow: Follow,
    news: mpsc::Sender<Followed>,
    heard: watch::Sender<Heard>,
    /// Failures since the last poll that was answered.
    tries: u32,
}

impl Task {
    async fn run(mut self) {
        let mut from = None;
        while !self.news.is_closed() {
            let step = match from {
                None => self.list().await,
                Some(revision) => self.poll(revision).await,
            };
            match step {
                Ok(revision) => from = Some(revision),
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
        self.tries = self.tries.saturating_add(1);
        let role = self.follow.role;
        log::debug!(target: "platform", "platform: following `{}`: {error}", self.follow.prefix);
        let wait = self.client.wait(role, self.tries, error);
        tokio::time::sleep(wait.as_duration()).await;
    }

    /// Lists everything; changes made meanwhile are told after the list.
    async fn list(&self) -> Result<Revision> {
        let follow = &self.follow;
        let mut entries: Vec<Entry> = Vec::new();
        let mut first = None;
        loop {
            let after = entries.last().map_or("", |entry| entry.key.as_str());
            let asked = now();
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
            self.hear(asked);
            let revision = *first.get_or_insert(page.revision);
            let more = page.more && !page.entries.is_empty();
            entries.extend(page.entries);
            if !more {
                self.tell(Followed::Listed { revision, entries }).await;
                return Ok(revision);
            }
        }
    }

    async fn poll(&mut self, after: Revision) -> Result<Revision> {
        let follow = &self.follow;
        // After a failure, an answer at once shows that the platform is back.
        let poll = if self.tries == 0 {
            follow.poll
        } else {
            Millis::ZERO
        };
        let asked = now();
        let news = self
            .client
            .watch(follow.role, &follow.prefix, after, poll, follow.timeout)
            .await?;
        if news.revision < after {
            // The platform was restored to an earlier state.
            return Err(Error::Gone);
        }
        self.hear(asked);
        self.tries = 0;
        if !news.changes.is_empty() {
            let (revision, changes) = (news.revision, news.changes);
            self.tell(Followed::Changed { revision, changes }).await;
        }
        Ok(news.revision)
    }

    fn hear(&self, asked: Millis) {
        self.heard.send_replace(Heard {
            asked: Some(asked),
            answered: Some(now()),
        });
    }

    async fn tell(&self, news: Followed) {
        // A reader that has gone away ends the loop at its next turn.
        let _ = self.news.send(news).await;
    }
}
