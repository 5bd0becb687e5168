//! Statements as types.

use derive_more::{Debug, Display, From, FromStr};

use super::quote::Text;
use super::terms::{AccountTerms, EndpointTerms, InstitutionTerms, PoolTerms, RuleTerms};
use crate::config::ItemId;
use crate::ids::{EndpointId, ModelId, RequestId};

/// One statement.
#[derive(Clone, PartialEq)]
#[derive(Debug, Display, From)]
pub enum Statement {
    /// Changes the configuration.
    Change(Change),
    /// Tells an engine to change what it serves.
    Order(Order),
    /// Asks what is true now.
    Show(Show),
}

/// A change of the configuration.
#[derive(Clone, PartialEq)]
#[derive(Debug, Display)]
pub enum Change {
    /// Makes something new.
    #[display("create {_0}")]
    Create(Item),
    /// Changes terms of something.
    #[display("alter {_0}")]
    Alter(Item),
    /// Removes something.
    #[display("drop {_0}")]
    Drop(ItemId),
    /// Lets an endpoint finish and gives it no new work.
    #[display("drain endpoint {_0}")]
    Drain(EndpointId),
    /// Gives a drained endpoint work again.
    #[display("undrain endpoint {_0}")]
    Undrain(EndpointId),
}

impl Change {
    /// What is changed.
    pub fn item(&self) -> ItemId {
        match self {
            Self::Create(item) | Self::Alter(item) => item.id(),
            Self::Drop(id) => id.clone(),
            Self::Drain(id) | Self::Undrain(id) => ItemId::Endpoint(id.clone()),
        }
    }
}

/// One thing with the terms that were given for it.
#[derive(Clone, PartialEq)]
#[derive(Debug, Display, From)]
pub enum Item {
    /// An institution.
    #[display("institution {_0}")]
    Institution(InstitutionTerms),
    /// A client account.
    #[display("account {_0}")]
    Account(AccountTerms),
    /// A pool.
    #[display("pool {_0}")]
    Pool(PoolTerms),
    /// An endpoint.
    #[display("endpoint {_0}")]
    Endpoint(EndpointTerms),
    /// A rule.
    #[display("rule {_0}")]
    Rule(RuleTerms),
}

impl Item {
    /// What it is.
    pub fn id(&self) -> ItemId {
        match self {
            Self::Institution(terms) => ItemId::Institution(terms.id.clone()),
            Self::Account(terms) => ItemId::Account(terms.path.clone()),
            Self::Pool(terms) => ItemId::Pool(terms.id.clone()),
            Self::Endpoint(terms) => ItemId::Endpoint(terms.id.clone()),
            Self::Rule(terms) => ItemId::Rule(terms.path.clone()),
        }
    }
}

/// An order to a model engine.
#[derive(Clone, PartialEq)]
#[derive(Debug, Display)]
#[display("order engine {endpoint} {kind}")]
pub struct Order {
    /// The engine.
    pub endpoint: EndpointId,
    /// What it is to do.
    pub kind: OrderKind,
}

/// What an engine is to do.
#[derive(Clone, PartialEq)]
#[derive(Debug, Display)]
pub enum OrderKind {
    /// Serve another model.
    #[display("load-model {_0}")]
    LoadModel(ModelId),
    /// Serve one more adapter.
    #[display("load-adapter {_0}")]
    LoadAdapter(Text),
    /// Serve another version.
    #[display("set-version {_0}")]
    SetVersion(Text),
    /// Take another part in serving.
    #[display("set-role {_0}")]
    SetRole(EngineRole),
}

/// An engine's part in serving.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display, FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Reads prompts.
    Prefill,
    /// Writes answers.
    Decode,
    /// Does both.
    Both,
}

/// A question.
#[derive(Clone, PartialEq)]
#[derive(Debug, Display)]
pub enum Show {
    /// All that stands under one topic.
    #[display("show {_0}")]
    List(List),
    /// All about one endpoint.
    #[display("show endpoint {_0}")]
    Endpoint(EndpointId),
    /// What became of one request.
    #[display("show request {_0}")]
    Request(RequestId),
}

/// A question for a table.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct List {
    /// What is asked for.
    pub topic: Topic,
    /// Only what belongs to this.
    pub of: Option<Text>,
    /// Only rows that meet all of these.
    pub conditions: Vec<Condition>,
}

/// A condition on a row.
#[derive(Clone, PartialEq)]
#[derive(Debug, Display)]
#[display("{field} {relation} {value}")]
pub struct Condition {
    /// Name of a column.
    pub field: Text,
    /// How the column is compared.
    pub relation: Relation,
    /// What it is compared with.
    pub value: Text,
}

impl Condition {
    /// Whether a column's value meets the condition.
    pub fn meets(&self, value: &str) -> bool {
        match self.relation {
            Relation::Equal => value == self.value.as_str(),
            Relation::Unequal => value != self.value.as_str(),
        }
    }
}

/// How a column is compared.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display)]
pub enum Relation {
    /// The same text.
    #[display("=")]
    Equal,
    /// Another text.
    #[display("!=")]
    Unequal,
}

/// What a table is about.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display, FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Topic {
    /// Institutions and contracts.
    Institutions,
    /// Client accounts.
    Accounts,
    /// Pools.
    Pools,
    /// Endpoints and their state.
    Endpoints,
    /// Rules.
    Rules,
    /// Daemons and their state.
    Daemons,
    /// Which daemon has which generation.
    Generations,
    /// Load of endpoints.
    Load,
    /// The statements that make up the configuration.
    Config,
    /// Owners of claim shards.
    Claims,
    /// Control traffic and its budgets.
    Control,
    /// Use of account limits.
    Limits,
}

impl Topic {
    /// Every topic.
    pub const ALL: &[Self] = &[
        Self::Institutions,
        Self::Accounts,
        Self::Pools,
        Self::Endpoints,
        Self::Rules,
        Self::Daemons,
        Self::Generations,
        Self::Load,
        Self::Config,
        Self::Claims,
        Self::Control,
        Self::Limits,
    ];
}
