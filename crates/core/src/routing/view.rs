//! One daemon's view of the endpoints, and the choice of one for each request.
//!
//! Endpoints come from the platform's list, loads and outcomes from this
//! daemon's own requests and from other daemons ([`exchange`]). All state
//! belongs to one instance of an endpoint and is discarded when the endpoint
//! restarts.

mod admission;
mod choosing;
mod drains;
mod health;
mod listing;
mod losses;
mod notices;
mod prefixes;
mod quarantine;
mod sharing;
mod silence;
mod slow_starts;
mod streams;
mod work;

use std::collections::{HashMap, HashSet};

use derive_more::{Debug, Display, Error};
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::clock::Millis;
use crate::ids::{DataCentreId, PoolId};
use crate::routing::ablation::{Mechanism, is_on};
use crate::routing::attempt::Fault;
use crate::routing::brittle::Brittle;
use crate::routing::budget::{self, RetryBudget};
use crate::routing::choose::Choice;
use crate::routing::directory::Directory;
use crate::routing::doubts::Doubts;
use crate::routing::endpoint::InstanceId;
use crate::routing::exchange;
use crate::routing::fingerprint::Fingerprint;
use crate::routing::fleet::Fleet;
use crate::routing::health::Health;
use crate::routing::instance::InstanceTracker;
use crate::routing::load::{LoadReport, LoadTracker};
use crate::routing::losses::{Losses, Sign};
use crate::routing::notices::Notices;
use crate::routing::overload::{AdmissionControl, ResponseRates};
use crate::routing::plan::RetryPlan;
use crate::routing::prefix_index::PrefixIndex;
use crate::routing::quarantine::{Change, Quarantine};
use crate::routing::room::{Refused, Room};
use crate::routing::runs::Runs;
use crate::routing::silence::SilentEndpoints;
use crate::routing::slow_start::SlowStarts;
use crate::routing::unmarked::UnmarkedEnds;
use crate::routing::work::WorkTracker;

pub use drains::Drain;
pub use health::HealthChange;
pub use listing::ListingChange;
pub use losses::LossChange;
pub use slow_starts::SlowStartChanges;

/// Result of choosing an endpoint.
pub type Result<T> = std::result::Result<T, ChooseError>;

/// One daemon's view of all endpoints.
#[derive(Debug)]
pub struct View {
    /// Data centre of this daemon.
    data_centre: DataCentreId,
    directory: Directory,
    start_times: InstanceTracker,
    loads: LoadTracker,
    work: WorkTracker,
    health: Health,
    /// Endpoints that were avoided at the last review.
    avoided: HashSet<InstanceId>,
    /// Live daemons as of the last update, this one included.
    daemons: u32,
    budget: RetryBudget,
    response_rates: ResponseRates,
    /// Admission to pools of plain services.
    admission: HashMap<PoolId, AdmissionControl>,
    /// The same by client account and priority, where the configuration has several.
    room: Room,
    outcomes: HashMap<InstanceId, Outcomes>,
    /// Requests sent with each shared prefix since the last report.
    prefix_counts: HashMap<u32, u32>,
    prefix_index: PrefixIndex,
    /// Prefixes sent elsewhere than to the endpoint that rank and age give, since the last report.
    prefix_moves: Vec<exchange::PrefixMove>,
    /// Shares of hot prefixes in the fleet's traffic, 0 to 1.
    hot_shares: HashMap<u32, f64>,
    quarantine: Quarantine,
    /// When this daemon last tried a request whose quarantine was over, by its cause.
    trials: HashMap<Fingerprint, Millis>,
    unmarked: UnmarkedEnds,
    runs: Runs,
    silent: SilentEndpoints,
    /// Endpoints that lose requests.
    losses: Losses,
    /// What this daemon saw of them and the others weren't told yet, by short ids.
    untold: Vec<(u32, Sign, Millis)>,
    /// Whether it told losses that it didn't withdraw.
    has_told_losses: bool,
    /// Instances that left the list, and when.
    gone: HashMap<InstanceId, Millis>,
    notices: Notices,
    /// Instances that may have been replaced under their ids.
    doubts: Doubts,
    brittle: Brittle,
    /// Drained data centres: their endpoints take no new work.
    drained: HashSet<DataCentreId>,
    /// The daemons that share the fleet's limits.
    fleet: Fleet,
    slow_starts: SlowStarts,
    /// Endpoints in slow start at the last review.
    in_slow_start: HashSet<InstanceId>,
    #[debug(skip)]
    rng: Pcg32,
}

