//! Copies objects from the platform's store itself: first a list, then the changes since.

mod list;

use std::net::SocketAddr;
use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::routing::backoff;
use medlarrill_core::routing::revision::{Era, Revision};
use medlarrill_net::now::now;
use medlarrill_platform::store::{self as wire, Call, Freshness, Kind};
use rand::RngExt;

use self::list::PartialList;
use super::StoreContext;
use super::client::{Answer, CallError, Client, Result};
use crate::peers::RosterState;

/// Maximum time for which the platform holds a call for changes. A silent connection is detected
/// after this and [`ANSWER_TIMEOUT`]; each such call costs as much as any other.
const WATCH_HOLD: Millis = Millis(1500);
/// The same after a failed call, whose cause may have been a restoration of the store.
const PROBE_HOLD: Millis = Millis(1);
/// The same for drained data centres, which change rarely. If one watcher's connection went silent,
/// the other watchers still receive the changes.
const RARE_WATCH_HOLD: Millis = Millis(4000);
/// Timeout for a response, in addition to the time for which the platform holds the call. It
/// answers in some milliseconds, or a fifth of a second when it is slow.
const ANSWER_TIMEOUT: Millis = Millis(900);
/// Pause after changes of the configuration, in which further ones are collected. Versions must be
/// active within 2 s; this takes a tenth of that.
const CONFIGURATION_PAUSE: Millis = Millis(200);
/// Pause after changes of endpoints. A leaving endpoint must get no new work after 2 s; collecting
/// changes for half of that saves four of five calls while endpoints report.
const ENDPOINTS_PAUSE: Millis = Millis(900);
/// Time since the start of the process in which hubs may still be listing daemons that started
/// together.
const JOIN_PERIOD: Millis = Millis::from_secs(10);
/// Interval between reads of the list of daemons within [`JOIN_PERIOD`].
const DAEMONS_JOIN_INTERVAL: Millis = Millis(2500);
/// Interval between reads of the list of daemons.
pub const DAEMONS_INTERVAL: Millis = Millis::from_secs(20);
/// Interval between checks whether this daemon must call the platform.
const CHECK_INTERVAL: Millis = Millis(50);
/// The same while this daemon has no copy yet.
const EARLY_CHECK_INTERVAL: Millis = Millis(5);
/// Age of a copy from which on a daemon that is no watcher calls the platform, if it receives no
/// updates by relay. Above the age that copies reach while the platform holds a call.
const MAX_COPY_AGE: Millis = Millis(2600);
/// Time for which a daemon without a copy waits for another daemon's after the platform refused its
/// call.
const PEER_COPY_WAIT: Millis = Millis(1500);
/// Time for which daemons other than seeds wait for others' copies when the complete fleet starts
/// for the first time. Callers come after 10 s or more; 295 daemons would make 590 calls.
pub const FIRST_START_WAIT: Millis = Millis(3000);
/// Time since the start of the process after which a daemon with all copies begins to ask for
/// changes. When 295 daemons restart at once, they take that long to agree on the watchers; asking
/// earlier raised the calls of a day from 956 to 1,733.
const SETTLE_TIME: Millis = Millis(1000);
/// Time since the start of the process in which live seeds report the fleet to this daemon: a round
/// trip.
const SEED_WAIT: Millis = Millis(10);
/// Time since the start of the process for which daemons with hubs wait for the hubs' copies; hubs
/// have a list after 0.1 to 0.3 s. When 295 daemons restart at once, this and
/// [`FIRST_START_WAIT`] reduced the calls of a day from 2,692 to 1,733; no daemon got its copies
/// sooner by it.
const HUB_WAIT: Millis = Millis(150);
/// Time for which a daemon that lost the platform isn't chosen as a watcher.
const CUT_OFF_PERIOD: Millis = Millis::from_secs(5);

/// Keeps the copy of one kind up to date until the process ends, whenever this daemon must call the
/// platform for it.
pub async fn follow(store: StoreContext, platform: SocketAddr, kind: Kind) {
    let mut follower = StoreFollower {
        client: Client::new(platform).with_eras(store.copies.eras()),
        partial: None,
        freshness: Freshness::Latest,
        kind,
        store,
        answered_at: now(),
        failures: None,
        failed_at: None,
        is_behind: false,
        pause: Millis::ZERO,
    };
    loop {
        if follower.is_due() {
            follower.step().await;
        } else {
            follower.clear_failures();
            tokio::time::sleep(follower.pause().as_duration()).await;
        }
    }
}

struct StoreFollower {
    client: Client,
    /// Pages of a list that were read before a call failed.
    partial: Option<PartialList>,
    /// Required freshness of the next list.
    freshness: Freshness,
    kind: Kind,
    store: StoreContext,
    /// When the platform last answered.
    answered_at: Millis,
    /// Failed calls since the last response, if there are any.
    failures: Option<FailureSeries>,
    /// When a call last failed, until a response or [`CUT_OFF_PERIOD`] clears it.
    failed_at: Option<Millis>,
    /// Whether the last answer was behind the copy, which is logged once.
    is_behind: bool,
    /// Pause after the last changes, if no call was made since.
    pause: Millis,
}

