//! What the platform is told to do wrong.

use medlarrill_core::clock::Millis;
use serde::{Deserialize, Serialize};

use crate::http::{Outage, Plan};

/// Faults, all off by default; those with a number count down.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// An outage of the whole platform.
    pub outage: Option<Outage>,
    /// How long the outage lasts; zero means until other faults are set.
    pub lasting: Millis,
    /// Pause before each call takes effect.
    pub delay: Millis,
    /// Next writes that are lost before they take effect.
    pub lost_requests: u32,
    /// Next writes that are answered by a cut, and take effect late.
    pub late_writes: u32,
    /// How late they take effect.
    pub late_by: Millis,
    /// Next writes that take effect and whose answer is lost.
    pub lost_answers: u32,
    /// Only writes of keys with this prefix are lost or late.
    pub prefix: String,
    /// Only calls of this VM, by `X-Caller-Vm`, meet the faults.
    pub vm: Option<String>,
}

/// What becomes of one write.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Fate {
    /// It takes effect and is answered.
    Whole,
    /// It never takes effect.
    RequestLost,
    /// It takes effect after this time, unanswered.
    Late(Millis),
    /// It takes effect, unanswered.
    AnswerLost,
}

impl Faults {
    /// The outage that they ask for.
    pub(super) fn plan(&self) -> Plan {
        Plan {
            outage: self.outage,
            lasting: self.lasting,
            vm: self.vm.clone(),
        }
    }

    /// Whether calls of `vm` meet the faults.
    pub(super) fn meets(&self, vm: Option<&str>) -> bool {
        self.vm.is_none() || self.vm.as_deref() == vm
    }

    /// Draws the fate of a write of `key` by `vm`, counting down.
    pub(super) fn fate(&mut self, key: &str, vm: Option<&str>) -> Fate {
        if !self.meets(vm) || !key.starts_with(&self.prefix) {
            return Fate::Whole;
        }
        if take(&mut self.lost_requests) {
            return Fate::RequestLost;
        }
        if take(&mut self.late_writes) {
            return Fate::Late(self.late_by);
        }
        if take(&mut self.lost_answers) {
            return Fate::AnswerLost;
        }
        Fate::Whole
    }
}

const fn take(left: &mut u32) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
}
