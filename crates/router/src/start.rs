//! Starts the tasks of a daemon on the platform, and stops them in order.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use derive_more::{Debug, Display, Error, From};
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::stop::{Stage, Stop};
use medlarrill_net::now::now;
use prometheus_client::metrics::gauge::Gauge;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::endpoints::{Connections, UnreadHeaders};
use crate::entry::{serve_callers, serve_metrics, serve_ready};
use crate::logs::{self, Dropped};
use crate::metrics::Metrics;
use crate::peers::{Roster, exchange};
use crate::placement::Placement;
use crate::settings::{Listen, Settings, SettingsError};
use crate::shared::Shared;
use crate::socket;
use crate::store::{self, Copies, InForce, Sinks, Store, Unreadable};

/// Between two looks at what is due: idle connections, a changed settings file.
const HOUSEKEEPING: Millis = Millis::from_secs(1);
/// Between two looks whether a stopping daemon has finished its requests.
const STOP_CHECK: Millis = Millis(25);
/// Time in which a stopping daemon without requests still refuses new ones, since callers keep
/// connections that they use again.
const LINGER: Millis = Millis(1000);
/// Time for the last log lines to be written.
const LAST_LINES: Millis = Millis(60);

/// Result of running a daemon.
pub type Result<T> = std::result::Result<T, StartError>;

/// Why a daemon can't start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// Settings can't be used.
    #[display("{_0}")]
    Settings(SettingsError),
    /// A socket or signal handler failed.
    #[display("{_0}")]
    Io(std::io::Error),
}

/// Runs a daemon until it is told to stop.
///
/// # Errors
///
/// When it can't start.
pub fn run(path: &Path) -> Result<()> {
    let settings = Settings::read(path)?;
    let dropped = logs::start();
    #[cfg(feature = "ablation")]
    switch_off()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(path.to_owned(), settings, dropped))
}

/// Switches off the mechanisms that the environment names.
#[cfg(feature = "ablation")]
fn switch_off() -> Result<()> {
    let names = std::env::var("MEDLARRILL_WITHOUT").unwrap_or_default();
    log::warn!(target: "start", names; "start: a lab build, without some mechanisms");
    let unknown = |name| std::io::Error::other(format!("no mechanism is called {name}"));
    medlarrill_core::routing::ablation::switch_off(&names).map_err(unknown)?;
    Ok(())
}

async fn serve(path: PathBuf, settings: Settings, dropped: Dropped) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let shared = start(&settings)?;
    let listen = shared.settings.listen;
    log::info!(
        target: "start", daemon = settings.daemon.as_str(), data_centre = settings.data_centre.as_str(),
        callers:% = listen.callers, ready:% = listen.ready, metrics:% = listen.metrics,
        peers:% = listen.peers, platform:% = settings.platform, passed = now().0;
        "start: listening"
    );
    let mut ticks = tokio::time::interval(HOUSEKEEPING.as_duration());
    let mut modified = modified(&path);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&path, &shared, "signal"),
            _ = ticks.tick() => {
                let latest = self::modified(&path);
                if latest != modified {
                    modified = latest;
                    reload(&path, &shared, "file");
                }
                housekeep(&shared, &dropped);
            }
        }
    }
    stop(&shared).await;
    Ok(())
}

