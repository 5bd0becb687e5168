//! Applies statements to a configuration and validates the resulting configuration.

mod edit;

use std::collections::BTreeSet;

use derive_more::{Debug, Display, Error};

use super::part::{PartName, split};
use crate::config::{Config, Finding};
use crate::operator::Change;

/// Result of applying changes.
pub type Result<T> = std::result::Result<T, Faults>;

/// Result of applying changes to a configuration.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct Applied {
    /// The new configuration; its generation is not incremented yet.
    pub config: Config,
    /// Parts that differ from the previous configuration.
    pub changed: BTreeSet<PartName>,
}

/// One reason why changes can't be applied.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display)]
#[display("{finding}")]
pub struct Fault {
    /// Index of the change that caused it, from 0, if one did.
    pub change: Option<usize>,
    /// What is wrong.
    pub finding: Finding,
}

/// All reasons why changes can't be applied.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
#[display("{}", _0.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Faults(#[error(not(source))] pub Vec<Fault>);

/// Applies all changes in order, or none of them.
///
/// # Errors
///
/// Every change that can't be applied, and every finding of the validation of
/// the resulting configuration.
pub fn apply(config: &Config, changes: &[Change]) -> Result<Applied> {
    let mut after = config.clone();
    let mut faults = Vec::new();
    for (index, change) in changes.iter().enumerate() {
        if let Err(finding) = edit::edit(&mut after, change) {
            faults.push(Fault {
                change: Some(index),
                finding: *finding,
            });
        }
    }
    let findings = after.findings().into_iter();
    faults.extend(findings.map(|finding| Fault {
        change: responsible_change(&finding, changes),
        finding,
    }));
    if !faults.is_empty() {
        return Err(Faults(faults));
    }
    let changed = changed_parts(config, &after);
    Ok(Applied {
        config: after,
        changed,
    })
}

/// The last change of the finding's item, else of the item it conflicts with.
fn responsible_change(finding: &Finding, changes: &[Change]) -> Option<usize> {
    let last = |item| changes.iter().rposition(|change| change.item() == item);
    last(finding.item.clone()).or_else(|| finding.other.clone().and_then(last))
}

fn changed_parts(before: &Config, after: &Config) -> BTreeSet<PartName> {
    let (before, after) = (split(before), split(after));
    let names = before.keys().chain(after.keys());
    names
        .filter(|name| before.get(name) != after.get(name))
        .cloned()
        .collect()
}
