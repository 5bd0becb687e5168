//! Options of sockets.

use std::io::{Error, Result};
use std::net::SocketAddr;
use std::time::Duration;

use medlarrill_core::clock::Millis;
use socket2::{Domain, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Silence after which the other side is asked whether it lives, and pause between questions.
const PROBE: Duration = Duration::from_secs(1);
/// Questions without an answer after which a connection is dead.
const PROBES: u32 = 3;
/// Longest time that sent bytes stay unacknowledged.
const UNACKED: Duration = Duration::from_secs(4);

/// Pause after a failed accept, mostly for want of descriptors.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Listens, also right after another process did.
///
/// # Errors
///
/// When the address can't be had, which the error names.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let named = |error: Error| Error::new(error.kind(), format!("{address}: {error}"));
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into()).map_err(named)?;
    socket.listen(BACKLOG).map_err(named)?;
    TcpListener::from_std(socket.into())
}

/// Opens a socket for datagrams.
///
/// # Errors
///
/// When the address can't be had.
pub fn datagrams(address: SocketAddr) -> Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Connects within a time.
///
/// # Errors
///
/// When there is no connection in that time.
pub async fn connect(address: SocketAddr, wait: Millis) -> Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(wait.as_duration(), connecting).await??;
    prepare(&stream)?;
    Ok(stream)
}

/// Sends small writes at once, and finds out when the other side is gone without a word.
///
/// # Errors
///
/// When the options can't be set.
pub fn prepare(stream: &TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKED))
}

/// Takes the next connection.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        let accepted = listener.accept().await;
        let prepared = accepted.and_then(|(stream, _)| prepare(&stream).map(|()| stream));
        match prepared {
            Ok(stream) => return stream,
            Err(error) => {
                log::warn!(target: "socket", cause:% = error; "socket: a connection can't be taken");
                tokio::time::sleep(ACCEPT_PAUSE.as_duration()).await;
            }
        }
    }
}
