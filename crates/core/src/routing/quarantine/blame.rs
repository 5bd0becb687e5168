//! Which request is to blame for the endpoints that were lost.
//!
//! The request that ends endpoints is lost with each of them; those beside it
//! are others each time. So a loss is put down to the request that lost the
//! most endpoints of all that were lost there.

use std::collections::HashMap;

use super::LOSS_THRESHOLD;
use crate::routing::fingerprint::Fingerprint;

/// Losses from which on two requests that were lost at the same endpoints are both blamed. One
/// more trial each tells them apart before.
const APART: usize = LOSS_THRESHOLD + 1;
/// Losses from which on a request is blamed whoever was lost beside it: two of those that end
/// endpoints may meet at some.
const ANYHOW: usize = LOSS_THRESHOLD + 2;

/// The most losses of any request that was lost at an endpoint, and how many have as many.
#[derive(Clone, Copy, Default)]
struct Most {
    losses: usize,
    shared_by: usize,
}

/// Losses by request and by endpoint.
pub struct Blame {
    requests: HashMap<Fingerprint, Vec<u32>>,
    endpoints: HashMap<u32, Most>,
}

impl Blame {
    /// Requests and the endpoints that were lost with them.
    pub fn new(requests: impl Iterator<Item = (Fingerprint, Vec<u32>)>) -> Self {
        let requests: HashMap<Fingerprint, Vec<u32>> = requests.collect();
        let mut endpoints: HashMap<u32, Most> = HashMap::new();
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

    /// Whether a request is to blame for enough losses.
    pub fn is_to_blame(&self, fingerprint: Fingerprint) -> bool {
        let Some(lost) = self.requests.get(&fingerprint) else {
            return false;
        };
        if lost.len() >= ANYHOW {
            return true;
        }
        let is_own = |endpoint: &&u32| {
            let most = self.endpoints.get(endpoint).copied().unwrap_or_default();
            let is_alone = most.shared_by == 1 || lost.len() >= APART;
            most.losses == lost.len() && is_alone
        };
        lost.iter().filter(is_own).count() >= LOSS_THRESHOLD
    }
}
