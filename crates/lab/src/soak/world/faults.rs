//! The faults done to daemons, endpoints and the store, and their ends.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use medlarrill_platform_standin::{Behaviour, Endpoint, Notice, Outage, configuration};
use medlarrill_testkit::proxy::{Entry, Harm};
use nix::sys::signal::Signal;
use serde_json::Value;
use tokio::net::TcpListener;

use super::super::Result;
use super::super::check::PAUSE;
use super::super::plan::{Cut, Event, Fault, Odd};
use super::daemon::RESTART;
use super::{
    CRASHING, DOWN, DRAINS, Done, GONE, LOOK, NOTICED, POOL, SECOND, SLOW_START, SPARED, Words,
    World,
};

/// Limits of every second configuration where these change, in milliseconds.
const SHORT_IDLE: u64 = 700;
/// Target gap of the same, in milliseconds.
const SHORT_GAP: u64 = 150;

impl World {
    /// Does what an event says.
    pub async fn begin(&mut self, event: &Event) -> Result<()> {
        self.done.push(Done {
            fault: event.fault.clone(),
            from: Instant::now(),
            ended: None,
        });
        match &event.fault {
            Fault::Stop(daemon) => self.end(*daemon, Signal::SIGTERM, RESTART).await?,
            Fault::Kill(daemon) => self.end(*daemon, Signal::SIGKILL, RESTART).await?,
            Fault::PowerOff(daemon, away) => self.end(*daemon, Signal::SIGKILL, *away).await?,
            Fault::Freeze(daemon, _) => self.signal(*daemon, Signal::SIGSTOP).await,
            Fault::Reload(daemon) => self.signal(*daemon, Signal::SIGHUP).await,
            Fault::HarmStore(daemon, harm, _) => self.proxies[*daemon].harm(*harm),
            Fault::Store(outage, _) => self.store.fail(*outage),
            Fault::Restore(_, away, _) if !away.is_zero() => self.store.fail(Outage::Reset),
            Fault::Forget => self.store.forget(),
            Fault::Configure => {
                self.version += 1;
                self.configure();
            }
            Fault::DrainCentre(_) => {
                self.store.put(DRAINS, SECOND, serde_json::json!({}));
            }
            Fault::CutOff(daemon, cut, _) => self.cut(*daemon, Some(*cut)),
            Fault::Replace(endpoint, build) => self.replace(*endpoint, build).await?,
            Fault::End(endpoint) => self.remove(*endpoint),
            fault => self.begin_at_endpoint(fault),
        }
        self.watch_ends().await
    }

    fn begin_at_endpoint(&mut self, fault: &Fault) {
        match fault {
            Fault::HarmEndpoint(endpoint, harm, _) => self.endpoints[*endpoint].1.harm(*harm),
            Fault::Warm(endpoint, length) => {
                self.warming[*endpoint] = Some(Instant::now() + *length);
                self.list(*endpoint, "ready");
            }
            Fault::Hush(endpoint, _) => self.hush(*endpoint, 1),
            Fault::Behave(endpoint, behaviour, _) => self.behave(*endpoint, **behaviour),
            Fault::Drain(endpoint, _) => {
                self.list(*endpoint, "draining");
                if self.has_restores {
                    self.begin_leaving(*endpoint);
                }
            }
            Fault::Unlist(endpoint, _) => {
                let id = self.endpoints[*endpoint].0.id().to_owned();
                self.store.remove("servers", &id);
            }
            Fault::Restart(endpoint) => {
                let born = &mut self.births[*endpoint];
                *born = born.map(|born| born + 1000);
                self.list(*endpoint, "ready");
            }
            Fault::Foreign(endpoint, foreign, _) => {
                let entry = foreign.of(self.entry(*endpoint, "ready"));
                let id = self.endpoints[*endpoint].0.id();
                self.store.put("servers", id, entry);
            }
            Fault::Odd(endpoint, odd, _) => self.list_odd(*endpoint, *odd),
            Fault::Leave(endpoint, _) => {
                self.words[*endpoint].leaving += 1;
                self.say(*endpoint);
            }
            Fault::Pause(endpoint, _) => {
                self.words[*endpoint].pausing += 1;
                self.say(*endpoint);
                let behaviour = Behaviour {
                    full: 1.0,
                    ..Behaviour::default()
                };
                self.behave(*endpoint, behaviour);
            }
            _ => {}
        }
    }

