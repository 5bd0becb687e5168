//! Configuration changes: applied, validated, committed and distributed.
//!
//! The configuration is stored as immutable part objects and one head that
//! names them by digest. A change is accepted only by a conditional update of
//! the head. Generations count accepted heads, so daemons find the newer
//! configuration by comparing generation numbers.

mod apply;
pub mod committer;
mod digest;
mod export;
mod head;
mod part;
pub mod sweep;
pub mod sync;

pub use apply::{Applied, Fault, Faults, apply};
pub use committer::Committer;
pub use digest::Digest;
pub use export::export;
pub use head::{ChangeRecord, Head, HeadError, MAX_RECORDS, MIN_RECORDS, PartRef, RECORD_AGE};
pub use part::{Body, MAX_PART, Part, PartError, PartName, PartNameError, join, split};
pub use sweep::Sweep;
pub use sync::ConfigSync;

/// Key of the head in the platform's object API.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the parts' keys in the platform's object API.
pub const PART_PREFIX: &str = "config/parts/";
