//! Division of a pool's capacity among client accounts.

use derive_more::Debug;

use super::Caller;
use super::demand::{Asked, REST};
use crate::routing::config::Priority;

/// Part of the room left by more urgent requests that less urgent ones may have of it, if they ask
/// for so much. A caller of the least urgent account gets through when it asks again some times.
pub const LESS_URGENT_MIN: f64 = 0.1;

/// Requests per second that one account of a priority may have.
#[derive(Clone, Copy, PartialEq)]
#[derive(Debug)]
pub struct Level {
    /// The priority.
    pub priority: Priority,
    /// The largest rate; infinite if all that is asked for fits.
    pub rate: f64,
}

/// Divides a capacity: more urgent requests first, and equally among the accounts of one priority,
/// where what an account doesn't use goes to the others. `rows` are sorted by priority.
pub fn levels(rows: &[(Caller, Asked)], capacity: f64) -> Vec<Level> {
    let mut left = capacity.max(0.0);
    let mut later: f64 = rows.iter().map(|(_, asked)| asked.rate).sum();
    let mut levels = Vec::new();
    for same in rows.chunk_by(|(a, _), (b, _)| a.priority == b.priority) {
        let rate: f64 = same.iter().map(|(_, asked)| asked.rate).sum();
        later = (later - rate).max(0.0);
        let room = left - later.min(LESS_URGENT_MIN * left);
        let asked = same.iter().map(|(_, asked)| *asked).collect();
        levels.push(Level {
            priority: same[0].0.priority,
            rate: level(asked, room),
        });
        left = (left - rate.min(room)).max(0.0);
    }
    levels
}

/// The rate up to which accounts share a room equally; infinite if all fit.
pub fn level(mut asked: Vec<Asked>, room: f64) -> f64 {
    asked.sort_by(|a, b| a.mean().total_cmp(&b.mean()));
    let mut left = room;
    let mut accounts: f64 = asked.iter().map(|asked| f64::from(asked.accounts)).sum();
    for each in asked {
        if each.mean() * accounts > left {
            return left.max(0.0) / accounts;
        }
        left -= each.rate;
        accounts -= f64::from(each.accounts);
    }
    f64::INFINITY
}

/// Part of the requests of an account that is admitted, 0 to 1.
pub fn fraction(level: f64, rate: f64) -> f64 {
    if rate <= level { 1.0 } else { level / rate }
}

/// The row of a caller, or the one that stands for it.
pub fn row_of(rows: &[(Caller, Asked)], caller: Caller) -> Option<Asked> {
    let rest = Caller {
        account: REST,
        ..caller
    };
    let find = |caller: &Caller| rows.binary_search_by_key(caller, |(key, _)| *key).ok();
    let index = find(&caller).or_else(|| find(&rest))?;
    Some(rows[index].1)
}
