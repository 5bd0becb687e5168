//! What happens in a schedule.

use medlarrill_core::claims::{ClaimantEvent, LogAction, LogEvent};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::Incarnation;
use medlarrill_core::wire::ClaimRequest;

/// How likely each fate of a call is, in percent.
#[derive(Clone, Copy, Debug)]
pub struct Odds {
    pub lose_reply: u32,
    pub lose_call: u32,
    pub late: u32,
    pub lose_message: u32,
    pub repeat_message: u32,
}

/// Something for one daemon.
#[derive(Clone, Debug)]
pub enum Input {
    Log(LogEvent),
    Claimant(ClaimantEvent),
    Ask(ClaimRequest),
    Placement(usize),
    Wake,
}

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub enum Item {
    Input {
        daemon: usize,
        /// The process it is for; `None` for any.
        process: Option<Incarnation>,
        input: Input,
    },
    Effect {
        daemon: usize,
        process: Incarnation,
        action: LogAction,
        /// When the reply comes; `None` if it is lost.
        reply: Option<Millis>,
    },
    Step(Step),
}

/// A step of the script.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    Request { daemon: usize, key: u64, body: u8 },
    Crash(usize),
    Pause(usize),
    Resume(usize),
    Place(usize),
    Outage(bool),
    Cut { from: usize, to: usize, on: bool },
    Stop(usize),
    Audit,
}
