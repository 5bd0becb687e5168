//! Text to statements.

mod change;
mod error;
mod show;
mod word;

use super::span::Span;
use super::statement::{Change, Statement};
use super::token::{self, Line, TokenKind};

pub use error::{SyntaxError, SyntaxErrors};

/// Longest text, in bytes.
pub const MAX_TEXT: usize = 1 << 20;

/// Result of reading a text.
pub type Result<T> = std::result::Result<T, SyntaxErrors>;

/// A statement with the places of its words.
#[derive(Clone, PartialEq, Debug)]
pub struct ParsedStatement {
    /// What it says.
    pub statement: Statement,
    /// Where it stands.
    pub span: Span,
    words: Vec<Word>,
}

/// A word and its place.
#[derive(Clone, PartialEq, Eq, Debug)]
struct Word {
    text: String,
    span: Span,
}

/// Reads every statement of a text.
///
/// # Errors
///
/// All statements that can't be read, each with the word in question.
pub fn parse(text: &str) -> Result<Vec<ParsedStatement>> {
    if text.len() > MAX_TEXT {
        return Err(SyntaxError::too_long(text.len()).into());
    }
    let mut sentences = Vec::new();
    let mut errors = Vec::new();
    for (index, line) in token::split(text).iter().enumerate() {
        match sentence(text, line) {
            Ok(sentence) => sentences.push(sentence),
            Err(syntax) => errors.push(SyntaxError::new(text, index + 1, line, syntax)),
        }
    }
    if errors.is_empty() {
        return Ok(sentences);
    }
    Err(SyntaxErrors(errors))
}

fn sentence(text: &str, line: &Line) -> std::result::Result<ParsedStatement, error::Syntax> {
    let statement = word::statement(&line.tokens)?;
    let words = line.tokens.iter().map(|token| Word::new(text, token));
    Ok(ParsedStatement {
        statement,
        span: line.span(),
        words: words.collect(),
    })
}

impl Word {
    fn new(text: &str, token: &token::Token) -> Self {
        let value = match &token.kind {
            TokenKind::Word(word) | TokenKind::Quoted(word) => word.clone(),
            _ => token.span.of(text).into(),
        };
        Self {
            text: value,
            span: token.span,
        }
    }
}

/// One word of a sentence, counted from 1.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WordPosition {
    /// Which word it is.
    pub number: usize,
    /// Where it stands.
    pub span: Span,
}

impl ParsedStatement {
    /// The change it asks for, if it is one.
    pub fn change(&self) -> Option<&Change> {
        match &self.statement {
            Statement::Change(change) => Some(change),
            _ => None,
        }
    }

    /// The value given for a field; else the name of the thing.
    pub fn place(&self, field: Option<&str>) -> WordPosition {
        // After the verb, words come in pairs of key and value.
        let keys = (1..self.words.len()).step_by(2);
        let named = |index: &usize| Some(self.words[*index].text.as_str()) == field;
        let key = keys.into_iter().find(named).unwrap_or(1);
        let index = (key + 1).min(self.words.len() - 1);
        WordPosition {
            number: index + 1,
            span: self.words[index].span,
        }
    }
}
