//! Writes what the platform keeps of streams.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::routing::backoff;
use medlarrill_core::routing::revision::{Era, Revision};
use medlarrill_core::routing::streams::archive::{Archive, MAX_STREAMS};
use medlarrill_core::routing::streams::history::RecentBuild;
use medlarrill_net::now::now;
use medlarrill_platform::objects;
use medlarrill_platform::store::{self as wire, Call, Kind};
use rand::RngExt;

use super::Streams;
use super::archive::{FLEET, NOTE, TAIL, counted};
use super::confirm::Unkept;
use crate::peers::Roster;
use crate::shared::Shared;
use crate::store::client::{CallError, Result};
use crate::store::counted::CountedClient;
use crate::store::eras;

/// Minimum time between writes of the whole archive. In a large fleet, streams that began since the
/// last one are forgotten if all daemons end.
const WRITE_INTERVAL: Millis = Millis(400);
/// Minimum time between writes of the tail.
const TAIL_INTERVAL: Millis = Millis(50);
/// Interval between checks for streams to write.
const CHECK_INTERVAL: Millis = Millis(100);
/// Longest time between writes: a daemon that reads the archive needs the platform's history since
/// the last one.
const MAX_WRITE_INTERVAL: Millis = Millis::from_secs(5);
/// Time since the start of the process after which daemons agree on who is a hub.
const SETTLE_TIME: Millis = Millis(250);
/// The same in a large fleet.
const LARGE_SETTLE_TIME: Millis = Millis(1000);
/// Age up to which streams are kept; most end sooner.
const KEPT: Millis = Millis::from_secs(12);

/// Keeps the archive up to date until the process ends, while this daemon is the first hub.
pub async fn keep(shared: Arc<Shared>, roster: Roster) {
    let mut writer = Writer {
        client: counted(
            shared.settings.platform,
            shared.copies.eras(),
            &shared.metrics,
        ),
        shared,
        roster,
        loaded: None,
        builds: BTreeSet::new(),
        whole: Written::default(),
        tail: Written::default(),
        note: Written::default(),
        is_hub: false,
        has_conflict: false,
        era: None,
        seen: None,
    };
    let mut failures = 0;
    loop {
        writer.wait().await;
        let Err(error) = writer.step().await else {
            failures = 0;
            continue;
        };
        failures += 1;
        log::info!(target: "streams", "streams: not kept on the platform yet: {error}");
        let pause = backoff::pause(failures, true, rand::rng().random());
        tokio::time::sleep(pause.as_duration()).await;
    }
}

struct Writer {
    client: CountedClient,
    shared: Arc<Shared>,
    roster: Roster,
    /// Revisions by name of the objects that there are, once they were read. A daemon that is cut off
    /// counts itself as the first hub, and writes the same object.
    loaded: Option<HashMap<String, Revision>>,
    /// Versions that were last written.
    builds: BTreeSet<RecentBuild>,
    /// The last write of the whole archive.
    whole: Written,
    /// The last write of its tail.
    tail: Written,
    /// The last write of this daemon's own streams.
    note: Written,
    /// Whether this daemon is the first hub.
    is_hub: bool,
    /// Whether another daemon had written before the last write.
    has_conflict: bool,
    /// Era of the store in which this daemon last wrote.
    era: Option<Era>,
    /// Revision up to which this daemon knew the list of endpoints before the last step.
    seen: Option<Revision>,
}

/// A write of streams.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
struct Written {
    /// How many had been recorded.
    recorded: u64,
    /// When they were collected.
    from: Millis,
    /// When they were written, if they were.
    at: Option<Millis>,
}

impl Written {
    /// Time until an interval has passed since.
    fn left(&self, interval: Millis) -> Millis {
        let next = self.at.map(|at| at + interval);
        next.map_or(Millis::ZERO, |next| next.since(now()))
    }
}

impl Writer {
    /// Waits for the next step.
    async fn wait(&self) {
        let pause = tokio::time::sleep(self.pause().as_duration());
        tokio::select! {
            () = pause => {}
            () = self.shared.streams.unwritten.notified() => {
                tokio::time::sleep(self.left().as_duration()).await;
            }
        }
    }

    /// Time until streams that have begun are written.
    fn left(&self) -> Millis {
        match self.is_hub {
            true if self.has_tail() => self.tail.left(TAIL_INTERVAL),
            true => self.pause(),
            false => self.note.left(WRITE_INTERVAL),
        }
    }