/// Outcomes of this daemon's requests since the last report.
#[derive(Clone, Copy, Default)]
#[derive(Debug)]
struct Outcomes {
    good: u32,
    bad: u32,
}

/// Why no endpoint was chosen for a request.
#[derive(Debug, Display, Error)]
pub enum ChooseError {
    /// Its pool is overloaded.
    #[display("overloaded")]
    Overloaded(#[error(not(source))] Box<Overload>),
    /// Requests like it have crashed the endpoints that ran them.
    #[display("quarantined")]
    Quarantined {
        /// Time left until it may be sent again.
        wait: Millis,
        /// What is quarantined.
        cause: Fingerprint,
        /// Id of the prompt's part that is the cause; `None` if it is the whole request.
        part: Option<u64>,
    },
    /// No untried endpoint may be sent the request.
    #[display("no endpoint")]
    Nothing,
}

/// Details of a request that was refused because its pool is overloaded.
#[derive(Debug)]
pub struct Overload {
    /// The endpoint that would have got the request.
    pub choice: Choice,
    /// Expected time of the request there, in milliseconds.
    pub expected: f64,
    /// Share of the pool's requests that are admitted, 0 to 1.
    pub share: f64,
    /// Time after which the caller may retry.
    pub wait: Millis,
    /// On what the refusal is based, if it goes by the caller's account and priority.
    pub refused: Option<Refused>,
}

impl View {
    /// An empty view for a daemon in `data_centre`; `retries` limits the fleet's retries.
    pub fn new(
        data_centre: DataCentreId,
        retries: budget::Settings,
        seed: u64,
        now: Millis,
    ) -> Self {
        Self {
            data_centre,
            directory: Directory::default(),
            start_times: InstanceTracker::default(),
            loads: LoadTracker::default(),
            work: WorkTracker::default(),
            health: Health::default(),
            avoided: HashSet::new(),
            daemons: 1,
            budget: RetryBudget::new(retries, now),
            response_rates: ResponseRates::default(),
            admission: HashMap::new(),
            room: Room::default(),
            outcomes: HashMap::new(),
            prefix_counts: HashMap::new(),
            prefix_index: PrefixIndex::default(),
            prefix_moves: Vec::new(),
            hot_shares: HashMap::new(),
            quarantine: Quarantine::default(),
            trials: HashMap::new(),
            unmarked: UnmarkedEnds::default(),
            runs: Runs::default(),
            silent: SilentEndpoints::default(),
            losses: Losses::default(),
            untold: Vec::new(),
            has_told_losses: false,
            gone: HashMap::new(),
            notices: Notices::default(),
            doubts: Doubts::default(),
            brittle: Brittle::default(),
            drained: HashSet::new(),
            fleet: Fleet::new(now),
            slow_starts: SlowStarts::default(),
            in_slow_start: HashSet::new(),
            rng: Pcg32::new(seed, seed),
        }
    }

    /// A random number from 0 to 1.
    pub fn random(&mut self) -> f64 {
        self.rng.random()
    }

    /// Number of listed endpoints.
    pub fn endpoints(&self) -> usize {
        self.directory.len()
    }

    /// Number of daemons that are live or listed by the platform, whichever is more.
    pub fn daemons(&self) -> usize {
        self.fleet.size().max(self.daemons as usize)
    }

    /// This daemon's retry budget.
    pub const fn budget(&mut self) -> &mut RetryBudget {
        &mut self.budget
    }

    /// Ends the count of a request at an endpoint that [`Self::choose`] started.
    pub fn end(&mut self, id: &InstanceId) {
        self.loads.end(id);
    }

    /// Applies an endpoint's report of its load.
    pub fn report(&mut self, id: &InstanceId, report: LoadReport, now: Millis) {
        if self.directory.is_listed(id) {
            self.loads.report(id, report, now);
        }
    }

