//! Logs, written to standard error.

use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::starter_log;

/// Starts to write logs; levels are set by `RUST_LOG`, `info` unless set.
pub fn start() {
    let filter = RustLogFilterBuilder::from_default_env_or("info").build();
    let builder = starter_log::builder();
    let builder = builder.dispatch(|dispatch| dispatch.filter(filter).append(Stderr::default()));
    // A process that runs several daemons, as in tests, has set it up already.
    builder.try_apply().ok();
}
