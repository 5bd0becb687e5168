//! How evidence against requests is told.
//!
//! Datagrams are lost, and daemons start, stop and lose each other, so that
//! evidence is told twice over. What was learnt just now goes with each
//! message for some ticks: from whoever found it to its hubs, and from those
//! on. Besides, each message bears a digest of what its sender holds; a daemon
//! that reads another one than its own sends back all that it holds, which is
//! how one that has just started comes to know it, and how parts of a fleet
//! that lost each other agree again.

use std::collections::HashMap;
use std::net::SocketAddr;

use derive_more::Debug;

use crate::clock::Millis;
use crate::routing::fingerprint::Fingerprint;
use crate::routing::quarantine::{Evidence, Finding, Snapshot};

/// Between the first two times that all evidence is sent to a daemon that holds other. Each
/// further pause is twice as long, until both hold the same.
const FIRST_PAUSE: Millis = Millis(300);
/// Longest such pause: where more is found than is kept, daemons keep different parts of it.
const LONGEST_PAUSE: Millis = Millis::from_secs(10);
/// Stands for a clearance in the place of an endpoint.
const SERVED: u32 = 0;

/// Evidence; one entry of each column makes a row.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Findings {
    /// Fingerprints of requests.
    #[prost(fixed64, repeated, tag = "1")]
    fingerprints: Vec<u64>,
    /// Short ids of the endpoints that were lost; zero where the request was served.
    #[prost(fixed32, repeated, tag = "2")]
    endpoints: Vec<u32>,
    /// Milliseconds since then.
    #[prost(uint32, repeated, tag = "3")]
    ages: Vec<u32>,
}

impl Findings {
    /// Rows for a message; none where there are none.
    fn new(evidence: &[Evidence]) -> Option<Self> {
        let mut columns = Self::default();
        for row in evidence {
            columns.fingerprints.push(row.fingerprint.0);
            let endpoint = row.finding.endpoint().unwrap_or(SERVED);
            columns.endpoints.push(endpoint);
            let age = u32::try_from(row.age.0).unwrap_or(u32::MAX);
            columns.ages.push(age);
        }
        (!evidence.is_empty()).then_some(columns)
    }

    /// The rows.
    fn all(&self) -> impl Iterator<Item = Evidence> {
        let found = self.endpoints.iter().zip(&self.ages);
        let rows = self.fingerprints.iter().zip(found);
        rows.map(|(fingerprint, (endpoint, age))| Evidence {
            fingerprint: Fingerprint(*fingerprint),
            finding: match *endpoint {
                SERVED => Finding::Served,
                endpoint => Finding::Lost(endpoint),
            },
            age: Millis(u64::from(*age)),
        })
    }
}

/// What of the news one daemon tells another.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug)]
pub enum News {
    /// What it found itself.
    Own,
    /// Also what it heard.
    All,
}

/// What this daemon holds and was told of evidence.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Spread {
    held: Snapshot,
    learnt: Vec<Evidence>,
    /// Daemons that were sent all of it and hold something else still.
    pushed: HashMap<SocketAddr, Pushed>,
}

/// The last time that a daemon was sent all evidence.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Pushed {
    at: Millis,
    /// Until the next time.
    pause: Millis,
}

impl Spread {
    /// Sets what this daemon holds.
    pub fn hold(&mut self, held: Snapshot) {
        self.held = held;
    }

    /// Digest of what it holds.
    pub const fn digest(&self) -> u64 {
        self.held.digest
    }

    /// Takes what a message says.
    pub fn take(&mut self, findings: Option<&Findings>) {
        let rows = findings.into_iter().flat_map(Findings::all);
        self.learnt.extend(rows);
    }

    /// What was told since this was last asked.
    pub fn learnt(&mut self) -> Vec<Evidence> {
        std::mem::take(&mut self.learnt)
    }

    /// What a message to a daemon says: all where that holds something else, as its digest tells
    /// if it is known, and the news otherwise.
    pub fn findings(
        &mut self,
        to: SocketAddr,
        digest: Option<u64>,
        news: News,
        now: Millis,
    ) -> Option<Findings> {
        if self.is_push_due(to, digest, now) {
            return Findings::new(&self.held.all);
        }
        let news = match news {
            News::Own => &self.held.own,
            News::All => &self.held.fresh,
        };
        Findings::new(news)
    }

    /// Whether a daemon is to be sent all evidence now; notes that it is.
    fn is_push_due(&mut self, to: SocketAddr, digest: Option<u64>, now: Millis) -> bool {
        let differs = digest.is_some_and(|digest| digest != self.held.digest);
        if !differs || self.held.all.is_empty() {
            self.pushed.remove(&to);
            return false;
        }
        let last = self.pushed.get(&to).copied();
        if last.is_some_and(|last| now.since(last.at) < last.pause) {
            return false;
        }
        let pause = last.map_or(FIRST_PAUSE, |last| last.pause + last.pause);
        let pause = pause.min(LONGEST_PAUSE);
        self.pushed.insert(to, Pushed { at: now, pause });
        true
    }

    /// Forgets daemons that haven't been told anything for long.
    pub fn forget(&mut self, now: Millis) {
        let is_recent = |last: &Pushed| now.since(last.at) <= LONGEST_PAUSE + LONGEST_PAUSE;
        self.pushed.retain(|_, last| is_recent(last));
    }
}
