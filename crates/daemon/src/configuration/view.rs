//! One generation of the configuration, indexed for requests.

use std::collections::{BTreeMap, HashMap};

use medlarrill_core::config::{Account, Config, Endpoint, Institution, KeyHash, Pool, Rule};
use medlarrill_core::ids::{AccountId, EndpointId, InstitutionId, PoolId};
use medlarrill_core::placement::{Group, Node};
use subtle::ConstantTimeEq;

/// Client account to which a bearer key belongs.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Client {
    /// The institution.
    pub institution: InstitutionId,
    /// Its account.
    pub account: AccountId,
}

/// One generation of the configuration with its indexes.
#[derive(Debug, Default)]
pub struct ConfigView {
    /// The configuration.
    pub config: Config,
    clients: HashMap<KeyHash, Client>,
    pools: BTreeMap<PoolId, Group<EndpointId>>,
}

impl ConfigView {
    /// Indexes a configuration.
    pub fn new(config: Config) -> Self {
        let clients = clients(&config);
        let pools = pools(&config);
        Self {
            config,
            clients,
            pools,
        }
    }

    /// Looks up the client account, with its institution, by a bearer key.
    pub fn client(&self, key: &[u8]) -> Option<(&Client, &Institution, &Account)> {
        let hash = KeyHash::of(key);
        let (known, client) = self.clients.get_key_value(&hash)?;
        // The table looks up the hash of the key; this comparison is in constant time.
        if !bool::from(known.0.ct_eq(&hash.0)) {
            return None;
        }
        let institution = self.config.institutions.get(&client.institution)?;
        let account = institution.accounts.get(&client.account)?;
        Some((client, institution, account))
    }

    /// The rule for a path: the longest matching route, and of equal ones the rule that names the model.
    pub fn rule(
        &self,
        institution: &InstitutionId,
        path: &str,
        model: Option<&str>,
    ) -> Option<&Rule> {
        let institution = self.config.institutions.get(institution)?;
        let matches = |rule: &&Rule| {
            let route = path.starts_with(&rule.route);
            let named = rule
                .model
                .as_deref()
                .is_none_or(|wanted| Some(wanted) == model);
            route && named
        };
        institution
            .rules
            .iter()
            .filter(matches)
            .max_by_key(|rule| (rule.route.len(), rule.model.is_some()))
    }

    /// Looks up a pool.
    pub fn pool(&self, pool: &PoolId) -> Option<&Pool> {
        self.config.pools.get(pool)
    }

    /// Looks up an endpoint.
    pub fn endpoint(&self, endpoint: &EndpointId) -> Option<&Endpoint> {
        self.config.endpoints.get(endpoint)
    }

    /// Up to `count` endpoints of a pool, ranked for a key by rendezvous hashing.
    pub fn ranked(&self, pool: &PoolId, key: u64, count: usize) -> Vec<&EndpointId> {
        self.pools
            .get(pool)
            .map(|group| group.top(key, count))
            .unwrap_or_default()
    }
}

fn clients(config: &Config) -> HashMap<KeyHash, Client> {
    let mut clients = HashMap::new();
    for (institution, settings) in &config.institutions {
        for (account, terms) in &settings.accounts {
            let client = Client {
                institution: institution.clone(),
                account: account.clone(),
            };
            clients.insert(terms.key, client);
        }
    }
    clients
}

fn pools(config: &Config) -> BTreeMap<PoolId, Group<EndpointId>> {
    let mut nodes: BTreeMap<PoolId, Vec<Node<EndpointId>>> = BTreeMap::new();
    for (id, endpoint) in &config.endpoints {
        let node = Node::new(id.clone(), id.as_str());
        nodes.entry(endpoint.pool.clone()).or_default().push(node);
    }
    nodes
        .into_iter()
        .map(|(pool, nodes)| (pool, Group::new(nodes)))
        .collect()
}
