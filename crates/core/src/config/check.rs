//! Validation of a complete configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive_more::{Debug, Display};

use super::{
    Account, AccountPath, Config, Contract, Endpoint, Institution, ItemId, KeyHash, Pool, PoolKind,
    Rule, RulePath,
};
use crate::clock::Millis;
use crate::ids::{EndpointId, InstitutionId, PoolId};
use crate::units::Rate;

/// One error in a configuration.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug, Display)]
#[display("{item}{}: {message}", field.map(|f| format!(", {f}")).unwrap_or_default())]
pub struct Finding {
    /// The item that it concerns.
    pub item: ItemId,
    /// The field, as named in the operators' language.
    pub field: Option<&'static str>,
    /// Another item that conflicts with it, or that is missing.
    pub other: Option<ItemId>,
    /// What is wrong.
    pub message: String,
}

impl Finding {
    /// A finding about one item.
    pub fn new(item: ItemId, message: impl Into<String>) -> Self {
        Self {
            item,
            field: None,
            other: None,
            message: message.into(),
        }
    }

    /// Sets the field.
    pub fn with_field(mut self, field: &'static str) -> Self {
        self.field = Some(field);
        self
    }

    /// Sets the other item concerned.
    pub fn with_other(mut self, other: ItemId) -> Self {
        self.other = Some(other);
        self
    }
}

/// Collects findings about one item.
struct ItemFindings<'a> {
    item: ItemId,
    findings: &'a mut Vec<Finding>,
}

impl ItemFindings<'_> {
    fn add(&mut self, field: &'static str, message: impl Into<String>) {
        let finding = Finding::new(self.item.clone(), message).with_field(field);
        self.findings.push(finding);
    }

    fn require(&mut self, holds: bool, field: &'static str, message: &str) {
        if !holds {
            self.add(field, message);
        }
    }

    fn add_conflict(&mut self, field: &'static str, other: ItemId, message: String) {
        let finding = Finding::new(self.item.clone(), message)
            .with_field(field)
            .with_other(other);
        self.findings.push(finding);
    }

    fn require_pool(&mut self, config: &Config, pool: &PoolId) {
        if !config.pools.contains_key(pool) {
            let other = ItemId::Pool(pool.clone());
            self.add_conflict("pool", other, format!("there is no pool `{pool}`"));
        }
    }
}

impl Config {
    /// Validates this configuration; empty if it is valid.
    pub fn findings(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut keys = BTreeMap::new();
        for (id, institution) in &self.institutions {
            check_institution(self, id, institution, &mut findings);
            check_keys(id, institution, &mut keys, &mut findings);
        }
        for (id, pool) in &self.pools {
            check_pool(id, pool, &mut findings);
        }
        let mut addresses = BTreeMap::new();
        for (id, endpoint) in &self.endpoints {
            check_endpoint(self, id, endpoint, &mut findings);
            check_address(id, endpoint, &mut addresses, &mut findings);
        }
        findings
    }
}

fn check_institution(
    config: &Config,
    id: &InstitutionId,
    institution: &Institution,
    findings: &mut Vec<Finding>,
) {
    let item = ItemId::Institution(id.clone());
    let mut report = ItemFindings { item, findings };
    if id.as_str().contains('.') {
        report.add("institution", "an institution's name has no `.`");
    }
    check_contract(&institution.contract, &mut report);
    for (account, terms) in &institution.accounts {
        let path = AccountPath {
            institution: id.clone(),
            account: account.clone(),
        };
        report.item = ItemId::Account(path);
        check_account(terms, &mut report);
    }
    for (index, rule) in institution.rules.iter().enumerate() {
        report.item = ItemId::Rule(rule.path(id));
        check_rule(config, rule, &mut report);
        let same = |other: &Rule| other.route == rule.route && other.model == rule.model;
        if institution.rules[..index].iter().any(same) {
            report.add("route", "another rule has the same route and model");
        }
    }
}