/// Consecutive failed calls.
#[derive(Clone, Copy)]
struct FailureSeries {
    since: Millis,
    calls: u32,
}

impl StoreFollower {
    /// Whether this daemon must call the platform: it is a watcher, has no copy, or its copy is old
    /// and no relay updates it.
    fn is_due(&self) -> bool {
        let roster = self.store.roster.snapshot();
        match self.kind {
            Kind::Daemons => return self.is_list_due(&roster),
            Kind::Drains if !self.store.copies.is_required(Kind::Drains) => return false,
            _ => {}
        }
        let Some(age) = self.store.copies.age(self.kind, now()) else {
            // When many daemons start at once, the platform refuses some; others soon have copies.
            let has_failed = self
                .failed_at
                .is_some_and(|at| now().since(at) < PEER_COPY_WAIT);
            return (roster.is_watcher() || !has_failed) && !self.waits_for_peers(&roster);
        };
        // After a restart of all daemons, each knows too few others at first to rely on them.
        let is_settled = now() >= SETTLE_TIME;
        roster.is_watcher() && is_settled || age > MAX_COPY_AGE && !roster.is_relayed
    }

    /// Whether the list of daemons must be read again. It changes rarely and may be old, so it is
    /// polled instead of watched.
    fn is_list_due(&self, roster: &RosterState) -> bool {
        let age = self.store.copies.age(self.kind, now());
        // Only hubs know other daemons reliably.
        let is_missing = |daemons: &[_]| !self.store.placement.unlisted(daemons).is_empty();
        let is_incomplete = || is_missing(&[roster.me]) || is_missing(&roster.live_daemons);
        let pause = match now() < JOIN_PERIOD && is_incomplete() {
            true => DAEMONS_JOIN_INTERVAL,
            false => DAEMONS_INTERVAL,
        };
        let is_old = age.is_none_or(|age| age >= pause) || self.is_of_old_era();
        roster.is_watcher() && now() >= SETTLE_TIME && is_old
    }

    /// Whether the store has been restored since the copy was made.
    fn is_of_old_era(&self) -> bool {
        let era = self.store.copies.era(self.kind);
        era.is_some_and(|era| self.store.copies.eras().is_past(era))
    }

    /// Whether a daemon that has just started waits for others' copies instead of calling the
    /// platform.
    fn waits_for_peers(&self, roster: &RosterState) -> bool {
        let passed = now();
        if self.store.first_start && !roster.is_seed() {
            return passed < FIRST_START_WAIT;
        }
        let max_wait = match roster.following.is_indirect {
            true => HUB_WAIT,
            false => SEED_WAIT,
        };
        !roster.seeds.is_empty() && passed < max_wait
    }

    fn pause(&self) -> Millis {
        match self.store.copies.revision(self.kind) {
            Some(_) => CHECK_INTERVAL,
            None => EARLY_CHECK_INTERVAL,
        }
    }

    async fn step(&mut self) {
        let result = match self.store.copies.revision(self.kind) {
            None => self.first_list().await,
            Some(_) if self.kind == Kind::Daemons || self.is_of_old_era() => self.list().await,
            Some(revision) => self.watch_or_list(revision).await,
        };
        let result = match result {
            Err(error) if error.is_gone() => {
                log::info!(target: "store", kind:% = self.kind; "store: history gone, listing again");
                self.list_again().await
            }
            result => result,
        };
        if let Err(error) = result {
            self.record_failure(&error).await;
        }
    }

    /// Reads a list since the store no longer has the changes. A store that names no era and went back
    /// has none until it has passed the known revision; it isn't asked all the time until then.
    async fn list_again(&mut self) -> Result<()> {
        let result = self.list().await;
        if self.is_behind {
            tokio::time::sleep(ENDPOINTS_PAUSE.as_duration()).await;
        }
        result
    }

    /// Reads the first list. When many daemons start at once, the store's rate limit admits only
    /// some; the others read a list of endpoints that may be seconds old, and continue from there.
    /// A stale configuration isn't read, since it may allow what has been revoked.
    async fn first_list(&mut self) -> Result<()> {
        let result = self.list().await;
        let is_over_rate = result.as_ref().is_err_and(CallError::is_over_rate);
        if !is_over_rate || self.kind != Kind::Endpoints {
            return result;
        }
        log::info!(target: "store", kind:% = self.kind; "store: over the rate limit, reading a stale list");
        self.freshness = Freshness::Stale;
        let result = self.list().await;
        self.freshness = Freshness::Latest;
        result
    }