fn start(settings: &Settings) -> Result<Arc<Shared>> {
    let callers = socket::listen(settings.listen.callers)?;
    let ready = socket::listen(settings.listen.ready)?;
    let scrapes = socket::listen(settings.listen.metrics)?;
    let relays = socket::listen(settings.listen.peers)?;
    let listen = Listen {
        callers: callers.local_addr()?,
        ready: ready.local_addr()?,
        metrics: scrapes.local_addr()?,
        peers: relays.local_addr()?,
    };
    let datagrams = socket::datagrams(listen.peers)?;
    let near = settings.data_centre.clone();
    let placement = Placement::new(near, settings.repeats.into(), rand::random(), now());
    if settings.seeds.is_empty() {
        placement.set_sole();
    }
    let placement = Arc::new(placement);
    let metrics = Arc::new(Metrics::new());
    let (copies, config, is_listed) = copies(settings, listen.peers, &placement, &metrics);
    let settings = Settings {
        listen,
        ..settings.clone()
    };
    let roster = Roster::new(listen.peers, settings.peer_seeds());
    let store = Store {
        copies: Arc::clone(&copies),
        roster: roster.clone(),
        placement: Arc::clone(&placement),
        data_centre: settings.data_centre.clone(),
        metrics: Arc::clone(&metrics),
        first_start: settings.first_start,
    };
    let shared = Arc::new(Shared {
        config,
        listed: is_listed,
        placement,
        copies,
        connections: Connections::default(),
        unread: UnreadHeaders::new(Arc::clone(&metrics)),
        metrics,
        stop: Mutex::new(Stop::new(settings.grace)),
        closing: watch::Sender::new(false),
        settings,
    });
    tokio::spawn(store::run(store, shared.settings.platform, relays));
    tokio::spawn(exchange(datagrams, Arc::clone(&shared), roster));
    tokio::spawn(serve_callers(callers, Arc::clone(&shared)));
    tokio::spawn(serve_ready(ready, Arc::clone(&shared)));
    tokio::spawn(serve_metrics(scrapes, Arc::clone(&shared)));
    Ok(shared)
}

/// Empty copies of the platform's objects, the configuration that they put in force, and whether
/// the endpoints were listed.
fn copies(
    settings: &Settings,
    me: SocketAddr,
    placement: &Arc<Placement>,
    metrics: &Arc<Metrics>,
) -> (Arc<Copies>, watch::Receiver<InForce>, watch::Receiver<bool>) {
    let (in_force, config) = watch::channel(None);
    let (listed, is_listed) = watch::channel(false);
    let sinks = Sinks {
        in_force,
        placement: Arc::clone(placement),
        me,
        metrics: Arc::clone(metrics),
        unreadable: Unreadable::new(Arc::clone(metrics)),
    };
    let copies = Copies::new(sinks, settings.drains, listed);
    (Arc::new(copies), config, is_listed)
}

fn modified(path: &Path) -> Option<std::time::SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}

/// Takes over what may change while the daemon runs; addresses take effect at the next start.
fn reload(path: &Path, shared: &Shared, cause: &'static str) {
    match Settings::read(path) {
        Ok(settings) => {
            shared.placement.configure(settings.repeats.into());
            log::info!(target: "start", cause; "start: settings read again");
        }
        Err(error) => {
            log::error!(target: "start", cause; "start: settings stay as they were: {error}");
        }
    }
}

fn housekeep(shared: &Shared, dropped: &Dropped) {
    shared.connections.sweep();
    let (placement, metrics) = (&shared.placement, &shared.metrics);
    let lines = dropped.load(std::sync::atomic::Ordering::Relaxed);
    set(&metrics.quarantined, placement.quarantined());
    set(&metrics.spared, placement.spared());
    set(&metrics.drains, placement.drains());
    set(&metrics.pauses, placement.pauses(now()));
    set(&metrics.dropped, lines);
}

fn set(gauge: &Gauge, count: impl TryInto<i64>) {
    gauge.set(count.try_into().unwrap_or(i64::MAX));
}

/// Finishes what was taken. New requests are served for a while, then refused.
async fn stop(shared: &Shared) {
    let asked = now();
    shared.ask_stop(asked);
    let in_flight = || shared.metrics.in_flight.get();
    log::info!(target: "start", in_flight = in_flight(); "start: stopping");
    let mut quiet = None;
    loop {
        tokio::time::sleep(STOP_CHECK.as_duration()).await;
        let now = now();
        let stage = shared.stage(now);
        if stage == Stage::Ended {
            break;
        }
        if stage >= Stage::Closing {
            shared
                .closing
                .send_if_modified(|closing| !std::mem::replace(closing, true));
        }
        let is_quiet = stage == Stage::Draining && in_flight() == 0;
        let since = *quiet.get_or_insert(now);
        if !is_quiet {
            quiet = None;
        } else if now.since(since) >= LINGER {
            break;
        }
    }
    log::info!(target: "start", in_flight = in_flight(), passed = now().since(asked).0; "start: stopped");
    tokio::time::sleep(LAST_LINES.as_duration()).await;
}
