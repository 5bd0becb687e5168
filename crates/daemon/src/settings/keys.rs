//! Table of all keys of a settings file, with kind, bounds and default.

use medlarrill_core::clock::Millis;
use medlarrill_core::units::ByteSize;

use super::Limits;

/// Minimum length of the fleet's secret, bytes.
pub const MIN_SECRET: usize = 16;
/// Minimum number of distinct bytes in the fleet's secret.
pub const MIN_DISTINCT_BYTES: usize = 6;
const MAX_TEXT: usize = 64;
const SECOND: Millis = Millis::from_secs(1);
const MINUTE: Millis = Millis::from_secs(60);
const DAY: Millis = Millis::from_secs(86_400);
const TIME_UNITS: [(&str, u64); 4] = [
    ("d", DAY.0),
    ("h", 3_600_000),
    ("m", MINUTE.0),
    ("s", SECOND.0),
];
const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

/// Kind of a key's value.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Kind {
    /// An object with keys of its own.
    Object,
    /// Text of at max this many bytes.
    Text(usize),
    /// A name, such as of a daemon or data centre.
    Name,
    /// The fleet's secret.
    Secret,
    /// A file path.
    File,
    /// An IP address and port.
    Address,
    /// A list of addresses.
    Addresses,
    /// A list of key hashes.
    Hashes,
    /// A time within these bounds.
    Time(Millis, Millis),
    /// A size within these bounds.
    Size(ByteSize, ByteSize),
    /// A whole number within these bounds.
    Count(u32, u32),
}

/// Whether a key is required.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Presence {
    /// The key is required.
    Required,
    /// The key is optional; the text describes its default.
    Optional(&'static str),
    /// The key is optional; its default is that of `Limits`.
    Limit,
}

/// A key of the settings file.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Path of the key, such as `listen.peers`.
    pub path: &'static str,
    /// Kind of its value.
    pub kind: Kind,
    /// Whether it is required.
    pub presence: Presence,
    /// Meaning, as shown in the documentation.
    pub meaning: &'static str,
}

const fn required(path: &'static str, kind: Kind, meaning: &'static str) -> Key {
    Key {
        path,
        kind,
        presence: Presence::Required,
        meaning,
    }
}

const fn optional(
    path: &'static str,
    kind: Kind,
    default: &'static str,
    meaning: &'static str,
) -> Key {
    Key {
        path,
        kind,
        presence: Presence::Optional(default),
        meaning,
    }
}

const fn limit(path: &'static str, kind: Kind, meaning: &'static str) -> Key {
    Key {
        path,
        kind,
        presence: Presence::Limit,
        meaning,
    }
}

const fn time(min: Millis, max: Millis) -> Kind {
    Kind::Time(min, max)
}

const fn size(min: u64, max: u64) -> Kind {
    Kind::Size(ByteSize(min), ByteSize(max))
}