    /// Ends what an event did.
    pub async fn end_of(&mut self, event: &Event) -> Result<()> {
        let mut done = self.done.iter_mut();
        let is_open = |done: &&mut Done| done.ended.is_none() && done.fault == event.fault;
        if let Some(done) = done.find(is_open) {
            done.ended = Some(Instant::now());
        }
        match &event.fault {
            Fault::Freeze(daemon, _) => self.signal(*daemon, Signal::SIGCONT).await,
            Fault::HarmStore(daemon, ..) => self.proxies[*daemon].harm(Harm::None),
            Fault::HarmEndpoint(endpoint, ..) => self.endpoints[*endpoint].1.harm(Harm::None),
            Fault::Store(..) => self.store.fail(Outage::None),
            Fault::Restore(age, _, watches) => self.restore(*age, *watches),
            Fault::Drain(endpoint, _) if self.has_restores => {
                self.end_leaving(*endpoint);
                self.list(*endpoint, "ready");
            }
            Fault::Hush(endpoint, _) => self.hush(*endpoint, -1),
            Fault::Behave(endpoint, ..) => self.behave(*endpoint, Behaviour::default()),
            Fault::Leave(endpoint, _) => self.start_in_place(*endpoint),
            Fault::Pause(endpoint, _) => {
                self.words[*endpoint].pausing -= 1;
                self.say(*endpoint);
                self.behave(*endpoint, Behaviour::default());
            }
            Fault::Drain(endpoint, _)
            | Fault::Unlist(endpoint, _)
            | Fault::Warm(endpoint, _)
            | Fault::Foreign(endpoint, ..)
            | Fault::Odd(Some(endpoint), ..) => {
                self.list(*endpoint, "ready");
            }
            Fault::Odd(None, odd, _) => {
                self.store.remove("servers", &odd.name());
            }
            Fault::CutOff(daemon, ..) => self.cut(*daemon, None),
            Fault::DrainCentre(_) => {
                self.store.remove(DRAINS, SECOND);
            }
            _ => {}
        }
        self.watch_ends().await
    }

    /// Cuts the paths of a daemon to all endpoints, or mends them.
    fn cut(&self, daemon: usize, cut: Option<Cut>) {
        let (harm, entry) = match cut {
            None => (Harm::None, Entry::Open),
            Some(Cut::Hang) => (Harm::Silence, Entry::Hang),
            Some(Cut::Reset) => (Harm::Reset, Entry::Refuse),
            Some(Cut::NewOnly) => (Harm::None, Entry::Refuse),
        };
        for path in &self.paths[daemon].0 {
            path.harm(harm);
            path.admit(entry);
        }
    }

    /// Begins or ends a silence of an endpoint, beside others.
    fn hush(&mut self, endpoint: usize, change: isize) {
        let hushed = &mut self.hushed[endpoint];
        *hushed = hushed.saturating_add_signed(change);
        self.endpoints[endpoint].0.pause(*hushed > 0);
    }

    pub(super) fn configure(&mut self) {
        let mut config = configuration(self.version, POOL);
        if self.has_restores {
            let own = format!("v{}", self.version);
            config["tenants"][0]["api_keys"] = serde_json::json!(["key", own]);
        }
        if self.places {
            config["services"][0]["cold_per_s"] = SPARED.into();
            config["services"][0]["cold_start_s"] = SLOW_START.into();
        }
        if self.has_limits && self.version.is_multiple_of(2) {
            config["limits"]["idle_timeout_ms"] = SHORT_IDLE.into();
            config["limits"]["header_timeout_ms"] = SHORT_IDLE.into();
            for route in config["routes"].as_array_mut().into_iter().flatten() {
                route["gap_target_ms"] = SHORT_GAP.into();
            }
        }
        self.store.put("config", "main", config);
        self.confirmed.push((Instant::now(), self.version));
        self.newest.store(self.version, Ordering::Relaxed);
    }

    pub(super) fn behave(&self, endpoint: usize, behaviour: Behaviour) {
        self.endpoints[endpoint].0.behave(Behaviour {
            crashes_on: Some(CRASHING),
            crash: self.part,
            form: self.forms[endpoint],
            pace: self.pace.unwrap_or(behaviour.pace),
            ..behaviour
        });
    }

    /// Has an endpoint say what it has to, in all its answers.
    fn say(&self, number: usize) {
        let Words { leaving, pausing } = self.words[number];
        self.endpoints[number].0.say(Notice {
            leaving: leaving > 0,
            retry_after: (pausing > 0).then_some(PAUSE.text),
            ..Notice::default()
        });
    }

