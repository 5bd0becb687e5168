//! Applies statements to a configuration, and checks the outcome whole.

mod edit;

use std::collections::BTreeSet;

use derive_more::{Debug, Display, Error};

use super::part::{PartName, split};
use crate::config::{Config, Finding};
use crate::operator::Change;

/// Result of applying changes.
pub type Result<T> = std::result::Result<T, Faults>;

/// A configuration after some changes.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct Applied {
    /// The configuration; its generation is still the old one.
    pub config: Config,
    /// The parts that differ.
    pub changed: BTreeSet<PartName>,
}

/// Something wrong with a change.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display)]
#[display("{finding}")]
pub struct Fault {
    /// Which of the changes is at fault, from 0, if one of them is.
    pub change: Option<usize>,
    /// What is wrong.
    pub finding: Finding,
}

/// All that is wrong with some changes.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display, Error)]
#[display("{}", _0.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Faults(#[error(not(source))] pub Vec<Fault>);

/// Applies all changes in their order, or none.
///
/// # Errors
///
/// Every change that can't be applied, and everything wrong with the
/// configuration that would come of them.
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
        change: blame(&finding, changes),
        finding,
    }));
    if !faults.is_empty() {
        return Err(Faults(faults));
    }
    let changed = differing(config, &after);
    Ok(Applied {
        config: after,
        changed,
    })
}

/// The last change of the thing itself, else of the thing it clashes with.
fn blame(finding: &Finding, changes: &[Change]) -> Option<usize> {
    let last = |item| changes.iter().rposition(|change| change.item() == item);
    last(finding.item.clone()).or_else(|| finding.other.clone().and_then(last))
}

fn differing(before: &Config, after: &Config) -> BTreeSet<PartName> {
    let (before, after) = (split(before), split(after));
    let names = before.keys().chain(after.keys());
    names
        .filter(|name| before.get(name) != after.get(name))
        .cloned()
        .collect()
}
