//! Options of real sockets that decide when a connection whose peer has vanished ends.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_router::socket::{accept, connect, listen};
use socket2::SockRef;
use tokio::net::TcpStream;

/// Time after which a connection to a peer that has vanished is ended: the time of a sound peer's
/// silence, and some more.
const NOTICED: Duration = Duration::from_secs(4);

fn assert_noticed(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    assert_that!(socket.keepalive().expect("an option"), eq(true));
    let first = socket.tcp_keepalive_time().expect("an option");
    let interval = socket.tcp_keepalive_interval().expect("an option");
    let probes = socket.tcp_keepalive_retries().expect("an option");
    let unacked = socket.tcp_user_timeout().expect("an option");
    // Idle connections end by the user timeout, if one is set, whatever the number of probes.
    assert_that!(unacked, some(eq(NOTICED)));
    assert_that!(first + interval * probes, eq(NOTICED));
    assert_that!(socket.tcp_nodelay().expect("an option"), eq(true));
}

#[tokio::test]
async fn connections_in_both_directions_end_when_their_peer_has_vanished() {
    let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = listener.local_addr().expect("an address");
    let (opened, accepted) = tokio::join!(connect(address, Millis(1000)), accept(&listener));
    assert_noticed(&opened.expect("a connection"));
    assert_noticed(&accepted);
}
