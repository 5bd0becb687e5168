//! The daemon's routing state, shared by its tasks: endpoints, drains, retry budgets, quarantine.

mod streams;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{DataCentreId, EndpointId, PoolId};
use medlarrill_core::routing::attempt::Fault;
use medlarrill_core::routing::budget;
use medlarrill_core::routing::choose::Choice;
use medlarrill_core::routing::endpoint::{Endpoint, InstanceId};
use medlarrill_core::routing::exchange;
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::load::LoadReport;
use medlarrill_core::routing::notices::Notice;
use medlarrill_core::routing::plan::RetryPlan;
use medlarrill_core::routing::quarantine::{
    Change, Evidence, PlatformSync, Snapshot, Step, StoredRequest,
};
use medlarrill_core::routing::request::SharedPrefix;
use medlarrill_core::routing::revision::Revision;
use medlarrill_core::routing::runs::RunId;
use medlarrill_core::routing::silence::{Left, SeenSilence};
use medlarrill_core::routing::slow_start::SlowStart;
use medlarrill_core::routing::view::{
    Drain, HealthChange, ListingChange, Result, SlowStartChanges, View,
};
use medlarrill_net::now::now;

/// Routing state behind a lock that is held for a few instructions, never across an `await`.
#[derive(Debug)]
pub struct Placement(Mutex<View>);

/// Guard that counts a request at an endpoint until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    placement: Arc<Placement>,
    id: InstanceId,
    run_id: RunId,
}

/// Tells the state whether a request was handed to a connection.
#[derive(Debug)]
pub struct SentMarker {
    placement: Arc<Placement>,
    id: InstanceId,
    run_id: RunId,
}

impl SentMarker {
    /// Sets whether it was.
    pub fn set(&self, is_sent: bool) {
        let mut view = self.placement.lock();
        view.runs().set_sent(&self.id, self.run_id, is_sent);
    }
}

impl InFlight {
    /// The endpoint.
    pub const fn endpoint(&self) -> &InstanceId {
        &self.id
    }

    /// Marks the request as sent.
    pub fn sent_marker(&self) -> SentMarker {
        SentMarker {
            placement: Arc::clone(&self.placement),
            id: self.id.clone(),
            run_id: self.run_id,
        }
    }

    /// Records a head or an event of the response; returns how long the endpoint had been silent.
    pub fn record_sign(&self, now: Millis) -> Option<Millis> {
        let mut view = self.placement.lock();
        let silence = view.silence_of(&self.id, now);
        let changes = view.record_sign(&self.id, self.run_id, now);
        let was_avoided = view.end_silence(&self.id);
        drop(view);
        if was_avoided {
            let silence = silence.map(|silence| silence.0);
            log::info!(
                target: "placement", endpoint:% = self.id, silence;
                "placement: silent endpoint heard again"
            );
        }
        self.placement.log_quarantine(&changes);
        silence
    }

    /// Records that the response ended without a mark.
    pub fn record_unmarked(&self, now: Millis) {
        let mut view = self.placement.lock();
        view.runs().record_unmarked(&self.id, self.run_id, now);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut view = self.placement.lock();
        view.end(&self.id);
        view.runs().end(&self.id, self.run_id, now());
    }
}

impl Placement {
    /// Creates the state of a daemon in data centre `near`, which knows no endpoints yet.
    pub fn new(near: DataCentreId, retries: budget::Settings, seed: u64, now: Millis) -> Self {
        Self(Mutex::new(View::new(near, retries, seed, now)))
    }

    fn lock(&self) -> MutexGuard<'_, View> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Draws a random number from 0 to 1.
    pub fn random(&self) -> f64 {
        self.lock().random()
    }

    /// Adds or updates an endpoint's entry; returns what changed.
    pub fn upsert(&self, endpoint: Endpoint, now: Millis) -> ListingChange {
        let change = self.lock().upsert(endpoint, now);
        if let ListingChange::Restarted(gone) = &change {
            let changes = self.lock().record_gone(gone, now);
            self.log_quarantine(&changes);
        }
        change
    }

