//! Starts the tasks of a daemon on the platform, and stops the daemon gracefully.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use derive_more::{Debug, Display, Error, From};
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::stop::{Stage, Stop};
use medlarrill_net::now::now;
use prometheus_client::metrics::gauge::Gauge;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::endpoints::{ConnectionPool, Paths, UnreadHeaders};
use crate::entry::{Crowd, serve_callers, serve_metrics, serve_ready};
use crate::links;
use crate::logs::{self, DropCount};
use crate::metrics::Metrics;
use crate::peers::{Roster, exchange};
use crate::placement::Placement;
use crate::settings::{Listen, Settings, SettingsError};
use crate::shared::Shared;
use crate::socket;
use crate::store::{self, ActiveConfig, ChangeApplier, Copies, StoreContext, UnreadableReporter};
use crate::streams::{self, Streams};

/// Interval between sweeps of idle connections and checks for a changed settings file.
const HOUSEKEEPING_INTERVAL: Millis = Millis::from_secs(1);
/// Interval between checks whether a stopping daemon has finished its requests.
const STOP_CHECK_INTERVAL: Millis = Millis(25);
/// Time for which a stopping daemon without requests still refuses new ones, since callers reuse
/// their connections.
const LINGER: Millis = Millis(1000);
/// Time for the log writer to write the last lines.
const LOG_FLUSH_DELAY: Millis = Millis(60);

/// Result of running a daemon.
pub type Result<T> = std::result::Result<T, StartError>;

/// Why a daemon can't start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The settings are invalid.
    #[display("{_0}")]
    Settings(SettingsError),
    /// A socket or signal handler failed.
    #[display("{_0}")]
    Io(std::io::Error),
}

/// Runs a daemon until a signal stops it. `path` is its settings file.
///
/// # Errors
///
/// When the settings are invalid, or a socket or signal handler fails.
pub fn run(path: &Path) -> Result<()> {
    let settings = Settings::read(path)?;
    let dropped = logs::start();
    #[cfg(feature = "ablation")]
    disable_mechanisms()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(path.to_owned(), settings, dropped))
}

/// Disables the mechanisms that the environment variable `MEDLARRILL_WITHOUT` names.
#[cfg(feature = "ablation")]
fn disable_mechanisms() -> Result<()> {
    let names = std::env::var("MEDLARRILL_WITHOUT").unwrap_or_default();
    log::warn!(target: "start", names; "start: ablation build, some mechanisms are disabled");
    let unknown = |name| std::io::Error::other(format!("no mechanism is called {name}"));
    medlarrill_core::routing::ablation::switch_off(&names).map_err(unknown)?;
    Ok(())
}

