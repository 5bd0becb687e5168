//! Tells other daemons what this one sees of endpoints, and hears what they see.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::exchange::{
    DataCentreHash, Exchange, Following, LinkClass, Message, Outgoing, TICK,
};
use medlarrill_net::now::now;
use tokio::net::UdpSocket;

use crate::shared::Shared;

/// Largest datagram.
const DATAGRAM: usize = 64 << 10;

/// Silence after which no relay counts as heard.
const RELAY_SILENT: Millis = Millis(1200);

/// Between two looks at which endpoints are judged anew. They walk all endpoints, for the log
/// alone.
const REVIEW: Millis = Millis(500);

/// Who follows the platform.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Watch {
    /// This daemon.
    pub me: SocketAddr,
    /// From whom it learns what the platform says.
    pub following: Following,
    /// Daemons that may live, from the settings.
    pub seeds: Vec<SocketAddr>,
    /// The hubs of this daemon, first in rank first.
    pub hubs: Vec<SocketAddr>,
    /// Daemons that live, as far as this one knows them, itself among them.
    pub known: Arc<[SocketAddr]>,
    /// Whether another daemon's copy is being followed.
    pub is_relayed: bool,
    /// When another daemon's copy was last heard of.
    heard: Option<Millis>,
}

impl Watch {
    /// Whether this daemon follows the platform itself.
    pub fn is_watcher(&self) -> bool {
        self.following.watchers.contains(&self.me)
    }

    /// Whether other daemons' settings may name this one; so it is where none are named.
    pub fn is_seed(&self) -> bool {
        self.seeds.is_empty() || self.seeds.contains(&self.me)
    }
}

/// Who follows the platform, as seen here.
#[derive(Clone)]
#[derive(Debug)]
pub struct Roster(Arc<Mutex<Watch>>);

impl Roster {
    /// A daemon that knows of no other but those that its settings name.
    pub fn new(me: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self(Arc::new(Mutex::new(Watch {
            me,
            following: Following::default(),
            hubs: Vec::new(),
            known: Arc::default(),
            seeds,
            is_relayed: false,
            heard: None,
        })))
    }

    /// What is seen now.
    pub fn borrow(&self) -> Watch {
        let watch = self.lock();
        let heard = watch.heard.is_some_and(|at| now().since(at) < RELAY_SILENT);
        Watch {
            is_relayed: heard,
            ..watch.clone()
        }
    }

    /// Notes that another daemon's copy was heard of.
    pub fn heard_relay(&self, at: Millis) {
        self.lock().heard = Some(at);
    }

    /// Notes who follows the platform, as the exchange sees it.
    fn renew(&self, exchange: &Exchange, cut_off: bool, at: Millis) {
        let mut watch = self.lock();
        watch.following = exchange.following(cut_off, at);
        watch.hubs = exchange.hubs(at);
        watch.known = match watch.following.is_hub {
            true => exchange.live_daemons(at).into(),
            false => Arc::default(),
        };
    }

    fn lock(&self) -> MutexGuard<'_, Watch> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes part in the exchange until the process ends.
pub async fn exchange(socket: UdpSocket, shared: Arc<Shared>, roster: Roster) {
    let settings = &shared.settings;
    let exchange = Exchange::new(settings.listen.peers, settings.peer_seeds());
    let mut exchange = exchange
        .with_link_class(LinkClass::of_link(settings.link))
        .with_data_centre(DataCentreHash::from(&settings.data_centre))
        .with_epoch(rand::random());
    let mut buffer = vec![0; DATAGRAM];
    let mut live = 0;
    let mut due = now();
    let mut reviewed = now();
    loop {
        let wait = due.since(now());
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    receive(&mut exchange, &shared, from, &buffer[..length]);
                    send(&socket, exchange.replies(now())).await;
                    if live == 1 && exchange.live_count(now()) > 1 {
                        live = renew(&exchange, &shared, &roster, live);
                    }
                }
                // Where a daemon has ended, the answer to a datagram is such an error.
                Err(error) => log::debug!(target: "peers", "peers: nothing received: {error}"),
            },
            () = tokio::time::sleep(wait.as_duration()) => {
                if now().since(reviewed) >= REVIEW {
                    reviewed = now();
                    shared.placement.review(reviewed);
                }
                tick(&mut exchange, &shared, &socket).await;
                live = renew(&exchange, &shared, &roster, live);
                due = now() + TICK;
            }
        }
    }
}

/// Notes who follows the platform now; returns how many daemons live.
fn renew(exchange: &Exchange, shared: &Shared, roster: &Roster, live: usize) -> usize {
    let before = roster.borrow();
    roster.renew(exchange, shared.copies.is_cut_off(), now());
    report_roles(&before, &roster.borrow(), exchange.live_count(now()));
    shared.placement.hear(exchange.live_count(now()), now());
    report_live(exchange, live)
}

fn receive(exchange: &mut Exchange, shared: &Shared, from: SocketAddr, bytes: &[u8]) {
    let message = match Message::decode(bytes) {
        Ok(Some(message)) => message,
        Ok(None) => return,
        Err(error) => {
            log::warn!(target: "peers", from:%, cause:% = error; "peers: a datagram can't be read");
            return;
        }
    };
    let at = now();
    if let Some(heard) = exchange.receive(from, message, at) {
        shared.placement.others(heard, exchange.live_count(at), at);
    }
    shared.placement.learn(&exchange.take_evidence(), at);
}

async fn tick(exchange: &mut Exchange, shared: &Shared, socket: &UdpSocket) {
    let at = now();
    if exchange.has_reports()
        && let Some(heard) = exchange.hub_update(at)
    {
        shared.placement.others(heard, exchange.live_count(at), at);
    }
    exchange.set_evidence(shared.placement.evidence(at));
    let own = shared.placement.own_report(shared.copies.is_cut_off());
    send(socket, exchange.tick(own, at)).await;
}

async fn send(socket: &UdpSocket, messages: Vec<Outgoing>) {
    for (to, message) in messages {
        if let Err(error) = socket.send_to(&message.encode(), to).await {
            log::debug!(target: "peers", "peers: nothing sent to {to}: {error}");
        }
    }
}

/// Logs a change in who follows the platform.
fn report_roles(before: &Watch, after: &Watch, live: usize) {
    let is_watcher = after.is_watcher();
    if before.is_watcher() != is_watcher {
        log::info!(target: "peers", is_watcher, live, watchers:? = after.following.watchers; "peers: follows the platform");
    }
}

/// Logs a change in the number of daemons that live.
fn report_live(exchange: &Exchange, before: usize) -> usize {
    let at = now();
    let live = exchange.live_count(at);
    if live != before {
        let hubs = exchange.hubs(at);
        log::info!(target: "peers", live, before, hubs:? = hubs; "peers: daemons that live");
    }
    live
}