    /// Removes an endpoint's entry; returns whether there was one.
    pub fn remove_entry(&self, id: &EndpointId) -> bool {
        let mut view = self.lock();
        let gone = view.instance(id).cloned();
        let was_listed = view.remove(id);
        let changes = gone.as_ref().map(|gone| view.record_gone(gone, now()));
        drop(view);
        self.log_quarantine(&changes.unwrap_or_default());
        was_listed
    }

    /// Number of known endpoints.
    pub fn endpoint_count(&self) -> usize {
        self.lock().endpoints()
    }

    /// The endpoint of an instance, if it is listed and takes new work.
    pub fn open_endpoint(&self, id: &InstanceId) -> Option<Arc<Endpoint>> {
        self.lock().open_endpoint(id)
    }

    /// Draws up to `count` endpoints.
    pub fn sample(&self, count: usize) -> Vec<Arc<Endpoint>> {
        self.lock().sample(count)
    }

    /// Ends the pauses of endpoints that couldn't be connected to.
    pub fn end_pauses(&self) {
        self.lock().end_pauses();
    }

    /// Adds the daemons that the platform lists to those of a data centre and those elsewhere.
    pub fn add_listed(
        &self,
        centre: &DataCentreId,
        near: &mut Vec<SocketAddr>,
        far: &mut Vec<SocketAddr>,
    ) {
        for (part, daemons) in self.lock().listed_daemons() {
            match part == centre.as_str() {
                true => near.extend(daemons),
                false => far.extend(daemons),
            }
        }
    }

    /// Number of daemons that are alive or may be.
    pub fn daemon_count(&self) -> usize {
        self.lock().daemons()
    }

    /// Sets the retry budget of the fleet.
    pub fn configure_retries(&self, retries: budget::Settings) {
        self.lock().budget().configure(retries);
    }

    /// Counts a caller's request towards the retry budget of its pool.
    pub fn record_request(&self, pool: &PoolId, now: Millis) {
        self.lock().budget().record_request(pool, now);
    }

    /// Whether a pool has another endpoint than this one that takes new work and wasn't tried.
    pub fn has_alternative(
        &self,
        pool: &PoolId,
        plan: &RetryPlan,
        id: &InstanceId,
        now: Millis,
    ) -> bool {
        self.lock().has_other(pool, plan, id, now)
    }

    /// Takes one retry from a pool's budget; returns whether the budget allowed it.
    pub fn spend_retry(&self, pool: &PoolId, now: Millis) -> bool {
        self.lock().budget().try_spend(pool, now)
    }

    /// State of a pool's retry budget, for logs.
    pub fn retry_budget(&self, pool: &PoolId, now: Millis) -> budget::State {
        self.lock().budget().state(pool, now)
    }

    /// Chooses an endpoint that takes new work, and counts the request there.
    ///
    /// # Errors
    ///
    /// When there is no such endpoint, the pool is overloaded, or the request is quarantined.
    pub fn choose(
        self: &Arc<Self>,
        pool: &PoolId,
        prefix: Option<&SharedPrefix>,
        plan: &RetryPlan,
        now: Millis,
    ) -> Result<(Choice, InFlight)> {
        let mut view = self.lock();
        let choice = view.choose(pool, prefix, plan, now)?;
        let (id, build) = (choice.endpoint.id.clone(), &choice.endpoint.build);
        let run_id = view.runs().begin(&id, build, plan.causes().clone(), now);
        drop(view);
        let in_flight = InFlight {
            placement: Arc::clone(self),
            id,
            run_id,
        };
        Ok((choice, in_flight))
    }

    /// Removes the record that a prefix was sent to an endpoint, which didn't process it.
    pub fn retract_prefix(&self, prefix: &SharedPrefix, id: &InstanceId) {
        self.lock().retract_prefix(prefix, id);
    }

