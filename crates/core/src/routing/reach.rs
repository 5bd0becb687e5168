//! Whether this daemon reaches endpoints itself, or only through other daemons.
//!
//! A network partition may separate a daemon from all endpoints, or from some,
//! while callers, the platform and the other daemons still reach it. From one
//! connection that fails this can't be told from an endpoint that has failed.
//! Two things tell them apart: nothing at all is heard from any endpoint
//! ([`Reach`]), or another daemon connects to an endpoint that this one doesn't
//! reach ([`Helpers`] chooses whom to ask). What a daemon that is cut off
//! observes says nothing about the endpoints, so it isn't counted against them.

mod helpers;
mod resets;

use std::collections::HashMap;

use derive_more::{Debug, Display};
use foldhash::fast::RandomState;

use crate::clock::Millis;
use crate::routing::endpoint::InstanceId;

pub use helpers::{HelpFailure, Helpers};
pub use resets::Resets;

/// Silence of all endpoints after which an idle connection isn't trusted with a request that may
/// run only once: the request would be lost with it.
const FRESH: Millis = Millis(300);
/// The same for a request that may be sent again.
const FRESH_IDEMPOTENT: Millis = Millis(1000);
/// Time within which failed connections to several endpoints count together.
const FAILURE_WINDOW: Millis = Millis(1000);
/// Number of endpoints that can't be connected to, one after the other, at which this daemon counts
/// as cut off if it hears no endpoint. Two may well fail together.
const CUT_OFF_AT: usize = 3;
/// The same while it hears some on older connections: a complete pool of a few endpoints may fail.
const CUT_OFF_HEARING_AT: usize = 6;
/// Number of endpoints that can't be connected to at which other daemons are asked for a
/// connection. A single one has most likely failed.
const ASK_AT: usize = 2;
/// Number of endpoints that must be connected to before it doesn't any more.
const RESTORED_AT: usize = 2;
/// First and longest time for which an endpoint that only others connected to is reached through
/// them.
const TUNNEL_SPAN: (Millis, Millis) = (Millis(250), Millis(2000));
/// First and longest pause between two rounds of probes.
const PROBE_PAUSE: (Millis, Millis) = (Millis(200), Millis(800));
/// Lost connections to different endpoints within [`LOSS_WINDOW`] from which on this daemon's own
/// link is taken for the cause.
const OWN_LOSSES: usize = 3;
/// A link that fails resets its connections within this time.
pub const LOSS_WINDOW: Millis = Millis(100);

/// How to connect to an endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display)]
pub enum Path {
    /// Directly; through another daemon if that takes long or fails.
    #[display("direct")]
    Direct,
    /// Through another daemon: this one doesn't reach the endpoint.
    #[display("tunnel")]
    Tunnel,
    /// Through another daemon: this one is cut off from all endpoints.
    #[display("cut-off")]
    CutOff,
}

/// Whether this daemon became cut off from all endpoints, or isn't any more.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum ReachChange {
    /// It reaches no endpoint.
    CutOff {
        /// Endpoints to which no connection could be made.
        endpoints: usize,
        /// Time since an endpoint was last heard.
        silence: Millis,
    },
    /// It reaches endpoints again.
    Restored {
        /// Time for which it was cut off.
        span: Millis,
    },
}

/// An endpoint that this daemon doesn't reach, but others do.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Tunnel {
    until: Millis,
    span: Millis,
}

/// What one daemon knows of its own paths to endpoints.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Reach {
    /// When any endpoint was last heard directly.
    heard_at: Millis,
    /// Since when this daemon is cut off.
    cut_off_since: Option<Millis>,
    /// Endpoints to which no connection could be made since the last one that was made, and when.
    failed: HashMap<InstanceId, Millis, RandomState>,
    /// Endpoints that were connected to since this daemon is cut off.
    restored: Vec<InstanceId>,
    tunnels: HashMap<InstanceId, Tunnel, RandomState>,
    probe_pause: Millis,
    next_probe: Millis,
    /// Endpoints to which connections were lost within [`LOSS_WINDOW`], and when.
    lost: Vec<(InstanceId, Millis)>,
    /// When this daemon's own link last reset its connections.
    link_failed_at: Option<Millis>,
}

impl Reach {
    /// Records that bytes of any endpoint arrived on a direct connection.
    pub fn record_heard(&mut self, now: Millis) {
        self.heard_at = self.heard_at.max(now);
    }

    /// Records a direct connection to an endpoint.
    pub fn record_connected(&mut self, id: &InstanceId, now: Millis) -> Option<ReachChange> {
        self.record_heard(now);
        self.failed.clear();
        self.tunnels.remove(id);
        let since = self.cut_off_since?;
        if !self.restored.contains(id) {
            self.restored.push(id.clone());
        }
        if self.restored.len() < RESTORED_AT {
            return None;
        }
        self.cut_off_since = None;
        self.tunnels.clear();
        self.next_probe = Millis::ZERO;
        Some(ReachChange::Restored {
            span: now.since(since),
        })
    }

