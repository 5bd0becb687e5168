//! Which daemons to ask for a connection to an endpoint.
//!
//! A daemon that is cut off draws helpers at random from all daemons, a few of
//! its own data centre first, and stays with those that help. So the work is
//! spread over the fleet, and nobody has to tell all others who can help.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use derive_more::Debug;
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::clock::Millis;

/// Helpers that are asked first, as long as they help.
const RECENT: usize = 4;
/// Daemons of the own data centre that are asked before those of others.
const NEAR_FIRST: usize = 2;
/// Daemons that are asked for one connection.
pub const ASKED_MAX: usize = 8;
/// Daemons that are looked at for each one that is drawn.
const LOOKS: usize = 8;
/// Pause of a daemon that helps too many already, or that didn't reach an endpoint either: it may
/// be cut off from a part of them.
const SHORT_PAUSE: Millis = Millis(200);
/// First and longest pause of a daemon that is cut off, too, or that doesn't answer.
const PAUSE: (Millis, Millis) = (Millis(500), Millis(8000));
/// Longest pause of a daemon that is cut off: it says so at once, and its links may be back.
const CUT_OFF_PAUSE: Millis = Millis(1000);
/// Time for which nobody is asked after all those asked couldn't help.
const NONE_PAUSE: Millis = Millis(350);

/// Why a daemon doesn't help.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum HelpFailure {
    /// It helps too many others, or is about to stop.
    Busy,
    /// It reaches no endpoint itself.
    CutOff,
    /// It doesn't reach this endpoint.
    Unreachable,
    /// It doesn't answer, or doesn't know how to help.
    Silent,
}

#[derive(Clone, Copy)]
#[derive(Debug)]
struct Pause {
    until: Millis,
    span: Millis,
}

/// The daemons that may help, and what is known of those that were asked.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Helpers {
    near: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
    /// Those that helped last.
    recent: Vec<SocketAddr>,
    pauses: HashMap<SocketAddr, Pause>,
    /// Until when nobody is asked.
    none_until: Millis,
}

impl Helpers {
    /// Sets the other daemons, those of the own data centre and those elsewhere.
    pub fn set(&mut self, near: Vec<SocketAddr>, far: Vec<SocketAddr>) {
        let all: HashSet<&SocketAddr> = near.iter().chain(&far).collect();
        self.recent.retain(|daemon| all.contains(daemon));
        self.pauses.retain(|daemon, _| all.contains(daemon));
        (self.near, self.far) = (near, far);
    }

    /// Whether no other daemon is known.
    pub const fn is_empty(&self) -> bool {
        self.near.is_empty() && self.far.is_empty()
    }

    /// The daemons to ask for a connection, in this order; none right after all that were asked
    /// couldn't help.
    pub fn candidates(&self, now: Millis, rng: &mut impl RngExt) -> Vec<SocketAddr> {
        if now < self.none_until {
            return Vec::new();
        }
        let mut chosen = self.recent.clone();
        chosen.retain(|daemon| self.is_open(daemon, now));
        chosen.shuffle(rng);
        let wanted = ASKED_MAX.saturating_sub(chosen.len());
        let near = self.draw(&self.near, &chosen, wanted, now, rng);
        let far = self.draw(&self.far, &chosen, wanted, now, rng);
        let (first, later) = near.split_at(NEAR_FIRST.min(near.len()));
        chosen.extend(first.iter().chain(&far).chain(later));
        chosen.truncate(ASKED_MAX);
        chosen
    }

    /// Whether a daemon is likely to be as far from an endpoint as one of those that didn't reach
    /// it: daemons of the own data centre may be cut off together. Never if there are no others.
    pub fn is_likely_unreachable(&self, daemon: &SocketAddr, failed: &[SocketAddr]) -> bool {
        let is_near = |daemon: &SocketAddr| self.near.contains(daemon);
        !self.far.is_empty() && is_near(daemon) && failed.iter().any(is_near)
    }

    /// Draws `count` daemons that aren't paused or chosen. Looks at a few times as many, so that
    /// it takes no longer in a large fleet.
    fn draw(
        &self,
        daemons: &[SocketAddr],
        chosen: &[SocketAddr],
        count: usize,
        now: Millis,
        rng: &mut impl RngExt,
    ) -> Vec<SocketAddr> {
        if daemons.is_empty() {
            return Vec::new();
        }
        let (before, after) = daemons.split_at(rng.random_range(0..daemons.len()));
        let looked = after.iter().chain(before).take(count * LOOKS);
        let open = looked.filter(|d| !chosen.contains(d) && self.is_open(d, now));
        open.take(count).copied().collect()
    }

    fn is_open(&self, daemon: &SocketAddr, now: Millis) -> bool {
        let pause = self.pauses.get(daemon);
        pause.is_none_or(|pause| now >= pause.until)
    }

    /// Records that a daemon helped.
    pub fn record_help(&mut self, daemon: SocketAddr) {
        self.none_until = Millis::ZERO;
        self.pauses.remove(&daemon);
        if !self.recent.contains(&daemon) {
            self.recent.push(daemon);
            if self.recent.len() > RECENT {
                self.recent.remove(0);
            }
        }
    }

    /// Records that a daemon didn't help; it isn't asked for a while.
    pub fn record_failure_of(&mut self, daemon: SocketAddr, failure: HelpFailure, now: Millis) {
        let (first, longest) = PAUSE;
        let before = self.pauses.get(&daemon).map_or(Millis::ZERO, |p| p.span);
        let doubled = Millis(before.0 * 2);
        let span = match failure {
            HelpFailure::Busy | HelpFailure::Unreachable => SHORT_PAUSE,
            HelpFailure::CutOff => doubled.clamp(first, CUT_OFF_PAUSE),
            HelpFailure::Silent => doubled.clamp(first, longest),
        };
        if failure != HelpFailure::Busy {
            self.recent.retain(|recent| *recent != daemon);
        }
        let until = now + span;
        self.pauses.insert(daemon, Pause { until, span });
    }

    /// Records that nobody could help. A request for which nobody was asked prolongs nothing: the
    /// pause has to end at any rate of requests.
    pub fn record_none(&mut self, now: Millis) {
        if now >= self.none_until {
            self.none_until = now + NONE_PAUSE;
        }
    }
}
