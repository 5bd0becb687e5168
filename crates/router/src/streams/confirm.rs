//! Confirms that the platform has a stream whose first event is about to be passed on.
//!
//! While several software versions may serve, a stream that only this fleet knows is
//! lost with the fleet. Its first event waits for the next write of the archive,
//! for a bounded time.

use std::collections::HashMap;
use std::net::SocketAddr;

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::PoolId;
use medlarrill_core::routing::streams::StreamKey;
use medlarrill_core::routing::streams::message::{Kept, Message};
use tokio::sync::oneshot;

use super::{MAX_JOINED, Streams};
use crate::metrics::Metrics;

/// Longest time for which a first event waits. Callers notice a pause of twice that.
const CONFIRM_TIMEOUT: Millis = Millis(60);
/// The same for a note of this daemon, where the daemon that writes the archive doesn't answer.
const NOTE_TIMEOUT: Millis = Millis(50);
/// Maximum number of streams that wait to be written; of later ones nobody is told.
const MAX_UNWRITTEN: usize = 4096;

/// The daemon that told of a stream, none for this one.
type Teller = Option<SocketAddr>;

/// A stream that the platform doesn't have yet.
pub(super) type Unkept = (Teller, StreamKey);

/// Streams that the platform doesn't have yet.
#[derive(Debug, Default)]
pub(super) struct Confirmations {
    /// Those whose first events wait here.
    waiting: HashMap<StreamKey, oneshot::Sender<()>>,
    /// Those that this daemon is to write.
    unwritten: Vec<Unkept>,
    /// Whether this daemon writes the archive.
    is_writer: bool,
    /// Whether this daemon notes its own streams, since no other one confirms them.
    is_noting: bool,
    /// Whether the last event waited in vain, and no stream was confirmed since.
    is_silent: bool,
}

impl Confirmations {
    pub(super) fn set_writer(&mut self, is_writer: bool) {
        self.is_writer = is_writer;
        self.is_noting &= !is_writer;
        if !is_writer && !self.is_noting {
            self.unwritten.clear();
        }
    }

    pub(super) const fn is_noting(&self) -> bool {
        self.is_noting
    }

    /// Notes a stream that this daemon is to write; returns whether it is.
    pub(super) fn add_unwritten(&mut self, teller: Teller, key: StreamKey) -> bool {
        let is_written = self.is_writer || self.is_noting && teller.is_none();
        if is_written && self.unwritten.len() < MAX_UNWRITTEN {
            self.unwritten.push((teller, key));
        }
        is_written
    }

    /// The streams that are written now.
    pub(super) fn take_unwritten(&mut self) -> Vec<Unkept> {
        std::mem::take(&mut self.unwritten)
    }

    /// Takes streams back that weren't written.
    pub(super) fn put_back(&mut self, unwritten: Vec<Unkept>) {
        self.unwritten.splice(0..0, unwritten);
        self.unwritten.truncate(MAX_UNWRITTEN);
    }

    fn wait(&mut self, key: StreamKey) -> Option<oneshot::Receiver<()>> {
        if self.is_silent {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(key, sender);
        Some(receiver)
    }

    fn confirm(&mut self, streams: impl Iterator<Item = StreamKey>) {
        self.is_silent = false;
        for key in streams {
            if let Some(waiting) = self.waiting.remove(&key) {
                // The caller may have left meanwhile.
                waiting.send(()).ok();
            }
        }
    }
}

/// The wait for the confirmation of one stream.
#[derive(Debug)]
pub struct Confirmation<'a> {
    streams: &'a Streams,
    key: StreamKey,
    receiver: oneshot::Receiver<()>,
    /// Whether this daemon is to write the stream itself.
    is_own: bool,
}

impl Drop for Confirmation<'_> {
    fn drop(&mut self) {
        self.streams.lock().confirmations.waiting.remove(&self.key);
    }
}

impl Confirmation<'_> {
    /// Waits until the platform has the stream, or until that takes too long.
    pub async fn wait(mut self) {
        let mut is_late = !self.is_confirmed(CONFIRM_TIMEOUT).await;
        if is_late && !self.is_own {
            self.streams.note(self.key);
            is_late = !self.is_confirmed(NOTE_TIMEOUT).await;
        }
        if is_late {
            self.streams.lock().confirmations.is_silent = true;
        }
        let code = if is_late { "late" } else { "kept" };
        Metrics::count(&self.streams.metrics.confirmations, code);
    }

    async fn is_confirmed(&mut self, wait: Millis) -> bool {
        let receiver = &mut self.receiver;
        let confirmed = tokio::time::timeout(wait.as_duration(), receiver).await;
        matches!(confirmed, Ok(Ok(())))
    }
}

impl Streams {
    /// Expects the confirmation of a stream that is about to be recorded; none where the platform
    /// isn't needed for it, or doesn't answer.
    pub(super) fn expect_kept(&self, key: StreamKey, pool: &PoolId) -> Option<Confirmation<'_>> {
        let is_large = self.lock().is_large;
        if is_large || !self.may_have_several(Some(pool)) {
            return None;
        }
        let mut state = self.lock();
        let has_writer = state.confirmations.is_writer || state.keeper.is_some();
        state.confirmations.is_noting |= !has_writer;
        let is_own = state.confirmations.is_writer || state.confirmations.is_noting;
        let receiver = state.confirmations.wait(key)?;
        drop(state);
        Some(Confirmation {
            streams: self,
            key,
            receiver,
            is_own,
        })
    }

    /// Writes a stream that no other daemon confirms, and those that begin later.
    fn note(&self, key: StreamKey) {
        let mut state = self.lock();
        let confirmations = &mut state.confirmations;
        confirmations.is_noting = !confirmations.is_writer;
        confirmations.add_unwritten(None, key);
        self.unwritten.notify_one();
    }

    /// Handles the confirmation of another daemon.
    pub(super) fn receive_kept(&self, kept: &Kept) {
        let mut state = self.lock();
        state.confirmations.is_noting = false;
        state.confirmations.confirm(kept.streams());
    }

    /// Confirms streams that this daemon has written to those that wait for them.
    pub(super) fn confirm_written(&self, written: &[Unkept]) {
        let mut by_teller: HashMap<Teller, Vec<StreamKey>> = HashMap::new();
        for (teller, key) in written {
            by_teller.entry(*teller).or_default().push(*key);
        }
        let own = by_teller.remove(&None).unwrap_or_default();
        self.lock().confirmations.confirm(own.into_iter());
        for (teller, keys) in by_teller {
            for keys in keys.chunks(MAX_JOINED) {
                let daemon = teller.into_iter();
                daemon.for_each(|daemon| self.send(daemon, Message::Kept(Kept::new(keys))));
            }
        }
    }
}
