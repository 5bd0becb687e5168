//! What a small fleet is made of, and its start.

use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::{Debug, Display, Error, From};
use medlarrill_core::clock::Millis;
use medlarrill_core::config::{
    Account, Config, Contract, DEFAULT_LOAD_BOUND, Endpoint, Fencing, Institution, KeyHash, Pool,
    PoolKind, RefusalMeaning, Rule,
};
use medlarrill_core::ids::{Generation, IdError};
use medlarrill_core::units::Rate;
use serde_json::json;

use super::caller::Caller;
use super::configuration::publish;
use super::daemon::{Daemon, DaemonError, Program};
use super::relay::Relay;
use crate::ANY_PORT;
use crate::engine::{self, Engine};
use crate::platform::{Kind, Platform, State, Vm};
use crate::service::Service;

/// The key of the operators of a test's fleet.
pub const OPERATOR_KEY: &str = "operator-secret";
/// The secret that a test's daemons share.
pub const FLEET_KEY: &str = "the secret of a test fleet";
const REGION: &str = "r1";
/// Time between two looks at a condition.
const LOOK: std::time::Duration = std::time::Duration::from_millis(20);

/// Result of starting a fleet.
pub type Result<T> = std::result::Result<T, FleetError>;

/// Why a fleet can't start.
#[derive(Debug, Display, Error, From)]
pub enum FleetError {
    /// A socket or file failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A daemon failed.
    #[display("{_0}")]
    Daemon(DaemonError),
    /// A name can't be used.
    #[display("{_0}")]
    Name(IdError),
}

/// What a fleet is made of.
#[derive(Clone)]
#[derive(Debug)]
pub struct Layout {
    /// Daemons.
    pub daemons: usize,
    /// Model engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// Data centres, over which all are spread.
    pub centres: usize,
    /// What every engine is.
    pub engine: engine::Settings,
    /// Requests that an engine runs at once, as configured.
    pub slots: u32,
    /// Largest load of an engine as a multiple of the mean.
    pub bound: f64,
    /// Requests that an account may have in flight.
    pub concurrency: u32,
    /// The `limits` of every daemon's settings.
    pub limits: serde_json::Value,
    /// Whether each daemon's links go through a relay.
    pub relayed: bool,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            daemons: 3,
            engines: 4,
            services: 2,
            centres: 2,
            engine: engine::Settings::default(),
            slots: 16,
            bound: DEFAULT_LOAD_BOUND,
            concurrency: 10_000,
            limits: json!({}),
            relayed: false,
        }
    }
}

impl Layout {
    /// Sets the number of daemons.
    #[must_use]
    pub const fn with_daemons(mut self, daemons: usize) -> Self {
        self.daemons = daemons;
        self
    }

    /// Sets the number of engines.
    #[must_use]
    pub const fn with_engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Sets the load bound.
    #[must_use]
    pub const fn with_bound(mut self, bound: f64) -> Self {
        self.bound = bound;
        self
    }

    /// Sets how many requests an account may have in flight.
    #[must_use]
    pub const fn with_concurrency(mut self, concurrency: u32) -> Self {
        self.concurrency = concurrency;
        self
    }

    /// Sets what every engine is.
    #[must_use]
    pub fn with_engine(mut self, engine: engine::Settings) -> Self {
        self.engine = engine;
        self
    }

    /// Sets the `limits` of every daemon's settings.
    #[must_use]
    pub fn with_limits(mut self, limits: serde_json::Value) -> Self {
        self.limits = limits;
        self
    }

    /// Puts a relay in front of each daemon's links.
    #[must_use]
    pub const fn with_relays(mut self) -> Self {
        self.relayed = true;
        self
    }

    fn centre(&self, at: usize) -> String {
        format!("dc{}", at % self.centres.max(1) + 1)
    }
}

/// A fleet that runs.
#[derive(Debug)]
pub struct Fleet {
    /// What it was made of.
    pub layout: Layout,
    /// The platform.
    #[debug(skip)]
    pub platform: Platform,
    /// Model engines, `e1` and on.
    #[debug(skip)]
    pub engines: Vec<Engine>,
    /// Plain services, `s1` and on.
    #[debug(skip)]
    pub services: Vec<Service>,
    /// Daemons, `d1` and on.
    pub daemons: Vec<Daemon>,
    /// Relays in front of them, if the layout asks for that.
    pub relays: Vec<Relay>,
    /// The configuration as it was stored.
    pub config: Config,
    program: Program,
    folder: PathBuf,
}

