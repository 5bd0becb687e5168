//! Local copies of the platform's objects, one per kind, and the distribution of their changes.

use std::fmt::Display;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::mirror::restoration::{Missing, Restoration};
use medlarrill_core::routing::mirror::{Change, Mirror, Object, Update};
use medlarrill_core::routing::revision::{Era, Revision};
use medlarrill_platform::objects;
use medlarrill_platform::store::{DecodeError, Kind};
use tokio::sync::{broadcast, watch};

use super::apply::ChangeApplier;
use super::eras::Eras;
use super::relay::EncodedUpdate;

/// The kinds of objects that are copied.
pub const KINDS: [Kind; 5] = [
    Kind::Configuration,
    Kind::Drains,
    Kind::Endpoints,
    Kind::Daemons,
    Kind::Quarantine,
];
/// Maximum size of an endpoint's entry in bytes: longer ones would take daemons long to send on.
const MAX_ENTRY: usize = 256 << 10;
/// Maximum number of changes that a follower may lag behind before it must subscribe again.
const MAX_LAG: usize = 256;

/// Changes of one kind that took effect here; none if the copy was only confirmed to be up to
/// date.
type ChangeEvent = (Kind, Option<EncodedUpdate>);

/// The copy of one kind, with its complete encoding for followers, cached until it changes.
#[derive(Debug)]
struct KindCopy {
    mirror: Mirror,
    encoded: Option<EncodedUpdate>,
}

impl KindCopy {
    fn new(kind: Kind) -> Self {
        // Entries of endpoints expire; other objects are kept until removed.
        let mirror = match kind {
            Kind::Endpoints => Mirror::default(),
            _ => Mirror::persistent(),
        };
        Self {
            mirror: mirror.with_restoration(restoration(kind)),
            encoded: None,
        }
    }

    /// The encoding of the complete copy; `None` before the first list.
    fn complete(&mut self) -> Option<EncodedUpdate> {
        if self.encoded.is_none() {
            self.encoded = Some(EncodedUpdate::new(&self.mirror.since(None)?));
        }
        self.encoded.clone()
    }
}

/// How objects of a kind are treated when the store is restored from a copy.
const fn restoration(kind: Kind) -> Restoration {
    let mark: fn(&Object) -> _ = match kind {
        Kind::Configuration => objects::configuration_mark,
        Kind::Endpoints => objects::endpoint_mark,
        Kind::Drains | Kind::Daemons | Kind::Quarantine => |_| None,
    };
    let missing = match kind {
        Kind::Configuration | Kind::Daemons => Missing::Kept,
        Kind::Endpoints => Missing::Expires,
        Kind::Drains => Missing::Rewritten,
        Kind::Quarantine => Missing::Forgotten,
    };
    Restoration { mark, missing }
}

/// The local copies of all kinds.
#[derive(Debug)]
pub struct Copies {
    configuration: Mutex<KindCopy>,
    drains: Mutex<KindCopy>,
    endpoints: Mutex<KindCopy>,
    daemons: Mutex<KindCopy>,
    quarantine: Mutex<KindCopy>,
    applier: ChangeApplier,
    eras: Arc<Eras>,
    events: broadcast::Sender<ChangeEvent>,
    /// Whether operators drain data centres through the platform.
    has_drains: bool,
    /// Becomes true once the configuration, the endpoints and, where used, the drained data centres
    /// were listed.
    is_listed: watch::Sender<bool>,
    /// Becomes true once they were, and other daemons have told what they know or weren't heard.
    is_informed: watch::Sender<bool>,
    /// Whether this daemon's calls to the platform fail.
    cut_off: AtomicBool,
    /// Whether this daemon has read a list from the platform itself.
    has_listed: AtomicBool,
}

impl Copies {
    /// Creates empty copies.
    pub fn new(applier: ChangeApplier, has_drains: bool, is_informed: watch::Sender<bool>) -> Self {
        Self {
            configuration: Mutex::new(KindCopy::new(Kind::Configuration)),
            drains: Mutex::new(KindCopy::new(Kind::Drains)),
            endpoints: Mutex::new(KindCopy::new(Kind::Endpoints)),
            daemons: Mutex::new(KindCopy::new(Kind::Daemons)),
            quarantine: Mutex::new(KindCopy::new(Kind::Quarantine)),
            eras: Arc::new(Eras::new(Arc::clone(&applier.metrics))),
            applier,
            events: broadcast::Sender::new(MAX_LAG),
            has_drains,
            is_listed: watch::Sender::new(false),
            is_informed,
            cut_off: AtomicBool::new(false),
            has_listed: AtomicBool::new(false),
        }
    }