    /// Has the process that said that it leaves be followed by another one under its id.
    fn start_in_place(&mut self, number: usize) {
        self.words[number].leaving -= 1;
        self.say(number);
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now = now.map_or(0, |now| now.as_millis() as u64);
        let born = &mut self.births[number];
        *born = born.map(|born| now.max(born + 1));
        self.list(number, "ready");
    }

    /// Notes endpoints that a request has ended, and starts them again after a while.
    pub async fn watch_crashes(&mut self, seed: u64) -> Result<()> {
        for number in 0..self.endpoints.len() {
            let has_left = self.builds.has_left(number);
            if has_left || !self.endpoints[number].0.has_crashed() {
                continue;
            }
            let now = Instant::now();
            match self.crashed[number] {
                None => {
                    self.crashed[number] = Some(now);
                    let fault = Fault::Crash(number);
                    let from = now - NOTICED;
                    let ended = None;
                    self.done.push(Done { fault, from, ended });
                }
                Some(at) if now.duration_since(at) >= DOWN => {
                    self.start_again(number, seed).await?;
                    self.crashed[number] = None;
                }
                Some(_) => {}
            }
        }
        Ok(())
    }

    /// Ends an endpoint and its entry.
    fn remove(&mut self, number: usize) {
        let (ended, _) = &self.endpoints[number];
        ended.end();
        if self.store.has("servers", ended.id()) {
            self.store.remove("servers", ended.id());
        }
        self.builds.spans[number].push((Instant::now(), GONE));
    }

    /// Ends an endpoint and its entry, and starts one of a software version at its address.
    async fn replace(&mut self, number: usize, build: &'static str) -> Result<()> {
        self.remove(number);
        self.builds.replaced += 1;
        let id = format!("e-{number}-{}", self.builds.replaced);
        let address = self.endpoints[number].0.address();
        let listener = bind_again(address).await?;
        let seed = self.builds.replaced as u64;
        let endpoint = Endpoint::on(listener, &id, self.ledger.clone(), seed).await?;
        self.endpoints[number].0 = endpoint;
        self.forms[number].build = Some(build);
        self.builds.spans[number].push((Instant::now(), build));
        self.behave(number, Behaviour::default());
        self.list(number, "ready");
        Ok(())
    }

    /// Starts an endpoint again under its id and at its address.
    async fn start_again(&mut self, number: usize, seed: u64) -> Result<()> {
        let (ended, _) = &self.endpoints[number];
        let (id, address) = (ended.id().to_owned(), ended.address());
        // One that fell silent still holds its address.
        ended.end();
        let listener = bind_again(address).await?;
        let endpoint = Endpoint::on(listener, &id, self.ledger.clone(), seed).await?;
        self.endpoints[number].0 = endpoint;
        self.say(number);
        self.behave(number, Behaviour::default());
        self.births[number] = self.births[number].map(|born| born + 1000);
        self.list(number, "ready");
        Ok(())
    }

    pub(super) fn list(&self, endpoint: usize, state: &str) {
        let entry = self.entry(endpoint, state);
        self.store
            .put("servers", self.endpoints[endpoint].0.id(), entry);
    }

    /// Has an odd entry stand in the place of an endpoint's, or beside them.
    fn list_odd(&self, endpoint: Option<usize>, odd: Odd) {
        let entry = odd.of(
            self.entry(endpoint.unwrap_or(0), "ready"),
            endpoint.is_none(),
        );
        let name = match endpoint {
            Some(endpoint) => self.endpoints[endpoint].0.id().to_owned(),
            None => odd.name(),
        };
        self.store.put("servers", &name, entry);
    }

    /// An endpoint's entry, with its proxy's address.
    fn entry(&self, number: usize, state: &str) -> Value {
        let (endpoint, proxy) = &self.endpoints[number];
        let mut entry = endpoint.entry(POOL, state);
        entry["address"] = proxy.address.to_string().into();
        if let Some(born) = self.births[number] {
            entry["born"] = born.into();
        }
        if self.places && number % 2 == 1 {
            entry["zone"] = SECOND.into();
        }
        if let Some(until) = self.warming[number] {
            let left = until.saturating_duration_since(Instant::now());
            entry["cold_remaining_ms"] = (left.as_millis() as u64).into();
        }
        entry
    }
}

/// Listens at an address whose last listener is about to close.
async fn bind_again(address: SocketAddr) -> Result<TcpListener> {
    let until = Instant::now() + DOWN;
    loop {
        match TcpListener::bind(address).await {
            Err(_) if Instant::now() < until => tokio::time::sleep(LOOK).await,
            bound => return Ok(bound?),
        }
    }
}