    /// Records a successful attempt.
    pub fn record_success(&mut self, id: &InstanceId, now: Millis) {
        if !self.directory.is_listed(id) {
            return;
        }
        self.health.record_success(id, now);
        self.count_response(id, now);
        self.outcomes.entry(id.clone()).or_default().good += 1;
    }

    /// Records a failed attempt; returns changes of the quarantine.
    pub fn record_failure(&mut self, id: &InstanceId, fault: Fault, now: Millis) -> Vec<Change> {
        let changes = self.record_lost(id, fault, now);
        if !self.directory.is_listed(id) {
            return changes;
        }
        self.health.record_failure(id, fault, now);
        if fault == Fault::Rejected {
            self.record_rejection(id, now);
        }
        if fault.is_loss() || fault == Fault::NotSent {
            // It may have restarted.
            self.presume_restart(id, now);
        }
        if fault == Fault::Failed {
            self.count_response(id, now);
        }
        if fault.is_failure() {
            self.outcomes.entry(id.clone()).or_default().bad += 1;
        }
        changes
    }

    /// Records that the response to a request ended without a mark.
    pub fn record_unmarked(&mut self, plan: &RetryPlan, id: &InstanceId, now: Millis) {
        for cause in self.causes(plan, id) {
            self.unmarked.record(id, cause, now);
        }
    }

    /// Records that an endpoint was lost with the requests whose response had just ended without a
    /// mark, if a fault shows that its connections were lost. A connection that can't be made may be
    /// this daemon's own fault.
    fn record_lost(&mut self, id: &InstanceId, fault: Fault, now: Millis) -> Vec<Change> {
        if !fault.is_loss() {
            return Vec::new();
        }
        let endpoint = exchange::short_id(id);
        let lost = self.unmarked.take_lost(id, now);
        let record = |request| self.quarantine.record_loss(request, endpoint, now);
        lost.into_iter().flat_map(record).collect()
    }

    /// Evidence against causes of crashes, and those that are quarantined.
    pub const fn quarantine(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// This daemon's report for the others: requests in flight, and outcomes since the last report.
    pub fn take_report(&mut self, cut_off: bool) -> exchange::Report {
        let mut outcomes = std::mem::take(&mut self.outcomes);
        let sent = std::mem::take(&mut self.prefix_counts).into_iter();
        let sent = sent.map(|(prefix, count)| exchange::PrefixCount { prefix, count });
        let entry = |(id, in_flight): (&InstanceId, u32)| {
            let Outcomes { good, bad } = outcomes.remove(id).unwrap_or_default();
            exchange::ReportEntry {
                endpoint: exchange::short_id(id),
                in_flight,
                good,
                bad,
                reading: self.work.told_units(id),
            }
        };
        let entries = self.loads.in_flight().map(entry);
        let entries = entries.filter(|entry| entry.in_flight + entry.good + entry.bad > 0);
        exchange::Report {
            entries: entries.collect(),
            cut_off,
            sent: sent.collect(),
            moved: std::mem::take(&mut self.prefix_moves),
            ..exchange::Report::default()
        }
    }

    /// Applies the sum of what the other daemons have at endpoints; `daemons` counts the live ones,
    /// this one included.
    pub fn update_peers(&mut self, update: exchange::PeerUpdate, daemons: usize, now: Millis) {
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
        self.daemons = daemons;
        self.hot_shares = update.hot;
        self.room.update_fleet(update.demand.as_ref(), now);
        for exchange::PrefixMove { prefix, endpoint } in update.moved {
            self.prefix_index.record(prefix, endpoint, now);
        }
        let directory = &self.directory;
        let rows = || {
            update.endpoints.iter().flat_map(|(short, others)| {
                let endpoints = directory.with_short_id(*short);
                endpoints.map(move |endpoint| (&endpoint.id, *others))
            })
        };
        for (id, others) in rows() {
            self.health.record_others(id, others.good, others.bad, now);
            self.response_rates
                .record(id, others.good + others.bad, now);
        }
        if is_on(Mechanism::ToldLoads) {
            let busy = rows().map(|(id, others)| (id, others.in_flight));
            self.loads.set_all_others(busy, now);
        }
        if is_on(Mechanism::Work) {
            self.work.confirm(now);
            let reading = rows().map(|(id, others)| (id, others.reading));
            self.work.set_all_others(reading, now);
        }
    }
}
