//! Faults, and what they may harm.

use std::time::Duration;

use derive_more::Debug;
use medlarrill_platform_standin::{Behaviour, Outage, Watches};
use medlarrill_testkit::proxy::Harm;
use serde_json::Value;

use super::Odd;

/// What happens to what.
#[derive(Clone, PartialEq, Debug)]
pub enum Fault {
    /// A daemon is told to stop, and started again when it has ended.
    Stop(usize),
    /// A daemon is killed, and started again.
    Kill(usize),
    /// A daemon is killed, and started again after a time.
    PowerOff(usize, Duration),
    /// A daemon stands still.
    Freeze(usize, Duration),
    /// A daemon is told to read its settings again.
    Reload(usize),
    /// Connections of a daemon to the store are harmed.
    HarmStore(usize, Harm, Duration),
    /// Connections to an endpoint are harmed.
    HarmEndpoint(usize, Harm, Duration),
    /// The store fails.
    Store(Outage, Duration),
    /// The store is restored from a copy of this age, after being away.
    Restore(Duration, Duration, Watches),
    /// The store forgets its history.
    Forget,
    /// A new version of the configuration.
    Configure,
    /// An endpoint behaves badly.
    Behave(usize, Box<Behaviour>, Duration),
    /// An endpoint announces that it leaves, and is listed again later.
    Drain(usize, Duration),
    /// An endpoint's entry is removed, and listed again later.
    Unlist(usize, Duration),
    /// An endpoint starts again under its id.
    Restart(usize),
    /// Another writer replaces an endpoint's entry, which is listed again later.
    Foreign(usize, Foreign, Duration),
    /// A request has ended an endpoint, which is started again.
    Crash(usize),
    /// The second data centre is drained, and restored later.
    DrainCentre(Duration),
    /// An endpoint tells that it has to be spared for a while.
    Warm(usize, Duration),
    /// An endpoint says in its answers that it leaves, whatever its entry says; another process
    /// follows it under its id.
    Leave(usize, Duration),
    /// An endpoint refuses all requests, and asks each daemon that sends one for a pause.
    Pause(usize, Duration),
    /// A daemon loses its paths to all endpoints.
    CutOff(usize, Cut, Duration),
    /// An endpoint neither reads nor writes, and goes on where it was.
    Hush(usize, Duration),
    /// An endpoint ends, and another one of a software version starts at its address.
    Replace(usize, &'static str),
    /// An endpoint ends, and its entry is removed.
    End(usize),
    /// Another writer makes an odd entry of an endpoint's, or adds one, which is gone later.
    Odd(Option<usize>, Odd, Duration),
}

/// What becomes of connections when a path is cut.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Cut {
    /// Open ones fall silent, new ones get no answer.
    Hang,
    /// Open ones are reset, new ones are refused.
    Reset,
    /// Open ones live on, new ones are refused.
    NewOnly,
}

/// An entry that names no endpoint.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Foreign {
    /// Text in place of fields.
    Text,
    /// A field is missing.
    Missing,
    /// A field is of another type.
    OtherType,
    /// A state that nobody knows.
    State,
}

impl Foreign {
    /// What another writer makes of an entry.
    pub fn of(self, mut entry: Value) -> Value {
        let Some(fields) = entry.as_object_mut() else {
            return entry;
        };
        match self {
            Self::Text => return "text".into(),
            Self::Missing => fields.remove("address"),
            Self::OtherType => fields.insert("slots".to_owned(), "eight".into()),
            Self::State => fields.insert("state".to_owned(), "resting".into()),
        };
        entry
    }
}

impl Fault {
    /// Whether operators plan such a thing, or callers may not notice it; all else is trouble.
    pub const fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::Stop(_)
                | Self::Reload(_)
                | Self::Configure
                | Self::Drain(..)
                | Self::Forget
                | Self::DrainCentre(_)
                | Self::Warm(..)
                | Self::Leave(..)
                | Self::Odd(..)
        )
    }

    /// Whether it may keep a daemon from sending, seeing or telling anything.
    pub const fn harms_daemon(&self, number: usize) -> bool {
        match self {
            Self::Stop(daemon)
            | Self::Kill(daemon)
            | Self::PowerOff(daemon, _)
            | Self::Freeze(daemon, _) => *daemon == number,
            _ => false,
        }
    }

    /// How long it lasts.
    pub const fn length(&self) -> Duration {
        match self {
            Self::Freeze(_, length)
            | Self::PowerOff(_, length)
            | Self::Hush(_, length)
            | Self::HarmStore(_, _, length)
            | Self::HarmEndpoint(_, _, length)
            | Self::Store(_, length)
            | Self::Behave(_, _, length)
            | Self::Drain(_, length)
            | Self::Unlist(_, length)
            | Self::Foreign(_, _, length)
            | Self::DrainCentre(length)
            | Self::Warm(_, length)
            | Self::Leave(_, length)
            | Self::Pause(_, length)
            | Self::Restore(_, length, _)
            | Self::Odd(_, _, length)
            | Self::CutOff(_, _, length) => *length,
            Self::Stop(_)
            | Self::Kill(_)
            | Self::Reload(_)
            | Self::Forget
            | Self::Configure
            | Self::Restart(_)
            | Self::Crash(_)
            | Self::Replace(..)
            | Self::End(_) => Duration::ZERO,
        }
    }
}
