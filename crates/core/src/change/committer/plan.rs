//! Computes what a change writes: new parts and a new head. The plan is computed
//! again for each version of the head that the change is applied to.

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
pub(super) struct HeadSnapshot {
    /// Version; absent if there is no head yet.
    pub(super) version: Option<u64>,
    /// Contents.
    pub(super) head: Head,
}

/// A head to be written, and the outcome of writing it.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// The version it replaces.
    pub(super) version: Option<u64>,
    /// The generation it replaces.
    pub(super) previous: Generation,
    /// Parts that must be stored first.
    pub(super) parts: BTreeMap<Digest, Bytes>,
    /// The new head, encoded.
    pub(super) bytes: Bytes,
    /// Outcome once the head is written.
    pub(super) outcome: Outcome,
}

/// The requested changes, and the generation they are based on.
#[derive(Clone, Debug)]
pub(super) struct Task {
    /// Identifier of the change.
    pub(super) change: ChangeId,
    /// Changes to apply, in order.
    pub(super) changes: Vec<Change>,
    /// Parts changed after this generation conflict.
    pub(super) base: Generation,
    /// Whether the change was requested before and may be in progress at another daemon.
    pub(super) is_retry: bool,
}

/// Next step of the committer.
pub(super) enum Next {
    /// Finish without a write.
    Finish(Outcome),
    /// Store the parts and write the head.
    Write(Plan),
}

/// Applies the changes to one version of the head.
pub(super) fn plan(
    task: &Task,
    snapshot: &HeadSnapshot,
    parts: &BTreeMap<Digest, Bytes>,
    wall: Millis,
) -> Next {
    let outcome = match assemble(&snapshot.head, parts) {
        Err(message) => return Next::Finish(Outcome::Unavailable(message)),
        Ok(config) => match apply(&config, &task.changes) {
            Ok(applied) if applied.changed.is_empty() && !task.is_retry => {
                return Next::Finish(Outcome::Accepted(Accepted::unchanged(&snapshot.head)));
            }
            Ok(applied) => match find_conflict(task, &snapshot.head, applied.changed.iter()) {
                None => return accept(task, snapshot, &applied, wall),
                Some(conflict) => Outcome::Conflict(conflict),
            },
            Err(faults) => refuse(task, snapshot, &config, faults),
        },
    };
    if !task.is_retry {
        return Next::Finish(outcome);
    }
    withdraw(task, snapshot, outcome, wall)
}

/// Assembles the configuration from the parts that a head names.
fn assemble(head: &Head, parts: &BTreeMap<Digest, Bytes>) -> Result<Config, String> {
    let mut bodies = BTreeMap::new();
    for (name, part) in &head.parts {
        let bytes = parts.get(&part.digest).cloned().unwrap_or_default();
        let part = Part::read(name, &bytes).map_err(|error| error.to_string())?;
        bodies.insert(name.clone(), part.body);
    }
    Ok(join(head.generation, bodies))
}

/// The first of the named parts that another change modified since the base.
fn find_conflict<'a>(
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

/// A conflict if another change since the base modified a part that the faults concern, else a refusal.
fn refuse(task: &Task, snapshot: &HeadSnapshot, config: &Config, faults: Faults) -> Outcome {
    let items = faults.0.iter().map(|fault| &fault.finding);
    let items = items.flat_map(|finding| [Some(&finding.item), finding.other.as_ref()]);
    let names: Vec<_> = items
        .flatten()
        .filter_map(|item| containing_part(config, item))
        .collect();
    match find_conflict(task, &snapshot.head, names.iter()) {
        Some(conflict) => Outcome::Conflict(conflict),
        None => Outcome::Refused(faults),
    }
}

fn containing_part(config: &Config, item: &ItemId) -> Option<PartName> {
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

fn accept(task: &Task, snapshot: &HeadSnapshot, applied: &Applied, wall: Millis) -> Next {
    let mut head = snapshot.head.clone();
    head.generation.0 += 1;
    let mut bodies = split(&applied.config);
    let mut parts = BTreeMap::new();
    for name in &applied.changed {
        let Some(body) = bodies.remove(name) else {
            head.parts.remove(name);
            continue;
        };
        let base = snapshot.version.unwrap_or_default();
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
    plan_write(task, snapshot, head, parts, None, wall)
}

/// Records the change as withdrawn, so that an earlier request for it can't
/// commit it any more.
fn withdraw(task: &Task, snapshot: &HeadSnapshot, outcome: Outcome, wall: Millis) -> Next {
    let head = snapshot.head.clone();
    plan_write(task, snapshot, head, BTreeMap::new(), Some(outcome), wall)
}

fn plan_write(
    task: &Task,
    snapshot: &HeadSnapshot,
    mut head: Head,
    parts: BTreeMap<Digest, Bytes>,
    refusal: Option<Outcome>,
    wall: Millis,
) -> Next {
    if !head.add_record(task.change, wall, refusal.is_some()) {
        let message = "too many changes were accepted recently; try again in some minutes";
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
        version: snapshot.version,
        previous: snapshot.head.generation,
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
