//! Which requests are to blame for lost endpoints.
//!
//! A request that crashes endpoints is lost with each of them, while other
//! requests run beside it each time. So the loss of an endpoint is blamed on
//! the request that has lost the most endpoints of all that were lost there.

use std::collections::HashMap;

use super::LOSS_THRESHOLD;
use crate::routing::fingerprint::Fingerprint;

/// Losses at which requests that were lost at the same endpoints are all blamed. Below, one more
/// attempt of each tells them apart.
const TIE_THRESHOLD: usize = LOSS_THRESHOLD + 1;
/// Losses at which a request is blamed whatever was lost beside it: two requests that crash
/// endpoints may run at the same ones.
const CERTAIN_THRESHOLD: usize = LOSS_THRESHOLD + 2;

/// The largest number of losses of any request that was lost at an endpoint, and the number of
/// requests with as many.
#[derive(Clone, Copy, Default)]
struct MaxLosses {
    losses: usize,
    shared_by: usize,
}

/// Losses by request and by endpoint.
pub struct Blame {
    requests: HashMap<Fingerprint, Vec<u32>>,
    endpoints: HashMap<u32, MaxLosses>,
}

impl Blame {
    /// Takes requests and the short ids of the endpoints that were lost with them.
    pub fn new(requests: impl Iterator<Item = (Fingerprint, Vec<u32>)>) -> Self {
        let requests: HashMap<Fingerprint, Vec<u32>> = requests.collect();
        let mut endpoints: HashMap<u32, MaxLosses> = HashMap::new();
        for lost in requests.values() {
            for endpoint in lost {
                let most = endpoints.entry(*endpoint).or_default();
                if lost.len() > most.losses {
                    (most.losses, most.shared_by) = (lost.len(), 0);
                }
                most.shared_by += usize::from(lost.len() == most.losses);
            }
        }
        Self {
            requests,
            endpoints,
        }
    }

    /// Whether a request is to blame for at least [`LOSS_THRESHOLD`] losses.
    pub fn is_to_blame(&self, fingerprint: Fingerprint) -> bool {
        let Some(lost) = self.requests.get(&fingerprint) else {
            return false;
        };
        if lost.len() >= CERTAIN_THRESHOLD {
            return true;
        }
        let is_blamed = |endpoint: &&u32| {
            let most = self.endpoints.get(endpoint).copied().unwrap_or_default();
            let is_unambiguous = most.shared_by == 1 || lost.len() >= TIE_THRESHOLD;
            most.losses == lost.len() && is_unambiguous
        };
        lost.iter().filter(is_blamed).count() >= LOSS_THRESHOLD
    }
}
