//! Every key that a settings file may have, with its kind, bound and default.

use medlarrill_core::clock::Millis;
use medlarrill_core::units::ByteSize;

use super::Limits;

/// Fewest bytes of the fleet's secret.
pub const MIN_SECRET: usize = 16;
/// Fewest different bytes of the fleet's secret.
pub const MIN_VARIETY: usize = 6;
const MAX_TEXT: usize = 64;
const SECOND: Millis = Millis::from_secs(1);
const MINUTE: Millis = Millis::from_secs(60);
const DAY: Millis = Millis::from_secs(86_400);
const UNITS: [(&str, u64); 4] = [
    ("d", DAY.0),
    ("h", 3_600_000),
    ("m", MINUTE.0),
    ("s", SECOND.0),
];
const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

/// What a key holds.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Kind {
    /// Further keys.
    Object,
    /// Text with this many bytes at most.
    Text(usize),
    /// A name, as daemons and data centres have.
    Name,
    /// The fleet's secret.
    Secret,
    /// A path of a file.
    File,
    /// IP address and port.
    Address,
    /// A list of addresses.
    Addresses,
    /// A list of hashes of keys.
    Hashes,
    /// A time within these bounds.
    Time(Millis, Millis),
    /// A size within these bounds.
    Size(ByteSize, ByteSize),
    /// A whole number within these bounds.
    Count(u32, u32),
}

/// Whether a key has to be there.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Presence {
    /// It has to be there.
    Needed,
    /// It may be left out; without it holds what the text says.
    Optional(&'static str),
    /// It may be left out; its default is that of `Limits`.
    Limit,
}

/// One key.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Its path, as `listen.peers`.
    pub path: &'static str,
    /// What it holds.
    pub kind: Kind,
    /// Whether it has to be there.
    pub presence: Presence,
    /// What it means.
    pub meaning: &'static str,
}

const fn needed(path: &'static str, kind: Kind, meaning: &'static str) -> Key {
    Key {
        path,
        kind,
        presence: Presence::Needed,
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

const fn time(least: Millis, most: Millis) -> Kind {
    Kind::Time(least, most)
}

const fn size(least: u64, most: u64) -> Kind {
    Kind::Size(ByteSize(least), ByteSize(most))
}

/// All keys; an object stands before its own keys.
#[rustfmt::skip]
pub const KEYS: &[Key] = &[
    needed("fleet", Kind::Text(MAX_TEXT), "Name of the fleet; daemons of another get nothing."),
    needed("daemon", Kind::Name, "Name of this daemon, which is its VM's."),
    needed("data-centre", Kind::Name, "Data centre in which it runs."),
    needed("region", Kind::Name, "Region of that data centre."),
    needed("listen", Kind::Object, "Where it listens."),
    needed("listen.callers", Kind::Address, "For callers and operators."),
    needed("listen.peers", Kind::Address, "For other daemons."),
    optional("listen.advertise", Kind::Address, "`listen.peers`", "Where other daemons reach it; needed where `listen.peers` is a wildcard. Port 0 stands for the port that is bound."),
    needed("keys", Kind::Object, "Secrets."),
    optional("keys.fleet", Kind::Secret, "`keys.fleet-file`", "Secret that all daemons of the fleet share."),
    optional("keys.fleet-file", Kind::File, "`keys.fleet`", "File that holds the secret, by a path from the settings file; white space around it is left out."),
    optional("keys.operators", Kind::Hashes, "`[]`", "BLAKE3 hashes of the operators' keys, in hexadecimal."),
    needed("platform", Kind::Address, "The platform's object API."),
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
    /// What is written, for people.
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

    /// Its bound, for people.
    pub fn bound(self) -> String {
        match self {
            Self::Text(most) => format!("1 to {most} bytes"),
            Self::Secret => format!("{MIN_SECRET} bytes or more, {MIN_VARIETY} different"),
            Self::Time(least, most) => format!("{} to {}", time_text(least), time_text(most)),
            Self::Size(least, most) => format!("{least} to {most}"),
            Self::Count(least, most) => format!("{least} to {most}"),
            _ => String::new(),
        }
    }
}

/// A time in its largest whole unit.
pub(super) fn time_text(time: Millis) -> String {
    let unit = |(_, scale): &(&str, u64)| time.0 >= *scale && time.0.is_multiple_of(*scale);
    let (name, scale) = UNITS.into_iter().find(unit).unwrap_or(("ms", 1));
    format!("{}{name}", time.0 / scale)
}

fn time_or_text(text: &str) -> String {
    text.parse().map_or_else(|_| text.into(), time_text)
}

impl Key {
    /// The default, for people.
    pub fn default_text(&self) -> String {
        match self.presence {
            Presence::Needed => "needed".into(),
            Presence::Optional(default) => default.into(),
            Presence::Limit => {
                let limits = serde_json::to_value(Limits::default()).unwrap_or_default();
                let name = self.path.rsplit('.').next().unwrap_or_default();
                let value = limits.get(name).cloned().unwrap_or_default();
                let text = value
                    .as_str()
                    .map_or_else(|| value.to_string(), time_or_text);
                format!("`{text}`")
            }
        }
    }

    /// The path of the object that it stands in; empty for the file's own.
    pub fn parent(&self) -> &'static str {
        self.path.rsplit_once('.').map_or("", |(parent, _)| parent)
    }

    /// Its row in a table of all keys.
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
