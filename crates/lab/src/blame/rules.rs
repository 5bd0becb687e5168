//! The rules.

use std::collections::{BTreeSet, HashMap};

/// A part of a prompt.
pub type Part = u64;

/// A request that was lost with an endpoint.
#[derive(Clone, Debug)]
pub struct Lost {
    pub endpoint: u64,
    pub at: u64,
    /// Whether its answer had begun a second before or earlier.
    pub is_old: bool,
    pub parts: Vec<Part>,
}

/// All that is known.
#[derive(Clone, Default, Debug)]
pub struct Known {
    pub lost: Vec<Lost>,
    /// When the last complete answer to a request with each part began.
    pub served: HashMap<Part, u64>,
}

/// A rule: the sets of parts of which none may be sent whole.
pub type Rule = fn(&Known) -> Vec<BTreeSet<Part>>;

/// The rules, by name.
pub const RULES: [(&str, Rule); 5] = [
    ("three losses of a part", by_count),
    (
        "three losses since it was served, none within a minute of that",
        by_minute,
    ),
    ("three losses since it was served", by_contrast),
    ("the same, of those that had just begun", by_moment),
    (
        "the same, by sets; five over three seconds if it was served in the minute before",
        by_sets,
    ),
];

/// Losses that convict.
const ENOUGH: usize = 3;
/// Losses that convict a part that was served shortly before.
const ENOUGH_IF_SERVED: usize = 5;
const MINUTE: u64 = 60_000;
/// Time from the first to the last of these, in which others with the part may be served.
const SPAN: u64 = 3000;

/// The endpoints that were lost with each part, by a choice of losses.
fn endpoints(known: &Known, counts: impl Fn(Part, &Lost) -> bool) -> HashMap<Part, BTreeSet<u64>> {
    let mut by_part: HashMap<Part, BTreeSet<u64>> = HashMap::new();
    for lost in &known.lost {
        for part in lost.parts.iter().filter(|part| counts(**part, lost)) {
            by_part.entry(*part).or_default().insert(lost.endpoint);
        }
    }
    by_part
}

fn alone(by_part: HashMap<Part, BTreeSet<u64>>) -> Vec<BTreeSet<Part>> {
    let convicted = by_part.into_iter().filter(|(_, lost)| lost.len() >= ENOUGH);
    convicted.map(|(part, _)| BTreeSet::from([part])).collect()
}

fn by_count(known: &Known) -> Vec<BTreeSet<Part>> {
    alone(endpoints(known, |_, _| true))
}

fn by_minute(known: &Known) -> Vec<BTreeSet<Part>> {
    let is_cleared = |part: Part, lost: &Lost| {
        let served = known.served.get(&part);
        served.is_some_and(|at| lost.at < at + MINUTE)
    };
    alone(endpoints(known, |part, lost| !is_cleared(part, lost)))
}

fn is_cleared(known: &Known, part: Part, lost: &Lost) -> bool {
    known.served.get(&part).is_some_and(|at| lost.at <= *at)
}

fn by_contrast(known: &Known) -> Vec<BTreeSet<Part>> {
    alone(endpoints(known, |part, lost| {
        !is_cleared(known, part, lost)
    }))
}

/// Endpoints of which a request was lost that had just begun, or had not.
fn fresh_endpoints(known: &Known) -> BTreeSet<u64> {
    let fresh = known.lost.iter().filter(|lost| !lost.is_old);
    fresh.map(|lost| lost.endpoint).collect()
}

/// Whether a loss counts where what had just begun comes first.
fn counts_first(known: &Known, fresh: &BTreeSet<u64>, part: Part, lost: &Lost) -> bool {
    let is_second = lost.is_old && fresh.contains(&lost.endpoint);
    !is_second && !is_cleared(known, part, lost)
}

fn by_moment(known: &Known) -> Vec<BTreeSet<Part>> {
    let fresh = fresh_endpoints(known);
    alone(endpoints(known, |part, lost| {
        counts_first(known, &fresh, part, lost)
    }))
}

/// Takes the parts that explain the most ends first, and the ends that they explain away; parts that
/// were served shortly before only for what is left then.
fn by_sets(known: &Known) -> Vec<BTreeSet<Part>> {
    let fresh = fresh_endpoints(known);
    let mut left = endpoints(known, |part, lost| counts_first(known, &fresh, part, lost));
    let mut convicted = Vec::new();
    for is_served in [false, true] {
        let candidates: BTreeSet<Part> = left
            .iter()
            .filter(|(part, lost)| match was_served(known, **part) {
                true => is_served && lost.len() >= ENOUGH_IF_SERVED && span(known, lost) >= SPAN,
                false => !is_served,
            })
            .map(|(part, _)| *part)
            .collect();
        while let Some((class, ends)) = top_class(&left, &candidates) {
            convicted.push(class);
            for lost in left.values_mut() {
                lost.retain(|end| !ends.contains(end));
            }
        }
    }
    convicted
}

/// Whether the last answer to a part began in the minute before its first loss since then.
fn was_served(known: &Known, part: Part) -> bool {
    let own = known.lost.iter().filter(|lost| lost.parts.contains(&part));
    let uncleared = own.filter(|lost| !is_cleared(known, part, lost));
    let first = uncleared.map(|lost| lost.at).min();
    let served = known.served.get(&part).zip(first);
    served.is_some_and(|(at, first)| first < at + MINUTE)
}

/// Time between the first and the last end.
fn span(known: &Known, ends: &BTreeSet<u64>) -> u64 {
    let lost = known
        .lost
        .iter()
        .filter(|lost| ends.contains(&lost.endpoint));
    let times = || lost.clone().map(|lost| lost.at);
    times().max().unwrap_or_default() - times().min().unwrap_or_default()
}

/// The candidates that explain the most ends, where at least three of these are explained by no
/// others as good; parts with the same ends can't be told apart.
fn top_class(
    left: &HashMap<Part, BTreeSet<u64>>,
    candidates: &BTreeSet<Part>,
) -> Option<(BTreeSet<Part>, BTreeSet<u64>)> {
    let ends = |part: &Part| left.get(part).cloned().unwrap_or_default();
    let most = candidates.iter().map(|part| ends(part).len()).max()?;
    let top: Vec<Part> = candidates
        .iter()
        .copied()
        .filter(|part| ends(part).len() == most)
        .collect();
    let is_clear = |set: &BTreeSet<u64>| {
        let others = || top.iter().map(&ends).filter(|other| other != set);
        let own = set
            .iter()
            .filter(|end| !others().any(|other| other.contains(end)));
        own.count() >= ENOUGH
    };
    let set = top.iter().map(&ends).find(is_clear)?;
    let class = top.iter().copied().filter(|part| ends(part) == set);
    Some((class.collect(), set))
}
