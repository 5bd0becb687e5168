//! Daemons, stand-ins and proxies of one soak.

mod daemon;
mod faults;
mod restores;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use derive_more::Debug;
use medlarrill_platform_standin::{
    Arrival, Behaviour, Crash, Endpoint, Flowed, Form, Ledger, Store, View,
};
use medlarrill_testkit::fleet::Program;
use medlarrill_testkit::proxy::Proxy;
use medlarrill_testkit::routed::read;
use tempfile::TempDir;
use tokio::task::JoinHandle;

use self::daemon::Daemon;
pub use self::restores::Leaving;
use self::restores::Restores;
use super::check::Violation;
use super::plan::{Fault, Plan};
use super::traffic::Doors;
use super::{Result, SoakError};

/// The one pool.
const POOL: &str = "pool";
/// The data centre of every second endpoint, where there are two.
const SECOND: &str = "dc-b";
/// The platform's kind of objects that drain data centres.
const DRAINS: &str = "evacuations";
/// Requests a second that an endpoint bears while it has to be spared.
pub const SPARED: usize = 4;
/// Seconds for which endpoints are spared after a start.
const SLOW_START: f64 = 1.0;
/// Between two questions of the balancer; two without a good answer close a door.
const BALANCER: Duration = Duration::from_millis(1000);
/// Between two looks whether a daemon has ended.
const LOOK: Duration = Duration::from_millis(20);
/// Between two writes of all entries.
const RELIST: Duration = Duration::from_millis(300);
/// Longest time for a stop: the grace period, a freeze, and a second.
const LONGEST_STOP: Duration = Duration::from_secs(14);

/// Body of the request that ends the endpoints that run it.
pub const CRASHING: &[u8] = b"crashing";
/// Longest time until it is noticed that an endpoint has ended.
const NOTICED: Duration = Duration::from_millis(250);
/// Time after which an endpoint that ended is up again.
const DOWN: Duration = Duration::from_millis(800);

/// When endpoints that tell it first started, in milliseconds since the Unix epoch.
const FIRST_BIRTH: u64 = 1_790_000_000_000;

/// A span of time in which something was done.
#[derive(Clone, Debug)]
pub struct Done {
    /// What.
    pub fault: Fault,
    /// When it began.
    pub from: Instant,
    /// When it was ended, if it was: not when it was planned to, if the soak lags behind its plan.
    pub ended: Option<Instant>,
}

impl Done {
    /// When it ended, or will.
    pub fn end(&self) -> Instant {
        self.ended.unwrap_or(self.from + self.fault.length())
    }
}

/// Stands in place of the software version of an endpoint that has ended.
const GONE: &str = "";

/// Events that have an endpoint say something of itself now.
#[derive(Clone, Copy, Default, Debug)]
struct Words {
    leaving: usize,
    pausing: usize,
}

/// Software versions of the endpoints.
#[derive(Clone, Debug)]
pub struct Builds {
    /// Whether endpoints have any.
    pub are_named: bool,
    /// Endpoints that were replaced so far.
    replaced: usize,
    /// When each endpoint came to its software version.
    pub spans: Vec<Vec<(Instant, &'static str)>>,
}

impl Builds {
    fn new(plan: &Plan) -> Self {
        let now = Instant::now();
        let first = |form: &Form| form.build.map(|build| (now, build));
        let spans = plan.forms.iter().map(|form| Vec::from_iter(first(form)));
        Self {
            are_named: plan.builds,
            replaced: 0,
            spans: spans.collect(),
        }
    }

