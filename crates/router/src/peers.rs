//! Exchanges reports on endpoints with other daemons over UDP, and keeps the roster of daemons.

mod unsent;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::exchange::{
    DataCentreHash, Exchange, Following, LARGE_FLEET, LinkClass, Message, Outgoing, TICK,
};
use medlarrill_core::routing::streams::message::Message as StreamMessage;
use medlarrill_net::now::now;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::peers::unsent::UnsentReporter;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::store::Copies;
use crate::streams::{self, OtherDaemons};

/// Size of the receive buffer, the maximum of a UDP datagram.
const MAX_DATAGRAM: usize = 64 << 10;

/// Silence after which updates by relay count as interrupted.
const RELAY_TIMEOUT: Millis = Millis(1200);

/// Interval between reviews, which expire old evidence and notices, and update slow starts. Each
/// also checks the health of all endpoints, but only for the log.
const REVIEW_INTERVAL: Millis = Millis(500);

/// This daemon's view of the other daemons and of their roles.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct RosterState {
    /// Address of this daemon.
    pub me: SocketAddr,
    /// The watchers, and the daemons from which this one copies the platform's objects.
    pub following: Following,
    /// Daemons named in the settings; they may be down.
    pub seeds: Vec<SocketAddr>,
    /// The hubs of this daemon, highest rank first.
    pub hubs: Vec<SocketAddr>,
    /// Live daemons that this one knows, including itself; empty unless this one is a hub.
    pub live_daemons: Arc<[SocketAddr]>,
    /// Whether another daemon's copy was received recently.
    pub is_relayed: bool,
    /// When another daemon's copy was last received.
    last_relay: Option<Millis>,
}

impl RosterState {
    /// Whether this daemon is a watcher.
    pub fn is_watcher(&self) -> bool {
        self.following.watchers.contains(&self.me)
    }

    /// Whether this daemon is a seed, which is assumed if the settings name no seeds.
    pub fn is_seed(&self) -> bool {
        self.seeds.is_empty() || self.seeds.contains(&self.me)
    }
}

/// Shared handle to the [`RosterState`].
#[derive(Clone)]
#[derive(Debug)]
pub struct Roster(Arc<Mutex<RosterState>>);

impl Roster {
    /// Creates the roster of a daemon that knows only the seeds from its settings.
    pub fn new(me: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self(Arc::new(Mutex::new(RosterState {
            me,
            following: Following::default(),
            hubs: Vec::new(),
            live_daemons: Arc::default(),
            seeds,
            is_relayed: false,
            last_relay: None,
        })))
    }

    /// Returns a copy of the current state.
    pub fn snapshot(&self) -> RosterState {
        let state = self.lock();
        let is_recent = state
            .last_relay
            .is_some_and(|at| now().since(at) < RELAY_TIMEOUT);
        RosterState {
            is_relayed: is_recent,
            ..state.clone()
        }
    }

    /// Records that a current copy of another daemon was received.
    pub fn record_relay(&self, at: Millis) {
        self.lock().last_relay = Some(at);
    }

    /// Updates the roles from the exchange.
    fn update(&self, exchange: &Exchange, copies: &Copies, at: Millis) {
        let mut state = self.lock();
        let is_stale = copies.is_outage(at);
        state.following = exchange.following(copies.is_cut_off(), is_stale, at);
        state.hubs = exchange.hubs(at);
        state.live_daemons = match state.following.is_hub {
            true => exchange.live_daemons(at).into(),
            false => Arc::default(),
        };
    }

