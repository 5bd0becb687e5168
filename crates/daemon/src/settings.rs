//! Settings of one daemon, read once at start.
//!
//! `keys` is the table of all keys, `check` finds everything that is wrong in
//! a file, and only a file without findings is used.

mod check;
mod finding;
mod keys;
mod value;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use derive_more::{Debug, Display, Error};
use medlarrill_core::clock::Millis;
use medlarrill_core::config::KeyHash;
use medlarrill_core::ids::{DaemonId, DataCentreId, RegionId};
use medlarrill_core::units::ByteSize;
use serde::{Deserialize, Serialize};

pub use check::check;
pub use finding::Finding;
pub use keys::{KEYS, Key, Kind, Presence};

use check::OPTIONS;
use finding::Text;

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
    /// Something in the file is wrong.
    #[display("{}", list(path, findings))]
    Findings {
        /// The file.
        path: String,
        /// All that is wrong, in the order of its places.
        findings: Vec<Finding>,
    },
}

fn list(path: &str, findings: &[Finding]) -> String {
    let lines: Vec<String> = findings
        .iter()
        .map(|finding| format!("{path}:{finding}"))
        .collect();
    lines.join("\n")
}

/// All settings.
#[derive(Clone)]
#[derive(Debug, Serialize, Deserialize)]
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
#[derive(Clone)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Listen {
    /// Callers and operators.
    pub callers: SocketAddr,
    /// Other daemons.
    pub peers: SocketAddr,
    /// Where other daemons reach it, if that isn't `peers`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
}

impl Listen {
    /// Where other daemons reach it, once the port is bound.
    pub fn reachable(&self, bound: SocketAddr) -> SocketAddr {
        let Some(mut advertised) = self.advertise else {
            return bound;
        };
        if advertised.port() == 0 {
            advertised.set_port(bound.port());
        }
        advertised
    }
}

/// Secrets.
#[derive(Clone)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Keys {
    /// Secret that all daemons of the fleet share.
    #[debug(skip)]
    #[serde(default, skip_serializing)]
    pub fleet: String,
    /// File that holds the secret, by a path from the settings file.
    #[serde(default)]
    pub fleet_file: Option<PathBuf>,
    /// Hashes of the operators' keys.
    #[serde(default)]
    pub operators: Vec<KeyHash>,
}

/// Limits on callers.
#[derive(Clone)]
#[derive(Debug, Serialize, Deserialize)]
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
    /// Reads a settings file and the secret that it may name.
    ///
    /// # Errors
    ///
    /// When a file can't be read, or with all that is wrong in it.
    pub fn read(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = std::fs::read(path).map_err(|source| SettingsError::Read {
            path: name.clone(),
            source,
        })?;
        let settings = match std::str::from_utf8(&text) {
            Ok(text) => Self::parse(text),
            Err(error) => Err(vec![not_utf8(&text, error.valid_up_to())]),
        };
        settings
            .and_then(|settings| settings.with_secret(path, &text))
            .map_err(|findings| SettingsError::Findings {
                path: name,
                findings,
            })
    }

    /// Reads the text of a settings file; a secret in a file of its own isn't read.
    ///
    /// # Errors
    ///
    /// All that is wrong in it, in the order of the places.
    pub fn parse(text: &str) -> std::result::Result<Self, Vec<Finding>> {
        let findings = check(text);
        if !findings.is_empty() {
            return Err(findings);
        }
        let whole =
            |cause: &dyn std::fmt::Display| vec![Text(text).finding(0, "", cause.to_string())];
        let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &OPTIONS)
            .map_err(|error| whole(&error))?;
        serde_json::from_value(value).map_err(|error| whole(&error))
    }

    /// Takes the fleet's secret from its file, if it has one.
    fn with_secret(mut self, path: &Path, text: &[u8]) -> std::result::Result<Self, Vec<Finding>> {
        let Some(file) = &self.keys.fleet_file else {
            return Ok(self);
        };
        let file = path.parent().unwrap_or(Path::new("")).join(file);
        let secret = std::fs::read_to_string(&file)
            .map_err(|error| format!("{}: {error}", file.display()))
            .and_then(|secret| {
                let secret = secret.trim();
                value::secret(secret).map(|()| secret.to_owned())
            });
        match secret {
            Ok(secret) => {
                self.keys.fleet = secret;
                Ok(self)
            }
            Err(cause) => {
                let text = std::str::from_utf8(text).unwrap_or_default();
                let at = text.find("\"fleet-file\"").unwrap_or_default();
                Err(vec![Text(text).finding(at, "keys.fleet-file", cause)])
            }
        }
    }
}

fn not_utf8(text: &[u8], valid: usize) -> Finding {
    let before = String::from_utf8_lossy(text.get(..valid).unwrap_or_default());
    Text(&before).finding(valid, "", "the text is not UTF-8")
}
