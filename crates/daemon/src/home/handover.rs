//! Moves directory entries to the daemons that keep them after a change of the fleet.
//!
//! A few entries are looked at in each step, the most recent chats first, so
//! that neither the task nor the control budget feels it. A daemon that leaves
//! takes larger steps, as it has nothing else to do. An entry that is lost on
//! the way costs one prefill.

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

/// Time between two steps.
const EVERY: Millis = Millis(250);
/// Entries looked at in one step, and at most moved.
const USUAL: Step = Step {
    looked: 1000,
    moved: 100,
};
/// The same for a daemon that leaves.
const LEAVING: Step = Step {
    looked: 4000,
    moved: 4000,
};

struct Step {
    looked: usize,
    moved: usize,
}

/// Entries that may have to move.
#[derive(Debug, Default)]
pub struct Handover {
    plan: VecDeque<ChatHash>,
    stepped: Millis,
}

impl Task {
    /// Looks at all entries anew.
    pub(super) fn plan_handover(&mut self) {
        self.handover.plan = self.directory.recent().into();
    }

    /// Takes a step, when one is due.
    pub(super) fn step_handover(&mut self, now: Millis) {
        self.context.home.note_moving(self.handover.plan.len());
        if self.handover.plan.is_empty() || now.since(self.handover.stepped) < EVERY {
            return;
        }
        self.handover.stepped = now;
        let step = match *self.context.stopping.borrow() {
            true => LEAVING,
            false => USUAL,
        };
        for (keeper, chats) in self.take_moving(&step, now) {
            self.context.metrics.moved_chats.inc_by(chats.len() as u64);
            let context = Arc::clone(&self.context);
            let moved = Body::DirectoryTransfer(DirectoryTransfer { chats });
            tokio::spawn(async move { context.peers.try_send(&keeper, moved).await });
        }
    }

    fn take_moving(
        &mut self,
        step: &Step,
        now: Millis,
    ) -> BTreeMap<DaemonId, Vec<TransferredChat>> {
        let mut batches: BTreeMap<DaemonId, Vec<TransferredChat>> = BTreeMap::new();
        let mut moved = 0;
        for _ in 0..step.looked {
            let Some(chat) = self.handover.plan.pop_front() else {
                break;
            };
            let Some(keeper) = self.keeper(chat) else {
                continue;
            };
            let taken = self.directory.export(&mut VecDeque::from([chat]), 1);
            let chats = taken.iter().map(|places| pack(places, now));
            batches.entry(keeper).or_default().extend(chats);
            moved += 1;
            if moved >= step.moved {
                break;
            }
        }
        batches
    }

    /// The other daemon that keeps a chat now, if there is one.
    fn keeper(&self, chat: ChatHash) -> Option<DaemonId> {
        let places = self.directory.places(chat);
        let endpoint = self.config.endpoint(&places.first()?.endpoint)?;
        let first = self.config.ranked(&endpoint.pool, chat.0, 1);
        let keeper = self.home_of(first.first()?)?;
        (keeper != self.context.me.daemon).then_some(keeper)
    }

    /// Takes entries from the daemon that kept them.
    pub(super) fn moved(&mut self, moved: DirectoryTransfer) {
        let now = now();
        let chats = moved.chats.into_iter().map(|chat| self.unpack(chat, now));
        let chats: Vec<ChatPlaces> = chats.collect();
        self.directory.import(chats);
    }

    fn unpack(&self, moved: TransferredChat, now: Millis) -> ChatPlaces {
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

fn pack(chat: &ChatPlaces, now: Millis) -> TransferredChat {
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