    /// Takes the load that an endpoint reported.
    pub fn update_load(&self, id: &InstanceId, report: LoadReport, now: Millis) {
        self.lock().report(id, report, now);
    }

    /// Applies what an endpoint announced of itself in the response to a request that was sent at
    /// `sent_at`, since the Unix epoch.
    pub fn apply_notice(&self, id: &InstanceId, notice: Notice, sent_at: Millis, request: &str) {
        if notice.is_empty() || !self.lock().apply_notice(id, notice, now(), sent_at) {
            return;
        }
        log::info!(
            target: "placement", endpoint:% = id, request, leaving = notice.leaving,
            pause = notice.pause.0;
            "placement: endpoint says of itself"
        );
    }

    /// How long a pool will take no work, if none of its endpoints takes any now.
    pub fn closed_for(&self, pool: &PoolId, now: Millis) -> Option<Millis> {
        self.lock().closed_for(pool, now)
    }

    /// Number of endpoints that currently ask for a pause without requests.
    pub fn paused_count(&self, now: Millis) -> usize {
        self.lock().paused_count(now)
    }

    /// The silence of an endpoint that has requests of this daemon.
    pub fn silence(&self, id: &InstanceId, now: Millis) -> Option<SeenSilence> {
        self.lock().silence(id, now)
    }

    /// Records that a request that was sent at `sent` isn't answered by its endpoint, or not to its
    /// end; `silence` is the endpoint's.
    pub fn record_unanswered(
        &self,
        id: &InstanceId,
        silence: Option<SeenSilence>,
        sent: Millis,
        now: Millis,
    ) {
        let left = self.lock().record_unanswered(id, silence, sent, now);
        if left == Left::Avoided {
            let silence = silence.map(|silence| silence.lasted.0);
            log::info!(
                target: "placement", endpoint:% = id, silence;
                "placement: silent endpoint avoided"
            );
        }
    }

    /// Records a successful attempt.
    pub fn record_success(&self, id: &InstanceId, now: Millis) {
        self.lock().record_success(id, now);
    }

    /// Records a failed attempt.
    pub fn record_failure(&self, id: &InstanceId, fault: Fault, now: Millis) {
        let changes = self.lock().record_failure(id, fault, now);
        self.log_quarantine(&changes);
    }

    /// Records that the response to a request ended without a mark.
    pub fn record_unmarked(&self, plan: &RetryPlan, id: &InstanceId, now: Millis) {
        self.lock().record_unmarked(plan, id, now);
    }

    /// Records that an endpoint was lost with a request: quarantine evidence against the request and
    /// the parts of its prompt. `began` is when the head of its response was received.
    pub fn record_loss(
        &self,
        plan: &RetryPlan,
        id: &InstanceId,
        began: Option<Millis>,
        now: Millis,
    ) {
        let changes = self.lock().record_loss(plan, id, began, now);
        self.log_quarantine(&changes);
    }

    /// What in a request may crash an endpoint, as in the lines on quarantines, with the id of the part
    /// of its prompt, if it is one.
    pub fn causes(&self, plan: &RetryPlan, id: &InstanceId) -> Vec<String> {
        let causes = self.lock().named_causes(plan, id);
        let text = |(cause, part): (Fingerprint, Option<u64>)| match part {
            Some(part) => format!("{cause} {part:x}"),
            None => cause.to_string(),
        };
        causes.into_iter().map(text).collect()
    }

    /// Records that a request was answered completely: quarantine evidence in its favour. `began` is
    /// when the head of the response was received.
    pub fn record_response(&self, plan: &RetryPlan, id: &InstanceId, began: Millis) {
        let changes = self.lock().record_response(plan, id, began, now());
        self.log_quarantine(&changes);
    }