    fn lock(&self, kind: Kind) -> MutexGuard<'_, KindCopy> {
        let copy = match kind {
            Kind::Configuration => &self.configuration,
            Kind::Drains => &self.drains,
            Kind::Endpoints => &self.endpoints,
            Kind::Daemons => &self.daemons,
            Kind::Quarantine => &self.quarantine,
        };
        copy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The era of the platform's store.
    pub const fn eras(&self) -> &Arc<Eras> {
        &self.eras
    }

    /// Reports all objects in a response of the platform that can't be decoded.
    pub fn report_all_unreadable(&self, kind: impl Display + Copy, errors: &[DecodeError]) {
        for error in errors {
            self.report_unreadable(kind, "", error);
        }
    }

    /// Reports an object that can't be decoded; `name` is empty if that can't be read either.
    pub fn report_unreadable(&self, kind: impl Display, name: &str, error: &DecodeError) {
        self.applier.unreadable.report(kind, name, error);
    }

    /// Whether requests can be served only once a kind is known.
    pub const fn is_required(&self, kind: Kind) -> bool {
        match kind {
            Kind::Configuration | Kind::Endpoints => true,
            Kind::Drains => self.has_drains,
            // Sources of an earlier build have no copy of what is quarantined.
            Kind::Daemons | Kind::Quarantine => false,
        }
    }

    /// Whether all required kinds are known.
    pub fn is_complete(&self) -> bool {
        let mut required = KINDS.into_iter().filter(|kind| self.is_required(*kind));
        required.all(|kind| self.revision(kind).is_some())
    }

    /// Returns the current copies of all objects of a kind.
    pub fn all(&self, kind: Kind) -> Vec<Object> {
        self.lock(kind).mirror.objects().cloned().collect()
    }

    /// Returns the current copy of an object.
    pub fn get(&self, kind: Kind, name: &str) -> Option<Object> {
        self.lock(kind).mirror.get(name).cloned()
    }

    /// Revision that a copy has reached, `None` before the first list.
    pub fn revision(&self, kind: Kind) -> Option<Revision> {
        self.lock(kind).mirror.revision()
    }

    /// Revision since which no object of a kind has come and gone unseen, `None` before the first list.
    pub fn followed(&self, kind: Kind) -> Option<Revision> {
        self.lock(kind).mirror.followed()
    }

    /// Time since a copy was last known to be up to date.
    pub fn age(&self, kind: Kind, now: Millis) -> Option<Millis> {
        self.lock(kind).mirror.age(now)
    }

    /// Subscribes to changes of all kinds from now on.
    pub fn subscribe(&self) -> broadcast::Receiver<ChangeEvent> {
        self.events.subscribe()
    }

    /// The update that brings a copy from a revision up to this one, `None` before the first list.
    pub fn update_since(&self, kind: Kind, revision: Option<Revision>) -> Option<EncodedUpdate> {
        let mut copy = self.lock(kind);
        let update = copy.mirror.since(revision)?;
        match update.complete {
            true => copy.complete(),
            false => Some(EncodedUpdate::new(&update)),
        }
    }

    /// Era that a copy has reached, `None` before the first list.
    pub fn era(&self, kind: Kind) -> Option<Era> {
        self.lock(kind).mirror.era()
    }

    /// Whether removals of a kind wait for entries to be written again.
    pub fn is_waiting(&self, kind: Kind, now: Millis) -> bool {
        self.lock(kind).mirror.grace(now).is_some()
    }

    /// Empties endpoints' entries that are too long, so that they name no endpoint.
    fn empty_long_entries(&self, update: &mut Update) {
        for change in &mut update.changes {
            if let Change::Put(object) = change
                && object.spec.len() > MAX_ENTRY
            {
                let error = DecodeError {
                    place: "spec".to_owned(),
                    cause: format!("{} bytes, at most {MAX_ENTRY} may be", object.spec.len()),
                };
                self.report_unreadable(Kind::Endpoints, &object.name, &error);
                object.spec = Bytes::new();
            }
        }
    }

