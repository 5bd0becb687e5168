//! Logs: one JSON object a line, to standard output, never blocking.
//!
//! Lines go through a bounded queue to a thread of their own. When that is
//! full, lines are dropped and counted; the count is written with the next
//! line that fits.

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

/// Lines that wait for standard output; at 300 bytes a line, about 600 KB.
const QUEUE: usize = 2048;
/// Pause in which lines are gathered for one write. Each write wakes a thread, which costs
/// as much as formatting ten lines.
const GATHER: Duration = Duration::from_millis(25);

/// Lines that were dropped since the start.
pub type Dropped = Arc<AtomicU64>;

/// Hands lines to the thread that writes them.
#[derive(Debug)]
struct Queue {
    layout: JsonLayout,
    #[debug(skip)]
    lines: SyncSender<Vec<u8>>,
    dropped: Dropped,
}

impl Append for Queue {
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

/// Starts to write logs; levels are set by `RUST_LOG`, `info` unless set.
pub fn start() -> Dropped {
    let dropped = Dropped::default();
    let (lines, queue) = sync_channel(QUEUE);
    let writer = Arc::clone(&dropped);
    std::thread::spawn(move || write(&queue, &writer));
    let append = Queue {
        layout: JsonLayout::default(),
        lines,
        dropped: Arc::clone(&dropped),
    };
    let filter = RustLogFilterBuilder::from_default_env_or("info").build();
    let builder = starter_log::builder();
    let builder = builder.dispatch(|dispatch| dispatch.filter(filter).append(append));
    if builder.try_apply().is_err() {
        eprintln!("logs: another logger is in place already");
    }
    dropped
}

fn write(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut told = 0;
    let mut out = std::io::stdout();
    let mut batch = Vec::new();
    while let Ok(line) = queue.recv() {
        std::thread::sleep(GATHER);
        for line in std::iter::once(line).chain(queue.try_iter()) {
            batch.extend_from_slice(&line);
            batch.push(b'\n');
        }
        let now = dropped.load(Ordering::Relaxed);
        if now > told {
            batch.extend_from_slice(format!("{{\"dropped\":{}}}\n", now - told).as_bytes());
            told = now;
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // Nobody reads the logs any more; there is nowhere to say so.
            return;
        }
        batch.clear();
    }
}
