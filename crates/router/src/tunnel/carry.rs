//! Presents a link to a helper as the endpoint's connection, and carries its bytes at the helper.

use std::io::{Error, ErrorKind, Result};
use std::pin::{Pin, pin};

use bytes::{Bytes, BytesMut};
use futures_util::stream::{SplitSink, SplitStream, unfold};
use futures_util::{SinkExt, StreamExt};
use medlarrill_core::clock::Millis;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio_util::io::{CopyToBytes, SinkWriter, StreamReader};

use super::message::{End, Piece};
use crate::socket::Link;

/// Time in which the daemon that asked closes the link after the end of the endpoint's connection.
const CLOSE_TIMEOUT: Millis = Millis(1000);
/// Pieces of a request that wait to be written: more than a request of some tens of kilobytes has,
/// so that a link that is closed is noticed.
const QUEUED: usize = 64;
/// Bytes of an endpoint's connection in one frame.
const PIECE: usize = 16 << 10;

/// A connection that can be read and written.
pub trait Duplex: AsyncRead + AsyncWrite + Send {}

impl<T: AsyncRead + AsyncWrite + Send> Duplex for T {}

/// The endpoint's connection that a helper carries. Reading fails if it broke, or if the helper was
/// lost.
pub fn carried(link: Link) -> Pin<Box<dyn Duplex>> {
    let (sink, stream) = link.split();
    let pieces = unfold(Some(stream), async |stream| {
        let mut stream = stream?;
        match next_bytes(&mut stream).await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(stream))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    let sink = sink.with(async |bytes: Bytes| Ok::<_, Error>(Piece::Data(bytes).into_message()));
    let reader = StreamReader::new(Box::pin(pieces));
    let writer = SinkWriter::new(CopyToBytes::new(Box::pin(sink)));
    Box::pin(tokio::io::join(reader, writer))
}

/// The next bytes of the endpoint; `None` when it has closed its connection.
async fn next_bytes(stream: &mut SplitStream<Link>) -> Result<Option<Bytes>> {
    let lost = || Error::new(ErrorKind::ConnectionAborted, "the helper was lost");
    let frame = stream.next().await.ok_or_else(lost)??;
    match Piece::read(frame.freeze())? {
        Piece::Data(bytes) => Ok(Some(bytes)),
        Piece::End(end) if end == End::Closed as i32 => Ok(None),
        Piece::End(_) => Err(ErrorKind::ConnectionReset.into()),
    }
}

/// Carries bytes between a link and an endpoint until either side ends. The endpoint's connection
/// ends as soon as the daemon that asked for it closes the link.
pub async fn carry(link: Link, endpoint: TcpStream) -> Result<()> {
    let (mut sink, stream) = link.split();
    let (read_half, write_half) = endpoint.into_split();
    let mut forward = pin!(to_endpoint(stream, write_half));
    tokio::select! {
        () = &mut forward => return Ok(()),
        sent = from_endpoint(read_half, &mut sink) => sent?,
    }
    // A link that is closed with bytes unread is reset, and the end of the answer may be lost.
    if tokio::time::timeout(CLOSE_TIMEOUT.as_duration(), forward)
        .await
        .is_err()
    {
        log::debug!(target: "tunnel", "tunnel: a link wasn't closed after the answer");
    }
    Ok(())
}

/// Writes what the daemon sends; returns when the daemon closes the link, also while the endpoint
/// reads nothing.
async fn to_endpoint(stream: SplitStream<Link>, endpoint: OwnedWriteHalf) {
    let (pieces, queue) = mpsc::channel(QUEUED);
    tokio::select! {
        () = read_link(stream, pieces) => {}
        () = write_endpoint(queue, endpoint) => {}
    }
}

/// Queues what the daemon sends; returns when it closes the link.
async fn read_link(mut stream: SplitStream<Link>, pieces: mpsc::Sender<Bytes>) {
    while let Some(Ok(frame)) = stream.next().await {
        let Ok(Piece::Data(bytes)) = Piece::read(frame.freeze()) else {
            return;
        };
        if pieces.send(bytes).await.is_err() {
            return;
        }
    }
}

/// Writes queued pieces. An endpoint may answer before it has read everything, and close its side;
/// then the rest is dropped.
async fn write_endpoint(mut queue: mpsc::Receiver<Bytes>, mut endpoint: OwnedWriteHalf) {
    let mut is_open = true;
    while let Some(bytes) = queue.recv().await {
        is_open = is_open && endpoint.write_all(&bytes).await.is_ok();
    }
}

/// Sends what the endpoint answers, and how its connection ended.
async fn from_endpoint(
    mut endpoint: OwnedReadHalf,
    sink: &mut SplitSink<Link, Bytes>,
) -> Result<()> {
    let mut buffer = BytesMut::with_capacity(PIECE);
    loop {
        buffer.reserve(PIECE);
        let piece = match (&mut endpoint)
            .take(PIECE as u64)
            .read_buf(&mut buffer)
            .await
        {
            Ok(0) => Piece::End(End::Closed.into()),
            Ok(_) => Piece::Data(buffer.split().freeze()),
            Err(_) => Piece::End(End::Broken.into()),
        };
        let is_end = matches!(piece, Piece::End(_));
        sink.send(piece.into_message()).await?;
        if is_end {
            return Ok(());
        }
    }
}
