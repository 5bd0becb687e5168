//! Output of answers as text and as JSON.

use std::io::Write;

use comfy_table::{ContentArrangement, presets};
use medlarrill_core::ids::ChangeId;
use medlarrill_core::operator::Span;
use medlarrill_core::operator::answer::{Answer, Finding, StatementResult, Table, Verdict};
use serde::Serialize;

use crate::{Error, Result};

/// An answer with the identifier of its change.
#[derive(Serialize)]
pub(crate) struct Report<'a> {
    /// Identifier of the change.
    pub(crate) change: ChangeId,
    /// The daemon's answer.
    #[serde(flatten)]
    pub(crate) answer: &'a Answer,
}

impl Report<'_> {
    /// Prints the answer as one line of JSON.
    pub(crate) fn json(&self, out: &mut impl Write) -> Result<()> {
        let text = serde_json::to_string(self).map_err(|error| Error::Write(error.into()))?;
        writeln!(out, "{text}")?;
        Ok(())
    }

    /// Prints results to `out`, and failures and hints to `err`.
    pub(crate) fn text(
        &self,
        text: &str,
        out: &mut impl Write,
        err: &mut impl Write,
    ) -> Result<()> {
        for result in &self.answer.results {
            match result.verdict {
                Verdict::Accepted | Verdict::Done => print_success(result, out)?,
                _ => print_failure(result, text, err)?,
            }
        }
        let unknown = |result: &StatementResult| result.verdict == Verdict::Unknown;
        if self.answer.results.iter().any(unknown) {
            writeln!(err, "Ask again with --change {}.", self.change)?;
        }
        if !self.answer.lagging.is_empty() {
            let lagging = self.answer.lagging.iter().map(ToString::to_string);
            let lagging: Vec<_> = lagging.collect();
            let generation = self.answer.generation;
            let lagging = lagging.join(", ");
            writeln!(
                err,
                "Generation {generation} is not yet in force on {lagging}."
            )?;
        }
        Ok(())
    }
}

fn print_success(result: &StatementResult, out: &mut impl Write) -> Result<()> {
    if let Some(table) = &result.table {
        return write_table(table, out);
    }
    let generation = result.generation.map(|g| format!(" (generation {g})"));
    let generation = generation.unwrap_or_default();
    writeln!(
        out,
        "{}: {}{generation}",
        result.verdict,
        result.statement.trim()
    )?;
    Ok(())
}

fn print_failure(result: &StatementResult, text: &str, err: &mut impl Write) -> Result<()> {
    writeln!(err, "{}: {}", result.verdict, result.statement.trim())?;
    write_findings(&result.findings, text, err)
}

/// Prints findings, each with its line of the text.
pub(crate) fn write_findings(findings: &[Finding], text: &str, err: &mut impl Write) -> Result<()> {
    for finding in findings {
        writeln!(err, "  {finding}")?;
        let lines = finding.span.and_then(|span| pointer(text, span));
        for line in lines.into_iter().flatten() {
            writeln!(err, "    {line}")?;
        }
    }
    Ok(())
}

/// The line in which a span starts, and carets below the span.
fn pointer(text: &str, span: Span) -> Option<[String; 2]> {
    let (before, rest) = text.split_at_checked(span.start)?;
    let start = before.rfind('\n').map_or(0, |index| index + 1);
    let end = rest
        .find('\n')
        .map_or(text.len(), |index| span.start + index);
    let line = text.get(start..end)?.replace('\t', " ");
    let length = text.get(span.start..span.end.min(end))?.chars().count();
    let indent = text.get(start..span.start)?.chars().count();
    let carets = "^".repeat(length.max(1));
    Some([line.trim_end().into(), format!("{:indent$}{carets}", "")])
}

/// Prints a table; a single column is printed without a header.
fn write_table(table: &Table, out: &mut impl Write) -> Result<()> {
    if table.columns.len() == 1 {
        for cell in table.rows.iter().flatten() {
            writeln!(out, "{cell}")?;
        }
        return Ok(());
    }
    let mut output = comfy_table::Table::new();
    output.load_style(presets::NOTHING);
    output.set_content_arrangement(ContentArrangement::Disabled);
    output.set_header(&table.columns);
    output.add_rows(&table.rows);
    for column in output.column_iter_mut() {
        column.set_padding((0, 2));
    }
    for line in output.lines() {
        writeln!(out, "{}", line.trim_end())?;
    }
    Ok(())
}
