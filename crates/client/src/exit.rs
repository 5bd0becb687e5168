//! Exit codes of the client.

use std::process::ExitCode;

use medlarrill_core::operator::answer::{Answer, Verdict};

/// Exit code of the client.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Exit {
    /// Everything was done.
    Done = 0,
    /// Something was refused or in conflict; that change was not made.
    Refused = 1,
    /// The command line, a file or the output is wrong; nothing was sent.
    Usage = 2,
    /// No daemon, or the platform, could be reached; nothing was changed.
    Unreachable = 3,
    /// The change may have been accepted, or may be accepted later.
    Unknown = 4,
    /// The change is accepted, but some daemon hasn't applied it yet.
    Lagging = 5,
}

impl Exit {
    /// The exit code for an answer: that of the verdict that is worst to overlook.
    pub fn of(answer: &Answer, waited: bool) -> Self {
        let has = |wanted| answer.results.iter().any(|r| r.verdict == wanted);
        if has(Verdict::Unknown) {
            return Self::Unknown;
        }
        if has(Verdict::Refused) || has(Verdict::Conflict) {
            return Self::Refused;
        }
        if has(Verdict::Unavailable) {
            return Self::Unreachable;
        }
        if waited && !answer.lagging.is_empty() {
            return Self::Lagging;
        }
        Self::Done
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        (exit as u8).into()
    }
}
