//! Filters the rows of a table by `of` and `where`.

use medlarrill_core::operator::List;
use medlarrill_core::operator::answer::Table;

use super::Result;

/// The rows that belong to the owner named by `of` and meet all conditions.
///
/// # Errors
///
/// When the table has no such column, or its rows have no owner.
pub fn select(table: Table, list: &List, owners: &[&str]) -> Result<Table> {
    let owners: Vec<usize> = owners
        .iter()
        .filter_map(|name| column(&table, name))
        .collect();
    if list.of.is_some() && owners.is_empty() {
        return Err(format!("`of` can't be used with `{}`", list.topic));
    }
    let mut conditions = Vec::new();
    for condition in &list.conditions {
        let name = condition.field.as_str();
        let index = column(&table, name).ok_or_else(|| {
            let columns = table.columns.join(", ");
            format!("there is no column `{name}`; the columns are {columns}")
        })?;
        conditions.push((index, condition));
    }
    let matches = |row: &Vec<String>| {
        let owned = |of: &str| owners.iter().any(|index| row[*index] == of);
        let belongs = list.of.as_ref().is_none_or(|of| owned(of.as_str()));
        belongs && conditions.iter().all(|(index, c)| c.meets(&row[*index]))
    };
    let rows = table.rows.into_iter().filter(matches).collect();
    let columns = table.columns;
    Ok(Table { columns, rows })
}

fn column(table: &Table, name: &str) -> Option<usize> {
    table.columns.iter().position(|column| column == name)
}
