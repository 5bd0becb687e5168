//! Free texts in statements, and how they are quoted.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Debug, Display, Error};

/// Result of reading a free text.
pub type Result<T> = std::result::Result<T, TextError>;

/// A text that can't stand in a statement.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
pub enum TextError {
    /// No text at all.
    #[display("the text must not be empty")]
    Empty,
    /// A control character.
    #[display("the text must hold no control characters")]
    Control,
}

/// A text as a statement shows it: plain if it can be, else in quotes.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct Quoted<'a>(pub &'a str);

/// Whether a character may stand in a word without quotes.
pub(super) fn is_plain(c: char) -> bool {
    !c.is_whitespace() && !c.is_control() && !"\";#=!\\".contains(c)
}

impl std::fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if !self.0.is_empty() && self.0.chars().all(is_plain) {
            return f.write_str(self.0);
        }
        let escaped = self.0.replace('\\', r"\\").replace('"', "\\\"");
        write!(f, "\"{escaped}\"")
    }
}

/// A free text in a statement: a field, a value, an adapter.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display)]
#[debug("{_0:?}")]
#[display("{}", Quoted(_0))]
pub struct Text(Arc<str>);

impl Text {
    /// The text without quotes.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Text {
    type Err = TextError;

    fn from_str(text: &str) -> Result<Self> {
        if text.is_empty() {
            return Err(TextError::Empty);
        }
        if text.contains(char::is_control) {
            return Err(TextError::Control);
        }
        Ok(Self(text.into()))
    }
}