    /// Whether streams are written as they begin.
    fn has_tail(&self) -> bool {
        self.is_hub
            && self.loaded.is_some()
            && !self.is_large()
            && self.shared.streams.may_have_several(None)
    }

    /// Time until daemons agree on who is a hub.
    fn unsettled(&self) -> Millis {
        let settled = match self.is_large() {
            true => LARGE_SETTLE_TIME,
            false => SETTLE_TIME,
        };
        settled.since(now())
    }

    fn is_large(&self) -> bool {
        let streams = &self.shared.streams;
        streams.lock().is_large || streams.is_large_fleet()
    }

    /// Time until the next step.
    fn pause(&self) -> Millis {
        let unsettled = self.unsettled();
        if unsettled > Millis::ZERO {
            return unsettled;
        }
        let left = self.whole.left(WRITE_INTERVAL);
        if self.has_conflict {
            return CHECK_INTERVAL;
        }
        let is_keeper = self.is_hub && self.loaded.is_some();
        match is_keeper && self.shared.streams.are_archived() {
            true => left.max(CHECK_INTERVAL),
            false => WRITE_INTERVAL,
        }
    }

    async fn step(&mut self) -> Result<()> {
        let roster = self.roster.snapshot();
        let is_first = roster.hubs.first() == Some(&roster.me);
        let is_hub = is_first && self.unsettled() == Millis::ZERO;
        if std::mem::replace(&mut self.is_hub, is_hub) != is_hub {
            self.loaded = None;
            self.builds.clear();
        }
        let era = self.shared.copies.eras().latest();
        if eras::begins(&mut self.era, era) {
            self.loaded = None;
            self.builds.clear();
        }
        if !is_hub {
            // A note doesn't tell which versions it lacks.
            self.seen = None;
            return self.write_note().await;
        }
        let shared = Arc::clone(&self.shared);
        let streams = &shared.streams;
        if self.loaded.is_none() {
            // What others wrote isn't lost by the next write.
            let kept = streams.load(&mut self.client).await?;
            streams
                .read_changes(Kind::Endpoints, &mut self.client)
                .await?;
            self.loaded = Some(kept);
        }
        self.seen = shared.copies.revision(Kind::Endpoints);
        let evidence = streams.builds_to_keep();
        let mut builds: BTreeSet<RecentBuild> = evidence.recent.into_iter().collect();
        if !evidence.is_complete {
            // Streams that are known can go on; that only one version served can't be concluded.
            builds.insert(RecentBuild::UNKNOWN);
        }
        streams.lock().confirmations.set_writer(true);
        if self.is_due(&builds) {
            self.write_whole(builds).await
        } else if self.has_tail() && self.tail.recorded.max(self.whole.recorded) < recorded(streams)
        {
            self.write_tail().await
        } else {
            Ok(())
        }
    }

    /// Whether the whole archive is written.
    fn is_due(&self, builds: &BTreeSet<RecentBuild>) -> bool {
        let streams = &self.shared.streams;
        let has_new = recorded(streams) > self.whole.recorded;
        let may_write = self.whole.left(WRITE_INTERVAL) == Millis::ZERO;
        *builds != self.builds
            || has_new && may_write && streams.are_archived()
            || self.whole.left(MAX_WRITE_INTERVAL) == Millis::ZERO
    }

    async fn write_whole(&mut self, builds: BTreeSet<RecentBuild>) -> Result<()> {
        let shared = Arc::clone(&self.shared);
        let name = match shared.streams.is_large_fleet() {
            true => shared.settings.data_centre.as_str(),
            false => FLEET,
        };
        let from = now() - KEPT;
        let (archive, unwritten, mut written) = self.collect(&builds, from);
        if self.write(name, &archive).await? {
            self.builds = builds;
            written.at = Some(now());
            self.whole = written;
            // Nobody waits for long where one version is certain.
            if self.has_tail() {
                shared.streams.confirm_written(&unwritten);
            }
            self.remove_note().await?;
        } else {
            shared.streams.lock().confirmations.put_back(unwritten);
        }
        Ok(())
    }