impl Fleet {
    /// Starts stand-ins and daemons; settings and logs go to `folder`.
    pub async fn start(program: Program, folder: PathBuf, layout: Layout) -> Result<Self> {
        let platform = Platform::start(ANY_PORT).await?;
        let mut engines = Vec::new();
        for _ in 0..layout.engines {
            engines.push(Engine::start(ANY_PORT, layout.engine.clone()).await?);
        }
        let mut services = Vec::new();
        for _ in 0..layout.services {
            services.push(Service::start(ANY_PORT).await?);
        }
        let mut fleet = Self {
            layout,
            platform,
            engines,
            services,
            daemons: Vec::new(),
            relays: Vec::new(),
            config: Config::default(),
            program,
            folder,
        };
        fleet.config = fleet.configuration()?;
        publish(&fleet.platform, &fleet.config);
        for at in 0..fleet.layout.daemons {
            fleet.add_daemon(at).await?;
        }
        Ok(fleet)
    }

    /// Starts one more daemon and lists its VM.
    pub async fn add_daemon(&mut self, at: usize) -> Result<()> {
        let daemon = self.start_daemon(at).await?;
        self.daemons.push(daemon);
        self.list_vms();
        Ok(())
    }

    /// Starts a daemon anew in the place of one that has ended.
    pub async fn restart_daemon(&mut self, at: usize) -> Result<()> {
        let daemon = self.start_daemon(at).await?;
        if let Some(place) = self.daemons.get_mut(at) {
            *place = daemon;
        }
        self.list_vms();
        Ok(())
    }

    /// Shows the platform's list the VMs of all daemons.
    pub fn list_vms(&self) {
        self.platform.set_vms(self.vms());
    }

    /// The VMs of all daemons.
    pub fn vms(&self) -> Vec<Vm> {
        let vm = |(at, daemon): (usize, &Daemon)| Vm {
            vm: daemon.started.daemon.clone(),
            kind: Kind::Router,
            data_centre: self.layout.centre(at),
            region: REGION.into(),
            address: self.peers_address(at, daemon).to_string(),
            state: State::Live,
        };
        self.daemons.iter().enumerate().map(vm).collect()
    }

    fn peers_address(&self, at: usize, daemon: &Daemon) -> SocketAddr {
        let relay = self.relays.get(at).map(|relay| relay.address);
        relay.unwrap_or(daemon.started.peers)
    }

    /// Waits until every daemon is ready, knows all others and has heard from its endpoints;
    /// false if that takes longer than `limit`.
    pub async fn wait_ready(&self, limit: Millis) -> bool {
        let all = async {
            for daemon in &self.daemons {
                while !self.is_settled(daemon.started.callers).await {
                    tokio::time::sleep(LOOK).await;
                }
            }
        };
        tokio::time::timeout(limit.as_duration(), all).await.is_ok()
    }

    async fn is_settled(&self, address: SocketAddr) -> bool {
        let daemons = self.daemons.len() as f64;
        is_ready(address).await
            && metric(address, "medlarrill_daemons").await == Some(daemons)
            && metric(address, "medlarrill_homes_on_probation").await == Some(0.0)
    }

    /// A caller of Padkos' leaders at one daemon.
    pub fn caller(&self, at: usize) -> Option<Caller> {
        let daemon = self.daemons.get(at)?;
        Some(Caller::new(daemon.started.callers, "padkos-leaders-key"))
    }

    /// A caller of Kelaniya's toolroom at one daemon.
    pub fn toolroom(&self, at: usize) -> Option<Caller> {
        let daemon = self.daemons.get(at)?;
        Some(Caller::new(daemon.started.callers, "kelaniya-toolroom-key"))
    }

