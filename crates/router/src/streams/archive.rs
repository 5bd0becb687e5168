//! Reads what the platform keeps of streams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::exchange::LARGE_FLEET;
use medlarrill_core::routing::mirror::Object;
use medlarrill_core::routing::revision::Revision;
use medlarrill_core::routing::streams::archive::Archive;
use medlarrill_core::routing::streams::history::RecentBuild;
use medlarrill_net::now::now;
use medlarrill_platform::objects;
use medlarrill_platform::store::{self as wire, Call, Kind};

use super::Streams;
use crate::metrics::Metrics;
use crate::store::client::{CallError, Client, Result};
use crate::store::counted::CountedClient;
use crate::store::eras::Eras;

/// Time within which a stream that began is there: a write in turn, and another one if it conflicts
/// with that of a second hub.
pub(super) const KEPT_WITHIN: Millis = Millis(800);
/// Timeout for a response: it takes some milliseconds, or a fifth of a second from a slow
/// platform.
const ANSWER_TIMEOUT: Millis = Millis(300);
/// Time between two reads for requests that take up streams nobody knows.
const READ_INTERVAL: Millis = Millis(250);
/// The same in a large fleet, all of whose daemons may read at once.
const LARGE_READ_INTERVAL: Millis = Millis(1000);
/// Time for which the platform holds a call for what has changed.
const NO_HOLD: Millis = Millis(1);
/// Time after a read that the platform didn't answer until the next one.
const UNANSWERED_INTERVAL: Millis = Millis(60);
/// Name of the object of a small fleet, which has no hubs for each data centre.
pub(super) const FLEET: &str = "fleet";
/// Name of the object with the streams that began since that one was written.
pub(super) const TAIL: &str = "fleet-tail";
/// Prefix of the names of the objects of daemons whose streams the others don't confirm.
pub(super) const NOTE: &str = "fleet-note-";

/// Reads the archive, and what has changed in the list and the configuration, for requests.
#[derive(Debug)]
pub(super) struct Reader {
    /// Calls for what the platform keeps of streams.
    kept: CountedClient,
    /// Calls for what has changed.
    changes: CountedClient,
    /// When they may be read again.
    next_read: Millis,
    archive: Attempts,
    list: Attempts,
    configuration: Attempts,
    is_silent: bool,
}

/// When something was last requested of the platform.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
struct Attempts {
    /// Whatever came of it.
    tried_at: Option<Millis>,
    /// When it was requested that was read.
    read_at: Option<Millis>,
}

impl Attempts {
    /// Whether it was requested since a moment, and refused.
    fn has_failed(&self, since: Millis) -> bool {
        self.tried_at >= Some(since) && self.read_at < self.tried_at
    }

    /// Records the result of a request that was made at `at`.
    fn record<T>(&mut self, at: Millis, result: &Result<T>) {
        self.tried_at = Some(at);
        if result.is_ok() {
            self.read_at = Some(at);
        }
    }
}

/// What a request needs to be read.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub(super) struct Needs {
    /// The earliest time of the list and of the configuration.
    pub(super) list_from: Millis,
    /// That of the archive; none if it isn't needed.
    pub(super) archive_from: Option<Millis>,
}

/// What has been read for a request.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub(super) struct Reading {
    /// Whether the list and the configuration have been.
    pub(super) has_list: bool,
    /// Whether all that it needs has been, or was refused.
    pub(super) is_answered: bool,
    /// Whether the archive was refused, so that it may be had a moment later.
    pub(super) is_refused: bool,
}

/// All archives, as they were read at one time.
#[derive(Default)]
#[derive(Debug)]
struct ReadArchives {
    archives: Vec<Archive>,
    /// Whether there are others that can't be read.
    has_unreadable: bool,
    /// Whether there are others of a small fleet, which a large one ignores.
    has_ignored: bool,
}

impl Reader {
    pub(super) fn new(platform: SocketAddr, eras: &Arc<Eras>, metrics: &Arc<Metrics>) -> Self {
        Self {
            kept: counted(platform, eras, metrics),
            changes: counted(platform, eras, metrics),
            next_read: Millis::ZERO,
            archive: Attempts::default(),
            list: Attempts::default(),
            configuration: Attempts::default(),
            is_silent: false,
        }
    }

