//! This daemon's requests at endpoints, by when each endpoint last gave a sign of life.
//!
//! An endpoint may fail without closing its connections. Nothing shows that
//! until the platform takes it off the list; then what it ran in silence was
//! lost with it.

use std::collections::HashMap;

use derive_more::Debug;

use crate::clock::Millis;
use crate::routing::causes::Causes;
use crate::routing::endpoint::{Build, InstanceId};
use crate::routing::fingerprint::Fingerprint;

/// Silence after which an endpoint that leaves the list is lost: streams have events more often, and
/// the platform takes longer to notice an endpoint that fails.
const SILENCE: Millis = Millis(700);
/// Requests that are remembered after they ended without a complete answer, for each endpoint.
const UNANSWERED_MAX: usize = 64;
/// Time for which they are.
const UNANSWERED_AGE: Millis = Millis::from_secs(10);
/// Time in which bytes may arrive that an endpoint sent before it failed.
pub const LATE_BYTES: Millis = Millis(100);

/// Identifies a request at an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Debug)]
pub struct RunId(u64);

#[derive(Clone)]
#[derive(Debug)]
struct Run {
    causes: Causes,
    /// When the head of the response was received.
    began: Option<Millis>,
    /// When it was sent, or gave the last sign.
    last_sign: Millis,
    /// Whether it was handed to a connection.
    is_sent: bool,
    /// Whether its response ended without a mark.
    is_ended: bool,
}

#[derive(Clone)]
#[derive(Debug)]
struct Instance {
    build: Build,
    last_sign: Millis,
    running: HashMap<RunId, Run>,
    /// Those that ended while the endpoint was silent, or without a mark.
    unanswered: Vec<Run>,
}

/// A request that was lost with an endpoint that fell silent.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct SilentLoss {
    /// What in it may have crashed the endpoint.
    pub causes: Vec<Fingerprint>,
    /// When the head of its response was received.
    pub began: Option<Millis>,
    /// The endpoint's last sign of life.
    pub at: Millis,
}

/// A request whose response was complete.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Complete {
    /// What in it crashes no endpoint.
    pub causes: Vec<Fingerprint>,
    /// When the head of its response was received.
    pub began: Millis,
}

/// Endpoints with requests of this daemon, by whether they gave a sign of life lately.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
#[derive(Debug)]
pub struct Silences {
    /// Those that gave none.
    pub silent: usize,
    /// The others.
    pub heard: usize,
}

/// Requests at endpoints.
#[derive(Clone, Default)]
#[derive(Debug)]
pub struct Runs {
    instances: HashMap<InstanceId, Instance>,
    next: u64,
    /// Last sign of life of any endpoint.
    last_sign: Millis,
}

impl Runs {
    /// Records that a request is sent to an endpoint.
    pub fn begin(&mut self, id: &InstanceId, build: &Build, causes: Causes, now: Millis) -> RunId {
        let run_id = RunId(self.next);
        self.next += 1;
        let new = || Instance {
            build: build.clone(),
            last_sign: now,
            running: HashMap::new(),
            unanswered: Vec::new(),
        };
        let instance = self.instances.entry(id.clone()).or_insert_with(new);
        if instance.running.is_empty() && instance.unanswered.is_empty() {
            // Nothing was to be heard of it before.
            instance.last_sign = now;
        }
        let run = Run {
            causes,
            began: None,
            last_sign: now,
            is_sent: false,
            is_ended: false,
        };
        instance.running.insert(run_id, run);
        run_id
    }

    /// Sets whether a request was handed to a connection.
    pub fn set_sent(&mut self, id: &InstanceId, run_id: RunId, is_sent: bool) {
        let instance = self.instances.get_mut(id);
        let run = instance.and_then(|instance| instance.running.get_mut(&run_id));
        if let Some(run) = run {
            run.is_sent = is_sent;
        }
    }

