//! Settings of one daemon, read once at start.
//!
//! `keys` is the table of all keys, `check` reports every fault of a file as a
//! finding, and only a file without findings is used.

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
use finding::SourceText;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Why settings are invalid.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// A file can't be read.
    #[display("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file has findings.
    #[display("{}", finding_lines(path, findings))]
    Findings {
        /// The file.
        path: String,
        /// All findings, in the order of their positions.
        findings: Vec<Finding>,
    },
}

fn finding_lines(path: &str, findings: &[Finding]) -> String {
    let lines: Vec<String> = findings
        .iter()
        .map(|finding| format!("{path}:{finding}"))
        .collect();
    lines.join("\n")
}

/// Settings of one daemon.
#[derive(Clone)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// This daemon's name, the same as its VM's.
    pub daemon: DaemonId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The region of its data centre.
    pub region: RegionId,
    /// Listen addresses.
    pub listen: Listen,
    /// Secrets.
    pub keys: Keys,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Addresses of daemons to join the fleet through, besides the platform's list.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits on callers.
    #[serde(default)]
    pub limits: Limits,
}

/// Listen addresses.
#[derive(Clone)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Listen {
    /// Address for callers and operators.
    pub callers: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address at which other daemons reach this one, if it isn't `peers`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
}

impl Listen {
    /// Address at which other daemons reach this one, once the port is bound.
    ///
    /// Port 0 of `advertise` stands for the port that is bound.
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
    /// File that holds the secret; its path is relative to the settings file.
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
    /// Maximum size of a request body.
    pub body: ByteSize,
    /// Maximum time to receive a body.
    pub body_wait: Millis,
    /// Maximum size of a request head, and of the bytes of a response buffered for the socket.
    pub head: ByteSize,
    /// Maximum number of headers of a request.
    pub headers: u32,
    /// Maximum time to receive a head, and to keep an idle connection.
    pub head_wait: Millis,
    /// Maximum time in which a caller reads nothing of its response.
    pub write_wait: Millis,
    /// Maximum number of callers' connections.
    pub connections: u32,
    /// Bytes of one answer buffered for a slow caller.
    pub window: ByteSize,
    /// Maximum time that a graceful stop waits for answers in flight.
    pub stop: Millis,
    /// Maximum number of chats in this daemon's directory.
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
    /// Reads a settings file, and the secret from its own file if it names one.
    ///
    /// # Errors
    ///
    /// When a file can't be read, or with all findings in it.
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

    /// Parses the text of a settings file; doesn't read a secret from a separate file.
    ///
    /// # Errors
    ///
    /// All findings, in the order of their positions.
    pub fn parse(text: &str) -> std::result::Result<Self, Vec<Finding>> {
        let findings = check(text);
        if !findings.is_empty() {
            return Err(findings);
        }
        let file_finding = |cause: &dyn std::fmt::Display| {
            vec![SourceText(text).finding(0, "", cause.to_string())]
        };
        let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &OPTIONS)
            .map_err(|error| file_finding(&error))?;
        serde_json::from_value(value).map_err(|error| file_finding(&error))
    }

    /// Reads the fleet's secret from its own file, if the settings name one.
    fn with_secret(mut self, path: &Path, text: &[u8]) -> std::result::Result<Self, Vec<Finding>> {
        let Some(file) = &self.keys.fleet_file else {
            return Ok(self);
        };
        let file = path.parent().unwrap_or(Path::new("")).join(file);
        let secret = std::fs::read_to_string(&file)
            .map_err(|error| format!("{}: {error}", file.display()))
            .and_then(|secret| {
                let secret = secret.trim();
                value::check_secret(secret).map(|()| secret.to_owned())
            });
        match secret {
            Ok(secret) => {
                self.keys.fleet = secret;
                Ok(self)
            }
            Err(cause) => {
                let text = std::str::from_utf8(text).unwrap_or_default();
                let offset = text.find("\"fleet-file\"").unwrap_or_default();
                Err(vec![SourceText(text).finding(
                    offset,
                    "keys.fleet-file",
                    cause,
                )])
            }
        }
    }
}

fn not_utf8(text: &[u8], valid: usize) -> Finding {
    let before = String::from_utf8_lossy(text.get(..valid).unwrap_or_default());
    SourceText(&before).finding(valid, "", "the text is not UTF-8")
}
