//! Deletes stored parts that no head references any more, while this daemon is a watcher.

use medlarrill_core::change::committer::Stored;
use medlarrill_core::change::sweep::{Action, Event, StoredPart};
use medlarrill_core::change::{Digest, PART_PREFIX, Sweep};
use medlarrill_core::clock::Millis;
use medlarrill_net::now::now;
use medlarrill_net::platform::{Client, Result, Role, Version};
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

use super::source::{CALL_TIMEOUT, read_head};

/// Maximum number of keys in one page of a listing.
const PAGE_SIZE: u32 = 1000;

/// Runs sweeps in the background until dropped.
pub struct Sweeper {
    heads: mpsc::UnboundedSender<Stored>,
    _task: AbortOnDropHandle<()>,
}

impl Sweeper {
    /// Starts the background task.
    pub fn start(platform: Client) -> Self {
        let (heads, receiver) = mpsc::unbounded_channel();
        let worker = Worker {
            platform,
            sweep: Sweep::new(rand::random()),
            wake: Millis::MAX,
        };
        Self {
            heads,
            _task: AbortOnDropHandle::new(tokio::spawn(worker.run(receiver))),
        }
    }

    /// Passes a head that was read to the sweep.
    pub fn head_read(&self, stored: Stored) {
        // The receiver ends only when the sweeper is dropped.
        let _ = self.heads.send(stored);
    }
}

struct Worker {
    platform: Client,
    sweep: Sweep,
    wake: Millis,
}

impl Worker {
    async fn run(mut self, mut heads: mpsc::UnboundedReceiver<Stored>) {
        self.drive(Event::Timer).await;
        loop {
            let pause = self.wake.since(now()).as_duration();
            let event = tokio::select! {
                stored = heads.recv() => match stored {
                    Some(stored) => Event::Seen(stored),
                    None => return,
                },
                () = tokio::time::sleep(pause), if self.wake < Millis::MAX => {
                    self.wake = Millis::MAX;
                    Event::Timer
                }
            };
            self.drive(event).await;
        }
    }

    async fn drive(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.sweep.handle(event, now()) {
                events.extend(self.apply(action).await);
            }
        }
    }

    async fn apply(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Wait(until) => {
                self.wake = until;
                None
            }
            Action::List => Some(self.list().await.map_or(Event::Failed, Event::Listed)),
            Action::ReadHead => match read_head(&self.platform, CALL_TIMEOUT).await {
                Ok(Some(stored)) => Some(Event::Head(stored)),
                Ok(None) | Err(_) => Some(Event::Failed),
            },
            Action::Delete(part) => {
                self.delete(part).await;
                None
            }
        }
    }

    async fn list(&self) -> Result<Vec<StoredPart>> {
        let mut parts = Vec::new();
        let mut after = String::new();
        loop {
            let page = self
                .platform
                .list(Role::Config, PART_PREFIX, &after, PAGE_SIZE, CALL_TIMEOUT)
                .await?;
            let Some(last) = page.entries.last().map(|entry| entry.key.clone()) else {
                return Ok(parts);
            };
            let part = |entry: &medlarrill_net::platform::Entry| {
                let digest = entry
                    .key
                    .strip_prefix(PART_PREFIX)?
                    .parse::<Digest>()
                    .ok()?;
                let version = entry.version.0;
                Some(StoredPart { digest, version })
            };
            parts.extend(page.entries.iter().filter_map(part));
            if !page.more {
                return Ok(parts);
            }
            after = last;
        }
    }

    /// Deletes a part; a later sweep retries it if that fails.
    async fn delete(&self, part: StoredPart) {
        let version = Version(part.version);
        let key = part.digest.key();
        let deleted = self
            .platform
            .delete(Role::Config, &key, version, CALL_TIMEOUT);
        match deleted.await {
            Ok(()) => log::info!(target: "config", "config: deleted part {}", part.digest),
            Err(error) => log::debug!(target: "config", "config: {key} was not deleted: {error}"),
        }
    }
}
