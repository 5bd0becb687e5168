//! Requests and answers of the operator API; shared with the client.

use derive_more::{Debug, Display, FromStr};
use serde::{Deserialize, Serialize};
use serde_with::{FromInto, serde_as};

use super::parse::{ParsedStatement, SyntaxErrors};
use super::span::Span;
use crate::change::Faults;
use crate::change::committer::Outcome;
use crate::clock::Millis;
use crate::ids::{ChangeId, DaemonId, Generation};

/// URL path of the operator API.
pub const OPERATOR_PATH: &str = "/v1/operator";

/// Request body, sent by the client.
#[serde_as]
#[derive(Clone, PartialEq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Identifier of the change, which makes retries safe.
    pub change: ChangeId,
    /// The statements' text.
    pub statements: String,
    /// Whether to wait until every live daemon has applied the generation.
    #[serde(default)]
    pub wait: bool,
    /// Total time that the daemon may take.
    #[serde(default = "default_timeout")]
    pub timeout: Millis,
    /// The generation that the change is based on; parts changed since conflict.
    #[serde_as(as = "Option<FromInto<u64>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Generation>,
    /// Whether it was sent before and may be in progress at another daemon.
    #[serde(default)]
    pub repeat: bool,
}

/// Default of `Request::timeout`.
pub const DEFAULT_TIMEOUT: Millis = Millis::from_secs(10);

const fn default_timeout() -> Millis {
    DEFAULT_TIMEOUT
}

/// Response body, sent by the daemon.
#[serde_as]
#[derive(Clone, PartialEq, Default)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Answer {
    /// One result for each statement, in order.
    pub results: Vec<StatementResult>,
    /// Live daemons that haven't applied the generation yet.
    pub lagging: Vec<DaemonId>,
    /// The newest generation that the daemon knows.
    #[serde_as(as = "FromInto<u64>")]
    pub generation: Generation,
}

/// Result of one statement.
#[serde_as]
#[derive(Clone, PartialEq)]
#[derive(Debug, Serialize, Deserialize)]
pub struct StatementResult {
    /// The statement's source text.
    pub statement: String,
    /// How it ended.
    pub verdict: Verdict,
    /// The generation that contains it, if it was accepted.
    #[serde_as(as = "Option<FromInto<u64>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generation: Option<Generation>,
    /// What is wrong with it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
    /// The table that a `show` statement requested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table: Option<Table>,
}

/// How a statement ended.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Display, FromStr, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The change was accepted, durably.
    Accepted,
    /// The query was answered, or the order carried out.
    Done,
    /// It is invalid; nothing was changed.
    Refused,
    /// It conflicts with an earlier change; nothing was changed.
    Conflict,
    /// It may have been accepted: retry with the same change identifier.
    Unknown,
    /// It can't be done at present; nothing was changed.
    Unavailable,
}

/// An error, and its place.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Serialize, Deserialize)]
#[display("{place}: {message}")]
pub struct Finding {
    /// The place for display, such as `statement 1, word 4`.
    pub place: String,
    /// The byte range in the text, if the place is in the text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub span: Option<Span>,
    /// What is wrong.
    pub message: String,
}

/// A table with named columns.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug, Serialize, Deserialize)]
pub struct Table {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Rows, each with one cell per column.
    pub rows: Vec<Vec<String>>,
}

impl Finding {
    /// A finding without a place in the text.
    pub fn new(place: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            place: place.into(),
            span: None,
            message: message.into(),
        }
    }

    /// Sets the byte range in the text.
    pub const fn with_span(mut self, span: Span) -> Self {
        self.span = Some(span);
        self
    }
}

