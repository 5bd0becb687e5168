//! Settings of one daemon, read once at start.

use std::net::SocketAddr;
use std::path::Path;

use derive_more::{Debug, Display, Error};
use medlarrill_core::clock::Millis;
use medlarrill_core::config::KeyHash;
use medlarrill_core::ids::{DaemonId, DataCentreId, RegionId};
use medlarrill_core::units::ByteSize;
use serde::{Deserialize, Serialize};

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
        /// What failed.
        source: std::io::Error,
    },
    /// The text is not JSON with comments.
    #[display("{path}: {cause}")]
    Syntax {
        /// The file.
        path: String,
        /// What is wrong, with its line.
        cause: String,
    },
}

/// All settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// This daemon's name, which is its VM's.
    pub daemon: DaemonId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The region of its data centre.
    pub region: RegionId,
    /// Where it listens.
    pub listen: Listen,
    /// Secrets.
    pub keys: Keys,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// Daemons to join by, besides the platform's list.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits on callers.
    #[serde(default)]
    pub limits: Limits,
}

/// Where the daemon listens.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Listen {
    /// Callers and operators.
    pub callers: SocketAddr,
    /// Other daemons.
    pub peers: SocketAddr,
    /// What other daemons are told to dial, if it isn't where this one listens.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
}

/// Secrets.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Keys {
    /// Secret that all daemons of the fleet share.
    #[debug(skip)]
    pub fleet: String,
    /// Hashes of the operators' keys.
    #[serde(default)]
    pub operators: Vec<KeyHash>,
}

/// Limits on callers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Limits {
    /// Largest body of a request.
    pub body: ByteSize,
    /// Longest time for a body to arrive.
    pub body_wait: Millis,
    /// Largest head of a request, and bytes of an answer that wait for the socket.
    pub head: ByteSize,
    /// Most headers of a request.
    pub headers: u32,
    /// Longest time for a head to arrive, and for an idle connection to be kept.
    pub head_wait: Millis,
    /// Longest time in which a caller takes nothing of its answer.
    pub write_wait: Millis,
    /// Most connections of callers.
    pub connections: u32,
    /// Bytes of one answer held for a slow caller.
    pub window: ByteSize,
    /// Longest time that a graceful stop waits for answers in flight.
    pub stop: Millis,
    /// Chats remembered by this daemon's directory.
    pub chats: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: ByteSize(4 << 20),
            body_wait: Millis::from_secs(30),
            head: ByteSize(32 << 10),
            headers: 100,
            head_wait: Millis::from_secs(30),
            write_wait: Millis::from_secs(60),
            connections: 20_000,
            window: ByteSize(256 << 10),
            stop: Millis::from_secs(600),
            chats: 100_000,
        }
    }
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// When the file can't be read or isn't what is expected.
    pub fn read(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: name.clone(),
            source,
        })?;
        Self::parse(&text).map_err(|cause| SettingsError::Syntax { path: name, cause })
    }

    fn parse(text: &str) -> std::result::Result<Self, String> {
        let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(
            text,
            &jsonc_parser::ParseOptions::default(),
        )
        .map_err(|error| error.to_string())?;
        serde_json::from_value(value).map_err(|error| error.to_string())
    }
}
