//! Whom to ask for what.

use std::collections::BTreeSet;

use bytes::Bytes;
use rand::seq::IndexedRandom;

use super::goal::Goal;
use super::{Action, Asked, ConfigSync, Peer, REQUEST_TIMEOUT, Source};
use crate::change::digest::Digest;
use crate::clock::Millis;
use crate::ids::{Generation, Incarnation};
use crate::wire::{PartAnswer, PartRequest};

/// Largest answer, in bytes, unless one part alone is larger.
const MAX_ANSWER: usize = 1 << 20;
/// Parts asked of a peer at once.
const MAX_ASKED: usize = 1024;
/// Parts read from the platform at once.
const MAX_READ: usize = 16;

impl ConfigSync {
    /// Answers a peer with what is in force.
    pub fn serve(&self, ask: &PartRequest) -> PartAnswer {
        let mut answer = PartAnswer::default();
        let Some(held) = &self.held else {
            return answer;
        };
        if ask.digests.is_empty() {
            answer.head = held.bytes.clone();
        }
        let digests = ask.digests.iter().take(MAX_ASKED);
        let digests = digests.filter_map(|digest| Digest::from_bytes(digest));
        let mut size = 0;
        for part in digests.filter_map(|digest| held.parts.get(&digest)) {
            size += part.len();
            if size > MAX_ANSWER && !answer.parts.is_empty() {
                break;
            }
            answer.parts.push(part.clone());
        }
        answer
    }

    /// Asks for what is wanted next, or says when to look again.
    pub(super) fn proceed(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.reread.is_some_and(|time| now >= time) {
            self.reread = None;
            actions.push(Action::ReadHead);
        }
        if self.asked.is_none() {
            self.choose(now, actions);
        }
        actions.extend(self.next(now).map(Action::Wait));
    }

    /// Asks for the newest head or for missing parts, near before far.
    ///
    /// A peer keeps the parts of its own generation only, so parts are asked of
    /// peers that have just the goal's.
    fn choose(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let target = self.target();
        let newer = |peer: &Peer| peer.generation > target;
        if let Some(peer) = self.pick(now, |peer| peer.local && newer(peer)) {
            return self.ask(peer, BTreeSet::new(), now, actions);
        }
        let missing = self.goal.as_ref().map(Goal::missing).unwrap_or_default();
        let has = |peer: &Peer| !missing.is_empty() && peer.generation == target;
        if let Some(peer) = self.pick(now, |peer| peer.local && has(peer)) {
            return self.ask(peer, missing, now, actions);
        }
        if self.watching && now >= self.paused && !missing.is_empty() {
            return self.read(missing, now, actions);
        }
        if let Some(peer) = self.pick(now, newer) {
            return self.ask(peer, BTreeSet::new(), now, actions);
        }
        if let Some(peer) = self.pick(now, has) {
            self.ask(peer, missing, now, actions);
        }
    }

    /// A peer that may be asked, at random among those with the highest generation.
    fn pick(&mut self, now: Millis, wanted: impl Fn(&Peer) -> bool) -> Option<Incarnation> {
        let ready = |peer: &Peer| now >= peer.retry && wanted(peer);
        let peers = self.peers.iter().filter(|(_, peer)| ready(peer));
        let best = peers.clone().map(|(_, peer)| peer.generation).max()?;
        let best: Vec<_> = peers
            .filter(|(_, peer)| peer.generation == best)
            .map(|(id, _)| *id)
            .collect();
        best.choose(&mut self.rng).copied()
    }

    fn ask(
        &mut self,
        peer: Incarnation,
        digests: BTreeSet<Digest>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let digests: BTreeSet<_> = digests.into_iter().take(MAX_ASKED).collect();
        let wanted = digests.iter().map(|d| Bytes::copy_from_slice(&d.0));
        let request = PartRequest {
            digests: wanted.collect(),
        };
        actions.push(Action::Request { peer, request });
        self.await_answer(Source::Peer(peer), digests, now);
    }

    fn read(&mut self, missing: BTreeSet<Digest>, now: Millis, actions: &mut Vec<Action>) {
        let digests: BTreeSet<_> = missing.into_iter().take(MAX_READ).collect();
        actions.extend(digests.iter().copied().map(Action::ReadPart));
        self.await_answer(Source::Platform, digests, now);
    }

    fn await_answer(&mut self, source: Source, digests: BTreeSet<Digest>, now: Millis) {
        self.asked = Some(Asked {
            source,
            digests,
            until: now + REQUEST_TIMEOUT,
        });
    }

    /// When to look again.
    fn next(&self, now: Millis) -> Option<Millis> {
        let goal = self.goal.as_ref().map(|goal| goal.head.generation);
        let useful = |peer: &&Peer| peer.generation >= goal.unwrap_or(Generation(1));
        let wanting = goal.is_some();
        let retries = self.peers.values().filter(useful).map(|peer| peer.retry);
        let retries = retries.filter(|_| wanting || self.held.is_none());
        let paused = Some(self.paused).filter(|_| wanting && self.watching);
        let joined = self.joined.filter(|_| self.held.is_none());
        let asked = self.asked.as_ref().map(|asked| asked.until);
        let times = [self.reread, joined, asked, paused].into_iter().flatten();
        times.chain(retries).filter(|time| *time > now).min()
    }
}
