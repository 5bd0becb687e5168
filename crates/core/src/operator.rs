//! The operators' query and command language.
//!
//! A text consists of statements separated by line breaks or `;`. `#` starts a
//! comment. A statement is a verb, a noun and a name, followed by pairs of a key
//! and a value. Values with spaces or special characters are put in double
//! quotes. All statements of a text are parsed, and every error is reported with
//! the word that it concerns.

pub mod answer;
mod display;
mod parse;
mod quote;
mod span;
mod statement;
mod terms;
mod token;

pub use parse::{MAX_TEXT, ParsedStatement, SyntaxError, SyntaxErrors, WordPosition, parse};
pub use quote::{Quoted, Text, TextError};
pub use span::Span;
pub use statement::{
    Change, Condition, EngineRole, Item, List, Order, OrderKind, Relation, Show, Statement, Topic,
};
pub use terms::{AccountTerms, EndpointTerms, InstitutionTerms, PoolTerms, RuleTerms};
