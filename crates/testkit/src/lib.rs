//! Small stand-ins for the systems that the fleet meets: the platform's object
//! API, a model engine and a plain service.
//!
//! Each is an HTTP server on the loopback interface, started on a free port by
//! `start`, driven by a typed knob API, and stopped when its handle is dropped.
//! The programs under `examples/` serve the same stand-ins as processes. The
//! protocols are those of `docs/design/outside-protocols.md`.
//!
//! State sits behind one lock for each stand-in and not in a task, so that a
//! test's knob has taken hold when the call returns.

pub mod client;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod platform;
pub mod proxy;
mod readiness;
pub mod routed;
pub mod service;
pub mod wait;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

use medlarrill_core::clock::Millis;

pub use engine::Engine;
pub use platform::Platform;
pub use readiness::Readiness;
pub use service::Service;

/// The loopback address with a free port chosen by the system.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The wall clock, counted from the Unix epoch.
pub(crate) fn wall() -> Millis {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .into()
}

/// Locks `mutex`; a holder that panicked has failed its test already.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
