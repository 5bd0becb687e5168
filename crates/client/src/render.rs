//! Answers as text and as JSON.

use std::io::Write;

use comfy_table::{ContentArrangement, presets};
use medlarrill_core::ids::ChangeId;
use medlarrill_core::operator::Span;
use medlarrill_core::operator::answer::{Answer, Finding, StatementResult, Table, Verdict};
use serde::Serialize;

use crate::{Error, Result};

/// An answer with the change that it is about.
#[derive(Serialize)]
pub(crate) struct Report<'a> {
    /// What names the change.
    pub(crate) change: ChangeId,
    /// What the daemon said.
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

    /// Prints what was asked for, and what went wrong apart from it.
    pub(crate) fn text(
        &self,
        text: &str,
        out: &mut impl Write,
        err: &mut impl Write,
    ) -> Result<()> {
        for result in &self.answer.results {
            match result.verdict {
                Verdict::Accepted | Verdict::Done => good(result, out)?,
                _ => bad(result, text, err)?,
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

fn good(result: &StatementResult, out: &mut impl Write) -> Result<()> {
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

fn bad(result: &StatementResult, text: &str, err: &mut impl Write) -> Result<()> {
    writeln!(err, "{}: {}", result.verdict, result.statement.trim())?;
    write_findings(&result.findings, text, err)
}

/// Prints findings, each with the line that it points at.
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

/// The line that a span begins in, and carets below the span.
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

/// Prints a table; one column alone is printed as lines.
fn write_table(table: &Table, out: &mut impl Write) -> Result<()> {
    if table.columns.len() == 1 {
        for cell in table.rows.iter().flatten() {
            writeln!(out, "{cell}")?;
        }
        return Ok(());
    }
    let mut shown = comfy_table::Table::new();
    shown.load_style(presets::NOTHING);
    shown.set_content_arrangement(ContentArrangement::Disabled);
    shown.set_header(&table.columns);
    shown.add_rows(&table.rows);
    for column in shown.column_iter_mut() {
        column.set_padding((0, 2));
    }
    for line in shown.lines() {
        writeln!(out, "{}", line.trim_end())?;
    }
    Ok(())
}