async fn serve(path: PathBuf, settings: Settings, dropped: DropCount) -> Result<()> {
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
    let mut ticks = tokio::time::interval(HOUSEKEEPING_INTERVAL.as_duration());
    let mut modified = modified_at(&path);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&path, &shared, "signal"),
            _ = ticks.tick() => {
                let latest = modified_at(&path);
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

/// The sockets of a daemon.
struct Sockets {
    callers: TcpListener,
    ready: TcpListener,
    scrapes: TcpListener,
    links: TcpListener,
    datagrams: UdpSocket,
}

impl Sockets {
    /// Opens them; returns them with the addresses that were bound.
    fn open(listen: &Listen) -> Result<(Self, Listen)> {
        let callers = socket::listen(listen.callers)?;
        let ready = socket::listen(listen.ready)?;
        let scrapes = socket::listen(listen.metrics)?;
        let links = socket::listen(listen.peers)?;
        let bound = Listen {
            callers: callers.local_addr()?,
            ready: ready.local_addr()?,
            metrics: scrapes.local_addr()?,
            peers: links.local_addr()?,
        };
        let datagrams = socket::bind_udp(bound.peers)?;
        let sockets = Self {
            callers,
            ready,
            scrapes,
            links,
            datagrams,
        };
        Ok((sockets, bound))
    }
}

fn start(settings: &Settings) -> Result<Arc<Shared>> {
    let (sockets, listen) = Sockets::open(&settings.listen)?;
    let placement = new_placement(settings);
    let metrics = Arc::new(Metrics::new());
    let (copies, config, is_informed) = new_copies(settings, listen.peers, &placement, &metrics);
    let settings = Settings {
        listen,
        ..settings.clone()
    };
    let (streams, stream_messages) = Streams::new(&placement, &copies, &metrics, &settings);
    let roster = Roster::new(listen.peers, settings.peer_seeds());
    let store = StoreContext {
        copies: Arc::clone(&copies),
        roster: roster.clone(),
        placement: Arc::clone(&placement),
        data_centre: settings.data_centre.clone(),
        metrics: Arc::clone(&metrics),
        first_start: settings.first_start,
    };
    let shared = Arc::new(Shared {
        config,
        is_informed,
        placement: Arc::clone(&placement),
        copies,
        streams,
        connections: ConnectionPool::new(Paths::new(Arc::clone(&placement), Arc::clone(&metrics))),
        unread_headers: UnreadHeaders::new(Arc::clone(&metrics)),
        crowd: Arc::new(Crowd::new(settings.files, Arc::clone(&metrics))),
        body_room: Mutex::default(),
        metrics,
        stop: Mutex::new(Stop::new(settings.grace)),
        closing: watch::Sender::new(false),
        settings,
    });
    spawn_tasks(&shared, store, roster, sockets, stream_messages);
    Ok(shared)
}

/// Starts the tasks that serve callers and other daemons, and follow the platform.
fn spawn_tasks(
    shared: &Arc<Shared>,
    store: StoreContext,
    roster: Roster,
    sockets: Sockets,
    stream_messages: mpsc::Receiver<streams::Outgoing>,
) {
    let own = || Arc::clone(shared);
    tokio::spawn(store::run(store.clone(), shared.settings.platform));
    tokio::spawn(links::serve(sockets.links, store, own()));
    tokio::spawn(Arc::clone(shared.connections.paths()).keep_probing());
    tokio::spawn(streams::keep(own(), roster.clone()));
    let datagrams = sockets.datagrams;
    tokio::spawn(exchange(datagrams, own(), roster, stream_messages));
    tokio::spawn(Arc::clone(&shared.crowd).watch());
    tokio::spawn(serve_callers(sockets.callers, own()));
    tokio::spawn(serve_ready(sockets.ready, own()));
    tokio::spawn(serve_metrics(sockets.scrapes, own()));
}

/// Creates the routing state, which knows no endpoints yet.
fn new_placement(settings: &Settings) -> Arc<Placement> {
    let near = settings.data_centre.clone();
    let placement = Placement::new(near, settings.retries.into(), rand::random(), now());
    if settings.seeds.is_empty() {
        placement.set_single();
    }
    if settings.first_start {
        placement.set_first_start();
    }
    Arc::new(placement)
}

/// Creates empty copies of the platform's objects; returns them with receivers of the active
/// configuration and of whether this daemon knows enough to take requests.
fn new_copies(
    settings: &Settings,
    me: SocketAddr,
    placement: &Arc<Placement>,
    metrics: &Arc<Metrics>,
) -> (
    Arc<Copies>,
    watch::Receiver<ActiveConfig>,
    watch::Receiver<bool>,
) {
    let (active_config, config) = watch::channel(None);
    let (informed, is_informed) = watch::channel(false);
    let applier = ChangeApplier {
        active_config,
        placement: Arc::clone(placement),
        me,
        metrics: Arc::clone(metrics),
        unreadable: UnreadableReporter::new(Arc::clone(metrics)),
        late: Mutex::default(),
    };
    let copies = Copies::new(applier, settings.drains, informed);
    (Arc::new(copies), config, is_informed)
}

fn modified_at(path: &Path) -> Option<std::time::SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}

/// Applies settings that may change while the daemon runs; others, such as addresses, need a
/// restart.
fn reload(path: &Path, shared: &Shared, cause: &'static str) {
    match Settings::read(path) {
        Ok(settings) => {
            shared.placement.configure_retries(settings.retries.into());
            log::info!(target: "start", cause; "start: settings read again");
        }
        Err(error) => {
            log::error!(target: "start", cause; "start: settings stay as they were: {error}");
        }
    }
}

fn housekeep(shared: &Shared, dropped: &DropCount) {
    let (placement, metrics) = (&shared.placement, &shared.metrics);
    shared.connections.sweep(|id| placement.is_listed(id));
    let lines = dropped.load(std::sync::atomic::Ordering::Relaxed);
    set_gauge(&metrics.quarantined, placement.quarantined_count());
    set_gauge(&metrics.suspects, placement.suspect_count());
    set_gauge(&metrics.slow_starts, placement.slow_start_count());
    set_gauge(&metrics.drains, placement.drained_count());
    set_gauge(&metrics.pauses, placement.paused_count(now()));
    set_gauge(&metrics.outs, placement.out_count(now()));
    set_gauge(&metrics.log_dropped, lines);
    set_gauge(&metrics.streams, shared.streams.len());
    metrics.set_builds(placement.build_counts(now()));
}

fn set_gauge(gauge: &Gauge, count: impl TryInto<i64>) {
    gauge.set(count.try_into().unwrap_or(i64::MAX));
}

/// Finishes requests in flight, and connections carried for other daemons. New requests are served for a while, then refused.
async fn stop(shared: &Shared) {
    let stop_time = now();
    shared.request_stop(stop_time);
    let in_flight = || shared.metrics.in_flight.get() + shared.metrics.helping.get();
    log::info!(target: "start", in_flight = in_flight(); "start: stopping");
    let mut quiet_since = None;
    loop {
        tokio::time::sleep(STOP_CHECK_INTERVAL.as_duration()).await;
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
        let since = *quiet_since.get_or_insert(now);
        if !is_quiet {
            quiet_since = None;
        } else if now.since(since) >= LINGER {
            break;
        }
    }
    log::info!(target: "start", in_flight = in_flight(), passed = now().since(stop_time).0; "start: stopped");
    tokio::time::sleep(LOG_FLUSH_DELAY.as_duration()).await;
}
