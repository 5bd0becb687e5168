//! Types of parsed statements.

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
    /// Orders an engine to change what it serves.
    Order(Order),
    /// Queries the current state.
    Show(Show),
}

/// A change of the configuration.
#[derive(Clone, PartialEq)]
#[derive(Debug, Display)]
pub enum Change {
    /// Creates an item.
    #[display("create {_0}")]
    Create(Item),
    /// Changes terms of an item.
    #[display("alter {_0}")]
    Alter(Item),
    /// Removes an item.
    #[display("drop {_0}")]
    Drop(ItemId),
    /// Drains an endpoint: it finishes its requests and gets no new ones.
    #[display("drain endpoint {_0}")]
    Drain(EndpointId),
    /// Ends the drain of an endpoint.
    #[display("undrain endpoint {_0}")]
    Undrain(EndpointId),
}

impl Change {
    /// The item that is changed.
    pub fn item(&self) -> ItemId {
        match self {
            Self::Create(item) | Self::Alter(item) => item.id(),
            Self::Drop(id) => id.clone(),
            Self::Drain(id) | Self::Undrain(id) => ItemId::Endpoint(id.clone()),
        }
    }
}

/// An item with the given terms.
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
    /// The item's identifier.
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
    /// The engine's endpoint.
    pub endpoint: EndpointId,
    /// The action to take.
    pub kind: OrderKind,
}

/// Action of an engine.
#[derive(Clone, PartialEq)]
#[derive(Debug, Display)]
pub enum OrderKind {
    /// Serve another model.
    #[display("load-model {_0}")]
    LoadModel(ModelId),
    /// Serve one more adapter.
    #[display("load-adapter {_0}")]
    LoadAdapter(Text),
    /// Serve another version of the model.
    #[display("set-version {_0}")]
    SetVersion(Text),
    /// Change the role in serving.
    #[display("set-role {_0}")]
    SetRole(EngineRole),
}

/// An engine's role in disaggregated serving.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display, FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Processes prompts.
    Prefill,
    /// Generates output.
    Decode,
    /// Processes prompts and generates output.
    Both,
}

/// A query.
#[derive(Clone, PartialEq)]
#[derive(Debug, Display)]
pub enum Show {
    /// A table about one topic.
    #[display("show {_0}")]
    List(List),
    /// Details of one endpoint.
    #[display("show endpoint {_0}")]
    Endpoint(EndpointId),
    /// State of one request.
    #[display("show request {_0}")]
    Request(RequestId),
}

/// A query for a table.
#[derive(Clone, PartialEq)]
#[derive(Debug)]
pub struct List {
    /// Topic of the table.
    pub topic: Topic,
    /// Filter: only rows that belong to this name.
    pub of: Option<Text>,
    /// Filter: only rows that meet all conditions.
    pub conditions: Vec<Condition>,
}

/// A condition on a row.
#[derive(Clone, PartialEq)]
#[derive(Debug, Display)]
#[display("{field} {relation} {value}")]
pub struct Condition {
    /// Name of a column.
    pub field: Text,
    /// Comparison operator.
    pub relation: Relation,
    /// Value to compare with.
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

/// Comparison operator of a condition.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Debug, Display)]
pub enum Relation {
    /// The texts are equal.
    #[display("=")]
    Equal,
    /// The texts differ.
    #[display("!=")]
    Unequal,
}

/// Topic of a table.
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
    /// Generation in force at each daemon.
    Generations,
    /// Load of endpoints.
    Load,
    /// The statements that make up the configuration.
    Config,
    /// Owners of claim shards.
    Claims,
    /// Control traffic and its budgets.
    Control,
    /// Usage of account limits.
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
