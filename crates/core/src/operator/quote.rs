//! Free texts in statements, and their quoting.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Debug, Display, Error};

/// Result of reading a free text.
pub type Result<T> = std::result::Result<T, TextError>;

/// A text that is not allowed in a statement.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
pub enum TextError {
    /// The empty text.
    #[display("the text must not be empty")]
    Empty,
    /// A control character.
    #[display("the text must hold no control characters")]
    Control,
}

/// Formats a text for a statement: without quotes if possible, else quoted.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub struct Quoted<'a>(pub &'a str);

/// Whether a character is allowed in a word without quotes.
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

/// A free text in a statement, such as a column, a value or an adapter's name.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display)]
#[debug("{_0:?}")]
#[display("{}", Quoted(_0))]
pub struct Text(Arc<str>);

impl Text {
    /// The unquoted text.
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
