//! What daemons serve while they are cut off from all endpoints.

use std::time::{Duration, Instant};

use super::super::plan::Fault;
use super::super::traffic::Sent;
use super::super::world::{Done, World};
use super::{CRASHING_ID, TROUBLE, Violation};

/// Time after which a daemon that was cut off serves as well as the others.
const FOUND_OUT: Duration = Duration::from_secs(1);
/// Requests that may fail, and one more for each so many.
const FAILED_MAX: usize = 2;
/// See [`FAILED_MAX`].
const REQUESTS_PER_FAILED: usize = 10;

/// Daemons that served too little though another one could have helped.
pub fn cut_off(world: &World, calls: &[Sent]) -> Vec<Violation> {
    let cuts = world.done.iter();
    cuts.filter_map(|cut| served_too_little(world, cut, calls))
        .collect()
}

fn served_too_little(world: &World, cut: &Done, calls: &[Sent]) -> Option<Violation> {
    let Fault::CutOff(daemon, ..) = cut.fault else {
        return None;
    };
    let (from, to) = (cut.from + FOUND_OUT, cut.end());
    if to <= from || is_disturbed(world, cut.from, to) || !has_helper(world, cut) {
        return None;
    }
    let is_meant = |sent: &&Sent| {
        let is_within = sent.from >= from && sent.to <= to;
        sent.daemon == daemon && is_within && !sent.call.attempt.starts_with(CRASHING_ID)
    };
    let meant: Vec<&Sent> = calls.iter().filter(is_meant).collect();
    let (sent, served) = (
        meant.len(),
        meant.iter().filter(|sent| sent.reply.is_success()).count(),
    );
    let is_enough = sent - served <= FAILED_MAX + sent / REQUESTS_PER_FAILED;
    (!is_enough).then_some(Violation::CutOff {
        daemon,
        served,
        sent,
    })
}

/// Whether anything else was going on that keeps daemons from serving or helping.
fn is_disturbed(world: &World, from: Instant, to: Instant) -> bool {
    world.done.iter().any(|done| {
        let end = done.end() + TROUBLE;
        let is_near = done.from <= to && end >= from;
        let is_harmless = matches!(
            done.fault,
            Fault::CutOff(..) | Fault::Reload(_) | Fault::Configure | Fault::Forget
        );
        is_near && !is_harmless
    })
}

/// Whether there was a daemon that had its paths all the while.
fn has_helper(world: &World, cut: &Done) -> bool {
    let (from, to) = (cut.from - TROUBLE, cut.end());
    let is_cut = |number: usize| {
        world.done.iter().any(|done| match done.fault {
            Fault::CutOff(daemon, ..) => daemon == number && done.from <= to && done.end() >= from,
            _ => false,
        })
    };
    !(0..world.doors.len()).all(is_cut)
}
