//! Limits the rate of log lines of one kind.

use derive_more::Debug;

use crate::clock::Millis;

/// Limit on the log lines of one kind in each window of time.
#[derive(Clone)]
#[derive(Debug)]
pub struct LogLimiter {
    max_lines: u32,
    window: Millis,
    window_start: Millis,
    lines: u32,
    suppressed: u64,
}

impl LogLimiter {
    /// Allows at most `max_lines` lines in each window.
    pub const fn new(max_lines: u32, window: Millis) -> Self {
        Self {
            max_lines,
            window,
            window_start: Millis::ZERO,
            lines: 0,
            suppressed: 0,
        }
    }

    /// Returns the number of lines suppressed since the last one if a line may be written, else `None`.
    pub fn allow(&mut self, now: Millis) -> Option<u64> {
        if now.since(self.window_start) >= self.window {
            self.window_start = now;
            self.lines = 0;
        }
        if self.lines >= self.max_lines {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
