//! What is known of endpoints, shared by the tasks of a daemon.

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
use medlarrill_core::routing::quarantine::{Change, Evidence, Keeper, Kept, Snapshot, Step};
use medlarrill_core::routing::request::SharedPrefix;
use medlarrill_core::routing::slow_start::SlowStart;
use medlarrill_core::routing::view::{Drain, Listed, Result, Spared, Verdict, View};
use medlarrill_net::now::now;

/// State behind a lock that is held for a few instructions, never while waiting.
#[derive(Debug)]
pub struct Placement(Mutex<View>);

/// A request at an endpoint, counted until it is dropped.
#[derive(Debug)]
pub struct Flight {
    placement: Arc<Placement>,
    id: InstanceId,
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.placement.lock().end(&self.id);
    }
}

impl Placement {
    /// Nothing is known yet.
    pub fn new(near: DataCentreId, repeats: budget::Settings, seed: u64, now: Millis) -> Self {
        Self(Mutex::new(View::new(near, repeats, seed, now)))
    }

    fn lock(&self) -> MutexGuard<'_, View> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A random number from 0 to 1.
    pub fn draw(&self) -> f64 {
        self.lock().draw()
    }

    /// Takes an endpoint's entry; says what it changed.
    pub fn list(&self, endpoint: Endpoint, now: Millis) -> Listed {
        self.lock().list(endpoint, now)
    }

    /// Drops an endpoint's entry; says whether it was there.
    pub fn remove(&self, id: &EndpointId) -> bool {
        self.lock().remove(id)
    }

    /// How many endpoints are known.
    pub fn endpoints(&self) -> usize {
        self.lock().endpoints()
    }

    /// Daemons that live, or may.
    pub fn daemons(&self) -> usize {
        self.lock().daemons()
    }

    /// Sets the repeats that the fleet may send.
    pub fn configure(&self, repeats: budget::Settings) {
        self.lock().budget().configure(repeats);
    }

    /// Counts a caller's request.
    pub fn request(&self, pool: &PoolId, now: Millis) {
        self.lock().budget().record_request(pool, now);
    }

    /// Whether a pool has an endpoint that takes new work and wasn't tried, other than this one.
    pub fn has_other(&self, pool: &PoolId, plan: &RetryPlan, id: &InstanceId, now: Millis) -> bool {
        self.lock().has_other(pool, plan, id, now)
    }

    /// Takes a repeat from the budget.
    pub fn spend(&self, pool: &PoolId, now: Millis) -> bool {
        self.lock().budget().try_spend(pool, now)
    }

    /// What the budget of repeats holds for a pool.
    pub fn repeats(&self, pool: &PoolId, now: Millis) -> budget::State {
        self.lock().budget().state(pool, now)
    }

    /// Picks an endpoint that takes new work, and counts the request there.
    ///
    /// # Errors
    ///
    /// When there is none, its pool is asked for too much, or the request is quarantined.
    pub fn choose(
        self: &Arc<Self>,
        pool: &PoolId,
        shared: Option<&SharedPrefix>,
        plan: &RetryPlan,
        now: Millis,
    ) -> Result<(Choice, Flight)> {
        let choice = self.lock().choose(pool, shared, plan, now)?;
        let placement = Arc::clone(self);
        let id = choice.endpoint.id.clone();
        Ok((choice, Flight { placement, id }))
    }

    /// Notes that an endpoint to which a prefix was sent hasn't read it.
    pub fn take_back(&self, prefix: &SharedPrefix, id: &InstanceId) {
        self.lock().take_back(prefix, id);
    }

    /// Takes what an endpoint tells of its work.
    pub fn report(&self, id: &InstanceId, report: LoadReport, now: Millis) {
        self.lock().report(id, report, now);
    }

    /// Takes what an endpoint says of itself in the answer to a request that was handed over at a
    /// time since the Unix epoch.
    pub fn note(&self, id: &InstanceId, notice: Notice, handed: Millis, request: &str) {
        if notice.is_empty() || !self.lock().note(id, notice, now(), handed) {
            return;
        }
        log::info!(
            target: "placement", endpoint:% = id, request, leaving = notice.leaving,
            pause = notice.pause.0;
            "placement: endpoint says of itself"
        );
    }

    /// How long a pool takes no work, if no endpoint of it does now.
    pub fn closed_for(&self, pool: &PoolId, now: Millis) -> Option<Millis> {
        self.lock().closed_for(pool, now)
    }

    /// Endpoints that want no requests now.
    pub fn pauses(&self, now: Millis) -> usize {
        self.lock().pauses(now)
    }

    /// Notes a good answer.
    pub fn good(&self, id: &InstanceId, now: Millis) {
        self.lock().good(id, now);
    }

    /// Notes a failed attempt.
    pub fn bad(&self, id: &InstanceId, fault: Fault, now: Millis) {
        self.lock().bad(id, fault, now);
    }

    /// Notes that an endpoint was lost with a request.
    pub fn lost(&self, plan: &RetryPlan, id: &InstanceId, now: Millis) {
        let changes = self.lock().lost(plan, id, now);
        self.report_changes(&changes);
    }

