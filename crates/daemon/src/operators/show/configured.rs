//! Tables of the configuration.

use medlarrill_core::config::Config;
use medlarrill_core::operator::answer::Table;

/// Cell text for an absent value.
pub const NONE: &str = "-";

/// Institutions with their contracts.
pub fn institutions(config: &Config) -> Table {
    let columns = [
        "institution",
        "share",
        "key-lifetime",
        "queue-wait",
        "accounts",
        "rules",
    ];
    let mut table = Table::new(&columns);
    for (id, institution) in &config.institutions {
        let contract = &institution.contract;
        table.push([
            id.to_string(),
            contract.share.to_string(),
            contract.key_lifetime.to_string(),
            contract.queue_wait.to_string(),
            institution.accounts.len().to_string(),
            institution.rules.len().to_string(),
        ]);
    }
    table
}

/// Accounts with their limits, without their keys.
pub fn accounts(config: &Config) -> Table {
    let mut table = Table::new(&["account", "institution", "rate", "concurrency"]);
    for (id, institution) in &config.institutions {
        for (account, terms) in &institution.accounts {
            table.push([
                account.to_string(),
                id.to_string(),
                terms.rate.to_string(),
                terms.concurrency.to_string(),
            ]);
        }
    }
    table
}

/// Pools with their settings.
pub fn pools(config: &Config) -> Table {
    let columns = [
        "pool",
        "kind",
        "model",
        "slots",
        "load-bound",
        "queue",
        "refusal",
        "endpoints",
    ];
    let mut table = Table::new(&columns);
    for (id, pool) in &config.pools {
        let model = pool.model.as_ref().map(ToString::to_string);
        table.push([
            id.to_string(),
            pool.kind.to_string(),
            model.unwrap_or_else(|| NONE.into()),
            pool.slots.to_string(),
            pool.load_bound.to_string(),
            pool.queue.to_string(),
            pool.refusal.to_string(),
            config.pool_endpoints(id).count().to_string(),
        ]);
    }
    table
}

/// Rules of all institutions.
pub fn rules(config: &Config) -> Table {
    let mut table = Table::new(&["institution", "route", "model", "pool", "idempotent"]);
    for (id, institution) in &config.institutions {
        for rule in &institution.rules {
            table.push([
                id.to_string(),
                rule.route.clone(),
                rule.model.clone().unwrap_or_else(|| NONE.into()),
                rule.pool.to_string(),
                rule.idempotent.to_string(),
            ]);
        }
    }
    table
}
