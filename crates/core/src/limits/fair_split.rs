//! Max-min fair division of a limit by demand.

use derive_more::Debug;

/// Fraction of the surplus of a limit over the demands that is granted in advance.
const HEADROOM: f64 = 0.5;

/// Max-min fair division of a limit.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub(super) struct FairSplit {
    /// Level up to which every demand is met; infinite if all demands fit.
    pub(super) cap: f64,
    /// Surplus of the limit over the demands, per unit of demand.
    surplus_ratio: f64,
}

impl FairSplit {
    /// Whether the demands exceed the limit.
    pub(super) fn is_exceeded(&self) -> bool {
        self.cap.is_finite()
    }

    /// The share for a demand: the demand up to the cap, and part of the surplus.
    pub(super) fn share(&self, demand: f64) -> f64 {
        demand.min(self.cap) * (1.0 + self.surplus_ratio * HEADROOM)
    }
}

/// Divides a limit between demands with the given sum.
pub(super) fn max_min_split(limit: u32, sum: u64, demands: impl Iterator<Item = u32>) -> FairSplit {
    let limit = f64::from(limit);
    if sum as f64 <= limit {
        let surplus_ratio = (limit - sum as f64) / (sum as f64).max(1.0);
        let cap = f64::INFINITY;
        return FairSplit { cap, surplus_ratio };
    }
    let mut sorted: Vec<u32> = demands.collect();
    sorted.sort_unstable();
    let mut remaining = limit;
    let mut cap = f64::INFINITY;
    for (index, demand) in sorted.iter().enumerate() {
        let equal_share = remaining / (sorted.len() - index) as f64;
        if f64::from(*demand) > equal_share {
            cap = equal_share;
            break;
        }
        remaining -= f64::from(*demand);
    }
    FairSplit {
        cap,
        surplus_ratio: 0.0,
    }
}