impl Table {
    /// A table without rows.
    pub fn new(columns: &[&str]) -> Self {
        Self {
            columns: columns.iter().map(|&column| column.into()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn push<const N: usize>(&mut self, row: [String; N]) {
        self.rows.push(row.into());
    }
}

impl StatementResult {
    /// A result without generation, findings or table.
    pub fn new(statement: impl Into<String>, verdict: Verdict) -> Self {
        Self {
            statement: statement.into(),
            verdict,
            generation: None,
            findings: Vec::new(),
            table: None,
        }
    }

    /// Sets the generation that contains it.
    pub const fn with_generation(mut self, generation: Generation) -> Self {
        self.generation = Some(generation);
        self
    }

    /// Sets the findings.
    pub fn with_findings(mut self, findings: Vec<Finding>) -> Self {
        self.findings = findings;
        self
    }

    /// Sets the table.
    pub fn with_table(mut self, table: Table) -> Self {
        self.table = Some(table);
        self
    }
}

/// Results for the statements of a text that can't be parsed.
pub fn syntax_results(text: &str, errors: &SyntaxErrors) -> Vec<StatementResult> {
    let result = |error: &super::SyntaxError| {
        let place = format!("statement {}, word {}", error.statement, error.word);
        let finding = Finding::new(place, &error.message).with_span(error.span);
        StatementResult::new(error.whole.of(text), Verdict::Refused).with_findings(vec![finding])
    };
    errors.0.iter().map(result).collect()
}

/// Results for every statement of a text, once the outcome of its changes is known.
///
/// The changes of a text are applied all or none, so they share one verdict;
/// findings are attached to the statements that they concern. Other statements
/// are `Done`, and the caller adds their tables.
pub fn results(
    text: &str,
    statements: &[ParsedStatement],
    outcome: &Outcome,
) -> Vec<StatementResult> {
    let verdict = verdict(outcome);
    let mut findings = match outcome {
        Outcome::Refused(faults) => locate(statements, faults),
        _ => vec![Vec::new(); statements.len()],
    };
    let first = statements.iter().position(|s| s.change().is_some());
    if let Some((index, message)) = first.zip(reason(outcome)) {
        findings[index].push(Finding::new("configuration", message));
    }
    let generation = match outcome {
        Outcome::Accepted(accepted) => Some(accepted.generation),
        _ => None,
    };
    let results = statements
        .iter()
        .zip(findings)
        .map(|(statement, findings)| {
            let source = statement.span.of(text);
            if statement.change().is_none() {
                return StatementResult::new(source, Verdict::Done);
            }
            let result = StatementResult::new(source, verdict).with_findings(findings);
            StatementResult {
                generation,
                ..result
            }
        });
    results.collect()
}

const fn verdict(outcome: &Outcome) -> Verdict {
    match outcome {
        Outcome::Accepted(_) => Verdict::Accepted,
        Outcome::Refused(_) | Outcome::Withdrawn => Verdict::Refused,
        Outcome::Conflict(_) => Verdict::Conflict,
        Outcome::Unavailable(_) => Verdict::Unavailable,
        Outcome::Unknown => Verdict::Unknown,
    }
}

/// Explains an outcome, apart from faults in the statements.
fn reason(outcome: &Outcome) -> Option<String> {
    match outcome {
        Outcome::Accepted(_) | Outcome::Refused(_) => None,
        Outcome::Conflict(conflict) => Some(conflict.to_string()),
        Outcome::Withdrawn => Some("this change was given up before; ask for a new one".into()),
        Outcome::Unavailable(reason) => Some(reason.clone()),
        Outcome::Unknown => Some("it isn't known whether the change was accepted".into()),
    }
}

/// Findings for each statement of a text, from faults in its changes.
///
/// A fault's index counts only the statements that are changes; a fault without
/// an index is attached to the first change.
pub fn locate(statements: &[ParsedStatement], faults: &Faults) -> Vec<Vec<Finding>> {
    let mut findings = vec![Vec::new(); statements.len()];
    let changes = statements.iter().enumerate();
    let changes: Vec<_> = changes
        .filter(|(_, statement)| statement.change().is_some())
        .map(|(index, _)| index)
        .collect();
    for fault in &faults.0 {
        let index = changes.get(fault.change.unwrap_or(0)).copied();
        let Some(index) = index else { continue };
        let finding = finding_at(index, &statements[index], fault);
        findings[index].push(finding);
    }
    findings
}

fn finding_at(index: usize, statement: &ParsedStatement, fault: &crate::change::Fault) -> Finding {
    let cause = &fault.finding;
    let own = statement.change().map(|c| c.item()) == Some(cause.item.clone());
    if fault.change.is_none() {
        return Finding::new(cause.item.to_string(), &cause.message);
    }
    let word = statement.position(cause.field.filter(|_| own));
    let place = format!("statement {}, word {}", index + 1, word.number);
    Finding::new(place, cause.to_string()).with_span(word.span)
}