/// All keys; each object precedes its own keys.
#[rustfmt::skip]
pub const KEYS: &[Key] = &[
    required("fleet", Kind::Text(MAX_TEXT), "Name of the fleet; daemons of another get nothing."),
    required("daemon", Kind::Name, "Name of this daemon, which is its VM's."),
    required("data-centre", Kind::Name, "Data centre in which it runs."),
    required("region", Kind::Name, "Region of that data centre."),
    required("listen", Kind::Object, "Where it listens."),
    required("listen.callers", Kind::Address, "For callers and operators."),
    required("listen.peers", Kind::Address, "For other daemons."),
    optional("listen.advertise", Kind::Address, "`listen.peers`", "Where other daemons reach it; needed where `listen.peers` is a wildcard. Port 0 stands for the port that is bound."),
    required("keys", Kind::Object, "Secrets."),
    optional("keys.fleet", Kind::Secret, "`keys.fleet-file`", "Secret that all daemons of the fleet share."),
    optional("keys.fleet-file", Kind::File, "`keys.fleet`", "File that holds the secret, by a path from the settings file; white space around it is left out."),
    optional("keys.operators", Kind::Hashes, "`[]`", "BLAKE3 hashes of the operators' keys, in hexadecimal."),
    required("platform", Kind::Address, "The platform's object API."),
    optional("seeds", Kind::Addresses, "`[]`", "Daemons to join by, besides the platform's list."),
    optional("limits", Kind::Object, "`{}`", "Limits on callers."),
    limit("limits.head", size(8 * KIB, MIB), "Largest head of a request, and bytes of an answer that wait for a caller's socket."),
    limit("limits.headers", Kind::Count(8, 1000), "Most headers of a request."),
    limit("limits.head-wait", time(Millis(100), Millis(10 * MINUTE.0)), "Longest time for a head to arrive, and for an idle connection to be kept."),
    limit("limits.body", size(KIB, 7 * MIB), "Largest body of a request."),
    limit("limits.body-wait", time(Millis(100), Millis(10 * MINUTE.0)), "Longest time for a body to arrive."),
    limit("limits.write-wait", time(Millis(100), Millis(60 * MINUTE.0)), "Longest time in which a caller takes nothing of its answer."),
    limit("limits.connections", Kind::Count(8, 1_000_000), "Most connections of callers; further ones wait to be accepted."),
    limit("limits.window", size(16 * KIB, 16 * MIB), "Bytes of one answer held for a slow caller."),
    limit("limits.stop", time(SECOND, DAY), "Longest time that a graceful stop waits for answers in flight."),
    limit("limits.chats", Kind::Count(1, 10_000_000), "Chats remembered by this daemon's directory."),
];

impl Kind {
    /// Text that describes the kind of value.
    pub fn unit(self) -> String {
        match self {
            Self::Object => "object".into(),
            Self::Text(_) => "text".into(),
            Self::Name => "name".into(),
            Self::Secret => "secret text".into(),
            Self::File => "path".into(),
            Self::Address => "IP address and port".into(),
            Self::Addresses => "list of IP addresses and ports".into(),
            Self::Hashes => "list of hashes".into(),
            Self::Time(..) => "time, as `30s`".into(),
            Self::Size(..) => "size, as `4MiB`".into(),
            Self::Count(..) => "whole number".into(),
        }
    }

    /// Text that describes the bounds; empty if there are none.
    pub fn bound(self) -> String {
        match self {
            Self::Text(max) => format!("1 to {max} bytes"),
            Self::Secret => format!("{MIN_SECRET} bytes or more, {MIN_DISTINCT_BYTES} different"),
            Self::Time(min, max) => format!("{} to {}", format_time(min), format_time(max)),
            Self::Size(min, max) => format!("{min} to {max}"),
            Self::Count(min, max) => format!("{min} to {max}"),
            _ => String::new(),
        }
    }
}

/// Formats a time in the largest unit that divides it.
pub(super) fn format_time(time: Millis) -> String {
    let unit = |(_, scale): &(&str, u64)| time.0 >= *scale && time.0.is_multiple_of(*scale);
    let (name, scale) = TIME_UNITS.into_iter().find(unit).unwrap_or(("ms", 1));
    format!("{}{name}", time.0 / scale)
}

fn format_time_or_text(text: &str) -> String {
    text.parse().map_or_else(|_| text.into(), format_time)
}

impl Key {
    /// Text that describes the default.
    pub fn default_text(&self) -> String {
        match self.presence {
            Presence::Required => "needed".into(),
            Presence::Optional(default) => default.into(),
            Presence::Limit => {
                let limits = serde_json::to_value(Limits::default()).unwrap_or_default();
                let name = self.path.rsplit('.').next().unwrap_or_default();
                let value = limits.get(name).cloned().unwrap_or_default();
                let text = value
                    .as_str()
                    .map_or_else(|| value.to_string(), format_time_or_text);
                format!("`{text}`")
            }
        }
    }

    /// Path of the containing object; empty for the root.
    pub fn parent(&self) -> &'static str {
        self.path.rsplit_once('.').map_or("", |(parent, _)| parent)
    }

    /// Row of this key in a Markdown table of all keys.
    pub fn row(&self) -> String {
        format!(
            "| `{}` | {} | {} | {} | {} |",
            self.path,
            self.kind.unit(),
            self.default_text(),
            self.kind.bound(),
            self.meaning
        )
    }
}
