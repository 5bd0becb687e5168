//! A request's way through the daemons: placed, offered, dispatched, passed on, lost.

use medlarrill_core::admission::{Action, Ending, Event, Offer};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{ChatHash, EndpointId};
use medlarrill_core::placement::{
    HOP_LIMIT, Place, Placement, PlacementRequest, can_forward, estimated_work, place, prompt_work,
    should_wait,
};
use medlarrill_core::reason::Reason;
use medlarrill_core::units::Tokens;

use super::{Fleet, Task, daemon};
use crate::policy::plant::{Job, Plant};
use crate::policy::world::PATIENCE;

/// Endpoints that one try is offered to at most.
const MAX_TRIED: usize = 3;
/// Size of a message that tells a directory of a passed request.
const TOLD_BYTES: u64 = 48;

impl Fleet {
    /// A directory daemon places a request.
    pub(super) fn place(&mut self, plant: &mut Plant, id: u32, number: usize, now: u64) {
        let Some(job) = plant.jobs.get(&id) else {
            return;
        };
        let (chat, hops) = (ChatHash(job.request.chat), job.hops);
        let daemon = &self.daemons[number];
        let places = daemon.directory.places(chat);
        let owner = daemon.directory_of(chat.0);
        if places.is_empty() && owner != number && hops + 1 < HOP_LIMIT {
            let next = self.hop(plant, id, number, owner);
            if next != number {
                self.tasks.push(Task::Place {
                    job: id,
                    daemon: next,
                });
                return;
            }
        }
        let Some(placement) = self.choose(plant, id, number, &places, now) else {
            plant.refuse(id, Reason::NoEndpoint, Millis(1000), now);
            return;
        };
        self.send(plant, id, number, &placement, now);
    }

    pub(super) fn choose(
        &mut self,
        plant: &Plant,
        id: u32,
        number: usize,
        places: &[Place],
        now: u64,
    ) -> Option<Placement> {
        let job = plant.jobs.get(&id)?;
        let tried = tried(plant, job);
        let daemon = &mut self.daemons[number];
        let mut ask = ask(job, places, &tried);
        let first = place(&daemon.pool, &ask, Millis(now), &mut daemon.rng);
        if let Ok(placement) = first {
            return Some(placement);
        }
        // An endpoint of another home is served from here, so its home can't know better.
        let pool = &daemon.pool;
        let ready = |place: &&Place| {
            pool.get(&place.endpoint)
                .is_some_and(|view| view.takes_work())
        };
        let places: Vec<Place> = places.iter().filter(ready).cloned().collect();
        ask.places = &places;
        ask.own_only = false;
        place(&daemon.pool, &ask, Millis(now), &mut daemon.rng).ok()
    }

    /// Records a placement and sends the request to the endpoint's home.
    pub(super) fn send(
        &mut self,
        plant: &mut Plant,
        id: u32,
        number: usize,
        chosen: &Placement,
        now: u64,
    ) {
        let endpoint = daemon::number_of(&chosen.endpoint);
        let home = self.daemons[number].home_of[endpoint];
        let Some(job) = plant.jobs.get_mut(&id) else {
            return;
        };
        job.cached = chosen.cached.0;
        job.directory = number;
        plant.measure.placed(job, daemon::name_of(chosen.reason));
        let uncached = Tokens(u64::from(job.request.prompt) - chosen.cached.0);
        let work = estimated_work(uncached, Tokens(plant.size.output as u64));
        let (chat, prefix) = (job.request.chat, u64::from(job.request.prompt));
        let spare = job.hops < HOP_LIMIT;
        let next = match spare {
            true => self.hop(plant, id, number, home),
            false => number,
        };
        let daemon = &mut self.daemons[number];
        let prefix = prefix + plant.size.output as u64;
        daemon.record(chat, &chosen.endpoint, prefix, now);
        if next != number {
            daemon.pool.note_sent(&chosen.endpoint, work);
        }
        self.tasks.push(Task::Offer {
            job: id,
            daemon: next,
            endpoint,
        });
    }

