//! Max-min fair division of a limit by demand.

use derive_more::Debug;

/// Part of what nobody asks for that is given in advance.
const HEADROOM: f64 = 0.5;

/// How a limit is divided.
#[derive(Clone, Copy)]
#[derive(Debug)]
pub(super) struct Level {
    /// Up to which every demand is met; infinite if all demands fit.
    pub(super) most: f64,
    /// What is left of the limit, per unit of demand.
    spare: f64,
}

impl Level {
    /// Whether more is asked for than there is.
    pub(super) fn is_exceeded(&self) -> bool {
        self.most.is_finite()
    }

    /// One party's part: its demand up to the level, and some of what nobody asks for.
    pub(super) fn part(&self, demand: f64) -> f64 {
        demand.min(self.most) * (1.0 + self.spare * HEADROOM)
    }
}

/// Divides a limit between demands, whose sum is given.
pub(super) fn fair_level(limit: u32, sum: u64, demands: impl Iterator<Item = u32>) -> Level {
    let limit = f64::from(limit);
    if sum as f64 <= limit {
        let spare = (limit - sum as f64) / (sum as f64).max(1.0);
        let most = f64::INFINITY;
        return Level { most, spare };
    }
    let mut sorted: Vec<u32> = demands.collect();
    sorted.sort_unstable();
    let mut left = limit;
    let mut most = f64::INFINITY;
    for (index, demand) in sorted.iter().enumerate() {
        let even = left / (sorted.len() - index) as f64;
        if f64::from(*demand) > even {
            most = even;
            break;
        }
        left -= f64::from(*demand);
    }
    Level { most, spare: 0.0 }
}
