//! A daemon that routes on the platform, as a process of its own, beside the
//! platform's stand-ins.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use derive_more::{Debug, Display, Error, From};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use crate::fleet::Program;

/// Longest time to start and to end.
pub const WAIT: Duration = Duration::from_secs(20);
/// Between two looks.
const LOOK: Duration = Duration::from_millis(5);

/// Result of handling a process.
pub type Result<T> = std::result::Result<T, ProcessError>;

/// Why a process can't be handled.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// It can't be started, or a file can't be written.
    #[display("{_0}")]
    Io(std::io::Error),
    /// It can't be signalled.
    #[display("{_0}")]
    Signal(nix::errno::Errno),
    /// It didn't do in time what was waited for.
    #[display("{_0}")]
    #[from(skip)]
    Late(#[error(not(source))] String),
}

/// Settings of a daemon.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Setup {
    /// Its name.
    pub name: String,
    /// Where it listens for callers, for the balancer, for metrics, for other daemons; port 0
    /// takes any.
    pub listen: [SocketAddr; 4],
    /// The store.
    pub platform: SocketAddr,
    /// Addresses on VMs of other daemons.
    pub seeds: Vec<SocketAddr>,
    /// Seconds from the signal to stop until it should have ended.
    pub grace: u64,
    /// Whether all daemons start for the first time.
    pub first_start: bool,
    /// File descriptors that it may have.
    pub files: usize,
    /// Retries of the fleet in ten seconds beyond a fifth of its requests.
    pub slack: u32,
}

impl Setup {
    /// A daemon on any ports.
    pub fn new(name: &str, platform: SocketAddr) -> Self {
        Self {
            name: name.into(),
            listen: [SocketAddr::from(([127, 0, 0, 1], 0)); 4],
            platform,
            seeds: Vec::new(),
            grace: 8,
            first_start: false,
            files: 4096,
            slack: 1000,
        }
    }

    /// Sets the daemons that it is told of.
    pub fn with_seeds(self, seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, ..self }
    }

    fn text(&self) -> String {
        let [callers, ready, metrics, peers] = self.listen;
        let settings = json!({
            "daemon": self.name, "data-centre": "dc-a",
            "listen": { "callers": callers, "ready": ready, "metrics": metrics, "peers": peers },
            "seeds": self.seeds, "platform": self.platform, "grace": format!("{}s", self.grace),
            "first-start": self.first_start, "files": self.files,
            "repeats": { "ratio": 0.2, "window": "10s", "slack": self.slack },
        });
        format!("// Settings of a test.\n{settings}\n")
    }
}

/// A running daemon; killed when it is dropped.
#[derive(Debug)]
pub struct Routed {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    /// Where it listens for callers, for the balancer, for metrics, for other daemons.
    pub listen: [SocketAddr; 4],
    /// Its settings file.
    pub settings: PathBuf,
}

impl Drop for Routed {
    fn drop(&mut self) {
        // It may have ended already.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Routed {
    /// Starts a daemon and waits until it listens.
    ///
    /// # Errors
    ///
    /// When it doesn't.
    pub fn start(program: &Program, folder: &Path, setup: &Setup) -> Result<Self> {
        let settings = folder.join(format!("{}.jsonc", setup.name));
        std::fs::write(&settings, setup.text())?;
        let mut child = program
            .command()
            .into_std()
            .args(["route", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        if let Some(out) = child.stdout.take() {
            let lines = Arc::clone(&lines);
            std::thread::spawn(move || {
                for line in BufReader::new(out).lines().map_while(std::io::Result::ok) {
                    lock(&lines).push(line);
                }
            });
        }
        let mut routed = Self {
            child,
            lines,
            listen: setup.listen,
            settings,
        };
        let line = routed.wait_for("start: listening")?;
        for (at, name) in ["callers", "ready", "metrics", "peers"].iter().enumerate() {
            if let Some(address) = field(&line, name).and_then(|text| text.parse().ok()) {
                routed.listen[at] = address;
            }
        }
        Ok(routed)
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Where callers reach it.
    pub const fn callers(&self) -> SocketAddr {
        self.listen[0]
    }

    /// Its log lines so far.
    pub fn lines(&self) -> Vec<String> {
        lock(&self.lines).clone()
    }

    /// Its log lines that hold a text.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        let lines = lock(&self.lines);
        lines
            .iter()
            .filter(|line| line.contains(text))
            .cloned()
            .collect()
    }

    /// The first log line that holds a text, once there is one.
    ///
    /// # Errors
    ///
    /// When none comes in time.
    pub fn wait_for(&self, text: &str) -> Result<String> {
        let until = Instant::now() + WAIT;
        loop {
            if let Some(line) = self.lines_with(text).into_iter().next() {
                return Ok(line);
            }
            if Instant::now() > until {
                let last = self.lines().into_iter().rev().take(5);
                let last = last.collect::<Vec<_>>().join("\n");
                let cause = format!("no line with `{text}` in time; the last were\n{last}");
                return Err(ProcessError::Late(cause));
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// When it has ended.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = i32::try_from(self.child.id()).unwrap_or(i32::MAX);
        Ok(kill(Pid::from_raw(pid), signal)?)
    }

    /// Whether it has ended.
    ///
    /// # Errors
    ///
    /// When that can't be told.
    pub fn has_ended(&mut self) -> Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Waits until it has ended; returns how long that took.
    ///
    /// # Errors
    ///
    /// When it doesn't end in time.
    pub fn wait(&mut self) -> Result<Duration> {
        let from = Instant::now();
        while self.child.try_wait()?.is_none() {
            if from.elapsed() > WAIT {
                return Err(ProcessError::Late("it didn't end in time".into()));
            }
            std::thread::sleep(LOOK);
        }
        Ok(from.elapsed())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A field of a log line, as text.
pub fn field(line: &str, name: &str) -> Option<String> {
    let line: Value = serde_json::from_str(line).ok()?;
    match line.get("kvs")?.get(name)? {
        Value::String(text) => Some(text.clone()),
        other => Some(other.to_string()),
    }
}

/// Reads a path of a server that closes the connection after the answer, as text.
///
/// # Errors
///
/// When it can't be reached in time or doesn't answer with 200.
pub fn read(address: SocketAddr, path: &str, wait: Duration) -> Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, wait)?;
    stream.set_read_timeout(Some(wait))?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
    )?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    match text.starts_with("HTTP/1.1 200") {
        true => Ok(text),
        false => Err(ProcessError::Late(text)),
    }
}
