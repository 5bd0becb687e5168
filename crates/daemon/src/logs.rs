//! Sets up logging to standard error.

use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::starter_log;

use crate::args::LogFormat;

/// Sets up logging at the levels in `RUST_LOG`, by default `info`.
pub fn start(format: LogFormat) {
    let filter = RustLogFilterBuilder::from_default_env_or("info").build();
    let output = match format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    let builder = starter_log::builder();
    let builder = builder.dispatch(|dispatch| dispatch.filter(filter).append(output));
    // Fails if logging is set up already, as in tests that run several daemons in one process.
    builder.try_apply().ok();
}
