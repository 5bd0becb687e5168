//! The configuration of a fleet, grown to a size.

use medlarrill_core::config::{Account, Config, Contract, Institution, KeyHash};
use medlarrill_core::ids::Generation;
use medlarrill_core::units::Rate;
use medlarrill_testkit::fleet::{Fleet, publish};

use crate::error::{LabError, Result};

/// Model endpoints of each of today's users, at most.
const ENDPOINTS: usize = 20;
/// Accounts of today's users.
const ACCOUNTS: usize = 20;
/// Accounts of one institution.
const INSTITUTION: usize = 100;

/// Sizes of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Daemons.
    pub daemons: usize,
    /// Model endpoints.
    pub endpoints: usize,
    /// Accounts.
    pub accounts: usize,
}

impl Shape {
    /// The size of today with another number of daemons.
    pub const fn today(daemons: usize) -> Self {
        Self {
            daemons,
            endpoints: ENDPOINTS,
            accounts: ACCOUNTS,
        }
    }

    /// Sets the number of model endpoints.
    #[must_use]
    pub const fn with_endpoints(mut self, endpoints: usize) -> Self {
        self.endpoints = endpoints;
        self
    }

    /// Sets the number of accounts.
    #[must_use]
    pub const fn with_accounts(mut self, accounts: usize) -> Self {
        self.accounts = accounts;
        self
    }
}

/// Grows a fleet's configuration and publishes it.
///
/// # Errors
///
/// When a name can't be used.
pub fn grow(fleet: &mut Fleet, shape: Shape) -> Result<()> {
    let mut config = fleet.config.clone();
    add_endpoints(&mut config, shape.endpoints)?;
    add_accounts(&mut config, shape.accounts)?;
    fleet.config = config;
    advance(fleet);
    Ok(())
}

/// Publishes the fleet's configuration as the next generation.
pub fn advance(fleet: &mut Fleet) -> Generation {
    let next = Generation(fleet.config.generation.0 + 1);
    fleet.config.generation = next;
    publish(&fleet.platform, &fleet.config);
    next
}

fn add_endpoints(config: &mut Config, wanted: usize) -> Result<()> {
    let chat = config
        .endpoints
        .values()
        .filter(|e| e.pool.as_str() == "chat");
    let models: Vec<_> = chat.cloned().collect();
    for at in models.len()..wanted {
        let Some(model) = models.get(at % models.len().max(1)) else {
            return Err(LabError::Wrong("the fleet has no engine".into()));
        };
        let id = format!("e{}", at + 1).parse().map_err(wrong)?;
        config.endpoints.insert(id, model.clone());
    }
    Ok(())
}

fn add_accounts(config: &mut Config, wanted: usize) -> Result<()> {
    let present: usize = config.institutions.values().map(|i| i.accounts.len()).sum();
    for at in present..wanted {
        let name = format!("institution-{}", at / INSTITUTION);
        let institution = config
            .institutions
            .entry(name.parse().map_err(wrong)?)
            .or_insert_with(|| Institution {
                contract: Contract::default(),
                accounts: [].into(),
                rules: Vec::new(),
            });
        let account = Account {
            key: KeyHash::of(format!("key-{at}").as_bytes()),
            rate: Rate(100.0),
            concurrency: 100,
        };
        let id = format!("account-{at}").parse().map_err(wrong)?;
        institution.accounts.insert(id, account);
    }
    Ok(())
}

fn wrong(error: impl std::fmt::Display) -> LabError {
    LabError::Wrong(error.to_string())
}
