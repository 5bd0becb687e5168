//! The small parsers that every statement is made of.

use std::fmt::Display;
use std::str::FromStr;

use winnow::prelude::*;
use winnow::stream::TokenSlice;

use super::super::statement::Statement;
use super::super::token::{Token, TokenKind};
use super::error::Syntax;
use super::{change, show};

/// The words still to be read.
pub(super) type Input<'a> = TokenSlice<'a, Token>;
/// Result of reading some words.
pub(super) type Result<T> = std::result::Result<T, Syntax>;

/// A parser of what follows a keyword.
pub(super) struct Branch<T> {
    /// The keyword.
    pub(super) key: &'static str,
    /// Reads what follows.
    pub(super) read: fn(&mut Input<'_>) -> Result<T>,
}

/// A term of a thing: a key with its value.
pub(super) struct Field<T> {
    /// The key.
    pub(super) key: &'static str,
    /// Reads the value into the terms.
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

/// Reads one statement, to its end.
pub(super) fn statement(tokens: &[Token]) -> Result<Statement> {
    let mut input = TokenSlice::new(tokens);
    let statement = branch(VERBS, &mut input)?;
    end(&input)?;
    Ok(statement)
}

/// Reads a keyword and what follows it.
pub(super) fn branch<T>(branches: &[Branch<T>], input: &mut Input<'_>) -> Result<T> {
    let keys: Vec<_> = branches.iter().map(|branch| branch.key).collect();
    let index = keyword(&keys, input)?;
    (branches[index].read)(input)
}

/// Reads one of some keywords and says which.
pub(super) fn keyword(keys: &[&'static str], input: &mut Input<'_>) -> Result<usize> {
    let found = |token: &&Token| match &token.kind {
        TokenKind::Word(word) => keys.iter().position(|key| key == word),
        _ => None,
    };
    let mut parser = winnow::token::any.verify_map(|token| found(&token));
    parser
        .parse_next(input)
        .map_err(|error: Syntax| error.with_expected(any_of(keys)))
}

/// Whether the next word is the keyword; reads it if so.
pub(super) fn found(key: &'static str, input: &mut Input<'_>) -> bool {
    keyword(&[key], input).is_ok()
}

/// Reads the words up to the end as terms, in any order.
pub(super) fn fields<T>(
    table: &[Field<T>],
    terms: &mut T,
    input: &mut Input<'_>,
) -> Result<Vec<&'static str>> {
    let mut seen = Vec::new();
    while !input.is_empty() {
        let left = table.iter().filter(|field| !seen.contains(&field.key));
        let left: Vec<_> = left.collect();
        let keys: Vec<_> = left.iter().map(|field| field.key).collect();
        if keys.is_empty() {
            break;
        }
        let index = keyword(&keys, input)?;
        seen.push(keys[index]);
        (left[index].read)(terms, input)?;
    }
    end(input)?;
    Ok(seen)
}

/// Fails unless some of the keys were seen.
pub(super) fn need(
    needed: &[&'static str],
    seen: &[&'static str],
    input: &Input<'_>,
) -> Result<()> {
    if needed.iter().any(|key| seen.contains(key)) {
        return Ok(());
    }
    Err(Syntax::at(input, any_of(needed)))
}

/// Reads a value into its slot.
pub(super) fn set<T: FromStr<Err: Display>>(
    slot: &mut Option<T>,
    what: &str,
    input: &mut Input<'_>,
) -> Result<()> {
    *slot = Some(value(what, input)?);
    Ok(())
}

/// Reads a value, in quotes or without.
pub(super) fn value<T: FromStr<Err: Display>>(what: &str, input: &mut Input<'_>) -> Result<T> {
    let left = input.len();
    let text = |token: &Token| match &token.kind {
        TokenKind::Word(word) | TokenKind::Quoted(word) => Some(word.clone()),
        _ => None,
    };
    let mut parser = winnow::token::any.verify_map(text);
    let text = parser
        .parse_next(input)
        .map_err(|error: Syntax| error.with_expected(what.into()))?;
    text.parse().map_err(|error| Syntax {
        left,
        expected: format!("{what} ({error})"),
    })
}

/// Fails unless all words were read.
pub(super) fn end(input: &Input<'_>) -> Result<()> {
    if input.is_empty() {
        return Ok(());
    }
    Err(Syntax::at(input, "the end of the statement".into()))
}

fn any_of(keys: &[&'static str]) -> String {
    let quoted: Vec<_> = keys.iter().map(|key| format!("`{key}`")).collect();
    match quoted.split_last() {
        Some((last, rest)) if !rest.is_empty() => format!("{} or {last}", rest.join(", ")),
        _ => quoted.concat(),
    }
}

impl Syntax {
    /// An error at the next word.
    pub(super) fn at(input: &Input<'_>, expected: String) -> Self {
        Self {
            left: input.len(),
            expected,
        }
    }

    fn with_expected(self, expected: String) -> Self {
        Self { expected, ..self }
    }
}
