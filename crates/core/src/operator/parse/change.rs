//! Parsers of statements that change the configuration.

use super::super::statement::{Change, Item};
use super::super::terms::{AccountTerms, EndpointTerms, InstitutionTerms, PoolTerms, RuleTerms};
use super::error::ParseError;
use super::word::{Branch, Field, Input, Result, branch, fields, keyword, require, set, value};
use crate::config::{ItemId, RulePath};
use crate::ids::EndpointId;
use crate::operator::Text;

const NAME: &str = "a name";
const COUNT: &str = "a whole number";
const TIME: &str = "a time such as `10s`";
const ACCOUNT: &str = "an account such as `padkos.leaders`";
const HASH: &str = "a key's hash, as `medlarrill key-hash` prints it";
const RATE: &str = "a rate such as `50/s`";
const BOUND: &str = "a number such as `1.25`";
const KIND: &str = "`model` or `service`";
const REFUSAL: &str = "`not-run` or `unknown`";
const FENCING: &str = "`checked` or `ignored`";
const ADDRESS: &str = "an address such as `10.0.0.7:9001`";
const ROUTE: &str = "a path such as `/v1/chat/completions`";

const INSTITUTION: &[Field<InstitutionTerms>] = &[
    Field {
        key: "share",
        read: |terms, input| set(&mut terms.share, COUNT, input),
    },
    Field {
        key: "key-lifetime",
        read: |terms, input| set(&mut terms.key_lifetime, TIME, input),
    },
    Field {
        key: "queue-wait",
        read: |terms, input| set(&mut terms.queue_wait, TIME, input),
    },
];

const ACCOUNT_FIELDS: &[Field<AccountTerms>] = &[
    Field {
        key: "key-hash",
        read: |terms, input| set(&mut terms.key, HASH, input),
    },
    Field {
        key: "rate",
        read: |terms, input| set(&mut terms.rate, RATE, input),
    },
    Field {
        key: "concurrency",
        read: |terms, input| set(&mut terms.concurrency, COUNT, input),
    },
];

const POOL: &[Field<PoolTerms>] = &[
    Field {
        key: "kind",
        read: |terms, input| set(&mut terms.kind, KIND, input),
    },
    Field {
        key: "model",
        read: |terms, input| set(&mut terms.model, NAME, input),
    },
    Field {
        key: "slots",
        read: |terms, input| set(&mut terms.slots, COUNT, input),
    },
    Field {
        key: "load-bound",
        read: |terms, input| set(&mut terms.load_bound, BOUND, input),
    },
    Field {
        key: "queue",
        read: |terms, input| set(&mut terms.queue, COUNT, input),
    },
    Field {
        key: "refusal",
        read: |terms, input| set(&mut terms.refusal, REFUSAL, input),
    },
    Field {
        key: "first-byte",
        read: |terms, input| set(&mut terms.first_byte, TIME, input),
    },
    Field {
        key: "gap",
        read: |terms, input| set(&mut terms.gap, TIME, input),
    },
];

const ENDPOINT: &[Field<EndpointTerms>] = &[
    Field {
        key: "pool",
        read: |terms, input| set(&mut terms.pool, NAME, input),
    },
    Field {
        key: "address",
        read: |terms, input| set(&mut terms.address, ADDRESS, input),
    },
    Field {
        key: "data-centre",
        read: |terms, input| set(&mut terms.data_centre, NAME, input),
    },
    Field {
        key: "vm",
        read: |terms, input| set(&mut terms.vm, NAME, input),
    },
    Field {
        key: "fencing",
        read: |terms, input| set(&mut terms.fencing, FENCING, input),
    },
];

const RULE_MODEL: Field<RuleTerms> = Field {
    key: "model",
    read: |terms, input| {
        let model: Text = value(NAME, input)?;
        terms.path.model = Some(model.as_str().into());
        Ok(())
    },
};

const RULE: &[Field<RuleTerms>] = &[
    RULE_MODEL,
    Field {
        key: "pool",
        read: |terms, input| set(&mut terms.pool, NAME, input),
    },
    Field {
        key: "idempotent",
        read: |terms, input| set_flag(&mut terms.idempotent, true, input),
    },
    Field {
        key: "non-idempotent",
        read: |terms, input| set_flag(&mut terms.idempotent, false, input),
    },
];

/// Whether a statement creates or alters an item.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Verb {
    Create,
    Alter,
}

