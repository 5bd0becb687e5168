//! What is known of one endpoint's losses.

use std::collections::BTreeSet;

use derive_more::Debug;

use super::{Change, OWN, Sign};
use crate::clock::Millis;

/// Time within which losses count together.
const WINDOW: Millis = Millis(2000);
/// Lost requests that take an endpoint out.
const OUT_AT: usize = 2;
/// Losses and refusals of one daemon that are kept.
const KEPT_OF_ONE: usize = 2;
/// Losses and refusals that are kept.
const KEPT: usize = 8;
/// Time between the first answer of an endpoint that is out and its return: one that flaps answers
/// some requests, too.
const PROBATION: Millis = Millis(300);
/// First and longest time without a loss after which an endpoint that nobody tries is used again.
const HOLD: (Millis, Millis) = (Millis(1000), Millis(4000));
/// Time after its last loss within which a single one, or a refusal, takes an endpoint out again.
const RELAPSE: Millis = Millis(5000);

/// A loss, or a refused connection.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Seen {
    reporter: u32,
    sign: Sign,
    at: Millis,
    /// Whether the daemon saw it of so many endpoints that its own path may be the cause.
    is_doubtful: bool,
}

/// What is known of one endpoint's losses.
#[derive(Clone, Default)]
#[derive(Debug)]
pub(super) struct Record {
    seen: Vec<Seen>,
    /// When it was last lost, or refused a connection.
    pub(super) last_loss: Millis,
    /// Its first answer to a request that was sent after that.
    answered_at: Option<Millis>,
    is_out: bool,
    /// How often it went out since it had no losses for long.
    outs: u32,
    /// When it was last sent a trial.
    pub(super) last_trial: Millis,
}

impl Record {
    /// Adds a loss; returns whether that is new, and what it changes.
    pub(super) fn add(
        &mut self,
        (reporter, is_doubtful): (u32, bool),
        sign: Sign,
        at: Millis,
        now: Millis,
    ) -> (bool, Option<Change>) {
        self.take_back(now);
        if !self.is_out && now.since(self.last_loss) >= RELAPSE {
            self.outs = 0;
        }
        self.seen.retain(|seen| now.since(seen.at) < WINDOW);
        let same = |seen: &&Seen| seen.reporter == reporter && seen.sign == sign;
        let known = self.seen.iter().filter(same).count();
        self.last_loss = self.last_loss.max(at);
        if self.answered_at.is_some_and(|answered| answered <= at) {
            self.answered_at = None;
            self.seen.clear();
        } else if known >= KEPT_OF_ONE || self.seen.len() >= KEPT {
            return (false, None);
        }
        self.seen.push(Seen {
            reporter,
            sign,
            at,
            is_doubtful,
        });
        if self.is_out || !self.is_enough(now) {
            return (true, None);
        }
        self.is_out = true;
        self.outs += 1;
        (true, Some(self.out_by()))
    }

    /// Drops what a daemon told; an endpoint that was out by that alone is used again.
    pub(super) fn withdraw(&mut self, reporter: u32, now: Millis) {
        self.seen.retain(|seen| seen.reporter != reporter);
        self.weigh_again(now);
    }

    /// Doubts what a daemon told: it counts only together with what another one saw.
    pub(super) fn doubt(&mut self, reporter: u32, now: Millis) {
        for seen in &mut self.seen {
            seen.is_doubtful |= seen.reporter == reporter;
        }
        self.weigh_again(now);
    }

    fn weigh_again(&mut self, now: Millis) {
        if !self.is_out {
            return;
        }
        self.outs = self.outs.saturating_sub(1);
        match self.is_enough(now) {
            true => self.outs += 1,
            false => self.is_out = false,
        }
    }

    /// Records an answer to a request that was sent at a time; returns whether it is the first since
    /// the endpoint went out.
    pub(super) fn answer(&mut self, sent: Millis, at: Millis) -> bool {
        let is_first = self.is_out && self.answered_at.is_none() && sent > self.last_loss;
        if is_first {
            self.answered_at = Some(at);
        }
        is_first
    }

    /// Whether the endpoint is to be out: two losses, or what two daemons saw; after it went out
    /// lately, anything that isn't in doubt.
    fn is_enough(&self, now: Millis) -> bool {
        let recent = || self.seen.iter().filter(|seen| now.since(seen.at) < WINDOW);
        let mut others = recent().skip_while(|seen| seen.reporter == self.seen[0].reporter);
        let sure = || recent().filter(|seen| !seen.is_doubtful);
        let lost = sure().filter(|seen| seen.sign == Sign::Lost).count();
        let is_relapse = self.outs > 0 && sure().next().is_some();
        lost >= OUT_AT || is_relapse || others.next().is_some()
    }

    /// Whether another daemon than this one saw any of it.
    pub(super) fn is_seen_by_others(&self) -> bool {
        self.seen.iter().any(|seen| seen.reporter != OWN)
    }

    fn out_by(&self) -> Change {
        let lost = self.seen.iter().filter(|seen| seen.sign == Sign::Lost);
        let daemons: BTreeSet<u32> = self.seen.iter().map(|seen| seen.reporter).collect();
        Change::Out {
            lost: lost.count(),
            daemons: daemons.len(),
        }
    }

    /// Whether the endpoint is out.
    pub(super) fn is_out(&self, now: Millis) -> bool {
        let (first, longest) = HOLD;
        let back = match self.answered_at {
            Some(answered) => answered + PROBATION,
            None => {
                let hold = first.0 << self.outs.saturating_sub(1).min(8);
                self.last_loss + Millis(hold).min(longest)
            }
        };
        self.is_out && now < back
    }

    /// Whether it came back since the last call.
    pub(super) fn take_back(&mut self, now: Millis) -> bool {
        let is_back = self.is_out && !self.is_out(now);
        if is_back {
            self.is_out = false;
            self.seen.clear();
        }
        is_back
    }
}
