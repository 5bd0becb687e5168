//! Daemons that end and are started again.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use derive_more::Debug;
use medlarrill_testkit::fleet::Program;
use medlarrill_testkit::proxy::Proxy;
use medlarrill_testkit::routed::{Routed, Setup};
use nix::sys::signal::Signal;
use tokio::sync::Mutex;

use super::super::plan::Odd;
use super::super::traffic::Door;
use super::super::{Result, SoakError};
use super::{LONGEST_STOP, LOOK, World};

/// Most daemons of a soak.
const MOST_DAEMONS: usize = 6;
/// Number of the first VM that no daemon has.
const NOBODY: usize = 200;
/// Usual pause between the end of a daemon and its next start.
pub(super) const RESTART: Duration = Duration::from_millis(200);

/// A daemon over its restarts.
#[derive(Debug)]
pub(super) struct Daemon {
    pub(super) setup: Setup,
    pub(super) routed: Mutex<Routed>,
    /// Whether it was told to end and isn't up again.
    pub(super) ending: AtomicBool,
    /// Log lines of processes that ended.
    pub(super) earlier: Mutex<Vec<String>>,
    /// When it was started again.
    pub(super) starts: std::sync::Mutex<Vec<Instant>>,
}

impl World {
    /// Starts a daemon, with proxies on its paths.
    pub(super) async fn add(&mut self, seed: u64, number: usize) -> Result<Door> {
        let mut paths = Vec::new();
        let mut seen = Vec::new();
        for (_, endpoint) in &self.endpoints {
            let path = Proxy::start(endpoint.address).await?;
            seen.push((endpoint.address.to_string(), path.address.to_string()));
            paths.push(path);
        }
        seen.extend(Odd::texts());
        let others = (0..MOST_DAEMONS).filter(|other| !self.hear(number, *other));
        seen.extend(others.map(|other| hidden(seed, other)));
        let view = self.store.view_with(seen).await?;
        let proxy = Proxy::start(view.address()).await?;
        self.paths.push((paths, view));
        // Each daemon has a VM of its own: an address of the loopback network.
        let ip = vm(seed, number);
        let peers = |daemon: &Arc<Daemon>| daemon.setup.listen[3];
        let port = self.daemons.first().map_or(0, |first| peers(first).port());
        let mut setup = Setup::new(&format!("d-{number}"), proxy.address);
        // Listeners on any port have an address of their own, so that none takes the shared port.
        let any = vm(seed, 100 + number);
        let [callers, ready, metrics] = [any; 3].map(|ip| SocketAddr::new(ip, 0));
        setup.listen = [callers, ready, metrics, SocketAddr::new(ip, port)];
        setup.slack = self.slack;
        // Only with a known past do daemons conclude from what nobody has seen.
        setup.first_start = self.leaves;
        let others = self.daemons.iter().enumerate();
        let others = others.filter(|(other, _)| self.hear(number, *other));
        setup.seeds = others.map(|(_, daemon)| peers(daemon)).take(2).collect();
        let routed = Routed::start(self.program(number), self.folder.path(), &setup)?;
        setup.listen = routed.listen;
        let door = Door {
            callers: routed.callers(),
            open: AtomicBool::new(true),
        };
        self.daemons.push(Arc::new(Daemon {
            setup,
            routed: Mutex::new(routed),
            ending: AtomicBool::new(false),
            earlier: Mutex::default(),
            starts: std::sync::Mutex::default(),
        }));
        self.proxies.push(proxy);
        // Its stand-ins run before anything blocks this thread again.
        tokio::task::yield_now().await;
        Ok(door)
    }

    /// Whether two daemons hear of each other.
    fn hear(&self, one: usize, other: usize) -> bool {
        one == other
            || self
                .apart
                .is_none_or(|apart| one != apart && other != apart)
    }

    /// The program that a daemon runs: they take turns.
    fn program(&self, daemon: usize) -> &Program {
        &self.programs[daemon % self.programs.len()]
    }

    /// Signals a daemon; one that is about to be started again may have gone.
    pub(super) async fn signal(&self, daemon: usize, signal: Signal) {
        self.daemons[daemon].routed.lock().await.signal(signal).ok();
    }

    /// Has a daemon ended by a signal, and started again a while after it has.
    pub(super) async fn end(
        &mut self,
        daemon: usize,
        signal: Signal,
        away: Duration,
    ) -> Result<()> {
        self.signal(daemon, signal).await;
        let ending = Arc::clone(&self.daemons[daemon]);
        if ending.ending.swap(true, Ordering::Relaxed) {
            return Ok(());
        }
        let program = self.program(daemon).clone();
        let folder = self.folder.path().to_owned();
        let restart = tokio::spawn(async move { ending.restart(&program, &folder, away).await });
        self.restarts.push(restart);
        Ok(())
    }

    /// Notes daemons that ended although nobody told them to, and starts them again.
    pub(super) async fn watch_ends(&mut self) -> Result<()> {
        for number in 0..self.daemons.len() {
            let daemon = &self.daemons[number];
            let is_ending = daemon.ending.load(Ordering::Relaxed);
            if !is_ending && daemon.routed.lock().await.has_ended()? {
                self.ended.push(number);
                self.end(number, Signal::SIGKILL, RESTART).await?;
            }
        }
        Ok(())
    }

    /// Whether a daemon was started again in a time.
    pub fn has_started(&self, daemon: usize, from: Instant, to: Instant) -> bool {
        let starts = self.daemons[daemon].starts();
        starts.iter().any(|at| (from..=to).contains(at))
    }
}

impl Daemon {
    fn starts(&self) -> std::sync::MutexGuard<'_, Vec<Instant>> {
        self.starts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the process has ended, and starts it again with the same addresses.
    async fn restart(&self, program: &Program, folder: &Path, away: Duration) -> Result<()> {
        let from = Instant::now();
        while !self.routed.lock().await.has_ended()? {
            if from.elapsed() > LONGEST_STOP {
                return Err(SoakError::Late(self.setup.name.clone()));
            }
            tokio::time::sleep(LOOK).await;
        }
        let mut routed = self.routed.lock().await;
        self.earlier.lock().await.extend(routed.lines());
        tokio::time::sleep(away).await;
        self.starts().push(Instant::now());
        *routed = Routed::start(program, folder, &self.setup)?;
        self.ending.store(false, Ordering::Relaxed);
        Ok(())
    }
}

/// Address of a VM.
fn vm(seed: u64, number: usize) -> IpAddr {
    let [.., high, low] = seed.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 10 + high % 200, low, 1 + number as u8))
}

/// The start of a daemon's address in texts, and the same of a VM without a daemon in its place.
fn hidden(seed: u64, number: usize) -> (String, String) {
    let [host, nobody] = [number, NOBODY + number].map(|number| vm(seed, number));
    (format!("\"{host}:"), format!("\"{nobody}:"))
}
