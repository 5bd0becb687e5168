//! Moves directory entries to their new daemons after a change of the fleet.
//!
//! A few entries are examined in each step, the most recent chats first, so
//! that a step takes little of the task's time and of the budget for control
//! traffic. A daemon that leaves takes larger steps, as it has no other work.
//! An entry that is lost on the way costs one prefill.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{ChatHash, DaemonId};
use medlarrill_core::placement::{ChatPlaces, Place};
use medlarrill_core::units::Tokens;
use medlarrill_core::wire::{
    Body, DirectoryTransfer, TransferredChat, TransferredPlace, name_hash,
};
use medlarrill_net::now::now;

use super::task::Task;

/// Interval between two steps.
const STEP_INTERVAL: Millis = Millis(250);
/// Most entries examined and moved in one step.
const NORMAL: Step = Step {
    examined: 1000,
    moved: 100,
};
/// The same for a daemon that is leaving.
const LEAVING: Step = Step {
    examined: 4000,
    moved: 4000,
};

struct Step {
    examined: usize,
    moved: usize,
}

/// Directory entries still to be examined.
#[derive(Debug, Default)]
pub struct Handover {
    pending: VecDeque<ChatHash>,
    last_step: Millis,
}

impl Task {
    /// Starts to examine all entries, the most recent first.
    pub(super) fn start_handover(&mut self) {
        self.handover.pending = self.directory.recent().into();
    }

    /// Takes a step if one is due.
    pub(super) fn step_handover(&mut self, now: Millis) {
        self.context.home.set_moving(self.handover.pending.len());
        if self.handover.pending.is_empty() || now.since(self.handover.last_step) < STEP_INTERVAL {
            return;
        }
        self.handover.last_step = now;
        let step = match *self.context.stopping.borrow() {
            true => LEAVING,
            false => NORMAL,
        };
        for (new_daemon, chats) in self.take_moving(&step, now) {
            self.context.metrics.moved_chats.inc_by(chats.len() as u64);
            let context = Arc::clone(&self.context);
            let moved = Body::DirectoryTransfer(DirectoryTransfer { chats });
            tokio::spawn(async move { context.peers.try_send(&new_daemon, moved).await });
        }
    }

    fn take_moving(
        &mut self,
        step: &Step,
        now: Millis,
    ) -> BTreeMap<DaemonId, Vec<TransferredChat>> {
        let mut batches: BTreeMap<DaemonId, Vec<TransferredChat>> = BTreeMap::new();
        let mut moved = 0;
        for _ in 0..step.examined {
            let Some(chat) = self.handover.pending.pop_front() else {
                break;
            };
            let Some(new_daemon) = self.new_daemon(chat) else {
                continue;
            };
            let taken = self.directory.export(&mut VecDeque::from([chat]), 1);
            let chats = taken.iter().map(|places| encode(places, now));
            batches.entry(new_daemon).or_default().extend(chats);
            moved += 1;
            if moved >= step.moved {
                break;
            }
        }
        batches
    }

    /// The directory daemon of a chat, if that is now another daemon.
    fn new_daemon(&self, chat: ChatHash) -> Option<DaemonId> {
        let places = self.directory.places(chat);
        let endpoint = self.config.endpoint(&places.first()?.endpoint)?;
        let first = self.config.ranked(&endpoint.pool, chat.0, 1);
        let new_daemon = self.home_of(first.first()?)?;
        (new_daemon != self.context.me.daemon).then_some(new_daemon)
    }

    /// Imports entries from their previous daemon.
    pub(super) fn moved(&mut self, moved: DirectoryTransfer) {
        let now = now();
        let chats = moved.chats.into_iter().map(|chat| self.decode(chat, now));
        let chats: Vec<ChatPlaces> = chats.collect();
        self.directory.import(chats);
    }

    fn decode(&self, moved: TransferredChat, now: Millis) -> ChatPlaces {
        let place = |place: TransferredPlace| {
            Some(Place {
                endpoint: self.names.endpoint(place.endpoint)?.clone(),
                prefix: Tokens(place.prefix),
                served: now.since(Millis(place.age)),
                hint: None,
            })
        };
        ChatPlaces {
            chat: ChatHash(moved.chat),
            places: moved.places.into_iter().filter_map(place).collect(),
        }
    }
}

fn encode(chat: &ChatPlaces, now: Millis) -> TransferredChat {
    let place = |place: &Place| TransferredPlace {
        endpoint: name_hash(place.endpoint.as_str()),
        prefix: place.prefix.0,
        age: now.since(place.served).0,
    };
    TransferredChat {
        chat: chat.chat.0,
        places: chat.places.iter().map(place).collect(),
    }
}
