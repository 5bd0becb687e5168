//! Starts the daemon's tasks and stops them in order.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use derive_more::{Debug, Display, Error, From};
use medlarrill_core::ids::{DaemonId, Incarnation};
use medlarrill_core::membership::{Member, Membership};
use medlarrill_core::units::Rate;
use medlarrill_net::link::{Event, FleetKey, Handler, Identity, Links, PeerId};
use medlarrill_net::now::{now, wall};
use medlarrill_net::{endpoint, platform};
use rand_pcg::Pcg32;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::args::{Args, Command, LogFormat};
use crate::claims;
use crate::configuration::{self, ConfigView};
use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::entry::server::{self, ServerError, Serving};
use crate::entry::{AttemptTable, RequestStates, StateQueue, StrayFrames, StrayQueue, Tracker};
use crate::fleet::{self, FleetView, Outputs, follow_vms};
use crate::home;
use crate::limits;
use crate::metrics::{ControlSources, Metrics};
use crate::operators::StateQueries;
use crate::peers::Peers;
use crate::settings::{Settings, SettingsError};

/// Result of running the daemon.
pub type Result<T> = std::result::Result<T, StartError>;

/// Budget of platform calls for claims: four batches a second for each of eight shards,
/// and takeovers, which read up to 64 objects of each shard that a stopped daemon owned.
const CLAIMS_BUDGET: platform::Budget = platform::Budget {
    rate: Rate(64.0),
    burst: 512,
};
/// Exit code for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Why the daemon failed to start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The settings are invalid.
    #[display("{_0}")]
    Settings(SettingsError),
    /// A socket or signal handler failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The callers' server failed to start.
    #[display("{_0}")]
    Server(ServerError),
    /// The router failed to start.
    #[display("{_0}")]
    Router(medlarrill_router::start::StartError),
}

/// Identity and listen addresses of a daemon, printed as one line of JSON once it listens.
#[derive(Debug, Serialize)]
pub struct Started {
    daemon: DaemonId,
    incarnation: Incarnation,
    callers: SocketAddr,
    peers: SocketAddr,
}

