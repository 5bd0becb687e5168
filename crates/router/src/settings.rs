//! Settings of a daemon on the platform: JSON with comments.

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
        /// Why.
        source: std::io::Error,
    },
    /// The text isn't JSON with comments.
    #[display("{path}: {cause}")]
    Syntax {
        /// The file.
        path: String,
        /// What is wrong, with line and column.
        #[error(not(source))]
        cause: String,
    },
    /// A value is missing or of the wrong kind.
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

/// Settings of one daemon. Keys that aren't known are ignored, since the platform may add some.
#[derive(Clone, PartialEq)]
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// Its name.
    pub daemon: DaemonId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Where it listens.
    pub listen: Listen,
    /// Address of the platform's object store.
    pub platform: SocketAddr,
    /// Addresses on VMs of some daemons; may be out of date, and only the VM counts.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, long before its callers come: most
    /// daemons then wait for what others read of the platform.
    #[serde(default)]
    pub first_start: bool,
    /// Whether operators drain data centres through the platform; requests then wait until it is
    /// known which.
    #[serde(default = "yes")]
    pub drains: bool,
    /// What the VM's link carries; daemons on strong VMs do more for the others.
    #[serde(default)]
    pub link: LinkRate,
    /// Time from the signal to stop until the process is killed.
    pub grace: Millis,
    /// Repeats that the fleet may send.
    pub repeats: Repeats,
}

const fn yes() -> bool {
    true
}

/// Addresses of the daemon.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether this daemon takes connections.
    pub ready: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
}

/// Repeats that the fleet may send to a pool.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Repeats {
    /// Repeats for each request.
    pub ratio: f64,
    /// Window in which they are counted.
    pub window: Millis,
    /// Repeats beyond the ratio in a window, all daemons together.
    pub slack: f64,
}

impl From<Repeats> for budget::Settings {
    fn from(repeats: Repeats) -> Self {
        Self {
            ratio: repeats.ratio,
            window: repeats.window,
            slack: repeats.slack,
        }
    }
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// When it can't be read, with the place of what is wrong in it.
    pub fn read(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&name, &text),
            Err(source) => Err(SettingsError::Read { path: name, source }),
        }
    }

    /// Where the daemons on the seeds' VMs listen for other daemons: on the same port as this one.
    pub fn peer_seeds(&self) -> Vec<SocketAddr> {
        let port = self.listen.peers.port();
        let seed = |seed: &SocketAddr| SocketAddr::new(seed.ip(), port);
        self.seeds.iter().map(seed).collect()
    }

    /// Reads the text of a settings file.
    ///
    /// # Errors
    ///
    /// With the place of what is wrong in it.
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