    /// Whether an endpoint was lost with something that is in a request, too.
    pub fn is_suspect(&self, plan: &RetryPlan, id: &InstanceId) -> bool {
        self.lock().is_suspect(plan, id)
    }

    /// Whether a request is the most likely cause of the loss of several endpoints.
    pub fn is_prime_suspect(&self, plan: &RetryPlan, id: &InstanceId) -> bool {
        self.lock().is_prime_suspect(plan, id)
    }

    /// Merges other daemons' quarantine evidence.
    pub fn merge_evidence(&self, evidence: &[Evidence], now: Millis) {
        if !evidence.is_empty() {
            let changes = self.lock().quarantine().merge(evidence, now);
            self.log_quarantine(&changes);
        }
    }

    /// Clears a cause of all that is held against it, here and at other daemons; returns whether there
    /// was anything.
    pub fn lift(&self, cause: Fingerprint, now: Millis) -> bool {
        let mut view = self.lock();
        if !view.quarantine().is_suspect(cause) {
            return false;
        }
        let changes = view.quarantine().record_served(cause, now);
        drop(view);
        self.log_quarantine(&changes);
        true
    }

    /// Quarantine evidence to send to other daemons.
    pub fn evidence(&self, now: Millis) -> Snapshot {
        self.lock().quarantine().snapshot(now)
    }

    /// The next step that brings the quarantine in the platform's store up to date.
    pub fn next_sync_step(&self, sync_state: &PlatformSync, is_hub: bool) -> Option<Step> {
        sync_state.next_step(self.lock().quarantine(), is_hub)
    }

    /// A quarantined request as it is stored on the platform.
    pub fn stored_request(
        &self,
        fingerprint: Fingerprint,
        now: Millis,
        wall: Millis,
    ) -> Option<StoredRequest> {
        self.lock()
            .quarantine()
            .stored_request(fingerprint, now, wall)
    }

    /// Number of quarantined requests and parts of prompts.
    pub fn quarantined_count(&self) -> usize {
        self.lock().quarantine().count()
    }

    /// Number of requests and parts of prompts with losses that count against them.
    pub fn suspect_count(&self) -> usize {
        self.lock().quarantine().suspects()
    }

    /// Logs causes whose quarantine begins or ends.
    fn log_quarantine(&self, changes: &[Change]) {
        for change in changes {
            let Change {
                fingerprint,
                lost,
                is_own,
                ..
            } = change;
            match change.is_quarantined {
                true => log::warn!(
                    target: "quarantine", fingerprint:%, lost, is_own;
                    "quarantine: begins, endpoints that ran requests with the cause were lost"
                ),
                false => log::info!(target: "quarantine", fingerprint:%; "quarantine: ends"),
            }
        }
    }

    /// Returns the report for other daemons: requests in flight, and outcomes since the last call.
    pub fn take_report(&self, cut_off: bool, now: Millis) -> exchange::Report {
        let mut view = self.lock();
        exchange::Report {
            brittle: view.observed_brittle(now),
            ..view.take_report(cut_off)
        }
    }

    /// Records that an endpoint may turn only so many requests away in a second.
    pub fn record_brittle(&self, id: &InstanceId, rejections: u32, now: Millis) {
        self.lock().record_brittle(id, rejections, now);
    }

    /// Applies what other daemons tell of brittle pools.
    pub fn merge_brittle_pools(&self, brittle: &exchange::BrittlePools, now: Millis) {
        self.lock().merge_brittle_pools(brittle, now);
    }

    /// Expires old evidence and notices, and logs endpoints whose health or slow start changed.
    pub fn review(&self, now: Millis) {
        let expired = self.lock().quarantine().expire(now);
        self.log_quarantine(&expired);
        self.lock().prune_notices(now);
        let slow_starts = self.lock().review_slow_starts(now);
        log_slow_starts(&slow_starts);
        let changes = self.lock().review(now);
        for HealthChange {
            endpoint,
            standing,
            failures,
            others,
        } in changes
        {
            let avoided = standing.is_avoided();
            log::info!(
                target: "placement", endpoint:%, avoided, standing:? = standing, failures, others;
                "placement: endpoint judged anew"
            );
        }
    }