    fn lock(&self) -> MutexGuard<'_, RosterState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The exchange of a daemon that starts.
fn new_exchange(settings: &Settings) -> Exchange {
    Exchange::new(settings.listen.peers, settings.peer_seeds())
        .with_link_class(LinkClass::of_link(settings.link))
        .with_data_centre(DataCentreHash::from(&settings.data_centre))
        .with_epoch(rand::random())
}

/// Sends and receives reports until the process ends.
pub async fn exchange(
    socket: UdpSocket,
    shared: Arc<Shared>,
    roster: Roster,
    mut stream_messages: mpsc::Receiver<streams::Outgoing>,
) {
    let mut exchange = new_exchange(&shared.settings);
    let unsent = UnsentReporter::new(Arc::clone(&shared.metrics));
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut live = 0;
    let mut known = 0;
    let mut due = now();
    let mut reviewed = now();
    loop {
        let wait = exchange.losses_due().unwrap_or(due).min(due).since(now());
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    receive(&mut exchange, &shared, from, &buffer[..length]);
                    send(&socket, encoded(exchange.replies(now())), &unsent).await;
                    if live == 1 && exchange.live_count(now()) > 1 {
                        live = update(&exchange, &shared, &roster, live);
                    }
                }
                // A datagram sent to a daemon that has ended causes such an error.
                Err(error) => log::debug!(target: "peers", "peers: nothing received: {error}"),
            },
            Some(first) = stream_messages.recv() => {
                let waiting = std::iter::from_fn(|| stream_messages.try_recv().ok());
                let messages = streams::join([first].into_iter().chain(waiting).collect());
                let messages = messages.into_iter().map(|(to, message)| (to, message.encode()));
                send(&socket, messages, &unsent).await;
            }
            () = shared.placement.has_untold() => {}
            () = tokio::time::sleep(wait.as_duration()) => {
                if now() >= due {
                    if now().since(reviewed) >= REVIEW_INTERVAL {
                        reviewed = now();
                        shared.placement.review(reviewed);
                        set_helpers(&exchange, &shared);
                    }
                    let messages = tick(&mut exchange, &shared);
                    send(&socket, encoded(messages), &unsent).await;
                    live = update(&exchange, &shared, &roster, live);
                    due = now() + TICK;
                }
            }
        }
        let news = loss_news(&mut exchange, &shared);
        send(&socket, encoded(news), &unsent).await;
        known = set_new_helpers(&exchange, &shared, known);
    }
}

/// Sets helpers at once where there are none, or another daemon was heard of; returns the number of
/// those that are known.
fn set_new_helpers(exchange: &Exchange, shared: &Shared, before: usize) -> usize {
    let known = exchange.known_count();
    // A large fleet's daemons hear of others all the time; the next review is soon enough.
    let has_new = known > before && before < LARGE_FLEET;
    if has_new || shared.connections.paths().has_no_helpers() {
        set_helpers(exchange, shared);
    }
    known
}

/// Sets the daemons that may be asked to connect to endpoints: those known to live, and those that
/// the platform lists.
fn set_helpers(exchange: &Exchange, shared: &Shared) {
    let me = shared.settings.listen.peers;
    let (mut near, mut far) = exchange.live_by_distance(now());
    let centre = &shared.settings.data_centre;
    shared.placement.add_listed(centre, &mut near, &mut far);
    for daemons in [&mut near, &mut far] {
        daemons.retain(|daemon| *daemon != me);
        daemons.sort_unstable();
        daemons.dedup();
    }
    set_stream_holders(exchange, shared, near.iter().chain(&far));
    shared.connections.paths().set_daemons(near, far);
}

/// Sets the daemons that are told of streams and asked for them. In a small fleet, where each one
/// hears of all others, those go before the ones that the platform lists for long after they ended.
fn set_stream_holders<'a>(
    exchange: &Exchange,
    shared: &Shared,
    others: impl Iterator<Item = &'a SocketAddr>,
) {
    let me = shared.settings.listen.peers;
    let keeper = exchange.hubs(now()).first().copied();
    let is_large = exchange.live_count(now()) >= LARGE_FLEET;
    let recent: BTreeSet<SocketAddr> = match is_large {
        true => BTreeSet::new(),
        false => exchange.recent_others(now()).collect(),
    };
    let unheard = others.filter(|other| !recent.contains(other)).copied();
    let unheard: Vec<SocketAddr> = unheard.collect();
    shared.streams.set_daemons(OtherDaemons {
        heard: recent,
        unheard,
        keeper: keeper.filter(|keeper| *keeper != me),
        is_large,
    });
}

