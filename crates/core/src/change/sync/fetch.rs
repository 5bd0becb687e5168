//! Serves configuration to peers, and chooses from whom to fetch heads and parts.

use std::collections::BTreeSet;

use bytes::Bytes;
use rand::seq::IndexedRandom;

use super::candidate::Candidate;
use super::{Action, ConfigSync, Peer, PendingRequest, REQUEST_TIMEOUT, Source};
use crate::change::digest::Digest;
use crate::clock::Millis;
use crate::ids::{Generation, Incarnation};
use crate::wire::{PartAnswer, PartRequest};

/// Maximum size of an answer, in bytes, unless a single part is larger.
const MAX_ANSWER: usize = 1 << 20;
/// Maximum number of parts in one request to a peer.
const MAX_REQUESTED: usize = 1024;
/// Maximum number of concurrent part reads from the platform.
const MAX_READ: usize = 16;

impl ConfigSync {
    /// Answers a peer's request from the configuration in force.
    pub fn serve(&self, request: &PartRequest) -> PartAnswer {
        let mut answer = PartAnswer::default();
        let Some(current) = &self.current else {
            return answer;
        };
        if request.digests.is_empty() {
            answer.head = current.bytes.clone();
        }
        let digests = request.digests.iter().take(MAX_REQUESTED);
        let digests = digests.filter_map(|digest| Digest::from_bytes(digest));
        let mut size = 0;
        for part in digests.filter_map(|digest| current.parts.get(&digest)) {
            size += part.len();
            if size > MAX_ANSWER && !answer.parts.is_empty() {
                break;
            }
            answer.parts.push(part.clone());
        }
        answer
    }

    /// Starts the next request, and sets the timer.
    pub(super) fn request_next(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.head_due.is_some_and(|time| now >= time) {
            self.head_due = None;
            actions.push(Action::ReadHead);
        }
        if self.pending.is_none() {
            self.choose_source(now, actions);
        }
        actions.extend(self.next_timer(now).map(Action::Wait));
    }

    /// Requests the newest head or missing parts, from the same data centre first.
    ///
    /// A peer keeps only the parts of its own generation, so parts are requested
    /// from peers that are at the candidate's generation.
    fn choose_source(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let target = self.highest_known();
        let newer = |peer: &Peer| peer.generation > target;
        if let Some(peer) = self.pick_peer(now, |peer| peer.local && newer(peer)) {
            return self.request(peer, BTreeSet::new(), now, actions);
        }
        let missing = self
            .candidate
            .as_ref()
            .map(Candidate::missing)
            .unwrap_or_default();
        let has = |peer: &Peer| !missing.is_empty() && peer.generation == target;
        if let Some(peer) = self.pick_peer(now, |peer| peer.local && has(peer)) {
            return self.request(peer, missing, now, actions);
        }
        if self.watching && now >= self.platform_retry && !missing.is_empty() {
            return self.read_parts(missing, now, actions);
        }
        if let Some(peer) = self.pick_peer(now, newer) {
            return self.request(peer, BTreeSet::new(), now, actions);
        }
        if let Some(peer) = self.pick_peer(now, has) {
            self.request(peer, missing, now, actions);
        }
    }

    /// A random suitable peer among those with the highest generation.
    fn pick_peer(&mut self, now: Millis, wanted: impl Fn(&Peer) -> bool) -> Option<Incarnation> {
        let ready = |peer: &Peer| now >= peer.retry && wanted(peer);
        let peers = self.peers.iter().filter(|(_, peer)| ready(peer));
        let best = peers.clone().map(|(_, peer)| peer.generation).max()?;
        let best: Vec<_> = peers
            .filter(|(_, peer)| peer.generation == best)
            .map(|(id, _)| *id)
            .collect();
        best.choose(&mut self.rng).copied()
    }

    fn request(
        &mut self,
        peer: Incarnation,
        digests: BTreeSet<Digest>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let digests: BTreeSet<_> = digests.into_iter().take(MAX_REQUESTED).collect();
        let wanted = digests.iter().map(|d| Bytes::copy_from_slice(&d.0));
        let request = PartRequest {
            digests: wanted.collect(),
        };
        actions.push(Action::Request { peer, request });
        self.await_answer(Source::Peer(peer), digests, now);
    }

    fn read_parts(&mut self, missing: BTreeSet<Digest>, now: Millis, actions: &mut Vec<Action>) {
        let digests: BTreeSet<_> = missing.into_iter().take(MAX_READ).collect();
        actions.extend(digests.iter().copied().map(Action::ReadPart));
        self.await_answer(Source::Platform, digests, now);
    }

    fn await_answer(&mut self, source: Source, digests: BTreeSet<Digest>, now: Millis) {
        self.pending = Some(PendingRequest {
            source,
            digests,
            until: now + REQUEST_TIMEOUT,
        });
    }

    /// When the next timer is due.
    fn next_timer(&self, now: Millis) -> Option<Millis> {
        let candidate = self
            .candidate
            .as_ref()
            .map(|candidate| candidate.head.generation);
        let useful = |peer: &&Peer| peer.generation >= candidate.unwrap_or(Generation(1));
        let wanting = candidate.is_some();
        let retries = self.peers.values().filter(useful).map(|peer| peer.retry);
        let retries = retries.filter(|_| wanting || self.current.is_none());
        let platform_retry = Some(self.platform_retry).filter(|_| wanting && self.watching);
        let join_end = self.join_end.filter(|_| self.current.is_none());
        let pending = self.pending.as_ref().map(|pending| pending.until);
        let times = [self.head_due, join_end, pending, platform_retry]
            .into_iter()
            .flatten();
        times.chain(retries).filter(|time| *time > now).min()
    }
}
