//! Follows the platform itself: a list, then the changes since.

use std::net::SocketAddr;

use medlarrill_core::clock::Millis;
use medlarrill_core::routing::backoff;
use medlarrill_core::routing::mirror::{Change, Object, Update};
use medlarrill_net::now::now;
use medlarrill_platform::store::{self as wire, Call, Freshness, Kind};
use rand::RngExt;

use super::Store;
use super::client::{CallError, Client, Result};
use crate::peers::Watch;

/// Longest time that the platform holds a call for changes. A connection that went silent is
/// found out after this and [`ANSWER`]; each such call costs as much as any other.
const HOLD: Millis = Millis(1500);
/// The same for drained data centres, which change rarely. Where the connection of one daemon that
/// follows the platform went silent, those of the others tell.
const DRAINS_HOLD: Millis = Millis(4000);
/// Longest time for an answer beyond the time that the platform holds it. It answers in some
/// milliseconds, in a fifth of a second when it is slow.
const ANSWER: Millis = Millis(900);
/// Pause after changes of the configuration, in which further ones are gathered. Versions have
/// to be in force within 2 s; this takes a tenth of that.
const CONFIGURATION_PAUSE: Millis = Millis(200);
/// Pause after changes of endpoints. A leaving endpoint gets no new work after 2 s at most;
/// gathering for half of that saves four of five calls while endpoints report.
const ENDPOINTS_PAUSE: Millis = Millis(900);
/// Time since the start in which hubs may be writing the daemons that started together.
const DAEMONS_JOIN: Millis = Millis::from_secs(10);
/// Between two lists of daemons in that time.
const DAEMONS_EARLY: Millis = Millis(2500);
/// Between two lists of daemons.
pub const DAEMONS_PAUSE: Millis = Millis::from_secs(20);
/// Between two looks whether this daemon has to follow the platform.
const IDLE: Millis = Millis(50);
/// The same at a daemon that knows nothing yet.
const EARLY: Millis = Millis(5);
/// Age of a copy at which a daemon that doesn't follow the platform asks it, where no relay is
/// heard. Beyond the age that copies reach while the platform holds a call.
const STALE: Millis = Millis(2600);
/// Time for which a daemon that knows nothing, and was refused by the platform, waits for a copy
/// of another daemon.
const OTHERS: Millis = Millis(1500);
/// Time in which daemons that aren't seeds wait for others' copies when the whole fleet starts for
/// the first time. Callers come after 10 s and more; 295 daemons would make 590 calls.
pub const FIRST_START: Millis = Millis(3000);
/// Time since the start after which a daemon that knows all begins to ask for changes. Where 295
/// daemons start again at once, it takes that long until they agree on who asks for all; asking
/// before took a day from 956 calls to 1,733.
const SETTLED: Millis = Millis(1000);
/// Time since the start in which seeds tell a daemon of the fleet, if they live: a round trip.
const HEAR: Millis = Millis(10);
/// Time since the start in which daemons that have hubs to serve them wait for these, which have a
/// list after 0.1 to 0.3 s. Where 295 daemons start again at once, this and [`FIRST_START`] took
/// a day from 2,692 calls to 1,733; nobody knows more sooner by it.
const HELP: Millis = Millis(150);
/// Time for which a part of a list is worth going on from.
const PART: Millis = Millis(3000);
/// Time for which a daemon that lost the platform isn't chosen to follow it.
const CUT_OFF: Millis = Millis::from_secs(5);

/// Follows one kind until the process ends, whenever it falls to this daemon.
pub async fn follow(store: Store, platform: SocketAddr, kind: Kind) {
    let mut follower = Follower {
        client: Client::new(platform),
        part: None,
        freshness: Freshness::Latest,
        kind,
        store,
        heard: now(),
        failing: None,
        failed: None,
    };
    loop {
        if follower.is_due() {
            follower.step().await;
        } else {
            follower.forgive();
            tokio::time::sleep(follower.pause().as_duration()).await;
        }
    }
}

/// The first parts of a list.
struct Part {
    objects: Vec<Object>,
    /// The platform's revision of the first part.
    revision: u64,
    /// When the first part was asked for.
    heard: Millis,
}

