//! Settings of a daemon on the platform, read from a file of JSON with comments.

use std::net::SocketAddr;
use std::path::Path;

use derive_more::{Debug, Display, Error};
use jsonc_parser::ParseOptions;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{DaemonId, DataCentreId};
use medlarrill_core::routing::budget;
use medlarrill_core::units::LinkRate;
use serde::Deserialize;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Why settings can't be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The text isn't valid JSON with comments.
    #[display("{path}: {cause}")]
    Syntax {
        /// The file.
        path: String,
        /// What is wrong, with line and column.
        #[error(not(source))]
        cause: String,
    },
    /// A value is missing or of the wrong type.
    #[display("{path}: {place}: {cause}")]
    Value {
        /// The file.
        path: String,
        /// Path of the value.
        place: String,
        /// What is wrong.
        #[error(not(source))]
        cause: String,
    },
}

/// Settings of one daemon. Unknown keys are ignored, since the platform may add some.
#[derive(Clone, PartialEq)]
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Addresses on which it listens.
    pub listen: Listen,
    /// Address of the platform's object store.
    pub platform: SocketAddr,
    /// Addresses of some daemons' VMs; they may be out of date, and the port is ignored.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the complete fleet starts for the first time, long before its callers come: most
    /// daemons then wait for copies of what others read from the platform.
    #[serde(default)]
    pub first_start: bool,
    /// Whether operators drain data centres through the platform; requests then wait until the
    /// drained ones are known.
    #[serde(default = "yes")]
    pub drains: bool,
    /// Rate of the VM's network link; daemons with faster links do more work for the others.
    #[serde(default)]
    pub link: LinkRate,
    /// File descriptors that the process may have; connections of callers beyond them are closed
    /// unread.
    #[serde(default)]
    pub files: Option<usize>,
    /// Time from the signal to stop until the process is killed.
    pub grace: Millis,
    /// Retry budget of the fleet.
    #[serde(rename = "repeats")]
    pub retries: RetrySettings,
}

const fn yes() -> bool {
    true
}

/// Addresses on which the daemon listens.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// Scrapes of metrics.
    pub metrics: SocketAddr,
    /// Other daemons: datagrams of the exchange, and connections that relay copies.
    pub peers: SocketAddr,
}

/// Retries that the fleet may send to one pool.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RetrySettings {
    /// Retries per request.
    pub ratio: f64,
    /// Window in which requests and retries are counted.
    pub window: Millis,
    /// Retries beyond the ratio in each window, for all daemons together.
    pub slack: f64,
}

impl From<RetrySettings> for budget::Settings {
    fn from(retries: RetrySettings) -> Self {
        Self {
            ratio: retries.ratio,
            window: retries.window,
            slack: retries.slack,
        }
    }
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// When the file can't be read or its text is invalid; names the file and the place.
    pub fn read(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&name, &text),
            Err(source) => Err(SettingsError::Read { path: name, source }),
        }
    }

    /// Peer addresses of the seeds, which listen for other daemons on the same port as this one.
    pub fn peer_seeds(&self) -> Vec<SocketAddr> {
        let port = self.listen.peers.port();
        let seed = |seed: &SocketAddr| SocketAddr::new(seed.ip(), port);
        self.seeds.iter().map(seed).collect()
    }

    /// Reads the text of a settings file.
    ///
    /// # Errors
    ///
    /// When the text is invalid; names the place.
    pub fn parse(path: &str, text: &str) -> Result<Self> {
        let options = ParseOptions::default();
        let value: serde_json::Value =
            jsonc_parser::parse_to_serde_value(text, &options).map_err(|error| {
                SettingsError::Syntax {
                    path: path.to_owned(),
                    cause: error.to_string(),
                }
            })?;
        serde_path_to_error::deserialize(&value).map_err(|error| SettingsError::Value {
            path: path.to_owned(),
            place: error.path().to_string(),
            cause: error.inner().to_string(),
        })
    }
}
