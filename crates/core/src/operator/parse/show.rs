//! Parsers of queries and of orders to engines.

use super::super::quote::Text;
use super::super::statement::{Condition, List, Order, OrderKind, Relation, Show, Topic};
use super::super::token::TokenKind;
use super::error::ParseError;
use super::word::{Branch, Input, Result, accept_keyword, branch, keyword, value};

const NAME: &str = "a name";
const COLUMN: &str = "a column's name";
const VALUE: &str = "a value";

const ORDERS: &[Branch<OrderKind>] = &[
    Branch {
        key: "load-model",
        read: |input| value("a model's name", input).map(OrderKind::LoadModel),
    },
    Branch {
        key: "load-adapter",
        read: |input| value("an adapter's name", input).map(OrderKind::LoadAdapter),
    },
    Branch {
        key: "set-version",
        read: |input| value("a version", input).map(OrderKind::SetVersion),
    },
    Branch {
        key: "set-role",
        read: |input| value("`prefill`, `decode` or `both`", input).map(OrderKind::SetRole),
    },
];

/// Parses the words after `order`.
pub(super) fn order(input: &mut Input<'_>) -> Result<Order> {
    keyword(&["engine"], input)?;
    let endpoint = value(NAME, input)?;
    let kind = branch(ORDERS, input)?;
    Ok(Order { endpoint, kind })
}

const TOPICS: [&str; 14] = [
    "institutions",
    "accounts",
    "pools",
    "endpoints",
    "rules",
    "daemons",
    "generations",
    "load",
    "config",
    "claims",
    "control",
    "limits",
    "endpoint",
    "request",
];

/// Parses the words after `show`.
pub(super) fn show(input: &mut Input<'_>) -> Result<Show> {
    let index = keyword(&TOPICS, input)?;
    match TOPICS[index] {
        "endpoint" => value(NAME, input).map(Show::Endpoint),
        "request" => value("a request's identifier", input).map(Show::Request),
        _ => list(Topic::ALL[index], input).map(Show::List),
    }
}

fn list(topic: Topic, input: &mut Input<'_>) -> Result<List> {
    let mut of = None;
    if accept_keyword("of", input) {
        of = Some(value(NAME, input)?);
    }
    let mut conditions = Vec::new();
    if !input.is_empty() {
        let keys: &[_] = if of.is_none() {
            &["of", "where"]
        } else {
            &["where"]
        };
        keyword(keys, input)?;
        conditions.push(condition(input)?);
    }
    while !input.is_empty() {
        keyword(&["and"], input)?;
        conditions.push(condition(input)?);
    }
    Ok(List {
        topic,
        of,
        conditions,
    })
}

fn condition(input: &mut Input<'_>) -> Result<Condition> {
    let field: Text = value(COLUMN, input)?;
    let relation = relation(input)?;
    let value = value(VALUE, input)?;
    Ok(Condition {
        field,
        relation,
        value,
    })
}

fn relation(input: &mut Input<'_>) -> Result<Relation> {
    use winnow::prelude::*;

    let relation = |token: &super::super::token::Token| match token.kind {
        TokenKind::Equal => Some(Relation::Equal),
        TokenKind::Unequal => Some(Relation::Unequal),
        _ => None,
    };
    let mut parser = winnow::token::any.verify_map(relation);
    parser
        .parse_next(input)
        .map_err(|_: ParseError| ParseError::at(input, "`=` or `!=`".into()))
}