    fn reading(&self, needs: &Needs) -> Reading {
        let has_archive = |from| self.archive.read_at >= Some(from);
        let lacks_archive = |from: &Millis| !has_archive(*from);
        let is_refused = |from| self.archive.has_failed(from);
        let missing = needs.archive_from.filter(lacks_archive);
        let lists = [&self.list, &self.configuration];
        let from = needs.list_from;
        let has_list = lists.iter().all(|list| list.read_at >= Some(from));
        let has_all = has_list || lists.iter().any(|list| list.has_failed(from));
        Reading {
            has_list,
            is_answered: has_all && missing.is_none_or(is_refused) && !self.is_silent,
            is_refused: missing.is_some_and(is_refused),
        }
    }
}

pub(super) fn counted(
    platform: SocketAddr,
    eras: &Arc<Eras>,
    metrics: &Arc<Metrics>,
) -> CountedClient {
    let client = Client::new(platform).with_eras(eras);
    CountedClient::new(client, Arc::clone(metrics), ANSWER_TIMEOUT)
}

impl Streams {
    /// Reads what a request needs, unless it has been read, or something was read just before.
    pub(super) async fn read_platform(&self, needs: &Needs) -> Reading {
        let mut reader = self.reader.lock().await;
        let reading = reader.reading(needs);
        let began = now();
        let has_all = reading.has_list && reading.is_answered && !reading.is_refused;
        if has_all || began < reader.next_read {
            return reading;
        }
        let needs_archive = needs.archive_from.is_some();
        let read = self.read_all(&mut reader, needs_archive).await;
        reader.is_silent = read.is_err() && now().since(began) >= ANSWER_TIMEOUT;
        // A silent platform may be too busy, so that the wait for it doesn't count.
        let read_at = if reader.is_silent { now() } else { began };
        reader.next_read = read_at + self.read_interval(reader.is_silent);
        if let Err(error) = read {
            log::info!(target: "streams", "streams: the platform isn't read: {error}");
        }
        reader.reading(needs)
    }

    /// Time from a read until the next one.
    fn read_interval(&self, is_silent: bool) -> Millis {
        match self.lock().is_large {
            true => LARGE_READ_INTERVAL,
            false if is_silent => UNANSWERED_INTERVAL,
            false => READ_INTERVAL,
        }
    }

    /// Reads the archive and the changes side by side, since each answer may take long.
    async fn read_all(&self, reader: &mut Reader, needs_archive: bool) -> Result<()> {
        let called_at = now();
        let kept = async {
            match needs_archive {
                true => {
                    let loaded = self.load(&mut reader.kept).await;
                    reader.archive.record(called_at, &loaded);
                    loaded.map(|_| ())
                }
                false => Ok(()),
            }
        };
        let changes = async {
            let list = self.read_changes(Kind::Endpoints, &mut reader.changes);
            let list = list.await;
            reader.list.record(called_at, &list);
            list?;
            let called_at = now();
            let configuration = self.read_changes(Kind::Configuration, &mut reader.changes);
            let configuration = configuration.await;
            reader.configuration.record(called_at, &configuration);
            configuration
        };
        let (kept, changes) = tokio::join!(kept, changes);
        kept.and(changes)
    }

    /// Reads what has changed in objects of a kind since the revision that their copy has reached.
    ///
    /// # Errors
    ///
    /// When the platform doesn't have these changes, or the copy is of another era.
    pub(super) async fn read_changes(&self, kind: Kind, client: &mut CountedClient) -> Result<()> {
        let reached = self.copies.revision(kind);
        let reached = reached.ok_or(CallError::Unlisted)?;
        let called_at = now();
        let path = wire::watch_path(kind, reached.number, NO_HOLD);
        let answer = client.ask(&Call::get(path)).await?;
        if answer.era != reached.era {
            return Err(CallError::OtherEra(answer.era));
        }
        self.copies.apply_answer(kind, &answer, called_at)?;
        // The copy may have been replaced meanwhile.
        match self.copies.era(kind) {
            Some(era) if era == answer.era => Ok(()),
            _ => Err(CallError::OtherEra(answer.era)),
        }
    }

    /// Reads and remembers what the platform keeps; returns the revisions of its objects by name.
    pub(super) async fn load(
        &self,
        client: &mut CountedClient,
    ) -> Result<HashMap<String, Revision>> {
        let is_large = self.is_large_fleet();
        let called_at = now();
        let mut kept = HashMap::new();
        let mut read = ReadArchives::default();
        let collect = |object: &Object| {
            kept.insert(object.name.clone(), object.revision);
            // A fleet that has grown doesn't write it any more.
            let is_of_small = [FLEET, TAIL].contains(&&object.name[..]);
            if is_large && (is_of_small || object.name.starts_with(NOTE)) {
                read.has_ignored = true;
                return Ok(());
            }
            let archive = objects::streams(object);
            read.has_unreadable |= archive.is_err();
            read.archives.push(archive?);
            Ok(())
        };
        client.list(wire::STREAMS, &self.copies, collect).await?;
        // These hold whatever has come and gone since.
        self.learn(&read.archives);
        let whole = kept.get(FLEET).copied();
        let unseen = self.unseen_builds(client, &read.archives, whole).await?;
        self.record_archives(&read, whole, unseen, called_at);
        Ok(kept)
    }

