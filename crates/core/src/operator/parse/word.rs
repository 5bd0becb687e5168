//! Basic parsers, from which the statements' parsers are composed.

use std::fmt::Display;
use std::str::FromStr;

use winnow::prelude::*;
use winnow::stream::TokenSlice;

use super::super::statement::Statement;
use super::super::token::{Token, TokenKind};
use super::error::ParseError;
use super::{change, show};

/// The remaining words.
pub(super) type Input<'a> = TokenSlice<'a, Token>;
/// Result of a parser.
pub(super) type Result<T> = std::result::Result<T, ParseError>;

/// A keyword, and the parser of the words after it.
pub(super) struct Branch<T> {
    /// The keyword.
    pub(super) key: &'static str,
    /// Parses the words after it.
    pub(super) read: fn(&mut Input<'_>) -> Result<T>,
}

/// A term of an item: a key and the parser of its value.
pub(super) struct Field<T> {
    /// The key.
    pub(super) key: &'static str,
    /// Parses the value and stores it in the terms.
    pub(super) read: fn(&mut T, &mut Input<'_>) -> Result<()>,
}

const VERBS: &[Branch<Statement>] = &[
    Branch {
        key: "create",
        read: |input| change::create(input).map(Statement::Change),
    },
    Branch {
        key: "alter",
        read: |input| change::alter(input).map(Statement::Change),
    },
    Branch {
        key: "drop",
        read: |input| change::drop(input).map(Statement::Change),
    },
    Branch {
        key: "drain",
        read: |input| change::drain(input).map(Statement::Change),
    },
    Branch {
        key: "undrain",
        read: |input| change::undrain(input).map(Statement::Change),
    },
    Branch {
        key: "order",
        read: |input| show::order(input).map(Statement::Order),
    },
    Branch {
        key: "show",
        read: |input| show::show(input).map(Statement::Show),
    },
];

/// Parses one complete statement.
pub(super) fn statement(tokens: &[Token]) -> Result<Statement> {
    let mut input = TokenSlice::new(tokens);
    let statement = branch(VERBS, &mut input)?;
    end(&input)?;
    Ok(statement)
}

/// Parses a keyword and the words after it.
pub(super) fn branch<T>(branches: &[Branch<T>], input: &mut Input<'_>) -> Result<T> {
    let keys: Vec<_> = branches.iter().map(|branch| branch.key).collect();
    let index = keyword(&keys, input)?;
    (branches[index].read)(input)
}

/// Parses one of the keywords and returns its index.
pub(super) fn keyword(keys: &[&'static str], input: &mut Input<'_>) -> Result<usize> {
    let found = |token: &&Token| match &token.kind {
        TokenKind::Word(word) => keys.iter().position(|key| key == word),
        _ => None,
    };
    let mut parser = winnow::token::any.verify_map(|token| found(&token));
    parser
        .parse_next(input)
        .map_err(|error: ParseError| error.with_expected(any_of(keys)))
}

/// Consumes the next word if it is the keyword; returns whether it was.
pub(super) fn accept_keyword(key: &'static str, input: &mut Input<'_>) -> bool {
    keyword(&[key], input).is_ok()
}

/// Parses the remaining words as terms in any order, and returns the keys.
pub(super) fn fields<T>(
    table: &[Field<T>],
    terms: &mut T,
    input: &mut Input<'_>,
) -> Result<Vec<&'static str>> {
    let mut seen = Vec::new();
    while !input.is_empty() {
        let unused = table.iter().filter(|field| !seen.contains(&field.key));
        let unused: Vec<_> = unused.collect();
        let keys: Vec<_> = unused.iter().map(|field| field.key).collect();
        if keys.is_empty() {
            break;
        }
        let index = keyword(&keys, input)?;
        seen.push(keys[index]);
        (unused[index].read)(terms, input)?;
    }
    end(input)?;
    Ok(seen)
}

/// Fails unless at least one of the keys was given.
pub(super) fn require(
    needed: &[&'static str],
    seen: &[&'static str],
    input: &Input<'_>,
) -> Result<()> {
    if needed.iter().any(|key| seen.contains(key)) {
        return Ok(());
    }
    Err(ParseError::at(input, any_of(needed)))
}

/// Parses a value and stores it.
pub(super) fn set<T: FromStr<Err: Display>>(
    slot: &mut Option<T>,
    what: &str,
    input: &mut Input<'_>,
) -> Result<()> {
    *slot = Some(value(what, input)?);
    Ok(())
}

/// Parses a value, quoted or not.
pub(super) fn value<T: FromStr<Err: Display>>(what: &str, input: &mut Input<'_>) -> Result<T> {
    let remaining = input.len();
    let text = |token: &Token| match &token.kind {
        TokenKind::Word(word) | TokenKind::Quoted(word) => Some(word.clone()),
        _ => None,
    };
    let mut parser = winnow::token::any.verify_map(text);
    let text = parser
        .parse_next(input)
        .map_err(|error: ParseError| error.with_expected(what.into()))?;
    text.parse().map_err(|error| ParseError {
        remaining,
        expected: format!("{what} ({error})"),
    })
}

/// Fails unless all words were consumed.
pub(super) fn end(input: &Input<'_>) -> Result<()> {
    if input.is_empty() {
        return Ok(());
    }
    Err(ParseError::at(input, "the end of the statement".into()))
}

fn any_of(keys: &[&'static str]) -> String {
    let quoted: Vec<_> = keys.iter().map(|key| format!("`{key}`")).collect();
    match quoted.split_last() {
        Some((last, rest)) if !rest.is_empty() => format!("{} or {last}", rest.join(", ")),
        _ => quoted.concat(),
    }
}

impl ParseError {
    /// An error at the next word.
    pub(super) fn at(input: &Input<'_>, expected: String) -> Self {
        Self {
            remaining: input.len(),
            expected,
        }
    }

    fn with_expected(self, expected: String) -> Self {
        Self { expected, ..self }
    }
}