    /// Records that no direct connection to an endpoint could be made; `known` is the number of
    /// endpoints that there are.
    pub fn record_unconnected(
        &mut self,
        id: &InstanceId,
        known: usize,
        now: Millis,
    ) -> Option<ReachChange> {
        self.restored.clear();
        self.failed.retain(|_, at| now.since(*at) < FAILURE_WINDOW);
        self.failed.insert(id.clone(), now);
        let endpoints = self.failed.len();
        let enough = match self.hears(now) {
            true => CUT_OFF_HEARING_AT,
            false => CUT_OFF_AT,
        };
        if self.cut_off_since.is_some() || endpoints < enough.min(known) {
            return None;
        }
        self.cut_off_since = Some(now);
        self.probe_pause = PROBE_PAUSE.0;
        self.next_probe = now + PROBE_PAUSE.0;
        Some(ReachChange::CutOff {
            endpoints,
            silence: self.silence(now),
        })
    }

    /// Records that another daemon connected to an endpoint that this one didn't reach.
    pub fn record_tunnel(&mut self, id: &InstanceId, now: Millis) {
        let (first, longest) = TUNNEL_SPAN;
        let tunnel = self.tunnels.entry(id.clone()).or_insert(Tunnel {
            until: now,
            span: Millis::ZERO,
        });
        if tunnel.until <= now {
            tunnel.span = Millis(tunnel.span.0 * 2).clamp(first, longest);
            tunnel.until = now + tunnel.span;
        }
    }

    /// Forgets endpoints that have long been reached directly or not at all.
    pub fn prune(&mut self, now: Millis) {
        let (_, longest) = TUNNEL_SPAN;
        self.tunnels
            .retain(|_, tunnel| now.since(tunnel.until) < longest);
    }

    /// How to connect to an endpoint.
    pub fn path(&self, id: &InstanceId, now: Millis) -> Path {
        if self.is_cut_off() {
            return Path::CutOff;
        }
        match self.tunnels.get(id) {
            Some(tunnel) if now < tunnel.until => Path::Tunnel,
            _ => Path::Direct,
        }
    }

    /// Whether this daemon reaches no endpoint.
    pub const fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Time since any endpoint was last heard directly.
    pub const fn silence(&self, now: Millis) -> Millis {
        now.since(self.heard_at)
    }

    /// Whether an endpoint was heard directly a moment ago.
    pub fn hears(&self, now: Millis) -> bool {
        self.silence(now) < FRESH
    }

    /// Whether a connection failed a moment ago, and none was made since.
    fn has_failed(&self, now: Millis) -> bool {
        let mut times = self.failed.values();
        times.any(|at| now.since(*at) < FAILURE_WINDOW)
    }

    /// Whether other daemons are asked for a connection to an endpoint that doesn't answer: not if
    /// most likely only this endpoint has failed.
    pub fn asks_others(&self, id: &InstanceId, now: Millis) -> bool {
        let is_recent = |at: &Millis| now.since(*at) < FAILURE_WINDOW;
        let others = self.failed.iter().filter(|(failed, _)| *failed != id);
        let others = others.filter(|(_, at)| is_recent(at)).count();
        !self.hears(now) || others + 1 >= ASK_AT || self.path(id, now) != Path::Direct
    }

    /// Whether an idle connection may be used: a daemon that hears no endpoint may be cut off without
    /// its connections having ended.
    pub fn trusts_idle(&self, is_idempotent: bool, now: Millis) -> bool {
        let fresh = match is_idempotent {
            true => FRESH_IDEMPOTENT,
            false => FRESH,
        };
        self.silence(now) < fresh
    }

    /// Whether to probe some endpoints now, because this daemon is cut off or may be: `is_suspect`
    /// if an endpoint doesn't answer. Each call that returns true counts as a round of probes.
    pub fn should_probe(&mut self, is_suspect: bool, now: Millis) -> bool {
        let may_be_cut = is_suspect && (!self.hears(now) || self.failed.len() >= CUT_OFF_AT);
        if now < self.next_probe || !(self.is_cut_off() || may_be_cut) {
            return false;
        }
        let (first, longest) = PROBE_PAUSE;
        self.probe_pause = match self.is_cut_off() {
            true => Millis(self.probe_pause.0 * 2).clamp(first, longest),
            false => first,
        };
        self.next_probe = now + self.probe_pause;
        true
    }

    /// Whether an attempt on a direct connection that got no answer in time may have failed by this
    /// daemon's own link, so that it says nothing about the endpoint.
    pub fn is_own_silence(&self, id: &InstanceId, now: Millis) -> bool {
        let is_silent = !self.hears(now) && self.has_failed(now);
        is_silent || self.path(id, now) != Path::Direct
    }

    /// Records that a direct connection was lost with a request. Whether this daemon's own link was
    /// the cause, [`Self::is_own_loss`] knows after [`LOSS_WINDOW`].
    pub fn record_loss(&mut self, id: &InstanceId, now: Millis) {
        self.lost
            .retain(|(lost, at)| lost != id && now.since(*at) < LOSS_WINDOW);
        self.lost.push((id.clone(), now));
        if self.lost.len() >= OWN_LOSSES {
            self.link_failed_at = Some(now);
        }
    }

    /// Whether a connection to an endpoint that was lost at a time was lost by this daemon's own
    /// link.
    pub fn is_own_loss(&self, id: &InstanceId, lost_at: Millis, now: Millis) -> bool {
        let failed_at = self.link_failed_at;
        let is_near = |at: Millis| at.since(lost_at) + lost_at.since(at) <= LOSS_WINDOW;
        failed_at.is_some_and(is_near) || self.path(id, now) != Path::Direct
    }
}
