//! Answers `show` statements with tables.

mod configured;
mod homes;
mod live;
mod select;
mod traffic;

use std::sync::Arc;

use medlarrill_core::change::export;
use medlarrill_core::operator::answer::Table;
use medlarrill_core::operator::{List, Show, Topic};

use self::select::select;
use crate::context::Context;

/// A table, or the message why there is none.
pub type Result<T> = std::result::Result<T, String>;

/// Answers a `show` statement.
///
/// # Errors
///
/// A message, when there is nothing of that name or a condition doesn't fit the table.
pub async fn show(context: &Arc<Context>, query: &Show) -> Result<Table> {
    match query {
        Show::List(list) => show_list(context, list).await,
        Show::Endpoint(id) => live::endpoint(context, id).await,
        Show::Request(id) => live::request(context, *id),
    }
}

async fn show_list(context: &Arc<Context>, list: &List) -> Result<Table> {
    let config = context.config.borrow().clone();
    let config = &config.config;
    let (table, owners): (Table, &[&str]) = match list.topic {
        Topic::Institutions => (configured::institutions(config), &[]),
        Topic::Accounts => (configured::accounts(config), &["institution"]),
        Topic::Pools => (configured::pools(config), &[]),
        Topic::Rules => (configured::rules(config), &["institution", "pool"]),
        Topic::Endpoints => (live::endpoints(context).await, &["pool", "data-centre"]),
        Topic::Load => (live::load(context).await, &["pool"]),
        Topic::Daemons => (live::daemons(context), &["data-centre"]),
        Topic::Generations => (live::generations(context), &[]),
        Topic::Config => (statements(config), &[]),
        Topic::Control => (traffic::control(context), &[]),
        Topic::Claims | Topic::Limits => {
            let message = format!("`{}` can't be shown by this version", list.topic);
            return Err(message);
        }
    };
    select(table, list, owners)
}

/// The configuration as statements, one per row.
fn statements(config: &medlarrill_core::config::Config) -> Table {
    let mut table = Table::new(&["statement"]);
    for change in export(config) {
        table.push([change.to_string()]);
    }
    table
}