/// Updates the roster; returns the number of live daemons.
fn update(exchange: &Exchange, shared: &Shared, roster: &Roster, live: usize) -> usize {
    let before = roster.snapshot();
    roster.update(exchange, &shared.copies, now());
    log_role(&before, &roster.snapshot(), exchange.live_count(now()));
    shared.placement.set_live(exchange.live_count(now()), now());
    log_live(exchange, live)
}

fn receive(exchange: &mut Exchange, shared: &Shared, from: SocketAddr, bytes: &[u8]) {
    let message = match Message::decode(bytes) {
        Ok(Some(message)) => message,
        Ok(None) => return receive_streams(shared, from, bytes),
        Err(error) => {
            log::warn!(target: "peers", from:%, cause:% = error; "peers: a datagram can't be read");
            return;
        }
    };
    let at = now();
    if let Some(reports) = exchange.receive(from, message, at) {
        shared
            .placement
            .update_peers(reports, exchange.live_count(at), at);
    }
    shared
        .placement
        .merge_evidence(&exchange.take_evidence(), at);
    for endpoint in shared.placement.merge_losses(&exchange.take_losses(), at) {
        shared.connections.end_idle(&endpoint);
    }
    if let Some(brittle) = exchange.take_brittle_pools(at) {
        shared.placement.merge_brittle_pools(&brittle, at);
    }
}

/// Messages that tell others at once what this daemon, or as a hub another one, saw of endpoints that
/// lose requests.
fn loss_news(exchange: &mut Exchange, shared: &Shared) -> Vec<Outgoing> {
    let now = now();
    for (endpoint, sign, at) in shared.placement.take_untold() {
        exchange.tell_loss(endpoint, sign, at, now);
    }
    exchange.loss_messages(now)
}

/// Handles a datagram that isn't one of the exchange.
fn receive_streams(shared: &Shared, from: SocketAddr, bytes: &[u8]) {
    match StreamMessage::decode(bytes) {
        Ok(Some(message)) => shared.streams.receive(from, message),
        // Only newer daemons know it.
        Ok(None) => {}
        Err(error) => {
            log::warn!(target: "peers", from:%, cause:% = error; "peers: a datagram can't be read");
        }
    }
}

/// Applies the reports that this daemon received as a hub; returns the messages that are due.
fn tick(exchange: &mut Exchange, shared: &Shared) -> Vec<Outgoing> {
    let at = now();
    if exchange.has_reports()
        && let Some(reports) = exchange.hub_update(at)
    {
        shared
            .placement
            .update_peers(reports, exchange.live_count(at), at);
    }
    exchange.set_evidence(shared.placement.evidence(at));
    let own = shared.placement.take_report(shared.copies.is_cut_off(), at);
    exchange.tick(own, at)
}

fn encoded(messages: Vec<Outgoing>) -> impl Iterator<Item = (SocketAddr, Bytes)> {
    let messages = messages.into_iter();
    messages.map(|(to, message)| (to, message.encode()))
}

async fn send(
    socket: &UdpSocket,
    datagrams: impl Iterator<Item = (SocketAddr, Bytes)>,
    unsent: &UnsentReporter,
) {
    for (to, datagram) in datagrams {
        if let Err(error) = socket.send_to(&datagram, to).await {
            unsent.report(to, datagram.len(), &error);
        }
    }
}

/// Logs that this daemon became or ceased to be a watcher.
fn log_role(before: &RosterState, after: &RosterState, live: usize) {
    let is_watcher = after.is_watcher();
    if before.is_watcher() != is_watcher {
        log::info!(target: "peers", is_watcher, live, watchers:? = after.following.watchers; "peers: follows the platform");
    }
}

/// Logs a change in the number of live daemons; returns the number.
fn log_live(exchange: &Exchange, before: usize) -> usize {
    let at = now();
    let live = exchange.live_count(at);
    if live != before {
        let hubs = exchange.hubs(at);
        log::info!(target: "peers", live, before, hubs:? = hubs; "peers: daemons that live");
    }
    live
}
