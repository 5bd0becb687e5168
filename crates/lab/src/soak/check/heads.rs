//! Successes that aren't whole, where endpoints' answers break off only in their heads.

use std::time::Duration;

use super::super::plan::Fault;
use super::super::traffic::Sent;
use super::super::world::World;
use super::{SETTLE, Violation, is_harmed, words};

/// Time before a deadline in which an answer may be given up.
const MARGIN: Duration = Duration::from_millis(150);

/// Successes that broke off, though their daemons and callers were well.
pub fn broken(world: &World, calls: &[Sent]) -> Vec<Violation> {
    let is_cut =
        |fault: &Fault| matches!(fault, Fault::Behave(_, behaviour, _) if behaviour.heads > 0.0);
    if !world.done.iter().any(|done| is_cut(&done.fault)) {
        return Vec::new();
    }
    let is_broken = |sent: &&Sent| {
        let is_success = sent.reply.status.is_some_and(|status| status.is_success());
        let passed = sent.to - sent.from;
        let is_late = passed + MARGIN >= Duration::from_millis(sent.call.wait);
        let harms = |fault: &Fault| fault.harms_daemon(sent.daemon);
        let is_harmed = is_harmed(world, sent.to, passed + SETTLE, harms);
        is_success && !sent.reply.whole && !is_late && !is_harmed
    };
    let violation = |sent: &Sent| Violation::Broken {
        request: sent.call.attempt.clone(),
        daemon: sent.daemon,
        reply: words(&sent.reply),
    };
    calls.iter().filter(is_broken).map(violation).collect()
}
