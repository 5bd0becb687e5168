//! A daemon as a process of its own.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use derive_more::{Debug, Display, Error, From};
use serde::Deserialize;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Result of driving a daemon.
pub type Result<T> = std::result::Result<T, DaemonError>;

/// Why a daemon can't be driven.
#[derive(Debug, Display, Error, From)]
pub enum DaemonError {
    /// The process or its files failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// It didn't say where it listens.
    #[display("the daemon printed no address: {_0}")]
    Line(serde_json::Error),
    /// A signal could not be sent.
    #[display("no signal: the daemon has ended")]
    Ended,
}

/// The program that runs a daemon, and what stands before `run`.
#[derive(Clone)]
#[derive(Debug)]
pub struct Program {
    path: PathBuf,
    before: Vec<OsString>,
}

impl Program {
    /// A program by its path.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self {
            path: path.into(),
            before: Vec::new(),
        }
    }

    /// Puts an argument before the daemon's own.
    #[must_use]
    pub fn with_argument(mut self, argument: impl Into<OsString>) -> Self {
        self.before.push(argument.into());
        self
    }

    /// The command that this program's arguments start with.
    pub fn command(&self) -> Command {
        let mut command = Command::new(&self.path);
        command.args(&self.before);
        command
    }
}

/// What a daemon prints when it listens.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Deserialize)]
pub struct Started {
    /// Its name.
    pub daemon: String,
    /// Its process, in hexadecimal.
    pub incarnation: String,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it takes links.
    pub peers: SocketAddr,
}

/// A daemon's process, killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    /// Where it listens.
    pub started: Started,
    child: Child,
}

impl Daemon {
    /// Starts a daemon with a settings file and waits until it listens.
    ///
    /// Its log goes to a file beside the settings.
    pub async fn start(program: &Program, settings: &Path) -> Result<Self> {
        let log = std::fs::File::create(settings.with_extension("log"))?;
        let mut child = program
            .command()
            .arg("run")
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let stdout = child.stdout.take().ok_or(DaemonError::Ended)?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).await?;
        let started = serde_json::from_str(&line)?;
        Ok(Self { started, child })
    }

    /// Its process.
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills it at once.
    pub async fn kill(&mut self) -> Result<()> {
        self.child.kill().await?;
        Ok(())
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: nix::sys::signal::Signal) -> Result<()> {
        let pid = self.pid().and_then(|pid| i32::try_from(pid).ok());
        let pid = nix::unistd::Pid::from_raw(pid.ok_or(DaemonError::Ended)?);
        nix::sys::signal::kill(pid, signal).map_err(|_| DaemonError::Ended)
    }

    /// Asks it to stop in order and waits for its end; whether it ended well.
    pub async fn stop(&mut self) -> Result<bool> {
        self.signal(nix::sys::signal::Signal::SIGTERM)?;
        Ok(self.child.wait().await?.success())
    }
}
