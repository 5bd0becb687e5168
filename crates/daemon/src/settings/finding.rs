//! Faults found in a settings file, with their positions.

use derive_more::Display;

/// A fault in a settings file.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
#[derive(Display)]
#[display("{line}:{column}: {}{text}", prefix(key))]
pub struct Finding {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the key, such as `listen.peers`; empty for the whole file.
    pub key: String,
    /// What is wrong and, if known, how to correct it.
    pub text: String,
}

fn prefix(key: &str) -> String {
    match key {
        "" => String::new(),
        key => format!("{key}: "),
    }
}

/// Text of a settings file; converts byte offsets to lines and columns.
#[derive(Clone, Copy)]
pub(super) struct SourceText<'a>(pub(super) &'a str);

impl SourceText<'_> {
    /// A finding at a byte offset of the text.
    pub(super) fn finding(self, offset: usize, key: &str, text: impl Into<String>) -> Finding {
        let before = self.0.get(..offset).unwrap_or(self.0);
        let line = before.rsplit('\n').next().unwrap_or_default();
        Finding {
            line: before.matches('\n').count() + 1,
            column: line.chars().count() + 1,
            key: key.into(),
            text: text.into(),
        }
    }
}
