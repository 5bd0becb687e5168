//! Applies one change to one item of the configuration.

use crate::config::{
    Account, AccountPath, Config, Endpoint, Finding, Institution, ItemId, Pool, Rule, RulePath,
};
use crate::ids::{EndpointId, InstitutionId};
use crate::operator::{
    AccountTerms, Change, EndpointTerms, InstitutionTerms, Item, PoolTerms, RuleTerms,
};

/// Result of one edit.
type Result<T> = std::result::Result<T, Box<Finding>>;

/// Applies one change in place.
pub(super) fn edit(config: &mut Config, change: &Change) -> Result<()> {
    match change {
        Change::Create(item) => create(config, item),
        Change::Alter(item) => alter(config, item),
        Change::Drop(id) => drop(config, id),
        Change::Drain(id) => set_drained(config, id, true),
        Change::Undrain(id) => set_drained(config, id, false),
    }
}

fn create(config: &mut Config, item: &Item) -> Result<()> {
    if exists(config, &item.id()) {
        return Err(Finding::new(item.id(), "exists already").into());
    }
    match item {
        Item::Institution(terms) => {
            let mut institution = Institution::default();
            set_institution(&mut institution, terms);
            config.institutions.insert(terms.id.clone(), institution);
        }
        Item::Account(terms) => create_account(config, terms)?,
        Item::Pool(terms) => create_pool(config, terms)?,
        Item::Endpoint(terms) => create_endpoint(config, terms)?,
        Item::Rule(terms) => create_rule(config, terms)?,
    }
    Ok(())
}

fn create_account(config: &mut Config, terms: &AccountTerms) -> Result<()> {
    let item = ItemId::Account(terms.path.clone());
    let key = needed(terms.key, &item, "key-hash")?;
    let mut account = Account::new(key);
    set_account(&mut account, terms);
    let owner = institution(config, &terms.path.institution, &item)?;
    owner.accounts.insert(terms.path.account.clone(), account);
    Ok(())
}

fn create_pool(config: &mut Config, terms: &PoolTerms) -> Result<()> {
    let kind = needed(terms.kind, &ItemId::Pool(terms.id.clone()), "kind")?;
    let mut pool = Pool::new(kind);
    set_pool(&mut pool, terms);
    config.pools.insert(terms.id.clone(), pool);
    Ok(())
}

fn create_endpoint(config: &mut Config, terms: &EndpointTerms) -> Result<()> {
    let item = ItemId::Endpoint(terms.id.clone());
    let mut endpoint = Endpoint {
        pool: needed(terms.pool.clone(), &item, "pool")?,
        address: needed(terms.address, &item, "address")?,
        data_centre: needed(terms.data_centre.clone(), &item, "data-centre")?,
        vm: None,
        fencing: Default::default(),
        drained: false,
    };
    set_endpoint(&mut endpoint, terms);
    config.endpoints.insert(terms.id.clone(), endpoint);
    Ok(())
}

fn create_rule(config: &mut Config, terms: &RuleTerms) -> Result<()> {
    let item = ItemId::Rule(terms.path.clone());
    let rule = Rule {
        route: terms.path.route.clone(),
        model: terms.path.model.clone(),
        pool: needed(terms.pool.clone(), &item, "pool")?,
        idempotent: needed(terms.idempotent, &item, "idempotent")?,
    };
    let owner = institution(config, &terms.path.institution, &item)?;
    // Sorted, so that equal sets of rules serialise to equal parts.
    let key = |rule: &Rule| (rule.route.clone(), rule.model.clone());
    let index = owner.rules.partition_point(|r| key(r) < key(&rule));
    owner.rules.insert(index, rule);
    Ok(())
}

fn alter(config: &mut Config, item: &Item) -> Result<()> {
    let id = item.id();
    match item {
        Item::Institution(terms) => {
            let found = config.institutions.get_mut(&terms.id);
            set_institution(found.ok_or_else(|| missing(id))?, terms);
        }
        Item::Account(terms) => {
            let found = account(config, &terms.path);
            set_account(found.ok_or_else(|| missing(id))?, terms);
        }
        Item::Pool(terms) => {
            let found = config.pools.get_mut(&terms.id);
            set_pool(found.ok_or_else(|| missing(id))?, terms);
        }
        Item::Endpoint(terms) => {
            let found = config.endpoints.get_mut(&terms.id);
            set_endpoint(found.ok_or_else(|| missing(id))?, terms);
        }
        Item::Rule(terms) => {
            let found = rule(config, &terms.path);
            set_rule(found.ok_or_else(|| missing(id))?, terms);
        }
    }
    Ok(())
}