    /// Records a head or an event of a response. Returns the requests whose responses had ended
    /// without a mark: the endpoint didn't fail then, so that they were complete.
    pub fn record_sign(&mut self, id: &InstanceId, run_id: RunId, now: Millis) -> Vec<Complete> {
        self.last_sign = now;
        let Some(instance) = self.instances.get_mut(id) else {
            return Vec::new();
        };
        instance.last_sign = now;
        if let Some(run) = instance.running.get_mut(&run_id) {
            run.began.get_or_insert(now);
            run.last_sign = now;
        }
        let is_over = |run: &Run| !run.is_ended || now.since(run.last_sign) >= LATE_BYTES;
        let over = instance.unanswered.extract_if(.., |run| is_over(run));
        let complete = over.filter(|run| run.is_ended).map(|run| Complete {
            causes: run.causes.at(&instance.build),
            began: run.began.unwrap_or(run.last_sign),
        });
        complete.collect()
    }

    /// When the head of a request's response was received.
    pub fn began(&self, id: &InstanceId, run_id: RunId) -> Option<Millis> {
        let instance = self.instances.get(id)?;
        instance.running.get(&run_id)?.began
    }

    /// Time since an endpoint gave a sign of life, if it has requests of this daemon.
    pub fn silence(&self, id: &InstanceId, now: Millis) -> Option<Millis> {
        let instance = self.instances.get(id)?;
        let is_busy = !instance.running.is_empty();
        is_busy.then(|| now.since(instance.last_sign))
    }

    /// Counts the endpoints with requests of this daemon by whether they have been silent for
    /// `least`; only those that are `counted`.
    pub fn silences(
        &self,
        counted: impl Fn(&InstanceId) -> bool,
        least: Millis,
        now: Millis,
    ) -> Silences {
        let mut silences = Silences::default();
        for (id, instance) in &self.instances {
            if instance.running.is_empty() || !counted(id) {
                continue;
            }
            match now.since(instance.last_sign) >= least {
                true => silences.silent += 1,
                false => silences.heard += 1,
            }
        }
        silences
    }

    /// Records that a response ended without a mark.
    pub fn record_unmarked(&mut self, id: &InstanceId, run_id: RunId, now: Millis) {
        let instance = self.instances.get_mut(id);
        let run = instance.and_then(|instance| instance.running.get_mut(&run_id));
        if let Some(run) = run {
            run.is_ended = true;
            run.last_sign = now;
        }
    }

    /// Records that a request isn't waited for any more.
    pub fn end(&mut self, id: &InstanceId, run_id: RunId, now: Millis) {
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        let Some(run) = instance.running.remove(&run_id) else {
            return;
        };
        let is_recent = |run: &Run| now.since(run.last_sign) < UNANSWERED_AGE;
        instance.unanswered.retain(is_recent);
        let is_silent =
            now.since(instance.last_sign) >= SILENCE && now.since(run.last_sign) >= SILENCE;
        let is_open = run.is_sent && is_silent || run.is_ended;
        if is_open && instance.unanswered.len() < UNANSWERED_MAX {
            instance.unanswered.push(run);
        }
        if instance.running.is_empty() && instance.unanswered.is_empty() {
            self.instances.remove(id);
        }
    }

    /// Takes the requests that were lost with an endpoint that left the list. None if it gave signs
    /// until then, or if no other did since: then it may be this daemon that hears nobody.
    pub fn take_lost(&mut self, id: &InstanceId, now: Millis) -> Vec<SilentLoss> {
        let Some(instance) = self.instances.remove(id) else {
            return Vec::new();
        };
        let ended = instance.unanswered.iter().filter(|run| run.is_ended);
        let last_end = ended.map(|run| run.last_sign).max();
        let last_sign = instance.last_sign.max(last_end.unwrap_or_default());
        if now.since(last_sign) < SILENCE || self.last_sign <= last_sign {
            return Vec::new();
        }
        let running = instance.running.into_values().filter(|run| run.is_sent);
        let lost = running.chain(instance.unanswered);
        let lost = lost.map(|run| SilentLoss {
            causes: run.causes.at(&instance.build),
            began: run.began,
            at: last_sign.max(run.last_sign),
        });
        lost.collect()
    }
}
