//! Notes when bytes of any endpoint last arrived.

use std::io::Result;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_net::now::now;
use tokio::io::{AsyncRead, ReadBuf};

use crate::watched::{Watch, Watched};

/// A watched connection.
pub type Heard<S> = Watched<S, HeardAt>;

/// When bytes last arrived on any of the watched connections.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct HeardAt(Arc<AtomicU64>);

impl HeardAt {
    /// The time; zero if none have arrived yet.
    pub fn get(&self) -> Millis {
        Millis(self.0.load(Ordering::Relaxed))
    }

    /// Watches a connection.
    pub fn watch<S: AsyncRead + Unpin>(&self, stream: S) -> Heard<S> {
        Watched::new(stream, self.clone())
    }
}

impl<S: AsyncRead + Unpin> Watch<S> for HeardAt {
    fn poll_read(
        &mut self,
        stream: &mut S,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.0.store(now().0, Ordering::Relaxed);
        }
        read
    }
}
