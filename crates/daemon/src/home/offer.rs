//! What a home's admission is told of a request, and of the endpoint's own report.

use medlarrill_core::admission::{Offer, State};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::EndpointId;
use medlarrill_core::placement::{may_pass, prompt_work, worth_waiting};
use medlarrill_core::units::Tokens;
use medlarrill_net::now::now;

use super::held::Held;
use super::task::Task;

/// Endpoints that one home tries before it lets a request wait.
const MAX_TRIED: usize = 3;

impl Task {
    /// Describes a request to an endpoint's admission.
    pub(super) fn describe(&self, held: &Held, endpoint: &EndpointId) -> Offer {
        let forward = &held.forward;
        let institution = forward.institution.parse().ok();
        let contract = institution
            .as_ref()
            .and_then(|id| self.config.config.institutions.get(id));
        let now = now();
        let waited = now.since(held.since);
        let slot = self.slots.get(endpoint);
        let behind = slot.map_or(Tokens(0), |slot| slot.behind(now));
        Offer {
            id: held.id,
            share: contract.map_or(1, |institution| institution.contract.share),
            institution: institution.unwrap_or_else(unnamed),
            account: forward.account.parse().unwrap_or_else(|_| unnamed()),
            prompt: prompt_work(held.uncached()),
            output: Tokens(forward.output),
            patience: Millis(forward.patience).since(waited),
            passable: forward.tried.len() < MAX_TRIED && self.may_leave(held, endpoint, now),
            stays: worth_waiting(behind, Tokens(forward.cached)),
        }
    }

    /// Whether another endpoint could take a request that this one doesn't.
    fn may_leave(&self, held: &Held, endpoint: &EndpointId, now: Millis) -> bool {
        let Some(slot) = self.slots.get(endpoint) else {
            return false;
        };
        if slot.home.state() != State::Ready {
            return true;
        }
        let tried = held.tried();
        let pool = self.loads.pool(&slot.pool);
        pool.is_some_and(|pool| may_pass(pool, &held.ask(&[], &tried), endpoint, now))
    }

    /// The work in an endpoint's report, which counts prompt and output tokens alike.
    ///
    /// The parts are taken to be as in what this home has running there; without any, a token counts as one of output,
    /// which is the most that it can be.
    pub(super) fn reported_work(&self, endpoint: &EndpointId, tokens: u64) -> Tokens {
        let runs =
            |held: &&Held| held.control.is_some() && held.endpoint.as_ref() == Some(endpoint);
        let held = self.held.values().filter(runs);
        let mut counted = 0;
        let mut work = 0;
        for held in held {
            let unread = held.unread();
            counted += unread.0 + held.forward.output;
            work += prompt_work(unread).0 + held.forward.output;
        }
        if counted == 0 {
            return Tokens(tokens);
        }
        Tokens((tokens as f64 * work as f64 / counted as f64) as u64)
    }
}

fn unnamed<T: std::str::FromStr>() -> T
where
    T::Err: std::fmt::Debug,
{
    "unnamed".parse().expect("the text is a valid name")
}