    /// Waits for changes after a revision and applies them, unless the store is restored meanwhile:
    /// then what it has lost isn't among them.
    async fn watch(&mut self, reached: Revision) -> Result<()> {
        let hold = self.hold();
        let path = wire::watch_path(self.kind, reached.number, hold);
        let eras = Arc::clone(self.store.copies.eras());
        let answer = tokio::select! {
            answer = self.call(&path, hold + ANSWER_TIMEOUT) => answer?,
            () = eras.later_than(reached.era) => return Ok(()),
        };
        self.pause = Millis::ZERO;
        self.check_era(answer.era)?;
        if answer.era != reached.era {
            return Ok(());
        }
        let applied = self.store.copies.apply_answer(self.kind, &answer, now())?;
        self.log_behind(applied.revision);
        if !applied.is_quiet {
            self.collect().await;
        }
        Ok(())
    }

    /// Refuses an answer of an era before that of the copy, which another daemon may have told.
    fn check_era(&self, era: Era) -> Result<()> {
        let reached = self.store.copies.era(self.kind);
        match reached.is_some_and(|reached| era < reached) {
            true => Err(CallError::OldEra(era)),
            false => Ok(()),
        }
    }

    /// Waits while further changes are collected. Less long while removals wait, since endpoints
    /// that list themselves again in time would be removed otherwise.
    async fn collect(&mut self) {
        self.pause = match self.kind {
            Kind::Configuration | Kind::Drains => CONFIGURATION_PAUSE,
            kind if self.store.copies.is_waiting(kind, now()) => CONFIGURATION_PAUSE,
            Kind::Endpoints | Kind::Daemons | Kind::Quarantine => ENDPOINTS_PAUSE,
        };
        tokio::time::sleep(self.pause.as_duration()).await;
    }

    /// Time for which the platform holds the next call for changes. The first call after a failed one
    /// isn't held, and one after a pause less long: it tells whether the store was restored
    /// meanwhile, after which a held call may miss changes.
    fn hold(&self) -> Millis {
        if self.failures.is_some() {
            return PROBE_HOLD;
        }
        match self.kind {
            Kind::Drains | Kind::Quarantine => RARE_WATCH_HOLD,
            _ => Millis(WATCH_HOLD.0 - self.pause.0),
        }
    }

    /// Logs the first answer of a series whose revision is lower than the copy's: nothing in it is
    /// newer than what is known.
    fn log_behind(&mut self, revision: Revision) {
        let known = self.store.copies.revision(self.kind);
        let is_behind = known.is_some_and(|known| revision < known);
        if is_behind && !self.is_behind {
            log::warn!(
                target: "store", kind:% = self.kind, revision:%, known = known.map(|known| known.number);
                "store: an answer is behind the copy"
            );
        }
        self.is_behind = is_behind;
    }

    async fn call(&mut self, path: &str, wait: Millis) -> Result<Answer> {
        self.store.metrics.platform_calls.inc();
        let called_at = now();
        let call = Call::get(path.to_owned());
        let answer = self.client.ask(&call, wait).await;
        if answer.as_ref().err().is_none_or(CallError::is_gone) {
            self.record_answer(called_at);
        }
        answer
    }

    /// Records a response to a call that was made at `called_at`, which ends an outage.
    fn record_answer(&mut self, called_at: Millis) {
        let at = now();
        if let Some(series) = self.failures.take() {
            let outage = called_at.since(self.answered_at);
            log::info!(
                target: "store", kind:% = self.kind, silent = outage.0, failures = series.calls;
                "store: answers again"
            );
        }
        self.failed_at = None;
        self.answered_at = at;
        self.store.copies.set_cut_off(false);
    }

    /// Resets the failure state while this daemon makes no calls; after [`CUT_OFF_PERIOD`] it may
    /// become a watcher again.
    fn clear_failures(&mut self) {
        self.answered_at = now();
        self.failures = None;
        if self
            .failed_at
            .is_some_and(|at| now().since(at) >= CUT_OFF_PERIOD)
        {
            self.failed_at = None;
            self.store.copies.set_cut_off(false);
        }
    }

    /// Records and logs a failed call, and waits before the next one.
    async fn record_failure(&mut self, error: &CallError) {
        self.store.metrics.failed_calls.inc();
        let at = now();
        let first = FailureSeries {
            since: at,
            calls: 0,
        };
        let series = self.failures.get_or_insert(first);
        series.calls += 1;
        let calls = series.calls;
        self.store
            .copies
            .record_failure(self.kind, series.since, at);
        self.failed_at = Some(at);
        self.store.copies.set_cut_off(true);
        let silent = now().since(self.answered_at);
        if calls == 1 {
            log::warn!(
                target: "store", kind:% = self.kind, silent = silent.0, cause:% = error;
                "store: lost, what is known stays"
            );
        } else {
            log::debug!(target: "store", "store: {} fails: {error}", self.kind);
        }
        let has_copy = self.store.copies.age(self.kind, at).is_some();
        let pause = backoff::pause(calls, has_copy, rand::rng().random());
        tokio::time::sleep(pause.as_duration()).await;
    }
}
