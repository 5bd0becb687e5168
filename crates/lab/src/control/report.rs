//! The rows and the lines through them.

use serde::Serialize;

use super::args::Args;
use super::exchange::Exchange;
use super::fit::Line;
use super::row::Row;
use super::window::Spending;
use crate::error::Result;

const MIB: f64 = 1_048_576.0;

/// All rows.
#[derive(Default)]
#[derive(Serialize)]
pub struct Report {
    /// By number of daemons.
    pub fleet: Vec<Row>,
    /// By number of endpoints.
    pub endpoints: Vec<Row>,
    /// By number of accounts.
    pub accounts: Vec<Row>,
}

/// What is fitted against a size.
#[derive(Serialize)]
struct Lines {
    link_bytes: Line,
    platform_bytes: Line,
    platform_calls: Line,
    polls: Line,
    total_bytes: Line,
    processor: Line,
    resident: Line,
}

impl Lines {
    fn through(rows: &[Row], size: impl Fn(&Row) -> usize) -> Self {
        let through = |value: &dyn Fn(&Row) -> f64| {
            let point = |row: &Row| (size(row) as f64, value(row));
            Line::through(&rows.iter().map(point).collect::<Vec<_>>())
        };
        let line = |value: &dyn Fn(&Spending) -> f64| through(&|row| value(&row.peace));
        Self {
            link_bytes: line(&Spending::links),
            platform_bytes: line(&|s| s.platform.values().sum()),
            platform_calls: line(&|s| s.calls.values().sum()),
            polls: line(&|s| s.polls),
            total_bytes: through(&|row| row.peace.total(row.exchange)),
            processor: line(&|s| s.processor),
            resident: line(&|s| s.resident),
        }
    }

    fn print(&self, unit: &str) {
        let line = |what: &str, line: Line| {
            println!(
                "  {what:36} {:>12.1} + {:.3} a {unit}",
                line.base, line.slope
            );
        };
        line("link bytes/s, sent and received", self.link_bytes);
        line("platform bytes/s, without headers", self.platform_bytes);
        line("platform calls/s", self.platform_calls);
        line("polls/s", self.polls);
        line("bytes/s in all", self.total_bytes);
        line("processor us/s", self.processor);
        line("resident bytes", self.resident);
    }
}

impl Report {
    /// Prints all rows and lines.
    ///
    /// # Errors
    ///
    /// When the figures can't be written as JSON.
    pub fn print(&self, args: &Args) -> Result<()> {
        let fleet = Lines::through(&self.fleet, |row| row.daemons);
        let endpoints = Lines::through(&self.endpoints, |row| row.endpoints);
        let accounts = Lines::through(&self.accounts, |row| row.accounts);
        if args.json {
            let all = serde_json::json!({
                "args": args,
                "rows": self,
                "lines": { "fleet": fleet, "endpoints": endpoints, "accounts": accounts },
            });
            println!("{}", serde_json::to_string_pretty(&all)?);
            return Ok(());
        }
        println!("by daemon and second; bytes both ways");
        for row in self
            .fleet
            .iter()
            .chain(&self.endpoints)
            .chain(&self.accounts)
        {
            row.print();
        }
        for (rows, lines, unit) in [
            (&self.fleet, fleet, "daemon"),
            (&self.endpoints, endpoints, "endpoint"),
            (&self.accounts, accounts, "account"),
        ] {
            if rows.len() > 1 {
                println!("line against {unit}s");
                lines.print(unit);
            }
        }
        Ok(())
    }
}

impl Row {
    fn print(&self) {
        println!(
            "{} daemons, {} endpoints, {} accounts; changes in force after {:?} ms",
            self.daemons, self.endpoints, self.accounts, self.changes
        );
        println!(
            "  a poll has {:.0} bytes, headers of a platform call {:.0}; busiest daemon {:.0} B/s",
            self.exchange.poll, self.exchange.headers, self.most
        );
        self.peace.print("peace", self.exchange);
        if let Some(churn) = &self.churn {
            churn.print("churn", self.exchange);
        }
    }
}

impl Spending {
    fn print(&self, when: &str, exchange: Exchange) {
        println!(
            "  {when}: {:.0} B/s in all; links {:.0}, platform {:.0} in {:.2} calls, {:.2} polls; {:.0} us, {:.1} MiB",
            self.total(exchange),
            self.links(),
            self.platform.values().sum::<f64>(),
            self.calls.values().sum::<f64>(),
            self.polls,
            self.processor,
            self.resident / MIB,
        );
        println!("    sent {:.0?}", self.sent);
        println!("    received {:.0?}", self.received);
        println!("    platform {:.0?}", self.platform);
    }
}
