//! A simulated platform whose calls can be lost, take effect late, or fail in an outage.

use std::collections::BTreeMap;

use bytes::Bytes;
use medlarrill_core::change::committer::{Action, Event, Stored};
use medlarrill_core::change::sweep::StoredPart;
use medlarrill_core::change::{Digest, Head};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Fault injected into a call.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Fate {
    Answered,
    LostBefore,
    LostAfter,
    Late,
    Refused,
}

#[derive(Default)]
pub struct Platform {
    pub head: Option<Stored>,
    pub parts: BTreeMap<Digest, (u64, Bytes)>,
    /// Every part that was ever stored.
    pub archive: BTreeMap<Digest, Bytes>,
    /// Every head, in the order of writing.
    pub history: Vec<Head>,
    pub late: Vec<Action>,
    pub down: bool,
    /// Whether every call is answered.
    pub calm: bool,
    pub late_writes: usize,
    pub revision: u64,
}

impl Platform {
    fn fate(&self, rng: &mut Pcg64Mcg) -> Fate {
        let roll = rng.random_range(0..100);
        match roll {
            _ if self.calm => Fate::Answered,
            _ if self.down && roll < 80 => Fate::LostBefore,
            0..6 => Fate::LostBefore,
            6..14 => Fate::LostAfter,
            14..22 => Fate::Late,
            22..25 => Fate::Refused,
            _ => Fate::Answered,
        }
    }

    /// Executes a call, or not, and returns the event that its caller receives.
    pub fn call(&mut self, call: Action, rng: &mut Pcg64Mcg) -> Event {
        let lost = match &call {
            Action::ReadHead => Event::HeadFailed,
            Action::ReadPart(_) => Event::PartFailed,
            Action::CreatePart(..) => Event::CreateUnknown,
            _ => Event::WriteUnknown,
        };
        match self.fate(rng) {
            Fate::Answered => self.effect(&call),
            Fate::LostBefore => lost,
            Fate::LostAfter => {
                self.effect(&call);
                lost
            }
            Fate::Late => {
                self.late.push(call);
                lost
            }
            Fate::Refused if lost == Event::WriteUnknown => Event::WriteFailed,
            Fate::Refused => lost,
        }
    }

    /// Lets a call take effect long after its caller's timeout.
    pub fn late_effect(&mut self, rng: &mut Pcg64Mcg) {
        if self.late.is_empty() {
            return;
        }
        let call = self.late.swap_remove(rng.random_range(0..self.late.len()));
        let written = self.effect(&call) == Event::Written;
        self.late_writes += usize::from(written);
    }

    fn effect(&mut self, call: &Action) -> Event {
        match call {
            Action::ReadHead => Event::Head(self.head.clone()),
            Action::ReadPart(digest) => {
                let part = self.parts.get(digest).map(|(_, bytes)| bytes.clone());
                Event::Part(*digest, part)
            }
            Action::CreatePart(digest, bytes) => {
                self.revision += 1;
                let version = self.revision;
                self.parts
                    .entry(*digest)
                    .or_insert((version, bytes.clone()));
                self.archive.insert(*digest, bytes.clone());
                Event::Created(*digest)
            }
            Action::WriteHead { version, bytes } => self.write(*version, bytes),
            other => panic!("{other:?} is no call"),
        }
    }

    fn write(&mut self, version: Option<u64>, bytes: &Bytes) -> Event {
        if self.head.as_ref().map(|head| head.version) != version {
            return Event::VersionMismatch;
        }
        let head = Head::read(bytes).expect("heads can be read");
        for part in head.parts.values() {
            assert!(self.parts.contains_key(&part.digest), "a part is missing");
        }
        self.history.push(head);
        self.revision += 1;
        self.head = Some(Stored {
            version: self.revision,
            bytes: bytes.clone(),
        });
        Event::Written
    }

    pub fn list(&self) -> Vec<StoredPart> {
        let parts = self.parts.iter();
        let stored = parts.map(|(digest, (version, _))| StoredPart {
            digest: *digest,
            version: *version,
        });
        stored.collect()
    }
}