fn check_contract(contract: &Contract, report: &mut ItemFindings<'_>) {
    report.require(contract.share > 0, "share", "must be at least 1");
    let lifetime = contract.key_lifetime > Millis::ZERO;
    report.require(lifetime, "key-lifetime", "must be over 0");
    let wait = contract.queue_wait > Millis::ZERO;
    report.require(wait, "queue-wait", "must be over 0");
}

fn check_account(account: &Account, report: &mut ItemFindings<'_>) {
    let rate = account.rate > Rate(0.0);
    report.require(rate, "rate", "must be over 0");
    let concurrency = account.concurrency > 0;
    report.require(concurrency, "concurrency", "must be at least 1");
}

fn check_keys(
    id: &InstitutionId,
    institution: &Institution,
    keys: &mut BTreeMap<[u8; 32], AccountPath>,
    findings: &mut Vec<Finding>,
) {
    for (account, terms) in &institution.accounts {
        let KeyHash(hash) = terms.key;
        let path = AccountPath {
            institution: id.clone(),
            account: account.clone(),
        };
        let Some(first) = keys.get(&hash) else {
            keys.insert(hash, path);
            continue;
        };
        let item = ItemId::Account(path);
        let message = format!("account `{first}` has the same key");
        let other = ItemId::Account(first.clone());
        let finding = Finding::new(item, message).with_field("key-hash");
        findings.push(finding.with_other(other));
    }
}

fn check_rule(config: &Config, rule: &Rule, report: &mut ItemFindings<'_>) {
    let rooted = rule.route.starts_with('/');
    report.require(rooted, "route", "must begin with `/`");
    let clean = |text: &str| !text.contains(|c: char| c.is_control() || c.is_whitespace());
    report.require(clean(&rule.route), "route", "must hold no space");
    let model = rule.model.as_deref().unwrap_or("any");
    let named = !model.is_empty() && !model.contains(char::is_control);
    report.require(named, "model", "must be a name");
    report.require_pool(config, &rule.pool);
}

fn check_pool(id: &PoolId, pool: &Pool, findings: &mut Vec<Finding>) {
    let item = ItemId::Pool(id.clone());
    let mut report = ItemFindings { item, findings };
    match (pool.kind, &pool.model) {
        (PoolKind::Model, None) => report.add("kind", "a model pool needs a `model`"),
        (PoolKind::Service, Some(_)) => report.add("model", "a service pool has no model"),
        _ => {}
    }
    let bound = pool.load_bound.is_finite() && pool.load_bound >= 1.0;
    report.require(bound, "load-bound", "must be at least 1");
    report.require(pool.slots > 0, "slots", "must be at least 1");
    let first = pool.first_byte > Millis::ZERO;
    report.require(first, "first-byte", "must be over 0");
    report.require(pool.gap > Millis::ZERO, "gap", "must be over 0");
}

fn check_endpoint(
    config: &Config,
    id: &EndpointId,
    endpoint: &Endpoint,
    findings: &mut Vec<Finding>,
) {
    let item = ItemId::Endpoint(id.clone());
    let mut report = ItemFindings { item, findings };
    report.require_pool(config, &endpoint.pool);
    let address = endpoint.address;
    report.require(address.port() != 0, "address", "the port must not be 0");
    let single = !address.ip().is_unspecified() && !address.ip().is_multicast();
    report.require(single, "address", "must be the address of one host");
}

fn check_address(
    id: &EndpointId,
    endpoint: &Endpoint,
    addresses: &mut BTreeMap<SocketAddr, EndpointId>,
    findings: &mut Vec<Finding>,
) {
    let Some(first) = addresses.get(&endpoint.address) else {
        addresses.insert(endpoint.address, id.clone());
        return;
    };
    let message = format!("endpoint `{first}` has the same address");
    let other = ItemId::Endpoint(first.clone());
    let finding = Finding::new(ItemId::Endpoint(id.clone()), message).with_field("address");
    findings.push(finding.with_other(other));
}

impl Rule {
    /// The path that identifies this rule.
    pub fn path(&self, institution: &InstitutionId) -> RulePath {
        RulePath {
            institution: institution.clone(),
            route: self.route.clone(),
            model: self.model.clone(),
        }
    }
}