    fn learn(&self, archives: &[Archive]) {
        let mut state = self.lock();
        for (key, origin) in archives.iter().flat_map(Archive::streams) {
            state.memory.learn(key, origin, now());
        }
    }

    /// The versions of endpoints that may have come and gone in the list since the last complete
    /// archive.
    ///
    /// # Errors
    ///
    /// When the platform doesn't answer. Where its history is gone, this daemon's own list decides.
    async fn unseen_builds(
        &self,
        client: &mut CountedClient,
        archives: &[Archive],
        whole: Option<Revision>,
    ) -> Result<Vec<RecentBuild>> {
        let complete = archives
            .iter()
            .filter(|kept| kept.is_in_force(whole) && kept.is_complete());
        let Some(seen) = complete.filter_map(|kept| kept.seen).max() else {
            return Ok(vec![RecentBuild::UNKNOWN]);
        };
        let path = wire::watch_path(Kind::Endpoints, seen, NO_HOLD);
        match client.ask(&Call::get(path)).await {
            Ok(answer) => {
                let removed = wire::unseen_removals(&answer.body, seen);
                let removed = removed.map_err(CallError::Decode)?;
                Ok(removed
                    .iter()
                    .map(|entry| unseen_build(entry.as_ref()))
                    .collect())
            }
            Err(error) if error.is_gone() && self.has_followed(seen) => Ok(Vec::new()),
            Err(error) if error.is_gone() => Ok(vec![RecentBuild::UNKNOWN]),
            Err(error) => Err(error),
        }
    }

    /// Whether this daemon's own list has had all endpoints that came since a revision.
    fn has_followed(&self, seen: u64) -> bool {
        let latest = self.copies.eras().latest();
        let followed = self.copies.followed(Kind::Endpoints);
        followed.is_some_and(|followed| Some(followed.era) == latest && followed.number <= seen)
    }

    /// Whether streams are kept on the platform as they begin. Where one version serves they go on
    /// without that, unless all daemons end before another one comes; keeping them meanwhile costs
    /// a large fleet's hubs too much.
    pub(super) fn are_archived(&self) -> bool {
        !self.lock().is_large || self.placement.has_several_builds(now())
    }

    /// Whether the platform's objects are those of a large fleet: daemons that it lists count, too.
    pub(super) fn is_large_fleet(&self) -> bool {
        self.placement.daemon_count() >= LARGE_FLEET
    }

    /// Records archives that were requested at `called_at`, when the fleet's was at `revision`.
    /// Besides the versions that they name, these may have served unseen.
    fn record_archives(
        &self,
        read: &ReadArchives,
        revision: Option<Revision>,
        unseen: Vec<RecentBuild>,
        called_at: Millis,
    ) {
        let archives = &read.archives;
        let latest = self.copies.eras().latest();
        let in_force = archives.iter().filter(|kept| kept.is_in_force(revision));
        let mut outdated = in_force.clone();
        let has_outdated = outdated.any(|archive| archive.is_outdated(latest));
        // What was written since the copy isn't there.
        let may_lack = has_outdated || read.has_unreadable;
        let unknown = may_lack.then_some(RecentBuild::UNKNOWN);
        // A fleet that starts for the first time has kept nothing.
        let unseen = unseen.into_iter().filter(|_| !archives.is_empty());
        let builds = in_force.flat_map(Archive::builds);
        let builds: Vec<RecentBuild> = builds.chain(unseen).chain(unknown).collect();
        // What is ignored was written by a fleet that began earlier.
        let ignored = read.has_ignored.then_some(RecentBuild::UNKNOWN);
        let all: Vec<RecentBuild> = builds.iter().copied().chain(ignored).collect();
        self.placement.record_kept(&all, now());
        self.lock().archived.record(builds, called_at);
    }
}

/// Stands for the versions of an endpoint that came and went unseen. Its last version needn't be its
/// only one: an endpoint may start again as another one under its id.
fn unseen_build(entry: Option<&Object>) -> RecentBuild {
    let listing = entry.and_then(|entry| objects::endpoint(entry).ok());
    listing.map_or(RecentBuild::UNKNOWN, |listing| {
        RecentBuild::unknown_of((&listing.endpoint.pool).into())
    })
}