    /// Starts the drain of a data centre: its endpoints get no new work.
    pub fn drain(&self, data_centre: &DataCentreId, revision: Revision, now: Millis) {
        let Some(effect) = self.lock().drain(data_centre.clone(), now) else {
            return;
        };
        let Drain {
            endpoints,
            emptied,
            busy,
        } = effect;
        let name = data_centre.as_str();
        log::info!(
            target: "placement", data_centre = name, revision = revision.number, endpoints, busy;
            "placement: data centre drained"
        );
        if busy >= 1.0 || !emptied.is_empty() {
            log::warn!(
                target: "placement", data_centre = name, busy, emptied:? = emptied;
                "placement: what is left can't carry the work of a drained data centre"
            );
        }
    }

    /// Ends the drain of a data centre.
    pub fn undrain(&self, data_centre: &DataCentreId, revision: Revision, now: Millis) {
        if self.lock().undrain(data_centre, now) {
            let name = data_centre.as_str();
            log::info!(
                target: "placement", data_centre = name, revision = revision.number;
                "placement: data centre takes work again"
            );
        }
    }

    /// Number of drained data centres.
    pub fn drained_count(&self) -> usize {
        self.lock().drained_count()
    }

    /// Sets the slow start of each pool that has one.
    pub fn configure_slow_starts(&self, pools: HashMap<PoolId, SlowStart>) {
        self.lock().configure_slow_starts(pools);
    }

    /// Number of endpoints in slow start.
    pub fn slow_start_count(&self) -> usize {
        self.lock().slow_start_count()
    }

    /// Keeps an endpoint in slow start for the remaining time that it or its entry announced.
    pub fn begin_slow_start(&self, id: &InstanceId, left: Millis, now: Millis) {
        self.lock().begin_slow_start(id, left, now);
    }

    /// Records that this daemon is the only one of its fleet.
    pub fn set_single(&self) {
        self.lock().set_sole();
    }

    /// Sets the daemons in one part (one data centre's object) of the platform's list.
    pub fn set_daemons(&self, me: SocketAddr, part: &str, daemons: Vec<SocketAddr>) {
        self.lock().set_daemons(me, part, daemons);
    }

    /// The daemons in one part of the platform's list.
    pub fn listed_part(&self, part: &str) -> Vec<SocketAddr> {
        let view = self.lock();
        let mut parts = view.listed_daemons();
        let found = parts.find(|(name, _)| *name == part);
        found.map_or_else(Vec::new, |(_, daemons)| daemons.to_vec())
    }

    /// Returns those of `daemons` that aren't on the platform's list.
    pub fn unlisted(&self, daemons: &[SocketAddr]) -> Vec<SocketAddr> {
        self.lock().unlisted(daemons)
    }

    /// Sets the number of live daemons, including this one.
    pub fn set_live(&self, live: usize, now: Millis) {
        self.lock().set_live(live, now);
    }

    /// Applies the sums of the other daemons' reports on endpoints.
    pub fn update_peers(&self, reports: exchange::PeerUpdate, daemons: usize, now: Millis) {
        self.lock().update_peers(reports, daemons, now);
    }
}

/// Logs endpoints whose slow start begins or ends, in one line: when a data centre comes back,
/// there are many.
fn log_slow_starts(changes: &SlowStartChanges) {
    let names = |ids: &[InstanceId]| {
        let names: Vec<String> = ids.iter().map(InstanceId::to_string).collect();
        names.join(", ")
    };
    let (begins, ends) = (names(&changes.started), names(&changes.ended));
    if !begins.is_empty() || !ends.is_empty() {
        log::info!(target: "placement", begins, ends; "placement: endpoints in slow start");
    }
}