    /// Whether an endpoint has ended, and none follows it yet.
    fn has_left(&self, endpoint: usize) -> bool {
        self.spans[endpoint]
            .last()
            .is_some_and(|(_, build)| *build == GONE)
    }
}

/// The daemons and what surrounds them.
#[derive(Debug)]
pub struct World {
    /// Daemons as callers see them.
    pub doors: Doors,
    /// Runs at endpoints.
    pub ledger: Ledger,
    /// What was done so far.
    pub done: Vec<Done>,
    /// Daemons that ended by themselves.
    pub ended: Vec<usize>,
    store: Store,
    endpoints: Vec<(Endpoint, Proxy)>,
    programs: Vec<Program>,
    daemons: Vec<Arc<Daemon>>,
    /// Between daemons and the store.
    proxies: Vec<Proxy>,
    /// Each daemon's paths to the endpoints, and the store as it sees it.
    paths: Vec<(Vec<Proxy>, View)>,
    restarts: Vec<JoinHandle<Result<()>>>,
    version: u64,
    /// When each endpoint started, if they tell.
    births: Vec<Option<u64>>,
    /// What each endpoint says of itself.
    words: Vec<Words>,
    /// When endpoints were found to have ended.
    crashed: Vec<Option<Instant>>,
    /// How each endpoint writes its answers.
    pub forms: Vec<Form>,
    /// Software versions of the endpoints.
    pub builds: Builds,
    /// How endpoints end that are sent a bad part of a prompt.
    pub part: Option<Crash>,
    /// Whether there are two data centres and slow starts.
    places: bool,
    /// Silences of each endpoint that go on.
    hushed: Vec<usize>,
    /// See [`Plan::pace`].
    pace: Option<Duration>,
    /// See [`Plan::slack`].
    slack: u32,
    /// See [`Plan::has_limits`].
    pub has_limits: bool,
    /// See [`Plan::leaves`].
    pub leaves: bool,
    /// See [`Plan::apart`].
    pub apart: Option<usize>,
    /// See [`Plan::restores`].
    pub has_restores: bool,
    /// When versions were confirmed, again after a restoration.
    pub confirmed: Vec<(Instant, u64)>,
    /// The version that was confirmed last.
    pub newest: Arc<AtomicU64>,
    /// When the store was restored.
    pub restored: Vec<Instant>,
    /// When endpoints left, where the store is restored.
    pub leavings: Vec<Leaving>,
    restores: Restores,
    /// Until when endpoints have to be spared.
    warming: Vec<Option<Instant>>,
    balancer: JoinHandle<()>,
    folder: TempDir,
}

impl Drop for World {
    fn drop(&mut self) {
        self.balancer.abort();
    }
}

impl World {
    /// Starts all and waits until each daemon knows all endpoints.
    pub async fn start(programs: Vec<Program>, seed: u64, plan: &Plan) -> Result<Self> {
        let mut world = Self::before_daemons(programs, seed, plan).await?;
        let mut doors = Vec::new();
        for number in 0..plan.daemons {
            doors.push(world.add(seed, number).await?);
        }
        world.doors = Arc::new(doors);
        for daemon in &world.daemons {
            let routed = daemon.routed.lock().await;
            routed.wait_for("configuration in force")?;
            routed.wait_for("endpoint listed")?;
        }
        world.have_own_addresses().await?;
        let daemons = world.daemons.iter();
        let ready = daemons.map(|daemon| daemon.setup.listen[1]).collect();
        world.balancer = tokio::spawn(balance(Arc::clone(&world.doors), ready));
        Ok(world)
    }

    /// Starts the store and the endpoints.
    async fn before_daemons(programs: Vec<Program>, seed: u64, plan: &Plan) -> Result<Self> {
        let store = Store::start().await?;
        let ledger = Ledger::default();
        let endpoints = start_endpoints(plan.endpoints, &ledger, seed).await?;
        let folder = TempDir::new()?;
        let mut world = Self {
            doors: Doors::default(),
            ledger,
            done: Vec::new(),
            ended: Vec::new(),
            store,
            endpoints,
            programs,
            daemons: Vec::new(),
            proxies: Vec::new(),
            paths: Vec::new(),
            restarts: Vec::new(),
            version: 1,
            births: vec![plan.births.then_some(FIRST_BIRTH); plan.endpoints],
            words: vec![Words::default(); plan.endpoints],
            crashed: vec![None; plan.endpoints],
            forms: plan.forms.clone(),
            builds: Builds::new(plan),
            part: plan.part,
            places: plan.places,
            hushed: vec![0; plan.endpoints],
            pace: plan.pace,
            slack: plan.slack,
            has_limits: plan.has_limits,
            leaves: plan.leaves,
            apart: plan.apart,
            has_restores: plan.restores,
            confirmed: Vec::new(),
            newest: Arc::default(),
            restored: Vec::new(),
            leavings: Vec::new(),
            restores: Restores::new(seed),
            warming: vec![None; plan.endpoints],
            balancer: tokio::spawn(async {}),
            folder,
        };
        world.configure();
        for endpoint in 0..plan.endpoints {
            world.behave(endpoint, Behaviour::default());
            world.list(endpoint, "ready");
        }
        Ok(world)
    }

