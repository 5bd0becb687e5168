//! Input: statements and keys from arguments, files and standard input.

use std::io::Read;
use std::path::Path;

use medlarrill_core::operator::Quoted;

use crate::args::{Verb, Words};
use crate::{Error, Result};

/// Statements of the verb `status`.
const STATUS: &str = "show daemons; show generations";
/// File name that stands for standard input.
const STDIN: &str = "-";

/// The statements to send for a verb.
pub(crate) fn text(verb: &Verb) -> Result<String> {
    Ok(match verb {
        Verb::Run {
            file: Some(file), ..
        } => read(file)?,
        Verb::Run { statements, .. } if statements.is_empty() => read(Path::new(STDIN))?,
        Verb::Run { statements, .. } => statements.join("\n"),
        Verb::Show(words) => statement("show", words),
        Verb::Create(words) => statement("create", words),
        Verb::Alter(words) => statement("alter", words),
        Verb::Drop(words) => statement("drop", words),
        Verb::Drain(words) => statement("drain", words),
        Verb::Undrain(words) => statement("undrain", words),
        Verb::Order(words) => statement("order", words),
        Verb::Status => STATUS.into(),
        Verb::KeyHash | Verb::Completions { .. } | Verb::Check { .. } => String::new(),
    })
}

/// Joins words into a statement and restores quotes that the shell removed.
fn statement(verb: &str, words: &Words) -> String {
    let words = words.words.iter().map(|word| {
        if word.contains(|c: char| c.is_whitespace() || "\"\\;#".contains(c)) {
            return Quoted(word).to_string();
        }
        word.clone()
    });
    let words: Vec<_> = words.collect();
    format!("{verb} {}", words.join(" "))
}

/// Reads a file, or standard input for `-`.
pub(crate) fn read(file: &Path) -> Result<String> {
    let read = match file.as_os_str() == STDIN {
        true => std::io::read_to_string(std::io::stdin()),
        false => std::fs::read_to_string(file),
    };
    read.map_err(|error| Error::Usage(format!("can't read {}: {error}", file.display())))
}

/// Reads a key from standard input.
pub(crate) fn read_key() -> Result<Vec<u8>> {
    let mut key = Vec::new();
    let read = std::io::stdin().read_to_end(&mut key);
    read.map_err(|error| Error::Usage(format!("can't read the key: {error}")))?;
    trim_key(key)
}

/// Removes line breaks at the end of a key.
pub(crate) fn trim_key(mut key: Vec<u8>) -> Result<Vec<u8>> {
    while key.pop_if(|last| b"\r\n".contains(last)).is_some() {}
    if key.is_empty() {
        return Err(Error::Usage("the key is empty".into()));
    }
    Ok(key)
}
