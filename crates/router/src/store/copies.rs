//! The copies, one of each kind, and who is told of their changes.

use std::fmt::Display;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::mirror::{Change, Mirror, Object, Update};
use medlarrill_platform::store::{DecodeError, Kind};
use tokio::sync::{broadcast, watch};

use super::effect::Sinks;
use super::relay::Packed;

/// The kinds that are kept.
pub const KINDS: [Kind; 4] = [
    Kind::Configuration,
    Kind::Drains,
    Kind::Endpoints,
    Kind::Daemons,
];
/// Changes that a follower may lag behind before it has to ask anew.
const LAG: usize = 256;

/// Changes of one kind, as they took effect here; none where the copy was only found to be up to
/// date.
type Effects = (Kind, Option<Packed>);

/// A copy, and all of it coded for followers until it changes.
#[derive(Debug, Default)]
struct Copy {
    mirror: Mirror,
    whole: Option<Packed>,
}

impl Copy {
    /// A copy of objects that only somebody's word removes; entries of endpoints lapse.
    fn lasting() -> Self {
        Self {
            mirror: Mirror::persistent(),
            whole: None,
        }
    }
}

/// The copies.
#[derive(Debug)]
pub struct Copies {
    configuration: Mutex<Copy>,
    drains: Mutex<Copy>,
    endpoints: Mutex<Copy>,
    daemons: Mutex<Copy>,
    sinks: Sinks,
    effects: broadcast::Sender<Effects>,
    /// Whether the platform may drain data centres.
    has_drains: bool,
    /// Set once the endpoints were listed, and which of them take work.
    listed: watch::Sender<bool>,
    /// Whether calls to the platform fail.
    cut_off: AtomicBool,
}

impl Copies {
    /// Copies of nothing.
    pub fn new(sinks: Sinks, has_drains: bool, listed: watch::Sender<bool>) -> Self {
        Self {
            configuration: Mutex::new(Copy::lasting()),
            drains: Mutex::new(Copy::lasting()),
            endpoints: Mutex::default(),
            daemons: Mutex::new(Copy::lasting()),
            sinks,
            effects: broadcast::Sender::new(LAG),
            has_drains,
            listed,
            cut_off: AtomicBool::new(false),
        }
    }

    fn lock(&self, kind: Kind) -> MutexGuard<'_, Copy> {
        let copy = match kind {
            Kind::Configuration => &self.configuration,
            Kind::Drains => &self.drains,
            Kind::Endpoints => &self.endpoints,
            Kind::Daemons => &self.daemons,
        };
        copy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports parts of the platform's answers that can't be read.
    pub fn report(&self, kind: impl Display + std::marker::Copy, errors: &[DecodeError]) {
        for error in errors {
            self.report_one(kind, "", error);
        }
    }

    /// Reports an object that can't be read; without a name where that can't be either.
    pub fn report_one(&self, kind: impl Display, name: &str, error: &DecodeError) {
        self.sinks.unreadable.report(kind, name, error);
    }

    /// Whether a kind has to be known before requests can be served.
    pub const fn is_needed(&self, kind: Kind) -> bool {
        match kind {
            Kind::Configuration | Kind::Endpoints => true,
            Kind::Drains => self.has_drains,
            Kind::Daemons => false,
        }
    }

    /// Whether all is known that has to be.
    pub fn knows_all(&self) -> bool {
        let mut needed = KINDS.into_iter().filter(|kind| self.is_needed(*kind));
        needed.all(|kind| self.revision(kind).is_some())
    }

    /// An object as it was last copied.
    pub fn get(&self, kind: Kind, name: &str) -> Option<Object> {
        self.lock(kind).mirror.get(name).cloned()
    }

    /// The revision that a copy has reached.
    pub fn revision(&self, kind: Kind) -> Option<u64> {
        self.lock(kind).mirror.revision()
    }

    /// Time since a copy was last known to be up to date.
    pub fn age(&self, kind: Kind, now: Millis) -> Option<Millis> {
        self.lock(kind).mirror.age(now)
    }

    /// Changes of all kinds from now on.
    pub fn subscribe(&self) -> broadcast::Receiver<Effects> {
        self.effects.subscribe()
    }

    /// What brings a copy of a revision up to this one, none before the first list.
    pub fn since(&self, kind: Kind, revision: Option<u64>) -> Option<Packed> {
        let mut copy = self.lock(kind);
        let update = copy.mirror.since(revision)?;
        if !update.complete {
            return Some(Packed::new(&update));
        }
        let whole = copy.whole.get_or_insert_with(|| Packed::new(&update));
        Some(whole.clone())
    }

    /// Takes an update that was up to date at `heard`, if that is known.
    pub fn apply(&self, kind: Kind, update: Update, heard: Option<Millis>, now: Millis) {
        let mut copy = self.lock(kind);
        let is_news = heard.is_some_and(|heard| copy.mirror.should_notify(heard));
        let (age, waited) = (copy.mirror.age(now), copy.mirror.grace(now).is_some());
        let failing = copy.mirror.outage(now);
        let changes = copy.mirror.apply(update, heard, now);
        if !waited && copy.mirror.grace(now).is_some() {
            log::info!(
                target: "store", kind:%, age = age.map_or(0, |age| age.0),
                failing = failing.map_or(0, |span| span.0);
                "store: out of date before, removals wait"
            );
        }
        if changes.is_empty() && is_news {
            // Followers of followers would otherwise lag by a beat for each daemon on the way.
            self.effects.send((kind, None)).ok();
        }
        self.tell(kind, &mut copy, changes);
        drop(copy);
        let places = [Kind::Endpoints, Kind::Drains];
        let mut needed = places.into_iter().filter(|kind| self.is_needed(*kind));
        if needed.all(|kind| self.revision(kind).is_some()) {
            self.listed
                .send_if_modified(|listed| !std::mem::replace(listed, true));
        }
    }

    /// Drops objects that were missing for too long.
    pub fn tick(&self, now: Millis) {
        for kind in KINDS {
            let mut copy = self.lock(kind);
            let changes = copy.mirror.tick(now);
            self.tell(kind, &mut copy, changes);
        }
    }

    fn tell(&self, kind: Kind, copy: &mut Copy, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        self.sinks.take(kind, &changes);
        let update = Update {
            complete: false,
            changes,
            revision: copy.mirror.revision().unwrap_or_default(),
        };
        copy.whole = None;
        if self.effects.receiver_count() == 0 {
            return;
        }
        // Fails only where the last follower has just left.
        self.effects.send((kind, Some(Packed::new(&update)))).ok();
    }

    /// Notes that calls to the platform fail, here or at a source.
    pub fn fail(&self, kind: Kind, since: Millis, now: Millis) {
        self.lock(kind).mirror.record_failure(since, now);
    }

    /// For how long calls to the platform have failed, none if they don't.
    pub fn failing(&self, kind: Kind, now: Millis) -> Option<Millis> {
        self.lock(kind).mirror.outage(now)
    }

    /// Notes whether calls to the platform fail.
    pub fn set_cut_off(&self, cut_off: bool) {
        self.cut_off.store(cut_off, Ordering::Relaxed);
    }

    /// Whether calls to the platform fail.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off.load(Ordering::Relaxed)
    }
}
