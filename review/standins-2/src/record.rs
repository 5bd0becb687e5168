//! Writes record.txt: what was sent, answered and run, with seconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can't be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3}  {}\n", self.now(), text.as_ref());
        self.file.lock().unwrap().write_all(line.as_bytes()).ok();
    }

    /// Says it on standard output, too.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:8.3}  {}", self.now(), text.as_ref());
        self.line(text);
    }

    /// Sleeps until so many seconds after the start.
    pub fn until(&self, seconds: f64) {
        let left = seconds - self.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }
}
