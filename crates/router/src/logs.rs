//! Logs to standard output as one JSON object per line, without blocking callers.
//!
//! Lines go through a bounded queue to a writer thread. When the queue is
//! full, lines are dropped and counted; the count is written after the next
//! batch of lines.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use derive_more::Debug;
use logforth::append::Append;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, Layout};
use logforth::record::Record;
use logforth::{Diagnostic, Error, starter_log};

/// Capacity of the queue, in lines; at 300 bytes a line, about 600 KB.
const QUEUE_LINES: usize = 2048;
/// Time in which lines are collected for one write. Each write wakes a thread, which costs
/// as much as formatting ten lines.
const BATCH_DELAY: Duration = Duration::from_millis(25);

/// Number of log lines dropped since the start of the process.
pub type DropCount = Arc<AtomicU64>;

/// Formats log records and queues them for the writer thread.
#[derive(Debug)]
struct QueueAppender {
    layout: JsonLayout,
    #[debug(skip)]
    lines: SyncSender<Vec<u8>>,
    dropped: DropCount,
}

impl Append for QueueAppender {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        let line = self.layout.format(record, diagnostics)?;
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Installs the logger; `RUST_LOG` sets the levels, `info` by default.
pub fn start() -> DropCount {
    let dropped = DropCount::default();
    let (lines, queue) = sync_channel(QUEUE_LINES);
    let count = Arc::clone(&dropped);
    std::thread::spawn(move || write_lines(&queue, &count));
    let append = QueueAppender {
        layout: JsonLayout::default(),
        lines,
        dropped: Arc::clone(&dropped),
    };
    let filter = RustLogFilterBuilder::from_default_env_or("info").build();
    let builder = starter_log::builder();
    let builder = builder.dispatch(|dispatch| dispatch.filter(filter).append(append));
    if builder.try_apply().is_err() {
        eprintln!("logs: another logger is already installed");
    }
    dropped
}

/// Writes queued lines until the queue or standard output is closed.
fn write_lines(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut reported = 0;
    let mut out = std::io::stdout();
    let mut batch = Vec::new();
    while let Ok(line) = queue.recv() {
        std::thread::sleep(BATCH_DELAY);
        for line in std::iter::once(line).chain(queue.try_iter()) {
            batch.extend_from_slice(&line);
            batch.push(b'\n');
        }
        let total = dropped.load(Ordering::Relaxed);
        if total > reported {
            batch.extend_from_slice(format!("{{\"dropped\":{}}}\n", total - reported).as_bytes());
            reported = total;
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // Standard output is closed, so this can't be reported either.
            return;
        }
        batch.clear();
    }
}
