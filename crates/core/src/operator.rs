//! The operators' query and command language.
//!
//! A text holds statements, each on a line of its own or parted by `;`. `#`
//! begins a comment. Each statement is a verb, a noun and a name, then pairs
//! of a key and a value. Texts with spaces or marks stand in double quotes.
//! All statements of a text are read, and every error is reported with the
//! word it points at.

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
