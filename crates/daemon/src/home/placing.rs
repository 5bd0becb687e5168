//! Places requests on endpoints, passes them to other homes and keeps the chat directory.

use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{ChatHash, DaemonId, EndpointId};
use medlarrill_core::placement::{HOP_LIMIT, Place, PlacementRequest, place};
use medlarrill_core::reason::Reason;
use medlarrill_core::units::Tokens;
use medlarrill_core::wire::{Body, Forward, Placed};
use medlarrill_net::now::now;

use super::held::HeldRequest;
use super::message::{Message, Usage};
use super::reply::Refusal;
use super::task::Task;

impl Task {
    /// Chooses an endpoint for a request, as its chat's directory daemon.
    pub(super) fn place(&mut self, held: HeldRequest) {
        match self.choose(&held) {
            Ok(choice) => {
                // The next request of the chat may arrive before the home reports this one.
                if let Some(chat) = held.chat() {
                    self.record_place(chat, &choice.endpoint, held.prompt(), now());
                }
                self.route(held, choice, Reason::NoEndpoint);
            }
            Err(reason) => self.refuse(held, Refusal::new(reason)),
        }
    }

    /// Places a request again that an endpoint of this home doesn't admit.
    pub(super) fn pass_on(&mut self, mut held: HeldRequest, endpoint: &EndpointId, reason: Reason) {
        held.forward.tried.push(endpoint.to_string());
        match self.choose(&held) {
            Ok(choice) => self.route(held, choice, reason),
            // No other endpoint accepts work, so it waits here if the admission lets it.
            Err(_) => {
                held.forward.hops = HOP_LIMIT;
                self.admit(held, endpoint);
            }
        }
    }

    fn choose(&mut self, held: &HeldRequest) -> Result<Choice, Reason> {
        let now = now();
        let pool = held.forward.pool.parse().map_err(|_| Reason::NoRoute)?;
        let pool = self.loads.pool(&pool).ok_or(Reason::NoEndpoint)?;
        let chat = held.chat();
        let places = chat.map(|chat| self.directory.places(chat));
        let tried = held.tried();
        let ask = PlacementRequest {
            chat,
            places: places.as_deref().unwrap_or_default(),
            prompt: held.prompt(),
            tried: &tried,
            own_only: held.forward.hops >= HOP_LIMIT,
        };
        let placement = place(pool, &ask, now, &mut self.rng)?;
        log::debug!(target: "home", "home: {} goes to {}: {:?}, {} places known, {} tokens cached there", held.id, placement.endpoint, placement.reason, ask.places.len(), placement.cached);
        Ok(Choice {
            endpoint: placement.endpoint,
            cached: placement.cached,
        })
    }

    fn route(&mut self, mut held: HeldRequest, choice: Choice, reason: Reason) {
        held.forward.cached = choice.cached.0;
        self.note_sent(&held, &choice);
        let home = self.home_of(&choice.endpoint);
        let here = home
            .as_ref()
            .is_none_or(|home| *home == self.context.me.daemon);
        match home {
            Some(home) if !here && held.forward.hops < HOP_LIMIT => {
                self.pass_to(held, choice.endpoint, home);
            }
            _ if here => self.admit(held, &choice.endpoint),
            _ => self.refuse(held, Refusal::new(reason)),
        }
    }

    /// Passes a request to another home; if that is unreachable, the request is served from here.
    fn pass_to(&self, held: HeldRequest, endpoint: EndpointId, home: DaemonId) {
        let context = Arc::clone(&self.context);
        let forward = Forward {
            endpoint: endpoint.to_string(),
            hops: held.forward.hops + 1,
            ..held.forward
        };
        let reply = held.reply;
        tokio::spawn(async move {
            // The entry must know the other home before that can answer.
            if reply.passed(&home).await.is_err() {
                return;
            }
            let sent = context
                .peers
                .send(&home, Body::Forward(forward.clone()))
                .await;
            if sent.is_err() {
                let back = reply.passed_back(&context.me.daemon, &home).await;
                let last = Forward {
                    hops: HOP_LIMIT,
                    ..forward
                };
                if back.is_ok() {
                    context
                        .home
                        .send(Message::Offer(context.me.clone(), Box::new(last)));
                }
            }
        });
    }

    fn note_sent(&mut self, held: &HeldRequest, choice: &Choice) {
        let Ok(pool) = held.forward.pool.parse() else {
            return;
        };
        if let Some(pool) = self.loads.pool_mut(&pool) {
            pool.note_sent(&choice.endpoint, held.work());
        }
    }

    /// Records where a chat was served, here or at its directory daemon.
    pub(super) fn record_served(
        &mut self,
        held: &HeldRequest,
        endpoint: &EndpointId,
        usage: Option<Usage>,
    ) {
        let metrics = &self.context.metrics;
        if let Some(usage) = usage {
            metrics.prompt_tokens.inc_by(usage.prompt.0);
            metrics.cached_tokens.inc_by(usage.cached.0);
        }
        let Some(chat) = held.chat() else {
            return;
        };
        let prefix = usage.map_or(held.forward.prompt, |usage| usage.prompt.0 + usage.output.0);
        let Some(directory_daemon) = self.directory_daemon_of(&held.forward, chat) else {
            return;
        };
        if directory_daemon == self.context.me.daemon {
            self.record_place(chat, endpoint, Tokens(prefix), now());
            return;
        }
        let placed = Body::Placed(Placed {
            chat: chat.0,
            endpoint: endpoint.to_string(),
            prefix,
            pool: held.forward.pool.clone(),
            work: held.work().0,
        });
        let context = Arc::clone(&self.context);
        // A lost message costs one prefill.
        tokio::spawn(async move { context.peers.try_send(&directory_daemon, placed).await });
    }

    /// Handles a report from the home that served a chat.
    pub(super) fn placed(&mut self, placed: &Placed) {
        let Ok(endpoint) = placed.endpoint.parse() else {
            return;
        };
        let prefix = Tokens(placed.prefix);
        self.record_place(ChatHash(placed.chat), &endpoint, prefix, now());
        let pool = placed.pool.parse().ok();
        if let Some(pool) = pool.and_then(|pool| self.loads.pool_mut(&pool)) {
            pool.note_done(&endpoint, Tokens(placed.work));
        }
    }

    fn record_place(&mut self, chat: ChatHash, endpoint: &EndpointId, prefix: Tokens, now: Millis) {
        let place = Place {
            endpoint: endpoint.clone(),
            prefix,
            served: now,
            hint: None,
        };
        self.directory.record(chat, &place);
    }

    /// The home of the chat's first-ranked endpoint.
    fn directory_daemon_of(&self, forward: &Forward, chat: ChatHash) -> Option<DaemonId> {
        let pool = forward.pool.parse().ok()?;
        let first = self.config.ranked(&pool, chat.0, 1);
        self.home_of(first.first()?)
    }

    /// The home of an endpoint in the current fleet view.
    pub(super) fn home_of(&self, endpoint: &EndpointId) -> Option<DaemonId> {
        self.fleet.home_of(&self.config, endpoint).cloned()
    }
}

/// A chosen endpoint, and the prompt tokens assumed to be cached there.
struct Choice {
    endpoint: EndpointId,
    cached: Tokens,
}