struct Follower {
    client: Client,
    /// What was read of a list before a call failed.
    part: Option<Part>,
    /// How fresh the next list has to be.
    freshness: Freshness,
    kind: Kind,
    store: Store,
    /// When the platform last answered.
    heard: Millis,
    /// The failed calls since the last answer, if there are any.
    failing: Option<Failing>,
    /// When a call last failed, until it is forgiven.
    failed: Option<Millis>,
}

/// Calls that failed one after the other.
#[derive(Clone, Copy)]
struct Failing {
    since: Millis,
    calls: u32,
}

impl Follower {
    /// Whether this daemon has to ask the platform: it is chosen, knows nothing, or hears of
    /// nobody who knows more.
    fn is_due(&self) -> bool {
        let roster = self.store.roster.borrow();
        match self.kind {
            Kind::Daemons => return self.is_list_due(&roster),
            Kind::Drains if !self.store.copies.is_needed(Kind::Drains) => return false,
            _ => {}
        }
        let Some(age) = self.store.copies.age(self.kind, now()) else {
            // Where many daemons start at once the platform refuses some; others soon know more.
            let asked = self.failed.is_some_and(|at| now().since(at) < OTHERS);
            return (roster.is_watcher() || !asked) && !self.waits(&roster);
        };
        // Where all daemons start again, each knows of too few others to leave it to them.
        let is_settled = now() >= SETTLED;
        roster.is_watcher() && is_settled || age > STALE && !roster.is_relayed
    }

    /// Whether the list of daemons is to be read again. It changes rarely and may be old, so that
    /// no call waits for changes.
    fn is_list_due(&self, roster: &Watch) -> bool {
        let age = self.store.copies.age(self.kind, now());
        // Only hubs know of others for sure.
        let is_missing = |daemons: &[_]| !self.store.placement.unlisted(daemons).is_empty();
        let is_short = || is_missing(&[roster.me]) || is_missing(&roster.known);
        let pause = match now() < DAEMONS_JOIN && is_short() {
            true => DAEMONS_EARLY,
            false => DAEMONS_PAUSE,
        };
        let is_old = age.is_none_or(|age| age >= pause);
        roster.is_watcher() && now() >= SETTLED && is_old
    }

    /// Whether a daemon that has just started leaves it to others to ask for what it doesn't know.
    fn waits(&self, roster: &Watch) -> bool {
        let passed = now();
        if self.store.first_start && !roster.is_seed() {
            return passed < FIRST_START;
        }
        let longest = match roster.following.is_served {
            true => HELP,
            false => HEAR,
        };
        !roster.seeds.is_empty() && passed < longest
    }

    fn pause(&self) -> Millis {
        match self.store.copies.revision(self.kind) {
            Some(_) => IDLE,
            None => EARLY,
        }
    }

    async fn step(&mut self) {
        let result = match self.store.copies.revision(self.kind) {
            None => self.first_list().await,
            Some(_) if self.kind == Kind::Daemons => self.list().await,
            Some(revision) => self.watch(revision).await,
        };
        let result = match result {
            Err(error) if error.is_gone() => {
                log::info!(target: "store", kind:% = self.kind; "store: history gone, listing anew");
                self.list().await
            }
            result => result,
        };
        if let Err(error) = result {
            self.fail(&error).await;
        }
    }

    /// Reads the first list. Where many daemons start at once, the store's rate allows some of
    /// them; the others take a list of endpoints that may be seconds old, and go on from there.
    /// The configuration isn't taken so, since an older one may allow what was taken back.
    async fn first_list(&mut self) -> Result<()> {
        let result = self.list().await;
        let is_over_rate = result.as_ref().is_err_and(CallError::is_over_rate);
        if !is_over_rate || self.kind != Kind::Endpoints {
            return result;
        }
        log::info!(target: "store", kind:% = self.kind; "store: over its rate, reading an old list");
        self.freshness = Freshness::Stale;
        let result = self.list().await;
        self.freshness = Freshness::Latest;
        result
    }

    async fn list(&mut self) -> Result<()> {
        let mut part = self
            .part
            .take()
            .filter(|part| now().since(part.heard) < PART);
        loop {
            let result = self.list_part(&mut part).await;
            if !matches!(result, Ok(true)) {
                // A call that failed may be repeated; what was read before it stays.
                self.part = part.filter(|_| result.is_err());
                return result.map(|_| ());
            }
        }
    }

