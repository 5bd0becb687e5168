//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of one run of a case.
#[derive(Debug, Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    /// Begins a record in a file.
    pub fn new(path: &Path) -> std::io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self(Arc::new((Instant::now(), Mutex::new(file)))))
    }

    /// Writes a line.
    pub fn note(&self, text: &str) {
        let at = self.0.0.elapsed().as_secs_f64();
        let mut file = self.0.1.lock().unwrap();
        writeln!(file, "{at:8.3} {text}").ok();
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map(|now| now.as_millis() as u64).unwrap_or_default()
}
