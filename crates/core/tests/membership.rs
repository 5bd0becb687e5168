//! Membership under message loss, partitions, pauses, restarts and wrong lists.

#[path = "membership/fleet.rs"]
#[expect(dead_code, reason = "more is used by the measurement")]
mod fleet;

#[path = "membership/bytes.rs"]
mod bytes;
#[path = "membership/faults.rs"]
mod faults;
#[path = "membership/pause.rs"]
mod pause;
#[path = "membership/single.rs"]
mod single;