    /// Reads one part of a list; says whether more follow.
    async fn list_part(&mut self, part: &mut Option<Part>) -> Result<bool> {
        let after = part.as_ref().and_then(|part| part.objects.last());
        let after = after.map(|object| object.name.as_str());
        let path = wire::list_path(self.kind, after, self.freshness);
        let asked = now();
        let body = self.call(&path, ANSWER).await?;
        let page = wire::page(&body).map_err(CallError::Decode)?;
        self.store.copies.report(self.kind, &page.unreadable);
        if page.more && page.objects.is_empty() {
            return Err(CallError::Stuck);
        }
        // Changes between two parts come again with the changes since the first.
        let read = part.get_or_insert_with(|| Part {
            objects: Vec::new(),
            revision: page.revision,
            heard: asked,
        });
        // Copies that answer with old lists may lag one behind the other.
        read.revision = read.revision.min(page.revision);
        let is_last = !page.more;
        read.objects.extend(page.objects);
        if !is_last {
            return Ok(true);
        }
        let Some(Part {
            objects,
            revision,
            heard,
        }) = part.take()
        else {
            return Ok(false);
        };
        let update = Update {
            complete: true,
            changes: objects.into_iter().map(Change::Put).collect(),
            revision,
        };
        let heard = (self.freshness == Freshness::Latest).then_some(heard);
        self.store.copies.apply(self.kind, update, heard, now());
        Ok(false)
    }

    async fn watch(&mut self, revision: u64) -> Result<()> {
        let hold = match self.kind {
            Kind::Drains => DRAINS_HOLD,
            _ => HOLD,
        };
        let path = wire::watch_path(self.kind, revision, hold);
        let body = self.call(&path, hold + ANSWER).await?;
        let heard = now();
        let changes = wire::changes(&body).map_err(CallError::Decode)?;
        self.store.copies.report(self.kind, &changes.unreadable);
        let is_quiet = changes.changes.is_empty();
        let update = Update {
            complete: false,
            changes: changes.changes,
            revision: changes.revision,
        };
        self.store
            .copies
            .apply(self.kind, update, Some(heard), heard);
        if !is_quiet {
            let pause = match self.kind {
                Kind::Configuration | Kind::Drains => CONFIGURATION_PAUSE,
                Kind::Endpoints | Kind::Daemons => ENDPOINTS_PAUSE,
            };
            tokio::time::sleep(pause.as_duration()).await;
        }
        Ok(())
    }

    async fn call(&mut self, path: &str, wait: Millis) -> Result<bytes::Bytes> {
        self.store.metrics.calls.inc();
        let asked = now();
        let call = Call::get(path.to_owned());
        let body = self.client.call(&call, wait).await;
        if body.as_ref().err().is_none_or(CallError::is_gone) {
            self.answered(asked);
        }
        body
    }

    fn answered(&mut self, asked: Millis) {
        let at = now();
        if let Some(failing) = self.failing.take() {
            let outage = asked.since(self.heard);
            log::info!(
                target: "store", kind:% = self.kind, silent = outage.0, failures = failing.calls;
                "store: answers again"
            );
        }
        self.failed = None;
        self.heard = at;
        self.store.copies.set_cut_off(false);
    }

    /// Makes this daemon eligible again some time after it lost the platform.
    fn forgive(&mut self) {
        self.heard = now();
        self.failing = None;
        if self.failed.is_some_and(|at| now().since(at) >= CUT_OFF) {
            self.failed = None;
            self.store.copies.set_cut_off(false);
        }
    }

    async fn fail(&mut self, error: &CallError) {
        self.store.metrics.failed_calls.inc();
        let at = now();
        let first = Failing {
            since: at,
            calls: 0,
        };
        let failing = self.failing.get_or_insert(first);
        failing.calls += 1;
        let calls = failing.calls;
        self.store.copies.fail(self.kind, failing.since, at);
        self.failed = Some(at);
        self.store.copies.set_cut_off(true);
        let silent = now().since(self.heard);
        if calls == 1 {
            log::warn!(
                target: "store", kind:% = self.kind, silent = silent.0, cause:% = error;
                "store: lost, what is known stays"
            );
        } else {
            log::debug!(target: "store", "store: {} fails: {error}", self.kind);
        }
        let knows = self.store.copies.age(self.kind, at).is_some();
        let pause = backoff::pause(calls, knows, rand::rng().random());
        tokio::time::sleep(pause.as_duration()).await;
    }
}