    /// Waits until each daemon reaches the endpoints by its own paths: one that starts may have
    /// copied the list of another daemon, with the addresses of that one. Entries are written again
    /// until each daemon has read one from the store itself.
    async fn have_own_addresses(&self) -> Result<()> {
        let from = Instant::now();
        while !self.all_have_own_addresses().await {
            if from.elapsed() > LONGEST_STOP {
                return Err(SoakError::Late("addresses of each daemon's own".into()));
            }
            (0..self.endpoints.len()).for_each(|endpoint| self.list(endpoint, "ready"));
            tokio::time::sleep(RELIST).await;
        }
        Ok(())
    }

    async fn all_have_own_addresses(&self) -> bool {
        for (daemon, (paths, _)) in self.daemons.iter().zip(&self.paths) {
            let routed = daemon.routed.lock().await;
            let is_listed = |path: &Proxy| {
                let address = format!("\"address\":\"{}\"", path.address);
                !routed.lines_with(&address).is_empty()
            };
            if !paths.iter().all(is_listed) {
                return false;
            }
        }
        true
    }

    /// Waits until daemons that were ended run again.
    pub async fn settle(&mut self) -> Result<()> {
        for restart in self.restarts.drain(..) {
            restart.await??;
        }
        self.watch_ends().await
    }

    /// Requests that reached an endpoint since it last started.
    pub fn arrivals(&self, endpoint: usize) -> Vec<Arrival> {
        self.endpoints[endpoint].0.arrivals()
    }

    /// Endpoints.
    pub const fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// What an endpoint wrote in place of answers.
    pub fn flows(&self, endpoint: usize) -> Vec<Flowed> {
        self.endpoints[endpoint].0.flows()
    }

    /// Keeps the plan, the logs and the broken promises of a soak.
    pub async fn keep(&self, folder: &Path, seed: u64, violations: &[Violation]) -> Result<()> {
        let folder = folder.join(seed.to_string());
        std::fs::create_dir_all(&folder)?;
        let done: String = self.done.iter().map(|done| format!("{done:?}\n")).collect();
        let broken: String = violations
            .iter()
            .map(|broken| format!("{broken}\n"))
            .collect();
        std::fs::write(folder.join("broken.txt"), broken + &done)?;
        for (number, daemon) in self.daemons.iter().enumerate() {
            let mut lines = daemon.earlier.lock().await.clone();
            lines.extend(daemon.routed.lock().await.lines());
            std::fs::write(folder.join(format!("d-{number}.log")), lines.join("\n"))?;
        }
        Ok(())
    }
}

/// Starts endpoints, each behind a proxy.
async fn start_endpoints(
    count: usize,
    ledger: &Ledger,
    seed: u64,
) -> Result<Vec<(Endpoint, Proxy)>> {
    let mut endpoints = Vec::new();
    for number in 0..count {
        let id = format!("e-{number}");
        let endpoint = Endpoint::start(&id, ledger.clone(), seed + number as u64).await?;
        let proxy = Proxy::start(endpoint.address()).await?;
        endpoints.push((endpoint, proxy));
    }
    Ok(endpoints)
}

/// Asks each daemon whether it takes connections, as the balancer does.
async fn balance(doors: Doors, ready: Vec<SocketAddr>) {
    let mut misses = vec![0; ready.len()];
    let mut ticks = tokio::time::interval(BALANCER);
    loop {
        ticks.tick().await;
        for (number, address) in ready.iter().enumerate() {
            let address = *address;
            let asked = tokio::task::spawn_blocking(move || read(address, "/ready", BALANCER));
            let good = asked.await.is_ok_and(|answer| answer.is_ok());
            misses[number] = if good { 0 } else { misses[number] + 1 };
            doors[number]
                .open
                .store(misses[number] < 2, Ordering::Relaxed);
        }
    }
}
