//! Syntax errors: the place, and what was expected there.

use derive_more::{Debug, Display, Error};
use winnow::error::ParserError;
use winnow::stream::TokenSlice;

use super::super::span::Span;
use super::super::token::{StatementTokens, Token};
use super::MAX_TEXT;

/// Error of a parser: what was expected at a word.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub(super) struct ParseError {
    /// Number of remaining words, including the one that the error concerns.
    pub(super) remaining: usize,
    /// What was expected.
    pub(super) expected: String,
}

impl<'a> ParserError<TokenSlice<'a, Token>> for ParseError {
    type Inner = Self;

    fn from_input(input: &TokenSlice<'a, Token>) -> Self {
        Self {
            remaining: input.len(),
            expected: "another word".into(),
        }
    }

    fn into_inner(self) -> Result<Self::Inner, Self> {
        Ok(self)
    }
}

/// A statement that can't be parsed.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
#[display("statement {statement}, word {word}: {message}")]
pub struct SyntaxError {
    /// Number of the statement, from 1.
    pub statement: usize,
    /// Number of the word in the statement, from 1.
    pub word: usize,
    /// Byte range of the word; empty at the end of a statement.
    pub span: Span,
    /// Byte range of the statement.
    pub whole: Span,
    /// What was expected and what was found.
    pub message: String,
}

/// All syntax errors of a text.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
#[display("{}", _0.iter().map(SyntaxError::to_string).collect::<Vec<_>>().join("\n"))]
pub struct SyntaxErrors(#[error(not(source))] pub Vec<SyntaxError>);

impl From<SyntaxError> for SyntaxErrors {
    fn from(error: SyntaxError) -> Self {
        Self(vec![error])
    }
}

impl SyntaxError {
    pub(super) fn new(
        text: &str,
        statement: usize,
        source: &StatementTokens,
        error: ParseError,
    ) -> Self {
        let index = source.tokens.len() - error.remaining;
        let end = Span::from(source.end..source.end);
        let span = source.tokens.get(index).map_or(end, |token| token.span);
        let found = match span.of(text) {
            "" => "the statement ends here".into(),
            word => format!("found `{word}`"),
        };
        Self {
            statement,
            word: index + 1,
            span,
            whole: source.span(),
            message: format!("expected {}; {found}", error.expected),
        }
    }

    pub(super) fn too_long(length: usize) -> Self {
        Self {
            statement: 1,
            word: 1,
            span: Span::default(),
            whole: Span::default(),
            message: format!("a text has at most {MAX_TEXT} bytes, this one has {length}"),
        }
    }
}