impl Verb {
    /// Checks that `create` has all required keys, and `alter` at least one key.
    fn require_keys<T>(
        self,
        needed: &[&[&'static str]],
        table: &[Field<T>],
        seen: &[&'static str],
        input: &Input<'_>,
    ) -> Result<()> {
        if self == Self::Create {
            return needed
                .iter()
                .try_for_each(|keys| require(keys, seen, input));
        }
        let keys: Vec<_> = table.iter().map(|field| field.key).collect();
        require(&keys, seen, input)
    }
}

const NOUNS: [&str; 5] = ["institution", "account", "pool", "endpoint", "rule"];

/// Parses the words after `create`.
pub(super) fn create(input: &mut Input<'_>) -> Result<Change> {
    item(Verb::Create, input).map(Change::Create)
}

/// Parses the words after `alter`.
pub(super) fn alter(input: &mut Input<'_>) -> Result<Change> {
    item(Verb::Alter, input).map(Change::Alter)
}

fn item(verb: Verb, input: &mut Input<'_>) -> Result<Item> {
    match NOUNS[keyword(&NOUNS, input)?] {
        "institution" => institution(verb, input).map(Item::Institution),
        "account" => account(verb, input).map(Item::Account),
        "pool" => pool(verb, input).map(Item::Pool),
        "endpoint" => endpoint(verb, input).map(Item::Endpoint),
        _ => rule(verb, input).map(Item::Rule),
    }
}

fn institution(verb: Verb, input: &mut Input<'_>) -> Result<InstitutionTerms> {
    let mut terms = InstitutionTerms::new(value(NAME, input)?);
    let seen = fields(INSTITUTION, &mut terms, input)?;
    verb.require_keys(&[], INSTITUTION, &seen, input)?;
    Ok(terms)
}

fn account(verb: Verb, input: &mut Input<'_>) -> Result<AccountTerms> {
    let mut terms = AccountTerms::new(value(ACCOUNT, input)?);
    let seen = fields(ACCOUNT_FIELDS, &mut terms, input)?;
    verb.require_keys(&[&["key-hash"]], ACCOUNT_FIELDS, &seen, input)?;
    Ok(terms)
}

fn pool(verb: Verb, input: &mut Input<'_>) -> Result<PoolTerms> {
    let mut terms = PoolTerms::new(value(NAME, input)?);
    let seen = fields(POOL, &mut terms, input)?;
    verb.require_keys(&[&["kind"]], POOL, &seen, input)?;
    Ok(terms)
}

fn endpoint(verb: Verb, input: &mut Input<'_>) -> Result<EndpointTerms> {
    let mut terms = EndpointTerms::new(value(NAME, input)?);
    let seen = fields(ENDPOINT, &mut terms, input)?;
    let needed: &[&[_]] = &[&["pool"], &["address"], &["data-centre"]];
    verb.require_keys(needed, ENDPOINT, &seen, input)?;
    Ok(terms)
}

fn rule(verb: Verb, input: &mut Input<'_>) -> Result<RuleTerms> {
    let mut terms = RuleTerms::new(rule_path(input)?);
    let seen = fields(RULE, &mut terms, input)?;
    let needed: &[&[_]] = &[&["pool"], &["idempotent", "non-idempotent"]];
    verb.require_keys(needed, &RULE[1..], &seen, input)?;
    Ok(terms)
}

fn rule_path(input: &mut Input<'_>) -> Result<RulePath> {
    let institution = value(NAME, input)?;
    keyword(&["route"], input)?;
    let route: Text = value(ROUTE, input)?;
    Ok(RulePath {
        institution,
        route: route.as_str().into(),
        model: None,
    })
}

fn set_flag(slot: &mut Option<bool>, flag: bool, input: &Input<'_>) -> Result<()> {
    if slot.replace(flag).is_none() {
        return Ok(());
    }
    let expected = "only one of `idempotent` and `non-idempotent`".into();
    Err(ParseError {
        remaining: input.len() + 1,
        expected,
    })
}

const DROP_ITEMS: &[Branch<ItemId>] = &[
    Branch {
        key: "institution",
        read: |input| value(NAME, input).map(ItemId::Institution),
    },
    Branch {
        key: "account",
        read: |input| value(ACCOUNT, input).map(ItemId::Account),
    },
    Branch {
        key: "pool",
        read: |input| value(NAME, input).map(ItemId::Pool),
    },
    Branch {
        key: "endpoint",
        read: |input| value(NAME, input).map(ItemId::Endpoint),
    },
    Branch {
        key: "rule",
        read: |input| {
            let mut terms = RuleTerms::new(rule_path(input)?);
            fields(&[RULE_MODEL], &mut terms, input)?;
            Ok(ItemId::Rule(terms.path))
        },
    },
];

/// Parses the words after `drop`.
pub(super) fn drop(input: &mut Input<'_>) -> Result<Change> {
    branch(DROP_ITEMS, input).map(Change::Drop)
}

/// Parses the words after `drain`.
pub(super) fn drain(input: &mut Input<'_>) -> Result<Change> {
    named_endpoint(input).map(Change::Drain)
}

/// Parses the words after `undrain`.
pub(super) fn undrain(input: &mut Input<'_>) -> Result<Change> {
    named_endpoint(input).map(Change::Undrain)
}

fn named_endpoint(input: &mut Input<'_>) -> Result<EndpointId> {
    keyword(&["endpoint"], input)?;
    value(NAME, input)
}
