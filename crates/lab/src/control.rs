//! Control: what a daemon spends without load, against the size of the fleet and of its configuration.
//!
//! Each row is a fleet of its own: it settles, then its daemons' counters are
//! read twice, once in peace and once under churn and a light load.

mod args;
mod exchange;
mod fit;
mod grow;
mod report;
mod row;
mod window;

use std::process::ExitCode;

use crate::child::{Children, main_with};
use crate::error::Result;
use args::Args;
use grow::Shape;
use report::Report;

pub use fit::Line;

/// Runs the measurement, or one of its daemons.
pub fn main() -> ExitCode {
    main_with("control", tell)
}

async fn tell(children: Children, args: Args) -> Result<()> {
    let mut report = Report::default();
    for daemons in &args.sizes {
        let shape = Shape::today(*daemons);
        report
            .fleet
            .push(row::run(&children.daemon, &args, shape).await?);
    }
    for endpoints in &args.endpoints {
        let shape = Shape::today(args.fixed).with_endpoints(*endpoints);
        report
            .endpoints
            .push(row::run(&children.daemon, &args, shape).await?);
    }
    for accounts in &args.accounts {
        let shape = Shape::today(args.fixed).with_accounts(*accounts);
        report
            .accounts
            .push(row::run(&children.daemon, &args, shape).await?);
    }
    report.print(&args)
}