fn drop(config: &mut Config, id: &ItemId) -> Result<()> {
    if !exists(config, id) {
        return Err(missing(id.clone()));
    }
    match id {
        ItemId::Institution(id) => {
            config.institutions.remove(id);
        }
        ItemId::Account(path) => {
            institution(config, &path.institution, id)?
                .accounts
                .remove(&path.account);
        }
        ItemId::Pool(id) => {
            config.pools.remove(id);
        }
        ItemId::Endpoint(id) => {
            config.endpoints.remove(id);
        }
        ItemId::Rule(path) => {
            institution(config, &path.institution, id)?
                .rules
                .retain(|rule| !is_rule(rule, path));
        }
    }
    Ok(())
}

fn set_drained(config: &mut Config, id: &EndpointId, drained: bool) -> Result<()> {
    let found = config.endpoints.get_mut(id);
    let endpoint = found.ok_or_else(|| missing(ItemId::Endpoint(id.clone())))?;
    endpoint.drained = drained;
    Ok(())
}

fn set<T: Clone>(slot: &mut T, term: &Option<T>) {
    if let Some(term) = term {
        *slot = term.clone();
    }
}

fn set_institution(institution: &mut Institution, terms: &InstitutionTerms) {
    let contract = &mut institution.contract;
    set(&mut contract.share, &terms.share);
    set(&mut contract.key_lifetime, &terms.key_lifetime);
    set(&mut contract.queue_wait, &terms.queue_wait);
}

fn set_account(account: &mut Account, terms: &AccountTerms) {
    set(&mut account.key, &terms.key);
    set(&mut account.rate, &terms.rate);
    set(&mut account.concurrency, &terms.concurrency);
}

fn set_pool(pool: &mut Pool, terms: &PoolTerms) {
    set(&mut pool.kind, &terms.kind);
    pool.model = terms.model.clone().or_else(|| pool.model.take());
    set(&mut pool.slots, &terms.slots);
    set(&mut pool.load_bound, &terms.load_bound);
    set(&mut pool.queue, &terms.queue);
    set(&mut pool.refusal, &terms.refusal);
    set(&mut pool.first_byte, &terms.first_byte);
    set(&mut pool.gap, &terms.gap);
}

fn set_endpoint(endpoint: &mut Endpoint, terms: &EndpointTerms) {
    set(&mut endpoint.pool, &terms.pool);
    set(&mut endpoint.address, &terms.address);
    set(&mut endpoint.data_centre, &terms.data_centre);
    endpoint.vm = terms.vm.clone().or_else(|| endpoint.vm.take());
    set(&mut endpoint.fencing, &terms.fencing);
}

fn set_rule(rule: &mut Rule, terms: &RuleTerms) {
    set(&mut rule.pool, &terms.pool);
    set(&mut rule.idempotent, &terms.idempotent);
}

fn exists(config: &Config, id: &ItemId) -> bool {
    match id {
        ItemId::Institution(id) => config.institutions.contains_key(id),
        ItemId::Account(path) => config
            .institutions
            .get(&path.institution)
            .is_some_and(|owner| owner.accounts.contains_key(&path.account)),
        ItemId::Pool(id) => config.pools.contains_key(id),
        ItemId::Endpoint(id) => config.endpoints.contains_key(id),
        ItemId::Rule(path) => config
            .institutions
            .get(&path.institution)
            .is_some_and(|owner| owner.rules.iter().any(|rule| is_rule(rule, path))),
    }
}

fn institution<'a>(
    config: &'a mut Config,
    id: &InstitutionId,
    item: &ItemId,
) -> Result<&'a mut Institution> {
    config.institutions.get_mut(id).ok_or_else(|| {
        let message = format!("there is no institution `{id}`");
        let finding = Finding::new(item.clone(), message);
        Box::new(finding.with_other(ItemId::Institution(id.clone())))
    })
}

fn account<'a>(config: &'a mut Config, path: &AccountPath) -> Option<&'a mut Account> {
    let owner = config.institutions.get_mut(&path.institution)?;
    owner.accounts.get_mut(&path.account)
}

fn rule<'a>(config: &'a mut Config, path: &RulePath) -> Option<&'a mut Rule> {
    let owner = config.institutions.get_mut(&path.institution)?;
    owner.rules.iter_mut().find(|rule| is_rule(rule, path))
}

fn is_rule(rule: &Rule, path: &RulePath) -> bool {
    rule.route == path.route && rule.model == path.model
}

fn needed<T>(term: Option<T>, item: &ItemId, field: &'static str) -> Result<T> {
    let finding = || Finding::new(item.clone(), "is needed").with_field(field);
    term.ok_or_else(|| Box::new(finding()))
}

fn missing(id: ItemId) -> Box<Finding> {
    Finding::new(id, "doesn't exist").into()
}
