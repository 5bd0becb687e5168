//! The streams that began here lately, to be told to daemons that are heard of later.

use std::collections::VecDeque;
use std::net::SocketAddr;

use derive_more::Debug;

use super::history::STREAM_LIFETIME;
use super::{Origin, StreamKey};
use crate::clock::Millis;

/// Maximum number of streams, of some 200 bytes each; the oldest ones are left out first.
const MAX_STREAMS: usize = 4096;

/// A stream, where it began, and a daemon to be told of it.
pub type Untold = (SocketAddr, StreamKey, Origin);

/// Streams with the daemons that were told of them.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct BegunStreams {
    streams: VecDeque<Begun>,
}

#[derive(Clone)]
#[derive(Debug)]
struct Begun {
    key: StreamKey,
    origin: Origin,
    at: Millis,
    told: Vec<SocketAddr>,
}

impl BegunStreams {
    /// Records that a stream began or went on, and that these daemons are told of it.
    pub fn record(&mut self, key: StreamKey, origin: Origin, told: &[SocketAddr], now: Millis) {
        self.prune(now);
        self.streams.push_back(Begun {
            key,
            origin,
            at: now,
            told: told.to_vec(),
        });
    }

    /// The daemons that haven't been told of a stream and should be, as `daemons` says; counts them
    /// as told. In a large fleet, where these change all the time, only streams of which nobody was
    /// told.
    pub fn take_untold(
        &mut self,
        daemons: impl Fn(StreamKey) -> Vec<SocketAddr>,
        is_large: bool,
        now: Millis,
    ) -> Vec<Untold> {
        self.prune(now);
        let mut untold = Vec::new();
        for stream in &mut self.streams {
            if is_large && !stream.told.is_empty() {
                continue;
            }
            let mut new = daemons(stream.key);
            new.retain(|daemon| !stream.told.contains(daemon));
            untold.extend(new.iter().map(|to| (*to, stream.key, stream.origin)));
            stream.told.extend(new);
        }
        untold
    }

    fn prune(&mut self, now: Millis) {
        let is_old = |stream: &Begun| now.since(stream.at) >= STREAM_LIFETIME;
        while self.streams.front().is_some_and(is_old) || self.streams.len() >= MAX_STREAMS {
            self.streams.pop_front();
        }
    }
}
