//! What can't be read, and what was expected instead.

use derive_more::{Debug, Display, Error};
use winnow::error::ParserError;
use winnow::stream::TokenSlice;

use super::super::span::Span;
use super::super::token::{Line, Token};
use super::MAX_TEXT;

/// What was expected at the next word, or is wrong with the last one.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub(super) struct Syntax {
    /// Words left, counting the one in question.
    pub(super) left: usize,
    /// What was expected.
    pub(super) expected: String,
}

impl<'a> ParserError<TokenSlice<'a, Token>> for Syntax {
    type Inner = Self;

    fn from_input(input: &TokenSlice<'a, Token>) -> Self {
        Self {
            left: input.len(),
            expected: "another word".into(),
        }
    }

    fn into_inner(self) -> Result<Self::Inner, Self> {
        Ok(self)
    }
}

/// A statement that can't be read.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
#[display("statement {statement}, word {word}: {message}")]
pub struct SyntaxError {
    /// Which statement it is, counted from 1.
    pub statement: usize,
    /// Which word of it, counted from 1.
    pub word: usize,
    /// Where the word stands; empty at the end of a statement.
    pub span: Span,
    /// Where the statement stands.
    pub whole: Span,
    /// What was expected.
    pub message: String,
}

/// All statements of a text that can't be read.
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
    pub(super) fn new(text: &str, statement: usize, line: &Line, syntax: Syntax) -> Self {
        let index = line.tokens.len() - syntax.left;
        let end = Span::from(line.end..line.end);
        let span = line.tokens.get(index).map_or(end, |token| token.span);
        let found = match span.of(text) {
            "" => "the statement ends here".into(),
            word => format!("found `{word}`"),
        };
        Self {
            statement,
            word: index + 1,
            span,
            whole: line.span(),
            message: format!("expected {}; {found}", syntax.expected),
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
