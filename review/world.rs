//! A small deployment: the store with a configuration, replicas, and daemons.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::fleet::{Daemon, Ports};
use crate::record::Record;
use crate::replica::{Replica, Work};
use crate::store::Store;

/// Whether the rule held; an error if the case couldn't run.
pub type Outcome = Result<bool, String>;

/// The service of all routes.
pub const POOL: &str = "huvo11a";

/// Milliseconds.
pub const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The deployment of one case.
#[derive(Debug)]
pub struct World {
    /// What happened.
    pub record: Record,
    /// The platform's store.
    pub store: Store,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
}

impl World {
    /// A store with a configuration, and daemons that aren't started yet.
    pub fn new(daemons: usize, record: Record, folder: &Path) -> Result<Self, String> {
        let store = Store::default();
        store.put("config", "main", Some(configuration(7)));
        let text = |error: std::io::Error| error.to_string();
        let net = (std::process::id() % 200) as u8 + 20;
        let ip = |n: usize| IpAddr::from(Ipv4Addr::new(127, 77, net, n as u8 + 1));
        let ips: Vec<IpAddr> = (0..daemons).map(ip).collect();
        let ports = Ports::free(&ips).map_err(text)?;
        let mut world = Self {
            record,
            store,
            daemons: Vec::new(),
            folder: folder.to_owned(),
        };
        let platform = world.store.open().map_err(text)?;
        for number in 0..daemons {
            let daemon = Daemon::new(number, &ips, ports, platform, &world.folder, &world.record);
            world.daemons.push(daemon);
        }
        Ok(world)
    }

    /// Starts a replica on any port.
    pub fn replica(&self, id: &str, version: &str, work: Work) -> Replica {
        let replica =
            self.replica_unlisted(id, version, SocketAddr::from(([127, 0, 0, 1], 0)), work);
        replica.list();
        replica
    }

    /// Starts a replica at an address that isn't listed yet.
    pub fn replica_unlisted(&self, id: &str, version: &str, at: SocketAddr, work: Work) -> Replica {
        let started = Replica::start(id, version, POOL, at, work, &self.store, &self.record);
        started.expect("a replica")
    }

    /// Starts all daemons and waits until they are ready.
    pub fn start_all(&mut self, is_first: bool) -> Result<(), String> {
        for daemon in &mut self.daemons {
            daemon.start(is_first).map_err(|error| error.to_string())?;
        }
        self.wait_ready()
    }

    /// Waits until all daemons are ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        match self
            .daemons
            .iter()
            .all(|daemon| daemon.wait_ready(ms(10_000)))
        {
            true => Ok(()),
            false => Err("a daemon isn't ready".into()),
        }
    }
}

/// The configuration: one host with a route of each kind.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, resumes: bool, sticky: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":12000,\"target_latency_ms\":1200,\"priority\":1,\"service\":\"{POOL}\",\"attempts\":2,\
             \"auth_exempt\":false,\"sticky\":{sticky},\"can_resume\":{resumes},\"gap_target_ms\":600}}",
            crate::client::HOST
        )
    };
    let routes = [
        route("stream", "streaming", true, true),
        route("once", "unsafe", false, false),
        route("safe", "safe", false, false),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{POOL}\",\"health_path\":\"/health\",\
         \"max_connections\":370,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\
         \"hule930\",\"api_keys\":[\"{}\"],\"priority\":1}}]}}",
        routes.join(","),
        crate::client::KEY
    )
}
