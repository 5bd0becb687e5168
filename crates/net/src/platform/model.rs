//! Objects of the platform and its list of VMs.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Debug, Display};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{DataCentreId, RegionId, VmId};
use serde::{Deserialize, Serialize};

/// Largest object, in bytes.
pub const MAX_OBJECT: u64 = 1 << 20;

/// An object's version: the revision of its last change.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u64);

/// Era of the platform's objects: another one after each restoration from a copy, which gives out
/// revisions again. Compared for equality only; 0 if the platform names none.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Default)]
#[derive(Debug, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Era(pub u64);

/// Revision of the store, raised by every change within an era.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Debug, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// An object with its version.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Object {
    /// Its version.
    pub version: Version,
    /// Its content.
    #[debug("{} bytes", value.len())]
    pub value: Bytes,
}

/// Result of reading one object.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub enum Read {
    /// The object.
    Object(Object),
    /// The object still has the version that the caller knows.
    NotModified,
}

/// One page of a list.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Deserialize)]
pub struct Listing {
    /// The era in which the page was read.
    #[serde(default)]
    pub era: Era,
    /// The revision at which the page was read.
    pub revision: Revision,
    /// Objects in key order.
    #[serde(rename = "objects")]
    pub entries: Vec<Entry>,
    /// Whether there are keys after the last one.
    #[serde(default)]
    pub more: bool,
}

/// An object in a list.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Deserialize)]
pub struct Entry {
    /// Its key.
    pub key: String,
    /// Its version.
    pub version: Version,
    /// Its size, in bytes.
    #[serde(default)]
    pub size: u64,
}

/// Changes after a revision.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Deserialize)]
pub struct Changes {
    /// The era in which the changes were read.
    #[serde(default)]
    pub era: Era,
    /// The revision up to which changes are reported.
    pub revision: Revision,
    /// The changes; empty if none happened during the wait.
    #[serde(rename = "events")]
    pub changes: Vec<Change>,
}

/// A change of one object.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Deserialize)]
pub struct Change {
    /// Its key.
    pub key: String,
    /// The revision of the change.
    pub version: Version,
    /// Whether the object was deleted.
    #[serde(default)]
    pub deleted: bool,
}

/// The list of VMs, which may lag behind.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct VmList {
    /// Time of the list, by the platform's wall clock.
    pub as_of: Millis,
    /// The VMs that could be parsed.
    pub vms: Vec<Vm>,
    /// Errors of items that could not be parsed, each with its index in the list.
    pub findings: Vec<String>,
}

/// A VM in the list.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Deserialize)]
pub struct Vm {
    /// Its name.
    pub vm: VmId,
    /// What runs on it.
    pub kind: VmKind,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// Address for peer links if it runs a daemon, for requests if an endpoint.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub state: VmState,
}

/// What runs on a VM.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmKind {
    /// A daemon of the fleet.
    Router,
    /// An endpoint.
    Endpoint,
    /// A value not known to this version.
    #[serde(other)]
    Unknown,
}

/// Whether a VM is leaving.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It is running.
    Live,
    /// It will stop soon.
    Leaving,
    /// A value not known to this version.
    #[serde(other)]
    Unknown,
}

#[derive(Deserialize)]
struct RawList {
    #[serde(with = "crate::http::plain_millis")]
    as_of: Millis,
    vms: Vec<serde_json::Value>,
}

impl VmList {
    /// Parses a list; items that can't be parsed become findings.
    pub(super) fn parse(body: &[u8]) -> serde_json::Result<Self> {
        let raw: RawList = serde_json::from_slice(body)?;
        let mut list = Self {
            as_of: raw.as_of,
            vms: Vec::with_capacity(raw.vms.len()),
            findings: Vec::new(),
        };
        for (at, value) in raw.vms.into_iter().enumerate() {
            match serde_json::from_value(value) {
                Ok(vm) => list.vms.push(vm),
                Err(error) => list.findings.push(format!("vms[{at}]: {error}")),
            }
        }
        Ok(list)
    }
}
