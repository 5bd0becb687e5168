//! Odd entries of other writers among those of the endpoints, beside planned work.

use std::time::Duration;

use derive_more::Debug;
use rand::RngExt;
use rand_pcg::Pcg32;
use serde_json::Value;

use super::{CALM, Event, Fault, PAUSE_MS, Plan};

/// Fields of an entry, and one that it doesn't have.
const FIELDS: [&str; 10] = [
    "slots",
    "seq",
    "born",
    "cold_remaining_ms",
    "version",
    "service",
    "zone",
    "state",
    "address",
    "more",
];
/// Values that the store's stand-in can't hold: these texts stand in their place there.
const VALUES: [&str; 11] = [
    "@lists-130",
    "@lists-20000",
    "@objects-20000",
    "@digits-400",
    "@1e400",
    "@1.7e308",
    "@-1",
    "@4294967295",
    "@9007199254740993",
    "@18446744073709551615",
    "@18446744073709551616",
];
/// Addresses at which no endpoint can be.
const ADDRESSES: [&str; 5] = [
    "127.0.0.1:65536",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:99999999999999999999",
    "nowhere",
];
/// An address at which nobody listens.
const NOBODY: &str = "127.0.0.1:1";

/// An entry of which one field is odd.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Odd {
    field: &'static str,
    value: &'static str,
}

impl Odd {
    fn draw(rng: &mut Pcg32) -> Self {
        let pick =
            |rng: &mut Pcg32, texts: &[&'static str]| texts[rng.random_range(0..texts.len())];
        match rng.random_bool(0.2) {
            true => Self {
                field: "address",
                value: pick(rng, &ADDRESSES),
            },
            false => Self {
                field: pick(rng, &FIELDS),
                value: pick(rng, &VALUES),
            },
        }
    }

    /// Name of an entry of its own.
    pub fn name(self) -> String {
        format!("odd-{}-{}", self.field, self.value.trim_start_matches('@'))
    }

    /// A sound entry with the odd field; at nobody's address, if it stands beside the endpoints'.
    pub fn of(self, mut entry: Value, is_beside: bool) -> Value {
        if is_beside {
            entry["address"] = NOBODY.into();
        }
        entry[self.field] = self.value.into();
        entry
    }

    /// Texts that stand in the store, and the values in answers.
    pub fn texts() -> impl Iterator<Item = (String, String)> {
        VALUES
            .iter()
            .map(|value| (format!("\"{value}\""), raw(value)))
    }
}

fn raw(value: &str) -> String {
    match value.trim_start_matches('@').split_once('-') {
        Some(("lists", depth)) => nested(depth, "[", "]"),
        Some(("objects", depth)) => nested(depth, "{\"more\":", "}"),
        Some(("digits", count)) => "9".repeat(count.parse().unwrap_or_default()),
        _ => value.trim_start_matches('@').to_owned(),
    }
}

fn nested(depth: &str, open: &str, close: &str) -> String {
    let depth = depth.parse().unwrap_or_default();
    format!("{}1{}", open.repeat(depth), close.repeat(depth))
}

impl Plan {
    /// Draws a plan in which entries turn odd and back, or come beside those of the endpoints.
    pub fn of_odd(rng: &mut Pcg32, length: Duration) -> Self {
        let mut plan = Self {
            events: Vec::new(),
            births: rng.random_bool(0.7),
            ..Self::new(rng, Duration::ZERO)
        };
        let mut at = CALM;
        while at < length {
            let fault = plan.draw_beside_odd(rng);
            plan.events.push(Event { at, fault });
            at += Duration::from_millis(rng.random_range(0..PAUSE_MS));
        }
        plan
    }

    /// Draws an odd entry or planned work. Endpoints whose entries turn odd never leave, and the first
    /// one does neither.
    fn draw_beside_odd(&self, rng: &mut Pcg32) -> Fault {
        let daemon = rng.random_range(0..self.daemons);
        let endpoint = rng.random_range(1..self.endpoints);
        let lasts = Duration::from_millis(rng.random_range(0..3000));
        let brief = lasts / 20;
        match rng.random_range(0..12) {
            0..4 => Fault::Odd(None, Odd::draw(rng), lasts),
            4..8 if endpoint % 2 == 1 => {
                let lasts = if rng.random_bool(0.5) { brief } else { lasts };
                Fault::Odd(Some(endpoint), Odd::draw(rng), lasts)
            }
            4..9 if endpoint.is_multiple_of(2) => Fault::Drain(endpoint, lasts + lasts),
            9 => Fault::Stop(daemon),
            10 => Fault::Forget,
            11 => Fault::Reload(daemon),
            _ => Fault::Configure,
        }
    }
}
