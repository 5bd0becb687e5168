//! Synchronises evidence against requests between daemons.
//!
//! Datagrams are lost, daemons start and stop, and the fleet may be partitioned,
//! so evidence is sent in two ways. New evidence is added to each message for
//! some ticks: from the daemon that observed it to its hubs, and from there to
//! the others. Besides, each message has a digest of the evidence that its
//! sender holds. A daemon that receives a digest other than its own sends back
//! all its evidence, which updates a daemon that has just started, and makes
//! the parts of a partitioned fleet agree again.

use std::collections::HashMap;
use std::net::SocketAddr;

use derive_more::Debug;

use crate::clock::Millis;
use crate::routing::fingerprint::Fingerprint;
use crate::routing::quarantine::{Evidence, Finding, Snapshot};

/// Time between the first two full sends to a daemon that holds other evidence. Doubles with each
/// further one, until both hold the same.
const FULL_INTERVAL_MIN: Millis = Millis(300);
/// Longest such time: if there is more evidence than daemons keep, they keep different parts of it
/// and never agree.
const FULL_INTERVAL_MAX: Millis = Millis::from_secs(10);
/// Marks a clearance in the column of endpoints.
const SERVED: u32 = 0;

/// What a row says.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Debug, prost::Enumeration)]
#[repr(i32)]
enum Kind {
    /// An endpoint was lost.
    Lost = 0,
    /// An endpoint was lost that had been answering for long.
    LostLate = 1,
    /// A complete response.
    Served = 2,
}

/// Evidence; the entries at one index of all columns form a row.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Findings {
    /// Fingerprints of requests and of parts of prompts.
    #[prost(fixed64, repeated, tag = "1")]
    fingerprints: Vec<u64>,
    /// Short ids of the endpoints that were lost; zero for a request that was served.
    #[prost(fixed32, repeated, tag = "2")]
    endpoints: Vec<u32>,
    /// Time since the loss or the head of the response, in milliseconds.
    #[prost(uint32, repeated, tag = "3")]
    ages: Vec<u32>,
    /// What was found. Earlier builds don't send the column; there, endpoint zero marks a response.
    #[prost(enumeration = "Kind", repeated, tag = "4")]
    kinds: Vec<i32>,
}

impl Findings {
    /// The columns for a message; `None` without any evidence.
    fn new(evidence: &[Evidence]) -> Option<Self> {
        let mut columns = Self::default();
        for row in evidence {
            columns.fingerprints.push(row.fingerprint.0);
            let endpoint = row.finding.endpoint().unwrap_or(SERVED);
            columns.endpoints.push(endpoint);
            let age = u32::try_from(row.age.0).unwrap_or(u32::MAX);
            columns.ages.push(age);
            let kind = match row.finding {
                Finding::Lost(_) => Kind::Lost,
                Finding::LostLate(_) => Kind::LostLate,
                Finding::Served => Kind::Served,
            };
            columns.kinds.push(kind.into());
        }
        (!evidence.is_empty()).then_some(columns)
    }

    /// The rows.
    fn rows(&self) -> impl Iterator<Item = Evidence> {
        let kinds = self.kinds.iter().map(|kind| Kind::try_from(*kind).ok());
        let found = self.endpoints.iter().zip(&self.ages);
        let found = found.zip(kinds.chain(std::iter::repeat(None)));
        let rows = self.fingerprints.iter().zip(found);
        rows.map(|(fingerprint, ((endpoint, age), kind))| Evidence {
            fingerprint: Fingerprint(*fingerprint),
            finding: match (kind, *endpoint) {
                (Some(Kind::Served), _) | (None, SERVED) => Finding::Served,
                (Some(Kind::LostLate), endpoint) => Finding::LostLate(endpoint),
                (_, endpoint) => Finding::Lost(endpoint),
            },
            age: Millis(u64::from(*age)),
        })
    }
}

/// Which new evidence one daemon sends to another.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum NewEvidence {
    /// What it observed itself.
    Own,
    /// Also what it received.
    All,
}

/// The evidence that this daemon holds and has received.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct EvidenceSync {
    held: Snapshot,
    received: Vec<Evidence>,
    /// Daemons that were sent all evidence, and still hold other evidence.
    full_sends: HashMap<SocketAddr, FullSend>,
}

/// The last time that all evidence was sent to a daemon.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct FullSend {
    at: Millis,
    /// Time until it is sent again.
    interval: Millis,
}

impl EvidenceSync {
    /// Sets the evidence that this daemon holds.
    pub fn set_held(&mut self, held: Snapshot) {
        self.held = held;
    }

    /// Digest of the evidence that this daemon holds.
    pub const fn digest(&self) -> u64 {
        self.held.digest
    }

    /// Stores evidence from a message.
    pub fn receive(&mut self, findings: Option<&Findings>) {
        let rows = findings.into_iter().flat_map(Findings::rows);
        self.received.extend(rows);
    }

    /// Returns the evidence received since the last call.
    pub fn take_received(&mut self) -> Vec<Evidence> {
        std::mem::take(&mut self.received)
    }

    /// The evidence for a message to a daemon: all of it if the daemon's digest, where known,
    /// differs and a full send is due; otherwise the new evidence.
    pub fn findings(
        &mut self,
        to: SocketAddr,
        digest: Option<u64>,
        scope: NewEvidence,
        now: Millis,
    ) -> Option<Findings> {
        if self.is_full_send_due(to, digest, now) {
            return Findings::new(&self.held.all);
        }
        let new = match scope {
            NewEvidence::Own => &self.held.own,
            NewEvidence::All => &self.held.fresh,
        };
        Findings::new(new)
    }

    /// Whether all evidence is to be sent to a daemon now; if so, records that it is.
    fn is_full_send_due(&mut self, to: SocketAddr, digest: Option<u64>, now: Millis) -> bool {
        let differs = digest.is_some_and(|digest| digest != self.held.digest);
        if !differs || self.held.all.is_empty() {
            self.full_sends.remove(&to);
            return false;
        }
        let last = self.full_sends.get(&to).copied();
        if last.is_some_and(|last| now.since(last.at) < last.interval) {
            return false;
        }
        let interval = last.map_or(FULL_INTERVAL_MIN, |last| last.interval + last.interval);
        let interval = interval.min(FULL_INTERVAL_MAX);
        self.full_sends.insert(to, FullSend { at: now, interval });
        true
    }

    /// Removes daemons to which no full send was due for long.
    pub fn expire(&mut self, now: Millis) {
        let is_recent =
            |last: &FullSend| now.since(last.at) <= FULL_INTERVAL_MAX + FULL_INTERVAL_MAX;
        self.full_sends.retain(|_, last| is_recent(last));
    }
}
