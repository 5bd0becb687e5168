//! Whether daemons go on following the list beside odd entries.

use std::collections::HashSet;
use std::time::Duration;

use super::super::plan::Fault;
use super::super::traffic::Sent;
use super::super::world::World;
use super::Violation;

/// Time at the end in which all endpoints are listed and known.
const KNOWN: Duration = Duration::from_secs(2);

/// Endpoints that get no work in the end, though the last entry of each is a sound one.
pub fn ignored(world: &World, calls: &[Sent]) -> Vec<Violation> {
    let is_odd = |fault: &Fault| matches!(fault, Fault::Odd(..));
    let last = calls.iter().map(|sent| sent.from).max();
    let Some(last) = last.filter(|_| world.done.iter().any(|done| is_odd(&done.fault))) else {
        return Vec::new();
    };
    let runs = world.ledger.all().into_iter();
    let recent = runs.filter(|run| run.at.into_std() + KNOWN >= last);
    let served: HashSet<String> = recent.map(|run| run.endpoint).collect();
    let endpoints = 0..world.endpoint_count();
    let idle = endpoints.filter(|number| !served.contains(&format!("e-{number}")));
    idle.map(Violation::Ignored).collect()
}
