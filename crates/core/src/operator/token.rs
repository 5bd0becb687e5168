//! Tokenizer: splits a text into statements and tokens with their byte ranges.

use winnow::combinator::{alt, delimited, opt, preceded, repeat};
use winnow::error::EmptyError;
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{any, one_of, take_till, take_while};

use super::quote::is_plain;
use super::span::Span;

/// A word or an operator.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(super) struct Token {
    /// Kind and value.
    pub(super) kind: TokenKind,
    /// Byte range, including quotes.
    pub(super) span: Span,
}

/// Kind of a token.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(super) enum TokenKind {
    /// A word without quotes: a keyword or a value.
    Word(String),
    /// A quoted text: always a value.
    Quoted(String),
    /// `=`.
    Equal,
    /// `!=`.
    Unequal,
    /// A quoted text that isn't closed on its line.
    UnclosedQuote,
    /// A character that is not allowed here.
    Unexpected(char),
}

/// Tokens of one statement, and where it ends.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(super) struct StatementTokens {
    /// The tokens; never empty.
    pub(super) tokens: Vec<Token>,
    /// Offset after the last token, where a missing word is reported.
    pub(super) end: usize,
}

impl StatementTokens {
    /// Byte range of the statement.
    pub(super) fn span(&self) -> Span {
        let start = self.tokens.first().map_or(self.end, |t| t.span.start);
        Span {
            start,
            end: self.end,
        }
    }
}

type Input<'a> = LocatingSlice<&'a str>;
type Result<T> = std::result::Result<T, EmptyError>;

/// Splits a text into statements and tokens; never fails.
pub(super) fn tokenize(text: &str) -> Vec<StatementTokens> {
    let mut statements = Vec::new();
    let mut tokens: Vec<Token> = Vec::new();
    let mut input = LocatingSlice::new(text);
    while let Ok(lexeme) = lexeme(&mut input) {
        match lexeme {
            Lexeme::Token(token) => tokens.push(token),
            Lexeme::Skipped => {}
            Lexeme::End => statements.extend(take_statement(&mut tokens)),
        }
    }
    statements.extend(take_statement(&mut tokens));
    statements
}

fn take_statement(tokens: &mut Vec<Token>) -> Option<StatementTokens> {
    let end = tokens.last()?.span.end;
    let tokens = std::mem::take(tokens);
    Some(StatementTokens { tokens, end })
}

#[derive(Clone)]
enum Lexeme {
    Token(Token),
    Skipped,
    End,
}

fn lexeme(input: &mut Input<'_>) -> Result<Lexeme> {
    alt((
        one_of(['\n', ';']).value(Lexeme::End),
        take_while(1.., |c: char| c.is_whitespace() && c != '\n').value(Lexeme::Skipped),
        ('#', take_till(0.., '\n')).value(Lexeme::Skipped),
        token.map(Lexeme::Token),
    ))
    .parse_next(input)
}

fn token(input: &mut Input<'_>) -> Result<Token> {
    let kind = alt((
        take_while(1.., is_plain).map(|word: &str| TokenKind::Word(word.into())),
        quoted,
        "!=".value(TokenKind::Unequal),
        '='.value(TokenKind::Equal),
        any.map(TokenKind::Unexpected),
    ));
    kind.with_span()
        .map(|(kind, span)| Token {
            kind,
            span: span.into(),
        })
        .parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> Result<TokenKind> {
    let escaped = preceded('\\', one_of(['"', '\\']));
    let plain = one_of(|c: char| !"\"\\\n".contains(c));
    let inner = repeat(0.., alt((escaped, plain)));
    let closed = delimited('"', inner, '"').map(TokenKind::Quoted);
    let unclosed = ('"', opt(take_till(0.., '\n'))).value(TokenKind::UnclosedQuote);
    alt((closed, unclosed)).parse_next(input)
}
