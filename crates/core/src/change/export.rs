//! Exports a configuration as the statements that create it.

use crate::config::{Account, AccountPath, Config, Contract, Endpoint, Institution, Pool, Rule};
use crate::ids::{EndpointId, InstitutionId, PoolId};
use crate::operator::{
    AccountTerms, Change, EndpointTerms, InstitutionTerms, Item, PoolTerms, RuleTerms,
};

/// Changes that turn an empty configuration into this one.
pub fn export(config: &Config) -> Vec<Change> {
    let mut items = Vec::new();
    for (id, pool) in &config.pools {
        items.push(pool_terms(id, pool).into());
    }
    for (id, endpoint) in &config.endpoints {
        items.push(endpoint_terms(id, endpoint).into());
    }
    for (id, institution) in &config.institutions {
        items.push(contract_terms(id, &institution.contract).into());
        items.extend(institution_items(id, institution));
    }
    let drained = config.endpoints.iter().filter(|(_, e)| e.drained);
    let drains = drained.map(|(id, _)| Change::Drain(id.clone()));
    items
        .into_iter()
        .map(Change::Create)
        .chain(drains)
        .collect()
}

fn institution_items(id: &InstitutionId, institution: &Institution) -> Vec<Item> {
    let accounts = institution.accounts.iter().map(|(account, terms)| {
        let path = AccountPath {
            institution: id.clone(),
            account: account.clone(),
        };
        account_terms(path, terms).into()
    });
    let rules = institution.rules.iter();
    accounts
        .chain(rules.map(|rule| rule_terms(id, rule).into()))
        .collect()
}

fn contract_terms(id: &InstitutionId, contract: &Contract) -> InstitutionTerms {
    InstitutionTerms {
        id: id.clone(),
        share: Some(contract.share),
        key_lifetime: Some(contract.key_lifetime),
        queue_wait: Some(contract.queue_wait),
    }
}

fn account_terms(path: AccountPath, account: &Account) -> AccountTerms {
    AccountTerms {
        path,
        key: Some(account.key),
        rate: Some(account.rate),
        concurrency: Some(account.concurrency),
    }
}

fn pool_terms(id: &PoolId, pool: &Pool) -> PoolTerms {
    PoolTerms {
        id: id.clone(),
        kind: Some(pool.kind),
        model: pool.model.clone(),
        slots: Some(pool.slots),
        load_bound: Some(pool.load_bound),
        queue: Some(pool.queue),
        refusal: Some(pool.refusal),
        first_byte: Some(pool.first_byte),
        gap: Some(pool.gap),
    }
}

fn endpoint_terms(id: &EndpointId, endpoint: &Endpoint) -> EndpointTerms {
    EndpointTerms {
        id: id.clone(),
        pool: Some(endpoint.pool.clone()),
        address: Some(endpoint.address),
        data_centre: Some(endpoint.data_centre.clone()),
        vm: endpoint.vm.clone(),
        fencing: Some(endpoint.fencing),
    }
}

fn rule_terms(id: &InstitutionId, rule: &Rule) -> RuleTerms {
    RuleTerms {
        path: rule.path(id),
        pool: Some(rule.pool.clone()),
        idempotent: Some(rule.idempotent),
    }
}
