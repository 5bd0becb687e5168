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
use medlarrill_platform::store::{self as wire, Call};
use rand::RngExt;

use super::archive::{FLEET, counted};
use crate::peers::Roster;
use crate::shared::Shared;
use crate::store::client::{CallError, Result};
use crate::store::counted::CountedClient;
use crate::store::eras;

/// Minimum time between writes while several software versions serve. Streams that began since the
/// last one are forgotten if all daemons end.
const WRITE_INTERVAL: Millis = Millis(400);
/// Interval between checks for streams to write.
const CHECK_INTERVAL: Millis = Millis(100);
/// Time since the start of the process after which daemons agree on who is a hub.
const SETTLE_TIME: Millis = Millis(1000);
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
        written: Millis::ZERO,
        written_at: Millis::ZERO,
        has_conflict: false,
        era: None,
    };
    let mut failures = 0;
    loop {
        tokio::time::sleep(writer.pause().as_duration()).await;
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
    /// When the last streams were recorded that were written.
    written: Millis,
    /// When that was.
    written_at: Millis,
    /// Whether another daemon had written before the last write.
    has_conflict: bool,
    /// Era of the store in which that was.
    era: Option<Era>,
}

impl Writer {
    /// Time until the next step.
    fn pause(&self) -> Millis {
        let since = now().since(self.written_at);
        let left = Millis(WRITE_INTERVAL.0.saturating_sub(since.0));
        if self.has_conflict {
            return CHECK_INTERVAL;
        }
        let is_keeper = self.loaded.is_some();
        match is_keeper && self.shared.streams.are_archived() {
            true => left.max(CHECK_INTERVAL),
            false => WRITE_INTERVAL,
        }
    }

    async fn step(&mut self) -> Result<()> {
        let roster = self.roster.snapshot();
        if roster.hubs.first() != Some(&roster.me) {
            self.loaded = None;
            self.builds.clear();
            return Ok(());
        }
        if now() < SETTLE_TIME {
            return Ok(());
        }
        let era = self.shared.copies.eras().latest();
        if eras::begins(&mut self.era, era) {
            self.loaded = None;
            self.builds.clear();
        }
        let shared = Arc::clone(&self.shared);
        let streams = &shared.streams;
        if self.loaded.is_none() {
            // What others wrote isn't lost by the next write.
            let kept = streams.load(&mut self.client).await?;
            streams.read_changes(&mut self.client).await?;
            self.loaded = Some(kept);
        }
        let evidence = streams.builds_to_keep();
        let mut builds: BTreeSet<RecentBuild> = evidence.recent.into_iter().collect();
        if !evidence.is_complete {
            // Streams that are known can go on; that only one version served can't be concluded.
            builds.insert(RecentBuild::UNKNOWN);
        }
        if !self.is_due(&builds) {
            return Ok(());
        }
        self.write(builds).await
    }

    fn is_due(&self, builds: &BTreeSet<RecentBuild>) -> bool {
        let last = self.shared.streams.lock().memory.last_recorded();
        let has_new = last.is_some_and(|last| last > self.written);
        *builds != self.builds || has_new && self.shared.streams.are_archived()
    }

    async fn write(&mut self, builds: BTreeSet<RecentBuild>) -> Result<()> {
        let shared = Arc::clone(&self.shared);
        let from = Millis(now().0.saturating_sub(KEPT.0));
        let (archive, last) = {
            let state = shared.streams.lock();
            let recent = state.memory.since(from, MAX_STREAMS);
            let archive = Archive::new(builds.iter().copied(), recent).with_era(self.era);
            (archive, state.memory.last_recorded())
        };
        let spec = objects::streams_spec(&archive);
        let name = match shared.streams.is_large_fleet() {
            true => shared.settings.data_centre.as_str(),
            false => FLEET,
        };
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
            return Ok(());
        }
        let answer = result?;
        let written = wire::object(&answer.body).map_err(CallError::Decode)?;
        let revision = Revision::new(answer.era, written.revision.number);
        let mut kept = kept.unwrap_or_default();
        kept.insert(name.to_owned(), revision);
        self.loaded = Some(kept);
        self.builds = builds;
        self.written = last.unwrap_or_default();
        self.written_at = now();
        Ok(())
    }
}
