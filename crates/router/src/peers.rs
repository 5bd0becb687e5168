//! Tells other daemons what this one sees of endpoints, and hears what they see.

use std::net::SocketAddr;
use std::sync::Arc;

use medlarrill_core::routing::exchange::{Exchange, Message};
use medlarrill_net::now::now;
use tokio::net::UdpSocket;

use crate::shared::Shared;

/// Largest datagram.
const DATAGRAM: usize = 64 << 10;

/// Takes part in the exchange until the process ends.
pub async fn exchange(socket: UdpSocket, shared: Arc<Shared>) {
    let settings = &shared.settings;
    let mut exchange = Exchange::new(settings.listen.peers, settings.peer_seeds());
    let mut buffer = vec![0; DATAGRAM];
    let mut live = 0;
    let mut due = now();
    loop {
        let wait = due.since(now());
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => receive(&mut exchange, &shared, from, &buffer[..length]),
                // Where a daemon has ended, the answer to a datagram is such an error.
                Err(error) => log::debug!(target: "peers", "peers: nothing received: {error}"),
            },
            () = tokio::time::sleep(wait.as_duration()) => {
                tick(&mut exchange, &shared, &socket).await;
                due = now() + exchange.pause(now());
                live = report_live(&exchange, live);
            }
        }
    }
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
    if let Some(others) = exchange.receive(from, message, at) {
        shared.placement.others(&others, exchange.live(at), at);
    }
}

async fn tick(exchange: &mut Exchange, shared: &Shared, socket: &UdpSocket) {
    let at = now();
    if exchange.is_hub() {
        shared
            .placement
            .others(&exchange.gathered(), exchange.live(at), at);
    }
    let own = shared.placement.own_report();
    for (to, message) in exchange.tick(own, at) {
        if let Err(error) = socket.send_to(&message.encode(), to).await {
            log::debug!(target: "peers", "peers: nothing sent to {to}: {error}");
        }
    }
}

/// Logs a change in the number of daemons that live.
fn report_live(exchange: &Exchange, before: usize) -> usize {
    let at = now();
    let live = exchange.live(at);
    if live != before {
        let hubs = exchange.hubs(at);
        log::info!(target: "peers", live, before, hubs:? = hubs; "peers: daemons that live");
    }
    live
}