    /// Removes a note that the whole archive has replaced, unless it was written again.
    async fn remove_note(&mut self) -> Result<()> {
        let Some(kept) = &mut self.loaded else {
            return Ok(());
        };
        let mut names = kept.keys();
        let Some(name) = names.find(|name| name.starts_with(NOTE)).cloned() else {
            return Ok(());
        };
        let Some(revision) = kept.remove(&name) else {
            return Ok(());
        };
        let call = Call::remove_at(wire::STREAMS, &name, revision);
        match self.client.ask(&call).await {
            Err(error) if !error.exists() && !error.is_missing() => Err(error),
            _ => Ok(()),
        }
    }

    /// Writes the streams that were recorded since the whole archive was.
    async fn write_tail(&mut self) -> Result<()> {
        let loaded = self.loaded.as_ref();
        let Some(whole) = loaded.and_then(|kept| kept.get(FLEET)).copied() else {
            return Ok(());
        };
        let (archive, unwritten, mut written) = self.collect(&self.builds, self.whole.from);
        if self.write(TAIL, &archive.with_after(whole)).await? {
            written.at = Some(now());
            self.tail = written;
            self.shared.streams.confirm_written(&unwritten);
        } else {
            self.shared.streams.lock().confirmations.put_back(unwritten);
        }
        Ok(())
    }

    /// Writes what this daemon knows of streams while no hub confirms its own.
    async fn write_note(&mut self) -> Result<()> {
        let shared = Arc::clone(&self.shared);
        let streams = &shared.streams;
        let is_noting = {
            let confirmations = &mut streams.lock().confirmations;
            confirmations.set_writer(false);
            confirmations.is_noting()
        };
        let is_needed = is_noting && shared.placement.has_several_builds(now());
        if !is_needed || streams.is_large_fleet() || recorded(streams) <= self.note.recorded {
            return Ok(());
        }
        self.note.at = Some(now());
        let whole = streams.load(&mut self.client).await?;
        let revision = whole.get(FLEET).copied();
        self.loaded = Some(whole);
        // Without the whole archive, versions that nobody knows may have served.
        let Some(revision) = revision else {
            return Ok(());
        };
        let name = format!("{NOTE}{}", shared.settings.daemon);
        let builds = streams.builds_to_keep().recent.into_iter().collect();
        let from = now() - KEPT;
        let (archive, unwritten, mut written) = self.collect(&builds, from);
        if self.write(&name, &archive.with_after(revision)).await? {
            written.at = Some(now());
            self.note = written;
            streams.confirm_written(&unwritten);
        }
        Ok(())
    }

    /// Collects versions and the streams that were recorded since a moment.
    fn collect(
        &self,
        builds: &BTreeSet<RecentBuild>,
        from: Millis,
    ) -> (Archive, Vec<Unkept>, Written) {
        let mut state = self.shared.streams.lock();
        let recent = state.memory.since(from, MAX_STREAMS);
        let archive = Archive::new(builds.iter().copied(), recent);
        let archive = archive.with_era(self.era).with_seen(self.seen);
        let written = Written {
            recorded: state.memory.recorded(),
            from: now(),
            at: None,
        };
        (archive, state.confirmations.take_unwritten(), written)
    }

    /// Writes an object, unless another daemon has written it since it was read; returns whether it
    /// was written.
    async fn write(&mut self, name: &str, archive: &Archive) -> Result<bool> {
        let spec = objects::streams_spec(archive);
        let revision = self.loaded.as_ref().and_then(|kept| kept.get(name));
        let call = match revision {
            Some(revision) => Call::replace_at(wire::STREAMS, name, *revision, &spec),
            None => Call::create(wire::STREAMS, name, &spec),
        };
        // Until the answer has come, it isn't known what is there.
        let kept = self.loaded.take();
        let result = self.client.ask(&call).await;
        let conflict = |error: &CallError| error.exists() || error.is_missing();
        self.has_conflict = result.as_ref().is_err_and(conflict);
        if self.has_conflict {
            // Another daemon has written since, or an answer was lost.
            log::info!(target: "streams", "streams: the archive has changed, it is read again");
            return Ok(false);
        }
        let answer = result?;
        let written = wire::object(&answer.body).map_err(CallError::Decode)?;
        let revision = Revision::new(answer.era, written.revision.number);
        let mut kept = kept.unwrap_or_default();
        kept.insert(name.to_owned(), revision);
        self.loaded = Some(kept);
        Ok(true)
    }
}

/// How many streams were recorded.
fn recorded(streams: &Streams) -> u64 {
    streams.lock().memory.recorded()
}
