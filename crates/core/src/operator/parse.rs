//! Parses a text into statements.

mod change;
mod error;
mod show;
mod word;

use super::span::Span;
use super::statement::{Change, Statement};
use super::token::{self, StatementTokens, TokenKind};

pub use error::{SyntaxError, SyntaxErrors};

/// Maximum length of a text, in bytes.
pub const MAX_TEXT: usize = 1 << 20;

/// Result of parsing a text.
pub type Result<T> = std::result::Result<T, SyntaxErrors>;

/// A statement with the byte ranges of its words.
#[derive(Clone, PartialEq, Debug)]
pub struct ParsedStatement {
    /// The statement.
    pub statement: Statement,
    /// Byte range in the text.
    pub span: Span,
    words: Vec<Word>,
}

/// A word, unquoted, and its byte range.
#[derive(Clone, PartialEq, Eq, Debug)]
struct Word {
    text: String,
    span: Span,
}

/// Parses every statement of a text.
///
/// # Errors
///
/// One error for each statement that can't be parsed, with the word that it concerns.
pub fn parse(text: &str) -> Result<Vec<ParsedStatement>> {
    if text.len() > MAX_TEXT {
        return Err(SyntaxError::too_long(text.len()).into());
    }
    let mut statements = Vec::new();
    let mut errors = Vec::new();
    for (index, source) in token::tokenize(text).iter().enumerate() {
        match parse_statement(text, source) {
            Ok(statement) => statements.push(statement),
            Err(error) => errors.push(SyntaxError::new(text, index + 1, source, error)),
        }
    }
    if errors.is_empty() {
        return Ok(statements);
    }
    Err(SyntaxErrors(errors))
}

fn parse_statement(
    text: &str,
    source: &StatementTokens,
) -> std::result::Result<ParsedStatement, error::ParseError> {
    let statement = word::statement(&source.tokens)?;
    let words = source.tokens.iter().map(|token| Word::new(text, token));
    Ok(ParsedStatement {
        statement,
        span: source.span(),
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

/// Position of one word of a statement.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WordPosition {
    /// Number of the word in its statement, from 1.
    pub number: usize,
    /// Byte range in the text.
    pub span: Span,
}

impl ParsedStatement {
    /// The change, if the statement is one.
    pub fn change(&self) -> Option<&Change> {
        match &self.statement {
            Statement::Change(change) => Some(change),
            _ => None,
        }
    }

    /// Position of a field's value; without the field, of the item's name.
    pub fn position(&self, field: Option<&str>) -> WordPosition {
        // After the verb, words are pairs of key and value.
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