    /// Notes that a request was answered whole.
    pub fn served(&self, plan: &RetryPlan, now: Millis) {
        if let Some(served) = plan.fingerprint() {
            let changes = self.lock().quarantine().served(served, now);
            self.report_changes(&changes);
        }
    }

    /// Takes what other daemons know against requests.
    pub fn learn(&self, evidence: &[Evidence], now: Millis) {
        if !evidence.is_empty() {
            let changes = self.lock().quarantine().learn(evidence, now);
            self.report_changes(&changes);
        }
    }

    /// What other daemons are to know against requests.
    pub fn evidence(&self, now: Millis) -> Snapshot {
        self.lock().quarantine().snapshot(now)
    }

    /// What is to be done next for the platform to keep the quarantine.
    pub fn next_kept(&self, keeper: &Keeper, is_hub: bool) -> Option<Step> {
        keeper.next(self.lock().quarantine(), is_hub)
    }

    /// A quarantined request as the platform is to keep it.
    pub fn kept(&self, fingerprint: Fingerprint, now: Millis, wall: Millis) -> Option<Kept> {
        self.lock().quarantine().kept(fingerprint, now, wall)
    }

    /// Requests that are quarantined.
    pub fn quarantined(&self) -> usize {
        self.lock().quarantine().count()
    }

    /// Logs which requests are quarantined from now on, and which no more.
    fn report_changes(&self, changes: &[Change]) {
        for change in changes {
            let Change {
                fingerprint,
                lost,
                is_own,
                ..
            } = change;
            match change.begins {
                true => log::warn!(
                    target: "quarantine", fingerprint:%, lost, is_own;
                    "quarantine: begins, the request ends the endpoints that run it"
                ),
                false => log::info!(target: "quarantine", fingerprint:%; "quarantine: ends"),
            }
        }
    }

    /// What other daemons are told: requests in flight, and outcomes since the last report.
    pub fn own_report(&self, cut_off: bool) -> exchange::Report {
        self.lock().own_report(cut_off)
    }

    /// Logs which endpoints are avoided from now on, and which no more.
    pub fn review(&self, now: Millis) {
        let forgotten = self.lock().quarantine().forget(now);
        self.report_changes(&forgotten);
        self.lock().tidy_notices(now);
        let spared = self.lock().review_spared(now);
        report_spared(&spared);
        let changes = self.lock().review(now);
        for Verdict {
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

    /// Gives endpoints of a data centre no new work.
    pub fn drain(&self, data_centre: &DataCentreId, revision: u64, now: Millis) {
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
            target: "placement", data_centre = name, revision, endpoints, busy;
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
    pub fn restore(&self, data_centre: &DataCentreId, revision: u64, now: Millis) {
        if self.lock().restore(data_centre, now) {
            let name = data_centre.as_str();
            log::info!(
                target: "placement", data_centre = name, revision;
                "placement: data centre takes work again"
            );
        }
    }

    /// Data centres that are drained.
    pub fn drains(&self) -> usize {
        self.lock().drains()
    }

    /// Sets which pools have a slow start.
    pub fn set_slow_starts(&self, pools: HashMap<PoolId, SlowStart>) {
        self.lock().configure(pools);
    }

    /// Endpoints that are spared after a start.
    pub fn spared(&self) -> usize {
        self.lock().spared()
    }

    /// Spares an endpoint for the time that it or its entry tells.
    pub fn spare(&self, id: &InstanceId, left: Millis, now: Millis) {
        self.lock().spare(id, left, now);
    }

    /// Notes that this daemon is told of no others.
    pub fn set_sole(&self) {
        self.lock().set_sole();
    }

    /// Sets the daemons that a part of the platform's list names.
    pub fn deal(&self, me: SocketAddr, part: &str, daemons: Vec<SocketAddr>) {
        self.lock().deal(me, part, daemons);
    }

    /// Those of some daemons that the platform doesn't list.
    pub fn unlisted(&self, daemons: &[SocketAddr]) -> Vec<SocketAddr> {
        self.lock().unlisted(daemons)
    }

    /// Notes how many daemons live, this one included.
    pub fn hear(&self, live: usize, now: Millis) {
        self.lock().hear(live, now);
    }

    /// Takes what the other daemons have at endpoints, all of them together.
    pub fn others(&self, heard: exchange::Heard, daemons: usize, now: Millis) {
        self.lock().others(heard, daemons, now);
    }
}

/// Logs which endpoints are spared from now on, and which no more, in one line: where a data
/// centre comes back they are many.
fn report_spared(changes: &Spared) {
    let names = |ids: &[InstanceId]| {
        let names: Vec<String> = ids.iter().map(InstanceId::to_string).collect();
        names.join(", ")
    };
    let (begins, ends) = (names(&changes.begins), names(&changes.ends));
    if !begins.is_empty() || !ends.is_empty() {
        log::info!(target: "placement", begins, ends; "placement: endpoints in slow start");
    }
}
