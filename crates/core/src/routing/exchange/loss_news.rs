//! News of endpoints that lose requests, which daemons tell each other at once.
//!
//! A daemon sends what it saw to its hubs, these to the daemons that ask them for
//! sums and to the hubs of the other data centres. Each row is sent on once,
//! and repeated for a while in the ordinary messages, so that a lost datagram
//! costs only time.

use std::collections::HashMap;
use std::net::SocketAddr;

use derive_more::Debug;
use foldhash::fast::RandomState;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::message::Message;
use super::{Exchange, Outgoing, short_key};
use crate::clock::Millis;
use crate::routing::losses::Sign;

/// Age from which on a row isn't applied.
const OLD: Millis = Millis(1000);
/// Time for which rows are repeated in ordinary messages, each tick: some may be lost.
const REPEATED: Millis = Millis(500);
/// Time for which a row isn't taken a second time: a daemon that stood still reads old datagrams.
const REMEMBERED: Millis = Millis::from_secs(10);
/// Rows that are remembered.
const MAX_REMEMBERED: usize = 4096;
/// Largest number of rows in a message: under 2 KB.
const MAX_ROWS: usize = 96;
/// Losses of one endpoint that are sent on; two take it out.
const MAX_OF_ENDPOINT: usize = 4;
/// Time between two messages of one daemon that consist of news.
const INTERVAL: Millis = Millis(20);

/// One row: what a daemon saw of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub struct Loss {
    /// Short form of the endpoint's id.
    pub endpoint: u32,
    /// Key of the daemon.
    pub reporter: u32,
    /// Distinguishes the rows of the daemon.
    pub number: u32,
    /// What it saw.
    pub sign: Sign,
    /// When.
    pub at: Millis,
}

/// Rows in a message; the entries at one index of the columns form one.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct LossNews {
    /// Short forms of endpoints' ids.
    #[prost(fixed32, repeated, tag = "1")]
    endpoints: Vec<u32>,
    /// Keys of the daemons that saw it.
    #[prost(fixed32, repeated, tag = "2")]
    reporters: Vec<u32>,
    /// Numbers of the daemons' rows.
    #[prost(uint32, repeated, tag = "3")]
    numbers: Vec<u32>,
    /// What they saw.
    #[prost(enumeration = "Sign", repeated, tag = "4")]
    signs: Vec<i32>,
    /// How many milliseconds ago.
    #[prost(uint32, repeated, tag = "5")]
    ages: Vec<u32>,
    /// Who sends it, in a message of its own.
    #[prost(enumeration = "Way", tag = "6")]
    way: i32,
}

/// Between whom news travels.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, prost::Enumeration)]
pub enum Way {
    /// From a daemon to its hubs.
    Up = 0,
    /// Between hubs of two data centres.
    Across = 1,
    /// From a hub to its reporters.
    Down = 2,
}

impl LossNews {
    fn new(rows: impl Iterator<Item = Loss>, way: Way, now: Millis) -> Self {
        let mut news = Self {
            way: way.into(),
            ..Self::default()
        };
        for row in rows.take(MAX_ROWS) {
            news.endpoints.push(row.endpoint);
            news.reporters.push(row.reporter);
            news.numbers.push(row.number);
            news.signs.push(row.sign.into());
            let age = u32::try_from(now.since(row.at).0);
            news.ages.push(age.unwrap_or(u32::MAX));
        }
        news
    }

    /// The rows, with their times by this daemon's clock.
    fn rows(&self, now: Millis) -> impl Iterator<Item = Loss> {
        let names = self.endpoints.iter().zip(&self.reporters);
        let seen = self.signs.iter().zip(&self.ages);
        let rows = names.zip(&self.numbers).zip(seen).take(MAX_ROWS);
        rows.filter_map(move |(((endpoint, reporter), number), (sign, age))| {
            Some(Loss {
                endpoint: *endpoint,
                reporter: *reporter,
                number: *number,
                sign: Sign::try_from(*sign).ok()?,
                at: now - Millis(u64::from(*age)),
            })
        })
    }

    fn into_message(self) -> Option<Self> {
        (!self.endpoints.is_empty()).then_some(self)
    }
}

/// What a daemon of the exchange knows of news.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct LossRelay {
    /// Key of this daemon.
    pub me: u32,
    /// Rows that this daemon has told.
    told: u32,
    /// Recent rows, and how they came here.
    recent: Vec<(Way, Loss)>,
    /// Rows that are to be sent on.
    waiting: Vec<(Way, Loss)>,
    /// Rows of others for this daemon's own view.
    heard: Vec<Loss>,
    /// Rows that were taken, and when.
    seen: HashMap<(u32, u32), Millis, RandomState>,
    /// When news was last sent.
    sent_at: Option<Millis>,
}

impl LossRelay {
    /// Of a daemon with an address; `epoch` distinguishes its restarts.
    pub fn new(me: SocketAddr, epoch: u32) -> Self {
        let key = xxh3_64_with_seed(me.to_string().as_bytes(), u64::from(epoch));
        Self {
            // Zero stands for what a daemon itself saw.
            me: short_key(key).max(1),
            ..Self::default()
        }
    }

    /// Adds what this daemon saw.
    pub fn tell(&mut self, endpoint: u32, sign: Sign, at: Millis, now: Millis) {
        self.told = self.told.wrapping_add(1);
        let row = Loss {
            endpoint,
            reporter: self.me,
            number: self.told,
            sign,
            at,
        };
        self.take(Way::Up, row, now);
    }

