//! What a daemon answers to an operator's text; shared with the client.

use derive_more::{Debug, Display, FromStr};
use serde::{Deserialize, Serialize};
use serde_with::{FromInto, serde_as};

use super::parse::{ParsedStatement, SyntaxErrors};
use super::span::Span;
use crate::change::Faults;
use crate::change::committer::Outcome;
use crate::clock::Millis;
use crate::ids::{ChangeId, DaemonId, Generation};

/// Path of the operators' requests.
pub const OPERATOR_PATH: &str = "/v1/operator";

/// What the client sends.
#[serde_as]
#[derive(Clone, PartialEq)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Names the change, so that it may be sent again.
    pub change: ChangeId,
    /// The text.
    pub statements: String,
    /// Whether to wait until every live daemon has the generation.
    #[serde(default)]
    pub wait: bool,
    /// How long the daemon may take in all.
    #[serde(default = "default_timeout")]
    pub timeout: Millis,
    /// The generation that the operator has seen; what changed since conflicts.
    #[serde_as(as = "Option<FromInto<u64>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Generation>,
    /// Whether it was sent before, so that it may be under way elsewhere.
    #[serde(default)]
    pub repeat: bool,
}

/// How long a daemon may take unless told.
pub const DEFAULT_TIMEOUT: Millis = Millis::from_secs(10);

const fn default_timeout() -> Millis {
    DEFAULT_TIMEOUT
}

/// What the daemon answers.
#[serde_as]
#[derive(Clone, PartialEq, Default)]
#[derive(Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Answer {
    /// One for each statement, in their order.
    pub results: Vec<StatementResult>,
    /// Live daemons that don't have the generation yet.
    pub lagging: Vec<DaemonId>,
    /// The newest generation that the daemon knows.
    #[serde_as(as = "FromInto<u64>")]
    pub generation: Generation,
}

/// What became of one statement.
#[serde_as]
#[derive(Clone, PartialEq)]
#[derive(Debug, Serialize, Deserialize)]
pub struct StatementResult {
    /// The statement as given.
    pub statement: String,
    /// What became of it.
    pub verdict: Verdict,
    /// The generation that has it, if it was accepted.
    #[serde_as(as = "Option<FromInto<u64>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generation: Option<Generation>,
    /// What is wrong with it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
    /// What was asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table: Option<Table>,
}

/// What became of a statement.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug, Display, FromStr, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The change is accepted and won't be lost.
    Accepted,
    /// The question is answered or the order carried out.
    Done,
    /// Something is wrong with it; nothing was changed.
    Refused,
    /// Another change came first; nothing was changed.
    Conflict,
    /// It may have been accepted: ask again with the same change.
    Unknown,
    /// It can't be done now; nothing was changed.
    Unavailable,
}

/// One thing wrong, and where.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Serialize, Deserialize)]
#[display("{place}: {message}")]
pub struct Finding {
    /// The place in words, such as `statement 1, word 4`.
    pub place: String,
    /// The place in bytes of the text, if it is there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub span: Option<Span>,
    /// What is wrong.
    pub message: String,
}

/// Rows under named columns.
#[derive(Clone, PartialEq, Eq, Default)]
#[derive(Debug, Serialize, Deserialize)]
pub struct Table {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Rows, each with a cell for each column.
    pub rows: Vec<Vec<String>>,
}

impl Finding {
    /// A finding at no place in the text.
    pub fn new(place: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            place: place.into(),
            span: None,
            message: message.into(),
        }
    }

    /// Points at a stretch of the text.
    pub const fn with_span(mut self, span: Span) -> Self {
        self.span = Some(span);
        self
    }
}

impl Table {
    /// An empty table.
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

    /// Names the generation that has it.
    pub const fn with_generation(mut self, generation: Generation) -> Self {
        self.generation = Some(generation);
        self
    }

    /// Adds what is wrong with it.
    pub fn with_findings(mut self, findings: Vec<Finding>) -> Self {
        self.findings = findings;
        self
    }

    /// Adds what was asked for.
    pub fn with_table(mut self, table: Table) -> Self {
        self.table = Some(table);
        self
    }
}

/// Results for a text of which some statements can't be read.
pub fn syntax_results(text: &str, errors: &SyntaxErrors) -> Vec<StatementResult> {
    let result = |error: &super::SyntaxError| {
        let place = format!("statement {}, word {}", error.statement, error.word);
        let finding = Finding::new(place, &error.message).with_span(error.span);
        StatementResult::new(error.whole.of(text), Verdict::Refused).with_findings(vec![finding])
    };
    errors.0.iter().map(result).collect()
}

/// Results for every sentence of a text, after its changes have come to an end.
///
/// All changes of a text are made together or not at all, so they have one
/// verdict; findings go to the sentences that they are about. What isn't a
/// change is `Done`, and its table has yet to be added.
pub fn results(
    text: &str,
    sentences: &[ParsedStatement],
    outcome: &Outcome,
) -> Vec<StatementResult> {
    let verdict = verdict(outcome);
    let mut findings = match outcome {
        Outcome::Refused(faults) => locate(sentences, faults),
        _ => vec![Vec::new(); sentences.len()],
    };
    let first = sentences.iter().position(|s| s.change().is_some());
    if let Some((index, message)) = first.zip(reason(outcome)) {
        findings[index].push(Finding::new("configuration", message));
    }
    let generation = match outcome {
        Outcome::Accepted(accepted) => Some(accepted.generation),
        _ => None,
    };
    let results = sentences.iter().zip(findings).map(|(sentence, findings)| {
        let statement = sentence.span.of(text);
        if sentence.change().is_none() {
            return StatementResult::new(statement, Verdict::Done);
        }
        let result = StatementResult::new(statement, verdict).with_findings(findings);
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

/// Why a change ended as it did, apart from faults in its statements.
fn reason(outcome: &Outcome) -> Option<String> {
    match outcome {
        Outcome::Accepted(_) | Outcome::Refused(_) => None,
        Outcome::Conflict(conflict) => Some(conflict.to_string()),
        Outcome::Withdrawn => Some("this change was given up before; ask for a new one".into()),
        Outcome::Unavailable(reason) => Some(reason.clone()),
        Outcome::Unknown => Some("it isn't known whether the change was accepted".into()),
    }
}

/// Findings for each sentence of a text, from faults in its changes.
///
/// The faults count the changes alone; a fault that no change is to blame for
/// goes to the first change.
pub fn locate(sentences: &[ParsedStatement], faults: &Faults) -> Vec<Vec<Finding>> {
    let mut findings = vec![Vec::new(); sentences.len()];
    let changes = sentences.iter().enumerate();
    let changes: Vec<_> = changes
        .filter(|(_, sentence)| sentence.change().is_some())
        .map(|(index, _)| index)
        .collect();
    for fault in &faults.0 {
        let index = changes.get(fault.change.unwrap_or(0)).copied();
        let Some(index) = index else { continue };
        let finding = place(index, &sentences[index], fault);
        findings[index].push(finding);
    }
    findings
}

fn place(index: usize, sentence: &ParsedStatement, fault: &crate::change::Fault) -> Finding {
    let cause = &fault.finding;
    let own = sentence.change().map(|c| c.item()) == Some(cause.item.clone());
    if fault.change.is_none() {
        return Finding::new(cause.item.to_string(), &cause.message);
    }
    let word = sentence.place(cause.field.filter(|_| own));
    let place = format!("statement {}, word {}", index + 1, word.number);
    Finding::new(place, cause.to_string()).with_span(word.span)
}
