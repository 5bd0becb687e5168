//! Words of a text, each with its place.

use winnow::combinator::{alt, delimited, opt, preceded, repeat};
use winnow::error::EmptyError;
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{any, one_of, take_till, take_while};

use super::quote::is_plain;
use super::span::Span;

/// One word or mark.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(super) struct Token {
    /// What kind it is.
    pub(super) kind: TokenKind,
    /// Where it stands, with its quotes.
    pub(super) span: Span,
}

/// What a word or mark is.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(super) enum TokenKind {
    /// A word without quotes: a keyword or a value.
    Word(String),
    /// A text in quotes: always a value.
    Quoted(String),
    /// `=`.
    Equal,
    /// `!=`.
    Unequal,
    /// A quote that doesn't end on its line.
    Open,
    /// A mark of no meaning.
    Stray(char),
}

/// The words of one statement, and where it ends.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(super) struct Line {
    /// The words; never empty.
    pub(super) tokens: Vec<Token>,
    /// Where one more word would stand.
    pub(super) end: usize,
}

impl Line {
    /// Where the statement stands.
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

/// Splits a text into statements and words; anything can be split.
pub(super) fn split(text: &str) -> Vec<Line> {
    let mut lines = Vec::new();
    let mut tokens: Vec<Token> = Vec::new();
    let mut input = LocatingSlice::new(text);
    while let Ok(piece) = piece(&mut input) {
        match piece {
            Piece::Token(token) => tokens.push(token),
            Piece::Blank => {}
            Piece::End => lines.extend(line(&mut tokens)),
        }
    }
    lines.extend(line(&mut tokens));
    lines
}

fn line(tokens: &mut Vec<Token>) -> Option<Line> {
    let end = tokens.last()?.span.end;
    let tokens = std::mem::take(tokens);
    Some(Line { tokens, end })
}

#[derive(Clone)]
enum Piece {
    Token(Token),
    Blank,
    End,
}

fn piece(input: &mut Input<'_>) -> Result<Piece> {
    alt((
        one_of(['\n', ';']).value(Piece::End),
        take_while(1.., |c: char| c.is_whitespace() && c != '\n').value(Piece::Blank),
        ('#', take_till(0.., '\n')).value(Piece::Blank),
        token.map(Piece::Token),
    ))
    .parse_next(input)
}

fn token(input: &mut Input<'_>) -> Result<Token> {
    let kind = alt((
        take_while(1.., is_plain).map(|word: &str| TokenKind::Word(word.into())),
        quoted,
        "!=".value(TokenKind::Unequal),
        '='.value(TokenKind::Equal),
        any.map(TokenKind::Stray),
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
    let whole = delimited('"', inner, '"').map(TokenKind::Quoted);
    let rest = ('"', opt(take_till(0.., '\n'))).value(TokenKind::Open);
    alt((whole, rest)).parse_next(input)
}
