//! Opens sockets and sets their options.

use std::io::{Error, Result};
use std::net::SocketAddr;
use std::time::Duration;

use medlarrill_core::clock::Millis;
use socket2::{Domain, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Silence after which a keep-alive probe is sent, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is considered dead.
const KEEPALIVE_PROBES: u32 = 3;
/// Maximum time for which sent data may stay unacknowledged.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Maximum size of a message between daemons in bytes: the platform limits values to 1 MiB, and a
/// list holds some hundred small ones.
const MAX_FRAME: usize = 8 << 20;

/// A connection between two daemons.
pub type Link = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames the messages of a connection between two daemons.
pub fn framed(stream: TcpStream) -> Link {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec();
    Framed::new(stream, codec)
}

/// Opens a listener, also right after another process used the address (`SO_REUSEADDR`).
///
/// # Errors
///
/// When the address can't be bound; the error names it.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let named = |error: Error| Error::new(error.kind(), format!("{address}: {error}"));
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into()).map_err(named)?;
    socket.listen(BACKLOG).map_err(named)?;
    TcpListener::from_std(socket.into())
}

/// Opens a UDP socket.
///
/// # Errors
///
/// When the address can't be bound.
pub fn bind_udp(address: SocketAddr) -> Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Connects within a timeout.
///
/// # Errors
///
/// When the connection fails or the timeout passes.
pub async fn connect(address: SocketAddr, wait: Millis) -> Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(wait.as_duration(), connecting).await??;
    set_options(&stream)?;
    Ok(stream)
}

/// Sends small writes without delay, and detects peers that vanish without closing.
///
/// # Errors
///
/// When the options can't be set.
pub fn set_options(stream: &TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}

/// Accepts the next connection; errors are logged and retried.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        let accepted = listener.accept().await;
        let prepared = accepted.and_then(|(stream, _)| set_options(&stream).map(|()| stream));
        match prepared {
            Ok(stream) => return stream,
            Err(error) => {
                log::warn!(target: "socket", cause:% = error; "socket: a connection can't be accepted");
                tokio::time::sleep(ACCEPT_PAUSE.as_duration()).await;
            }
        }
    }
}
