//! Bounds how many log lines of one kind are written.

use derive_more::Debug;

use crate::clock::Millis;

/// Lines of one kind in a window.
#[derive(Clone)]
#[derive(Debug)]
pub struct LogLimiter {
    most: u32,
    window: Millis,
    since: Millis,
    lines: u32,
    left_out: u64,
}

impl LogLimiter {
    /// At most so many lines in each window.
    pub const fn new(most: u32, window: Millis) -> Self {
        Self {
            most,
            window,
            since: Millis::ZERO,
            lines: 0,
            left_out: 0,
        }
    }

    /// Whether a line may be written; with it, how many were left out since the last one.
    pub fn allow(&mut self, now: Millis) -> Option<u64> {
        if now.since(self.since) >= self.window {
            self.since = now;
            self.lines = 0;
        }
        if self.lines >= self.most {
            self.left_out += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
