//! Finds all faults of a settings file before any of it is used.

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use super::finding::{Finding, SourceText};
use super::keys::{KEYS, Key, Kind, Presence};
use super::value;

/// Maximum edit distance at which a known key is suggested.
const MAX_DISTANCE: usize = 3;

/// JSON with comments and trailing commas, without other extensions.
pub(super) const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// All findings, in the order of their positions.
pub fn check(text: &str) -> Vec<Finding> {
    let mut findings = match parse_to_ast(text, &CollectOptions::default(), &OPTIONS) {
        Ok(parsed) => check_root(text, parsed.value.as_ref()),
        Err(error) => {
            let cause = error.kind().to_string();
            vec![SourceText(text).finding(error.range().start, "", cause)]
        }
    };
    findings.sort();
    findings
}

fn check_root(text: &str, root: Option<&Value<'_>>) -> Vec<Finding> {
    let Some(Value::Object(object)) = root else {
        return vec![SourceText(text).finding(0, "", "the settings must be an object")];
    };
    let mut checker = Checker {
        text: SourceText(text),
        findings: Vec::new(),
    };
    checker.check_object(object, "");
    checker.check_conflicts(object);
    checker.findings
}

struct Checker<'a> {
    text: SourceText<'a>,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    fn add(&mut self, offset: usize, key: &str, text: impl Into<String>) {
        self.findings.push(self.text.finding(offset, key, text));
    }

    /// Checks an object's keys and their values.
    fn check_object(&mut self, object: &Object<'_>, path: &str) {
        for (index, property) in object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let before = object.properties.iter().take(index);
            if before.clone().any(|other| other.name.as_str() == name) {
                let key = join(path, name);
                self.add(property.range.start, &key, "the key stands here twice");
            }
            self.check_property(property, path);
        }
        let missing = |key: &&Key| {
            let name = key.path.rsplit('.').next().unwrap_or_default();
            let required = key.presence == Presence::Required && key.parent() == path;
            required && object.get(name).is_none()
        };
        for key in KEYS.iter().filter(missing) {
            self.add(object.range.start, key.path, "the key is missing");
        }
    }

    fn check_property(&mut self, property: &ObjectProp<'_>, path: &str) {
        let name = property.name.as_str();
        let full = join(path, name);
        let Some(key) = KEYS.iter().find(|key| key.path == full) else {
            let text = match closest_key(path, name) {
                Some(known) => format!("no such key; did you mean `{known}`?"),
                None => "no such key".into(),
            };
            self.add(property.range.start, &full, text);
            return;
        };
        match (key.kind, &property.value) {
            (Kind::Object, Value::Object(object)) => self.check_object(object, key.path),
            (Kind::Addresses | Kind::Hashes, Value::Array(list)) => {
                for element in &list.elements {
                    self.check_value(key, element);
                }
            }
            (_, value) => self.check_value(key, value),
        }
    }

    fn check_value(&mut self, key: &Key, value: &Value<'_>) {
        if let Err(text) = value::check(key.kind, value) {
            self.add(value.range().start, key.path, text);
        }
    }

    /// Checks for conflicts between keys.
    fn check_conflicts(&mut self, root: &Object<'_>) {
        if let Some(listen) = root.get_object("listen") {
            self.check_listen(listen, root);
        }
        if let Some(keys) = root.get_object("keys") {
            match (keys.get("fleet"), keys.get("fleet-file")) {
                (None, None) => {
                    let text = "the key is missing, and so is `keys.fleet-file`";
                    self.add(keys.range.start, "keys.fleet", text);
                }
                (Some(_), Some(file)) => {
                    let text = "stands beside `keys.fleet`; leave one of them out";
                    self.add(file.range.start, "keys.fleet-file", text);
                }
                _ => {}
            }
        }
    }

    fn check_listen(&mut self, listen: &Object<'_>, root: &Object<'_>) {
        let callers = value::address_at(listen, "callers");
        let peers = value::address_at(listen, "peers");
        let platform = value::address_at(root, "platform");
        if let (Some(callers), Some(peers)) = (callers, peers)
            && callers.overlaps(peers)
        {
            let text = "the same address as `listen.callers`";
            self.add(peers.offset, "listen.peers", text);
        }
        for own in [callers, peers].into_iter().flatten() {
            if let Some(platform) = platform.filter(|platform| platform.address == own.address) {
                let text = "the daemon listens there itself";
                self.add(platform.offset, "platform", text);
            }
        }
        let advertise = value::address_at(listen, "advertise");
        if let Some(peers) = peers.filter(|peers| peers.is_wildcard())
            && listen.get("advertise").is_none()
        {
            let text = "a wildcard, which peers can't reach; set `listen.advertise`";
            self.add(peers.offset, "listen.peers", text);
        }
        if let Some(advertise) = advertise.filter(|advertise| advertise.is_wildcard()) {
            let text = "a wildcard, which peers can't reach";
            self.add(advertise.offset, "listen.advertise", text);
        }
    }
}

fn join(path: &str, name: &str) -> String {
    match path {
        "" => name.into(),
        path => format!("{path}.{name}"),
    }
}

/// The known key whose name is closest to an unknown one; keys of other objects count one edit more.
fn closest_key(path: &str, name: &str) -> Option<&'static str> {
    let distance = |key: &Key| {
        let own = key.path.rsplit('.').next().unwrap_or_default();
        let elsewhere = usize::from(key.parent() != path);
        strsim::damerau_levenshtein(own, name) + elsewhere
    };
    let best = KEYS.iter().min_by_key(|key| distance(key))?;
    (distance(best) <= MAX_DISTANCE.min(name.len() / 2 + 1)).then_some(best.path)
}