    async fn start_daemon(&mut self, at: usize) -> Result<Daemon> {
        if self.layout.relayed && self.relays.len() <= at {
            self.relays.push(Relay::start().await?);
        }
        let relay = self.relays.get(at);
        let name = format!("d{}", at + 1);
        let path = self.folder.join(format!("{name}.json"));
        let mut settings = json!({
            "fleet": "test",
            "daemon": name,
            "data-centre": self.layout.centre(at),
            "region": REGION,
            "listen": {
                "callers": "127.0.0.1:0",
                "peers": "127.0.0.1:0",
            },
            "keys": {
                "fleet": FLEET_KEY,
                "operators": [KeyHash::of(OPERATOR_KEY.as_bytes())],
            },
            "platform": self.platform.address(),
            "limits": self.layout.limits,
            // The platform's list can't be read in an outage.
            "seeds": self.seeds(),
        });
        if let Some(relay) = relay {
            settings["listen"]["advertise"] = json!(relay.address);
        }
        std::fs::write(&path, settings.to_string())?;
        let daemon = Daemon::start(&self.program, &path).await?;
        if let Some(relay) = relay {
            relay.set_target(daemon.started.peers);
        }
        Ok(daemon)
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let daemons = self.daemons.iter().enumerate();
        daemons
            .map(|(at, daemon)| self.peers_address(at, daemon))
            .collect()
    }

    fn configuration(&self) -> Result<Config> {
        let mut config = Config {
            generation: Generation(1),
            ..Config::default()
        };
        let mut chat = Pool::new(PoolKind::Model);
        chat.model = Some("m1".parse()?);
        chat.slots = self.layout.slots;
        chat.load_bound = self.layout.bound;
        chat.refusal = RefusalMeaning::NotRun;
        config.pools.insert("chat".parse()?, chat);
        let mut desk = Pool::new(PoolKind::Service);
        desk.refusal = RefusalMeaning::NotRun;
        config.pools.insert("desk".parse()?, desk);
        let engines = self.engines.iter().map(Engine::address);
        self.add_endpoints(&mut config, "chat", "e", engines)?;
        let services = self.services.iter().map(Service::address);
        self.add_endpoints(&mut config, "desk", "s", services)?;
        for (name, account) in [("padkos", "leaders"), ("kelaniya", "toolroom")] {
            let institution = institution(name, account, self.layout.concurrency)?;
            config.institutions.insert(name.parse()?, institution);
        }
        Ok(config)
    }

    fn add_endpoints(
        &self,
        config: &mut Config,
        pool: &str,
        prefix: &str,
        addresses: impl Iterator<Item = SocketAddr>,
    ) -> Result<()> {
        for (at, address) in addresses.enumerate() {
            let endpoint = Endpoint {
                pool: pool.parse()?,
                address,
                data_centre: self.layout.centre(at).parse()?,
                vm: None,
                fencing: Fencing::Checked,
                drained: false,
            };
            let id = format!("{prefix}{}", at + 1).parse()?;
            config.endpoints.insert(id, endpoint);
        }
        Ok(())
    }
}

fn institution(name: &str, account: &str, concurrency: u32) -> Result<Institution> {
    let key = format!("{name}-{account}-key");
    let account_terms = Account {
        key: KeyHash::of(key.as_bytes()),
        rate: Rate(10_000.0),
        concurrency,
    };
    let rule = |route: &str, pool: &str, idempotent: bool| -> Result<Rule> {
        Ok(Rule {
            route: route.into(),
            model: None,
            pool: pool.parse()?,
            idempotent,
        })
    };
    Ok(Institution {
        contract: Contract::default(),
        accounts: [(account.parse()?, account_terms)].into(),
        rules: vec![
            rule("/v1/chat/completions", "chat", true)?,
            rule("/bookings", "desk", false)?,
            rule("/records", "desk", true)?,
        ],
    })
}

async fn is_ready(address: SocketAddr) -> bool {
    let request = crate::client::request(hyper::Method::GET, "/readyz");
    let answer = crate::client::send(address, request, "").await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

/// One value of a daemon's metrics, without labels.
pub async fn metric(address: SocketAddr, name: &str) -> Option<f64> {
    let request = crate::client::request(hyper::Method::GET, "/metrics");
    let answer = crate::client::send(address, request, "").await.ok()?;
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    let value = |line: &str| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok();
    text.lines().find_map(value)
}