    /// Applies an update that was up to date at `as_of`, if that is known.
    pub fn apply(&self, kind: Kind, mut update: Update, as_of: Option<Millis>, now: Millis) {
        if kind == Kind::Endpoints {
            self.empty_long_entries(&mut update);
        }
        self.eras.learn(update.revision.era);
        let mut copy = self.lock(kind);
        let should_notify = as_of.is_some_and(|as_of| copy.mirror.should_notify(as_of));
        let (age, was_waiting) = (copy.mirror.age(now), copy.mirror.grace(now).is_some());
        let outage = copy.mirror.outage(now);
        let (before, missed) = (copy.mirror.revision(), copy.mirror.missed());
        let changes = copy.mirror.apply(update, as_of, now);
        if kind == Kind::Endpoints && copy.mirror.missed() != missed {
            log::info!(
                target: "store", age = age.map_or(0, |age| age.0);
                "store: endpoints may have come and gone unseen"
            );
            self.applier.placement.record_gap(now);
        }
        let is_restored = before.is_some_and(|before| Some(before.era) != copy.mirror.era());
        if let Some(before) = before.filter(|_| is_restored) {
            log_restored(kind, before, &copy.mirror);
        }
        if !was_waiting && copy.mirror.grace(now).is_some() {
            log::info!(
                target: "store", kind:%, age = age.map_or(0, |age| age.0),
                failing = outage.map_or(0, |span| span.0);
                "store: out of date before, removals wait"
            );
        }
        if is_restored {
            self.publish_era(kind, &mut copy, &changes);
        } else if !changes.is_empty() {
            self.publish(kind, &mut copy, changes);
        } else if should_notify {
            // Without this, copies would lag by one heartbeat for each daemon that relays them, and
            // their revisions would fall behind the platform's history while nothing changes.
            let reached = copy.mirror.revision().map(|revision| Update {
                revision,
                ..Update::default()
            });
            let reached = reached.as_ref().map(EncodedUpdate::new);
            self.events.send((kind, reached)).ok();
        }
        drop(copy);
        if self.is_complete() {
            self.is_listed
                .send_if_modified(|is_listed| !std::mem::replace(is_listed, true));
        }
    }

    /// Waits until all required copies are there.
    pub async fn listed(&self) {
        // It fails only if there is no sender any more.
        self.is_listed
            .subscribe()
            .wait_for(|listed| *listed)
            .await
            .ok();
    }

    /// Lets this daemon take requests.
    pub fn set_informed(&self) {
        self.is_informed.send_replace(true);
    }

    /// Removes objects that were missing for too long.
    pub fn tick(&self, now: Millis) {
        for kind in KINDS {
            let mut copy = self.lock(kind);
            let changes = copy.mirror.tick(now);
            self.publish(kind, &mut copy, changes);
        }
        self.applier.review_late(now);
    }

    /// Puts the changes of a new era into effect, and sends followers the complete copy: what the
    /// store has lost isn't among the changes.
    fn publish_era(&self, kind: Kind, copy: &mut KindCopy, changes: &[Change]) {
        self.applier.apply_restored(kind, changes);
        copy.encoded = None;
        if self.events.receiver_count() > 0 {
            self.events.send((kind, copy.complete())).ok();
        }
    }

    /// Puts changes into effect and sends them to followers.
    fn publish(&self, kind: Kind, copy: &mut KindCopy, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        self.applier.apply(kind, &changes);
        let update = Update {
            complete: false,
            changes,
            revision: copy.mirror.revision().unwrap_or_default(),
        };
        copy.encoded = None;
        if self.events.receiver_count() == 0 {
            return;
        }
        // Fails only if the last follower has just disconnected.
        self.events
            .send((kind, Some(EncodedUpdate::new(&update))))
            .ok();
    }

    /// Records that calls to the platform fail since `since`, here or at a source.
    pub fn record_failure(&self, kind: Kind, since: Millis, now: Millis) {
        self.lock(kind).mirror.record_failure(since, now);
    }

    /// How long calls to the platform have been failing, `None` if they don't fail.
    pub fn outage(&self, kind: Kind, now: Millis) -> Option<Millis> {
        self.lock(kind).mirror.outage(now)
    }

    /// Whether calls to the platform for a required kind fail, here or at a source.
    pub fn is_outage(&self, now: Millis) -> bool {
        let mut required = KINDS.into_iter().filter(|kind| self.is_required(*kind));
        required.any(|kind| self.outage(kind, now).is_some())
    }

    /// Records that this daemon has read a list from the platform itself.
    pub fn set_listed(&self) {
        self.has_listed.store(true, Ordering::Relaxed);
    }

    /// Whether this daemon has read a list from the platform itself.
    pub fn has_listed(&self) -> bool {
        self.has_listed.load(Ordering::Relaxed)
    }

    /// Sets whether this daemon's calls to the platform fail.
    pub fn set_cut_off(&self, cut_off: bool) {
        self.cut_off.store(cut_off, Ordering::Relaxed);
    }

    /// Whether this daemon's calls to the platform fail.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off.load(Ordering::Relaxed)
    }
}

/// Logs what a restoration of the store means for the copy of a kind.
fn log_restored(kind: Kind, before: Revision, mirror: &Mirror) {
    let (Some(revision), Some(restored)) = (mirror.revision(), mirror.restored()) else {
        return;
    };
    log::warn!(
        target: "store", kind:%, from = before.era.count(), to = revision.era.count(), known = before.number,
        revision = revision.number, kept = restored.kept, missing = restored.missing,
        withheld = restored.withheld;
        "store: listed anew after a restoration"
    );
}
