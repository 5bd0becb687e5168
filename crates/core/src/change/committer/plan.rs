//! What a change would write: new parts and a new head, worked out anew for
//! each version of the head that it is tried on.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::{Accepted, Conflict, Outcome};
use crate::change::apply::{Applied, Fault, Faults, apply};
use crate::change::digest::Digest;
use crate::change::head::{Head, PartRef};
use crate::change::part::{MAX_PART, Part, PartName, join, split};
use crate::clock::Millis;
use crate::config::{Config, Finding, ItemId};
use crate::ids::{ChangeId, Generation};
use crate::operator::Change;

/// The head as it was read.
#[derive(Clone, Debug)]
pub(super) struct Seen {
    /// Its version; absent if there is none yet.
    pub(super) version: Option<u64>,
    /// What it says.
    pub(super) head: Head,
}

/// A head to be written, and what it stands for.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// The version it replaces.
    pub(super) version: Option<u64>,
    /// The generation it replaces.
    pub(super) before: Generation,
    /// Parts that must be stored first.
    pub(super) parts: BTreeMap<Digest, Bytes>,
    /// The head's bytes.
    pub(super) bytes: Bytes,
    /// What is true once it is written.
    pub(super) outcome: Outcome,
}

/// What is to be changed, and what the operator had seen.
#[derive(Clone, Debug)]
pub(super) struct Task {
    /// Names the change.
    pub(super) change: ChangeId,
    /// What is to be done.
    pub(super) changes: Vec<Change>,
    /// What changed after this generation conflicts.
    pub(super) base: Generation,
    /// Whether the change was asked for before, and so may be under way elsewhere.
    pub(super) repeat: bool,
}

/// What to do about a change.
pub(super) enum Next {
    /// Nothing needs to be written.
    Finish(Outcome),
    /// This is to be written.
    Write(Plan),
}

/// Works out what a change means on one version of the head.
pub(super) fn plan(
    task: &Task,
    seen: &Seen,
    parts: &BTreeMap<Digest, Bytes>,
    wall: Millis,
) -> Next {
    let outcome = match config(&seen.head, parts) {
        Err(message) => return Next::Finish(Outcome::Unavailable(message)),
        Ok(config) => match apply(&config, &task.changes) {
            Ok(applied) if applied.changed.is_empty() && !task.repeat => {
                return Next::Finish(Outcome::Accepted(Accepted::unchanged(&seen.head)));
            }
            Ok(applied) => match clash(task, &seen.head, applied.changed.iter()) {
                None => return accept(task, seen, &applied, wall),
                Some(conflict) => Outcome::Conflict(conflict),
            },
            Err(faults) => refusal(task, seen, &config, faults),
        },
    };
    if !task.repeat {
        return Next::Finish(outcome);
    }
    withdraw(task, seen, outcome, wall)
}

/// Puts the parts that a head names together.
fn config(head: &Head, parts: &BTreeMap<Digest, Bytes>) -> Result<Config, String> {
    let mut bodies = BTreeMap::new();
    for (name, part) in &head.parts {
        let bytes = parts.get(&part.digest).cloned().unwrap_or_default();
        let part = Part::read(name, &bytes).map_err(|error| error.to_string())?;
        bodies.insert(name.clone(), part.body);
    }
    Ok(join(head.generation, bodies))
}

/// The first of some parts that another change has brought since the base.
fn clash<'a>(
    task: &Task,
    head: &Head,
    mut names: impl Iterator<Item = &'a PartName>,
) -> Option<Conflict> {
    let newer = |name: &&PartName| {
        let part = head.parts.get(name);
        part.is_some_and(|part| part.generation > task.base)
    };
    let part = names.find(newer)?.clone();
    let generation = head.parts[&part].generation;
    Some(Conflict {
        change: task.change,
        with: head.change_of(generation),
        generation,
        part,
    })
}

/// A conflict if another change since the base is behind the faults, else a refusal.
fn refusal(task: &Task, seen: &Seen, config: &Config, faults: Faults) -> Outcome {
    let items = faults.0.iter().map(|fault| &fault.finding);
    let items = items.flat_map(|finding| [Some(&finding.item), finding.other.as_ref()]);
    let names: Vec<_> = items
        .flatten()
        .filter_map(|item| part_of(config, item))
        .collect();
    match clash(task, &seen.head, names.iter()) {
        Some(conflict) => Outcome::Conflict(conflict),
        None => Outcome::Refused(faults),
    }
}

fn part_of(config: &Config, item: &ItemId) -> Option<PartName> {
    Some(match item {
        ItemId::Institution(id) => PartName::Institution(id.clone()),
        ItemId::Account(path) => PartName::Institution(path.institution.clone()),
        ItemId::Rule(path) => PartName::Institution(path.institution.clone()),
        ItemId::Pool(id) => PartName::Pool(id.clone()),
        ItemId::Endpoint(id) => {
            let endpoint = config.endpoints.get(id)?;
            PartName::Endpoints(endpoint.pool.clone(), endpoint.data_centre.clone())
        }
    })
}

fn accept(task: &Task, seen: &Seen, applied: &Applied, wall: Millis) -> Next {
    let mut head = seen.head.clone();
    head.generation.0 += 1;
    let mut bodies = split(&applied.config);
    let mut parts = BTreeMap::new();
    for name in &applied.changed {
        let Some(body) = bodies.remove(name) else {
            head.parts.remove(name);
            continue;
        };
        let base = seen.version.unwrap_or_default();
        let bytes = Bytes::from(Part { base, body }.to_bytes());
        if bytes.len() > MAX_PART {
            return Next::Finish(too_large(name));
        }
        let digest = Digest::of(&bytes);
        let generation = head.generation;
        head.parts
            .insert(name.clone(), PartRef { digest, generation });
        parts.insert(digest, bytes);
    }
    write(task, seen, head, parts, None, wall)
}

/// Records that the change is given up, so that an earlier request for it can't
/// bring it about any more.
fn withdraw(task: &Task, seen: &Seen, outcome: Outcome, wall: Millis) -> Next {
    let head = seen.head.clone();
    write(task, seen, head, BTreeMap::new(), Some(outcome), wall)
}

fn write(
    task: &Task,
    seen: &Seen,
    mut head: Head,
    parts: BTreeMap<Digest, Bytes>,
    refusal: Option<Outcome>,
    wall: Millis,
) -> Next {
    if !head.remember(task.change, wall, refusal.is_some()) {
        let message = "too many changes were accepted lately; try again in some minutes";
        return Next::Finish(Outcome::Unavailable(message.into()));
    }
    let bytes = Bytes::from(head.to_bytes());
    if bytes.len() > MAX_PART {
        let message = "the configuration has too many parts";
        return Next::Finish(Outcome::Unavailable(message.into()));
    }
    let accepted = || Accepted {
        generation: head.generation,
        head: bytes.clone(),
        parts: parts.values().cloned().collect(),
    };
    Next::Write(Plan {
        version: seen.version,
        before: seen.head.generation,
        outcome: refusal.unwrap_or_else(|| Outcome::Accepted(accepted())),
        parts,
        bytes,
    })
}

fn too_large(name: &PartName) -> Outcome {
    let item = match name {
        PartName::Institution(id) => ItemId::Institution(id.clone()),
        PartName::Pool(id) | PartName::Endpoints(id, _) => ItemId::Pool(id.clone()),
    };
    let message = format!("part {name} would be over {MAX_PART} bytes");
    let finding = Finding::new(item, message);
    Outcome::Refused(Faults(vec![Fault {
        change: None,
        finding,
    }]))
}
