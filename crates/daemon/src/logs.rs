//! Logs, written to standard error.

use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::starter_log;

use crate::args::LogFormat;

/// Starts to write logs; levels are set by `RUST_LOG`, `info` unless set.
pub fn start(format: LogFormat) {
    let filter = RustLogFilterBuilder::from_default_env_or("info").build();
    let output = match format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    let builder = starter_log::builder();
    let builder = builder.dispatch(|dispatch| dispatch.filter(filter).append(output));
    // A process that runs several daemons, as in tests, has set it up already.
    builder.try_apply().ok();
}
