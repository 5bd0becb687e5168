//! The reader of one answer, streamed or whole.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, stream};
use tokio::sync::watch;

use super::chat;
use super::job::Job;
use super::shared::{Shared, State};
use crate::http::{Cut, Outage};
use crate::lock;

/// Most tokens in one event.
const MAX_EVENT: u64 = 32;
/// Pause before a cut, in which what was sent before goes out.
const CUT_PAUSE: Duration = Duration::from_millis(20);

/// Reads the answer to one request. Dropping it starts the request's grace.
pub(super) struct Reader {
    shared: Arc<Shared>,
    steps: watch::Receiver<u64>,
    number: u64,
    /// Which reader of the request this is.
    reader: u64,
    /// Tokens left before the stream is cut.
    left: Option<u64>,
    ended: bool,
}

/// What a reader found.
enum Found {
    /// Events to send, and whether they are the last.
    Events(String, bool),
    Nothing,
    Cut,
}

impl Reader {
    /// Takes over the reading of a request after `from` tokens of its answer.
    pub(super) fn new(shared: &Arc<Shared>, number: u64, from: u64) -> Option<Self> {
        let mut state = lock(&shared.state);
        let State { batch, faults, .. } = &mut *state;
        let job = batch.job(number).filter(|job| from <= job.run.made)?;
        job.reader += 1;
        job.alone = None;
        job.sent = from;
        let reader = job.reader;
        let broken = job.streamed && faults.breaks > 0;
        faults.breaks -= u32::from(broken);
        let left = broken.then_some(faults.break_after);
        drop(state);
        Some(Self {
            shared: Arc::clone(shared),
            steps: shared.steps(),
            number,
            reader,
            left,
            ended: false,
        })
    }

    /// The answer as server-sent events.
    pub(super) fn events(self) -> impl Stream<Item = Result<Bytes, Cut>> + Send + 'static {
        stream::unfold(self, |mut reader| async move {
            let events = reader.next().await?;
            Some((events, reader))
        })
    }

    /// Waits for the whole answer.
    pub(super) async fn whole(mut self) -> Result<chat::Whole, Cut> {
        loop {
            self.steps.borrow_and_update();
            if self.reachable()? {
                let mut state = lock(&self.shared.state);
                let job = self.job(&mut state).ok_or(Cut)?;
                if job.is_done() {
                    job.sent = job.run.made;
                    return Ok(chat::Whole::new(job));
                }
            }
            self.steps.changed().await.map_err(|_| Cut)?;
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        while !self.ended {
            self.steps.borrow_and_update();
            match self.look() {
                Found::Events(events, last) => {
                    self.ended = last;
                    return Some(Ok(events.into()));
                }
                Found::Cut => {
                    self.ended = true;
                    tokio::time::sleep(CUT_PAUSE).await;
                    return Some(Err(Cut));
                }
                // The sender is held by `shared`, so that the wait can't fail.
                Found::Nothing => drop(self.steps.changed().await),
            }
        }
        None
    }

    fn look(&mut self) -> Found {
        match self.reachable() {
            Err(Cut) => return Found::Cut,
            Ok(false) => return Found::Nothing,
            Ok(true) => {}
        }
        if self.left == Some(0) {
            return Found::Cut;
        }
        let shared = Arc::clone(&self.shared);
        let mut state = lock(&shared.state);
        let Some(job) = self.job(&mut state) else {
            return Found::Cut;
        };
        let most = self.left.unwrap_or(MAX_EVENT).min(MAX_EVENT);
        let from = job.sent;
        let to = job.run.made.min(from + most);
        let whole = job.is_done() && to == job.run.made;
        if from == to && !whole {
            return Found::Nothing;
        }
        job.sent = to;
        let events = chat::events(job, from, to);
        self.left = self.left.map(|left| left - (to - from));
        Found::Events(events, whole)
    }

    /// Whether the engine can answer now; an outage that cuts is an error.
    fn reachable(&self) -> Result<bool, Cut> {
        match self.shared.switch.outage(None) {
            None => Ok(true),
            Some(Outage::Hang) => Ok(false),
            Some(Outage::Refuse | Outage::Cut | Outage::Unavailable) => Err(Cut),
        }
    }

    /// The request, while this is its reader.
    fn job<'a>(&self, state: &'a mut State) -> Option<&'a mut Job> {
        let job = state.batch.job(self.number)?;
        (job.reader == self.reader).then_some(job)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut state = lock(&self.shared.state);
        if let Some(job) = self.job(&mut state) {
            job.alone = Some(now);
        }
    }
}
