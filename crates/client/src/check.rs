//! Offline check of statements.

use std::io::Write;

use medlarrill_core::change::apply;
use medlarrill_core::config::Config;
use medlarrill_core::operator::answer::{self, Finding};
use medlarrill_core::operator::{Change, ParsedStatement, parse};

use crate::exit::Exit;
use crate::render::write_findings;
use crate::{Error, Result};

/// Checks a text against an exported configuration and prints all findings.
pub(crate) fn check(text: &str, export: Option<&str>, err: &mut impl Write) -> Result<Exit> {
    let config = match export {
        Some(export) => parse_export(export)?,
        None => Config::default(),
    };
    let findings = match apply_text(&config, text) {
        Ok(_) => return Ok(Exit::Done),
        Err(findings) => findings,
    };
    write_findings(&findings, text, err)?;
    Ok(Exit::Refused)
}

fn parse_export(text: &str) -> Result<Config> {
    apply_text(&Config::default(), text).map_err(|findings| {
        let first = findings.first().map(Finding::to_string);
        let first = first.unwrap_or_default();
        Error::Usage(format!("the export is wrong: {first}"))
    })
}

fn apply_text(config: &Config, text: &str) -> std::result::Result<Config, Vec<Finding>> {
    let sentences = parse(text).map_err(|errors| {
        let results = answer::syntax_results(text, &errors).into_iter();
        results
            .flat_map(|result| result.findings)
            .collect::<Vec<_>>()
    })?;
    let applied = apply(config, &changes(&sentences));
    applied
        .map(|applied| applied.config)
        .map_err(|faults| answer::locate(&sentences, &faults).concat())
}

fn changes(sentences: &[ParsedStatement]) -> Vec<Change> {
    let changes = sentences.iter().filter_map(ParsedStatement::change);
    changes.cloned().collect()
}