    /// Adds what another daemon sent.
    pub fn receive(&mut self, message: &Message, now: Millis) {
        let (news, way) = match message {
            Message::Report(report) => (report.losses.as_ref(), Way::Up),
            Message::Summary(summary) => (summary.losses.as_ref(), Way::Down),
            Message::Subtotal(subtotal) => (subtotal.losses.as_ref(), Way::Across),
            Message::Losses(news) => (Some(news), news.way()),
        };
        for row in news.iter().flat_map(|news| news.rows(now)) {
            if row.reporter != self.me && self.take(way, row, now) {
                self.heard.push(row);
            }
        }
    }

    /// Takes a row to be sent on, unless it is old or known.
    fn take(&mut self, way: Way, row: Loss, now: Millis) -> bool {
        let key = (row.reporter, row.number);
        let is_old = now.since(row.at) >= OLD || self.seen.contains_key(&key);
        if is_old || self.seen.len() >= MAX_REMEMBERED {
            return false;
        }
        let same = |(_, other): &&(Way, Loss)| {
            let is_later = now.since(other.at) < REPEATED;
            is_later && other.endpoint == row.endpoint && other.sign == row.sign
        };
        let is_known = self.recent.iter().filter(same).count() >= MAX_OF_ENDPOINT;
        // Every daemon with a request there sees it.
        if is_known && row.sign == Sign::Cut {
            return false;
        }
        self.seen.insert(key, now);
        if !is_known || row.sign == Sign::Withdrawn {
            self.recent.push((way, row));
            self.waiting.push((way, row));
        }
        true
    }

    /// Rows of others since the last call.
    pub fn take_heard(&mut self) -> Vec<Loss> {
        std::mem::take(&mut self.heard)
    }

    /// Rows that reports repeat: this daemon's own.
    pub fn for_report(&self, now: Millis) -> Option<LossNews> {
        self.repeated(|_, row| row.reporter == self.me, now)
    }

    /// Rows that summaries repeat: all but those of other summaries.
    pub fn for_summary(&self, now: Millis) -> Option<LossNews> {
        self.repeated(|way, _| way != Way::Down, now)
    }

    /// Rows that subtotals repeat: those of this daemon's reporters.
    pub fn for_subtotal(&self, now: Millis) -> Option<LossNews> {
        self.repeated(|way, _| way == Way::Up, now)
    }

    fn repeated(&self, takes: impl Fn(Way, &Loss) -> bool, now: Millis) -> Option<LossNews> {
        let rows = self.recent.iter().rev();
        let rows = rows.filter(|(way, row)| takes(*way, row));
        let rows = rows.filter(|(_, row)| now.since(row.at) < REPEATED);
        LossNews::new(rows.map(|(_, row)| *row), Way::Up, now).into_message()
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Millis) {
        self.recent.retain(|(_, row)| now.since(row.at) < REPEATED);
        self.seen.retain(|_, at| now.since(*at) < REMEMBERED);
    }

    /// When waiting rows are to be sent.
    fn due(&self) -> Option<Millis> {
        let next = self.sent_at.map_or(Millis::ZERO, |at| at + INTERVAL);
        (!self.waiting.is_empty()).then_some(next)
    }

    /// Takes the waiting rows, if they are to be sent now.
    fn take_waiting(&mut self, now: Millis) -> Vec<(Way, Loss)> {
        if self.due().is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.sent_at = Some(now);
        let count = self.waiting.len().min(MAX_ROWS);
        self.waiting.drain(..count).collect()
    }
}

impl Exchange {
    /// Tells the other daemons what this one saw of an endpoint; see [`Self::loss_messages`].
    pub fn tell_loss(&mut self, endpoint: u32, sign: Sign, at: Millis, now: Millis) {
        self.losses.tell(endpoint, sign, at, now);
    }

    /// What other daemons told of lost requests since the last call.
    pub fn take_losses(&mut self) -> Vec<Loss> {
        self.losses.take_heard()
    }

    /// When [`Self::loss_messages`] has something to send, if at all.
    pub fn losses_due(&self) -> Option<Millis> {
        self.losses.due()
    }

    /// Messages that tell news at once: to this daemon's hubs what it saw, and as a hub to its
    /// reporters and to other data centres' hubs what it heard.
    pub fn loss_messages(&mut self, now: Millis) -> Vec<Outgoing> {
        let waiting = self.losses.take_waiting(now);
        if waiting.is_empty() {
            return Vec::new();
        }
        let is_large = self.is_large(now);
        let hubs = self.hubs(now);
        let is_hub = hubs.contains(&self.members.me);
        let me = self.members.me;
        let own = |way: Way, row: &Loss| way == Way::Up && row.reporter == self.losses.me;
        let mut out = Vec::new();
        let mut send = |to: &mut dyn Iterator<Item = SocketAddr>,
                        way: Way,
                        takes: &dyn Fn(Way, &Loss) -> bool| {
            let rows = waiting.iter().filter(|(from, row)| takes(*from, row));
            let news = LossNews::new(rows.map(|(_, row)| *row), way, now);
            if let Some(news) = news.into_message() {
                out.extend(to.map(|to| (to, Message::Losses(news.clone()))));
            }
        };
        send(
            &mut hubs.iter().copied().filter(|hub| *hub != me),
            Way::Up,
            &own,
        );
        let reporters = self.hub.reports.iter();
        let reporters = reporters.filter(|(_, report)| report.is_full && report.wants_sums);
        send(
            &mut reporters.map(|(address, _)| *address),
            Way::Down,
            &|way, _| way != Way::Down,
        );
        if is_large && is_hub {
            let centres = self.members.other_centres(now);
            let others = centres.into_iter();
            let mut others = others.flat_map(|centre| self.members.hubs_of(Some(centre), now));
            send(&mut others, Way::Across, &|way, _| way == Way::Up);
        }
        out
    }
}
