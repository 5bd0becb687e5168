//! Restorations of the store, and what operators and endpoints write again after one.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use derive_more::Debug;
use medlarrill_platform_standin::{Copy, Outage, Watches};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::World;

/// Time between two copies of the store.
const COPY_INTERVAL: Duration = Duration::from_millis(100);
/// Age up to which copies are kept.
const COPY_AGE: Duration = Duration::from_secs(7);
/// Longest time until an endpoint writes its entry again.
const REWRITE_MS: u64 = 1800;
/// Longest time until operators write the newest version again.
const CONFIRM_MS: u64 = 1000;

/// A time in which an endpoint leaves.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// The endpoint.
    pub endpoint: usize,
    /// When it first said so.
    pub from: Instant,
    /// When another process followed it.
    pub to: Option<Instant>,
    /// When it wrote so again.
    pub written: Vec<Instant>,
}

/// What is written again.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Rewrite {
    Configuration,
    Entry(usize),
}

/// Copies of the store, and what is to be written again.
#[derive(Debug)]
pub(super) struct Restores {
    rng: Pcg32,
    #[debug("{} copies", copies.len())]
    copies: VecDeque<(Instant, Copy)>,
    rewrites: Vec<(Instant, Rewrite)>,
}

impl Restores {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: Pcg32::seed_from_u64(seed.rotate_left(40)),
            copies: VecDeque::new(),
            rewrites: Vec::new(),
        }
    }

    fn after(&mut self, longest: u64) -> Instant {
        Instant::now() + Duration::from_millis(self.rng.random_range(0..longest))
    }
}

impl World {
    /// Keeps a copy of the store from time to time, and writes again what is due.
    pub fn watch_restores(&mut self) {
        let now = Instant::now();
        let copies = &mut self.restores.copies;
        if copies
            .back()
            .is_none_or(|(at, _)| now - *at >= COPY_INTERVAL)
        {
            copies.push_back((now, self.store.copy()));
        }
        copies.retain(|(at, _)| now - *at < COPY_AGE);
        let due = self.restores.rewrites.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<Rewrite> = due.map(|(_, rewrite)| rewrite).collect();
        for rewrite in due {
            match rewrite {
                Rewrite::Configuration => self.configure(),
                Rewrite::Entry(endpoint) => {
                    let is_leaving = self
                        .leavings
                        .iter_mut()
                        .find(|leaving| leaving.endpoint == endpoint && leaving.to.is_none());
                    let state = match is_leaving {
                        Some(leaving) => {
                            leaving.written.push(now);
                            "draining"
                        }
                        None => "ready",
                    };
                    self.list(endpoint, state);
                }
            }
        }
    }

    /// Restores the store from a copy of this age.
    pub(super) fn restore(&mut self, age: Duration, watches: Watches) {
        let now = Instant::now();
        let copies = self.restores.copies.iter();
        let copy = copies.rev().find(|(at, _)| now - *at >= age);
        let Some((_, copy)) = copy.or(self.restores.copies.front()).cloned() else {
            return;
        };
        self.store.restore(copy, watches);
        self.restored.push(now);
        self.store.fail(Outage::None);
        self.restores.rewrites.clear();
        let at = self.restores.after(CONFIRM_MS);
        self.restores.rewrites.push((at, Rewrite::Configuration));
        for endpoint in 0..self.endpoints.len() {
            let at = self.restores.after(REWRITE_MS);
            self.restores.rewrites.push((at, Rewrite::Entry(endpoint)));
        }
    }

    /// Notes that an endpoint leaves from now on.
    pub(super) fn begin_leaving(&mut self, endpoint: usize) {
        let is_known = self
            .leavings
            .iter()
            .any(|leaving| leaving.endpoint == endpoint && leaving.to.is_none());
        if !is_known {
            self.leavings.push(Leaving {
                endpoint,
                from: Instant::now(),
                to: None,
                written: Vec::new(),
            });
        }
    }

    /// Has another process follow an endpoint that leaves.
    pub(super) fn end_leaving(&mut self, endpoint: usize) {
        let now = Instant::now();
        let open = self.leavings.iter_mut();
        for leaving in open.filter(|leaving| leaving.endpoint == endpoint) {
            leaving.to.get_or_insert(now);
        }
        let born = &mut self.births[endpoint];
        *born = born.map(|born| born + 1000);
    }
}