    /// A request is offered to the endpoint's home.
    pub(super) fn offer(
        &mut self,
        plant: &mut Plant,
        id: u32,
        number: usize,
        endpoint: usize,
        now: u64,
    ) {
        let home = self.daemons[number].home_of[endpoint];
        let hops = plant.jobs.get(&id).map_or(0, |job| job.hops);
        if home != number && hops < HOP_LIMIT {
            let next = self.hop(plant, id, number, home);
            if next != number {
                self.tasks.push(Task::Offer {
                    job: id,
                    daemon: next,
                    endpoint,
                });
                return;
            }
        }
        let attempt = plant.attempt(id, number);
        let Some(job) = plant.jobs.get(&id) else {
            return;
        };
        let request = &job.request;
        let institution = usize::from(request.institution);
        let tried = tried(plant, job);
        let pool = &self.daemons[number].pool;
        let here = &plant.names.endpoints[endpoint];
        let other = can_forward(pool, &ask(job, &[], &tried), here, Millis(now));
        let behind = self.daemons[number].behind(endpoint, now);
        let stays = should_wait(behind, Tokens(job.cached));
        let ready = self.daemons[number].takes(endpoint, plant, now);
        let passable = (other || !ready) && job.tried.len() < MAX_TRIED;
        let offer = Offer {
            id: attempt,
            institution: plant.names.institutions[institution].clone(),
            share: plant.names.shares[institution],
            account: plant.names.accounts[usize::from(request.account)].clone(),
            prompt: prompt_work(Tokens(u64::from(request.prompt).saturating_sub(job.cached))),
            output: Tokens(plant.size.output as u64),
            patience: PATIENCE,
            movable: passable,
            keep_local: stays,
        };
        self.tell(plant, number, endpoint, Event::Offer(offer), now);
    }

    /// Tells a home something, and notes what it asks for.
    pub(super) fn tell(
        &mut self,
        plant: &Plant,
        number: usize,
        endpoint: usize,
        event: Event,
        now: u64,
    ) {
        let daemon = &mut self.daemons[number];
        let home = daemon.home(endpoint, plant, now);
        let actions = home.handle(event, Millis(now));
        daemon.sync(endpoint, plant, now);
        for action in actions.into_iter().rev() {
            self.tasks.push(Task::Act {
                daemon: number,
                endpoint,
                action,
            });
        }
    }

    pub(super) fn act(
        &mut self,
        plant: &mut Plant,
        number: usize,
        endpoint: usize,
        action: Action,
        now: u64,
    ) {
        let id = action.id().request.0 as u32;
        match action {
            Action::Dispatch { .. } => {
                if !plant.start(id, endpoint, number, now) {
                    self.failed(plant, id, number, endpoint, now);
                }
            }
            Action::Refuse {
                reason,
                retry_after,
                ..
            } => plant.refuse(id, reason, retry_after, now),
            Action::PassOn { .. } => self.pass_on(plant, id, number, endpoint, now),
        }
    }

    /// A home that can't take a request places it anew and tells the chat's directory.
    pub(super) fn pass_on(
        &mut self,
        plant: &mut Plant,
        id: u32,
        number: usize,
        endpoint: usize,
        now: u64,
    ) {
        let Some(job) = plant.jobs.get_mut(&id) else {
            return;
        };
        job.tried.push(endpoint);
        job.number += 1;
        plant.measure.passed += 1;
        let directory = job.directory;
        let chat = job.request.chat;
        let prefix = u64::from(job.request.prompt) + plant.size.output as u64;
        let Some(placement) = self.choose(plant, id, number, &[], now) else {
            plant.refuse(id, Reason::NoEndpoint, Millis(1000), now);
            return;
        };
        if directory != number {
            self.daemons[number].control += 2 * TOLD_BYTES;
            self.daemons[directory].record(chat, &placement.endpoint, prefix, now);
        }
        self.send(plant, id, number, &placement, now);
        if let Some(job) = plant.jobs.get_mut(&id) {
            job.directory = directory;
        }
    }

    /// An endpoint was lost before or while a request ran.
    pub(super) fn failed(
        &mut self,
        plant: &mut Plant,
        id: u32,
        number: usize,
        endpoint: usize,
        now: u64,
    ) {
        let event = Event::Finished {
            id: plant.attempt(id, number),
            ending: Ending::Failed,
        };
        self.tell(plant, number, endpoint, event, now);
        if let Some(job) = plant.jobs.get_mut(&id) {
            job.tried.push(endpoint);
        }
        if plant.may_retry(id, now) {
            self.tasks.push(Task::Place {
                job: id,
                daemon: number,
            });
        }
    }
}

fn tried(plant: &Plant, job: &Job) -> Vec<EndpointId> {
    let names = &plant.names.endpoints;
    job.tried.iter().map(|n| names[*n].clone()).collect()
}

fn ask<'a>(job: &Job, places: &'a [Place], tried: &'a [EndpointId]) -> PlacementRequest<'a> {
    PlacementRequest {
        chat: Some(ChatHash(job.request.chat)),
        places,
        prompt: Tokens(job.request.prompt.into()),
        tried,
        own_only: job.hops >= HOP_LIMIT,
    }
}
