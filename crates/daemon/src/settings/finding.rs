//! What is wrong in a settings file, with its place.

use derive_more::Display;

/// One thing that is wrong.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
#[derive(Display)]
#[display("{line}:{column}: {}{text}", prefix(key))]
pub struct Finding {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the key, as `listen.peers`; empty for the whole file.
    pub key: String,
    /// What is wrong and, where one can tell, what is right.
    pub text: String,
}

fn prefix(key: &str) -> String {
    match key {
        "" => String::new(),
        key => format!("{key}: "),
    }
}

/// Finds lines and columns in a text.
#[derive(Clone, Copy)]
pub(super) struct Text<'a>(pub(super) &'a str);

impl Text<'_> {
    /// A finding at a byte of the text.
    pub(super) fn finding(self, at: usize, key: &str, text: impl Into<String>) -> Finding {
        let before = self.0.get(..at).unwrap_or(self.0);
        let line = before.rsplit('\n').next().unwrap_or_default();
        Finding {
            line: before.matches('\n').count() + 1,
            column: line.chars().count() + 1,
            key: key.into(),
            text: text.into(),
        }
    }
}