/// Parses the command line and runs its command.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let args = Args::parse_from(args);
    let result = match args.command {
        Command::Run {
            settings,
            log_format,
        } => Settings::read(&settings)
            .map_err(StartError::from)
            .and_then(|settings| run(settings, log_format)),
        Command::Route { settings } => {
            medlarrill_router::start::run(&settings).map_err(StartError::from)
        }
        Command::Check { settings } => Settings::read(&settings)
            .map(|_| println!("{}: no findings", settings.display()))
            .map_err(StartError::from),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(StartError::Settings(error)) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
        Err(error) => {
            eprintln!("medlarrilld: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a daemon until it receives SIGTERM or SIGINT.
///
/// # Errors
///
/// When it fails to start.
pub fn run(settings: Settings, format: LogFormat) -> Result<()> {
    crate::logs::start(format);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    crate::stop::stop(running).await;
    Ok(())
}

/// A running daemon.
pub struct Running {
    /// State shared by its tasks.
    pub context: Arc<Context>,
    /// Its callers' server.
    pub server: Option<Serving>,
    /// Set to true to stop the daemon.
    pub stopping: watch::Sender<bool>,
    /// Number of peers that acknowledged its departure.
    pub leave_acks: watch::Receiver<usize>,
}

async fn start(settings: Settings) -> Result<Running> {
    let me = PeerId {
        daemon: settings.daemon.clone(),
        incarnation: Incarnation(rand::random()),
    };
    let listener = TcpListener::bind(settings.listen.peers).await?;
    let bound = server::bind(settings.listen.callers, &settings.limits)?;
    let own = listener.local_addr()?;
    let address = settings.listen.reachable(own);
    print_started(&me, bound.address, own);
    let (channels, ends) = channels();
    let context = connect(settings, me, listener, channels)?;
    let mut running = spawn(&context, address, ends);
    running.server = Some(server::serve(bound, &context));
    Ok(running)
}

/// Senders and views, shared by all tasks.
struct Channels {
    view: watch::Receiver<Arc<FleetView>>,
    config: watch::Receiver<Arc<ConfigView>>,
    stopping: watch::Receiver<bool>,
    home: home::Handle,
    claims: claims::Handle,
    limits: limits::Handle,
    fleet: fleet::Handle,
    configuration: configuration::Handle,
    strays: StrayFrames,
    states: RequestStates,
}

/// Receivers and publishers, each owned by one task.
struct TaskEnds {
    view: watch::Sender<Arc<FleetView>>,
    config: watch::Sender<Arc<ConfigView>>,
    stopping: watch::Sender<bool>,
    home: mpsc::UnboundedReceiver<home::Message>,
    claims: mpsc::UnboundedReceiver<claims::Message>,
    limits: mpsc::UnboundedReceiver<limits::Message>,
    fleet: mpsc::UnboundedReceiver<fleet::Message>,
    configuration: mpsc::UnboundedReceiver<configuration::Message>,
    strays: StrayQueue,
    states: StateQueue,
}

fn channels() -> (Channels, TaskEnds) {
    let (view_sender, view) = watch::channel(Arc::default());
    let (config_sender, config) = watch::channel(Arc::default());
    let (stopping_sender, stopping) = watch::channel(false);
    let (home, home_receiver) = home::Handle::new();
    let (claims, claims_receiver) = claims::Handle::new();
    let (limits, limits_receiver) = limits::Handle::new();
    let (fleet, fleet_receiver) = fleet::Handle::new();
    let (configuration, configuration_receiver) = configuration::Handle::new();
    let (strays, stray_queue) = StrayFrames::new();
    let (states, state_queue) = RequestStates::new();
    let channels = Channels {
        view,
        config,
        stopping,
        home,
        claims,
        limits,
        fleet,
        configuration,
        strays,
        states,
    };
    let ends = TaskEnds {
        view: view_sender,
        config: config_sender,
        stopping: stopping_sender,
        home: home_receiver,
        claims: claims_receiver,
        limits: limits_receiver,
        fleet: fleet_receiver,
        configuration: configuration_receiver,
        strays: stray_queue,
        states: state_queue,
    };
    (channels, ends)
}

/// Starts the links and creates the context that all tasks share.
fn connect(
    settings: Settings,
    me: PeerId,
    listener: TcpListener,
    channels: Channels,
) -> Result<Arc<Context>> {
    let address = settings.listen.reachable(listener.local_addr()?);
    let identity = identity(&settings, &me, address);
    let metrics = Arc::new(Metrics::new());
    let attempts = AttemptTable::new(metrics.buffered.clone());
    let state_queries = StateQueries::default();
    let dispatcher = Dispatcher {
        state_queries: state_queries.clone(),
        attempts: attempts.clone(),
        strays: channels.strays.clone(),
        states: channels.states.clone(),
        home: channels.home.clone(),
        claims: channels.claims.clone(),
        limits: channels.limits.clone(),
        fleet: channels.fleet.clone(),
        configuration: channels.configuration.clone(),
        metrics: Arc::clone(&metrics),
    };
    let handler: Handler = Arc::new(move |event: Event| dispatcher.handle_event(event));
    let links = Links::start(listener, identity, Arc::clone(&handler));
    let peers = Peers::new(me.clone(), handler, links, channels.view.clone());
    let platform = platform::Client::new(platform_settings(&settings));
    metrics.set_control_sources(ControlSources {
        links: peers.links().clone(),
        platform: platform.clone(),
        config: channels.config.clone(),
    });
    Ok(Arc::new(Context {
        me,
        metrics,
        config: channels.config,
        fleet: channels.view,
        peers,
        attempts,
        tracker: Tracker::default(),
        state_queries,
        states: channels.states,
        stopping: channels.stopping,
        home: channels.home,
        claims: channels.claims,
        limits: channels.limits,
        fleet_task: channels.fleet,
        configuration: channels.configuration,
        platform,
        endpoints: endpoint::Client::new(&endpoint::Limits::default()),
        settings,
    }))
}

fn spawn(context: &Arc<Context>, address: SocketAddr, ends: TaskEnds) -> Running {
    let (leave_acks_sender, leave_acks) = watch::channel(0);
    let (generation, generations) = mpsc::unbounded_channel();
    let outputs = Outputs {
        view: ends.view,
        home: context.home.clone(),
        generation,
        leave_acks: leave_acks_sender,
    };
    let links = context.peers.links().clone();
    let members = fleet::Task::new(membership(context, address), links, outputs);
    tokio::spawn(members.run(ends.fleet));
    let fleet = context.fleet_task.clone();
    tokio::spawn(follow_vms(context.platform.clone(), fleet, address));
    let configuration = configuration::Task::new(Arc::clone(context), ends.config);
    tokio::spawn(configuration.run(ends.configuration, generations));
    let rng = Pcg32::new(rand::random(), rand::random());
    let home = home::Task::new(Arc::clone(context), rng);
    tokio::spawn(home.run(ends.home));
    tokio::spawn(ends.strays.run(Arc::clone(context)));
    tokio::spawn(claims::Task::new(Arc::clone(context)).run(ends.claims));
    tokio::spawn(ends.states.run(Arc::clone(context)));
    let rng = Pcg32::new(rand::random(), rand::random());
    tokio::spawn(limits::Task::new(Arc::clone(context), rng).run(ends.limits));
    Running {
        context: Arc::clone(context),
        server: None,
        stopping: ends.stopping,
        leave_acks,
    }
}

fn print_started(me: &PeerId, callers: SocketAddr, peers: SocketAddr) {
    let started = Started {
        daemon: me.daemon.clone(),
        incarnation: me.incarnation,
        callers,
        peers,
    };
    println!("{}", serde_json::to_string(&started).unwrap_or_default());
}

fn identity(settings: &Settings, me: &PeerId, address: SocketAddr) -> Identity {
    Identity {
        fleet: settings.fleet.clone(),
        key: FleetKey::of(settings.keys.fleet.as_bytes()),
        me: me.clone(),
        address,
    }
}

fn platform_settings(settings: &Settings) -> platform::Settings {
    let platform = platform::Settings::new(settings.platform, rand::random())
        .with_budget(platform::Role::Claims, CLAIMS_BUDGET);
    match settings.daemon.as_str().parse() {
        Ok(vm) => platform.with_vm(vm),
        Err(_) => platform,
    }
}

fn membership(context: &Context, address: SocketAddr) -> Membership {
    let settings = &context.settings;
    let epoch = u32::try_from(wall().0 / 1000).unwrap_or(u32::MAX);
    let own = Member::new(
        context.me.daemon.clone(),
        context.me.incarnation,
        address,
        settings.data_centre.clone(),
        settings.region.clone(),
    );
    let own = own.with_epoch(epoch);
    Membership::new(own, settings.seeds.clone(), rand::random(), now())
}
