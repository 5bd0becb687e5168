//! How long an accepted change takes to be in force on every daemon.
//!
//! Daemons are processes of their own, the platform's stand-in runs here. Each
//! change is sent to another daemon; the time counts from the answer that it is
//! accepted, and from the sending, until every daemon says that it has it.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Parser;
use hyper::Method;
use medlarrill_core::clock::Millis;
use medlarrill_testkit::client;
use medlarrill_testkit::fleet::{Fleet, Layout, OPERATOR_KEY, Program, metric};
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::child::{Children, main_with};
use crate::error::{LabError, Result};

/// Sizes of the fleets.
const SIZES: [usize; 3] = [3, 6, 12];
/// Changes at each size.
const CHANGES: usize = 10;
/// Time between two looks at a daemon.
const LOOK: Duration = Duration::from_millis(2);
/// Longest wait for all daemons to be ready.
const READY: Millis = Millis::from_secs(60);

/// The measurement takes no arguments.
#[derive(Debug, Parser)]
#[command(about = "How long an accepted change takes to be in force on every daemon")]
struct Args {}

/// Times of one change.
#[derive(Clone, Copy)]
#[derive(Debug)]
struct Times {
    /// From sending to the answer.
    accepted: Duration,
    /// From the answer until it is in force everywhere.
    spread: Duration,
}

/// Measures, or is one of the daemons.
pub fn main() -> ExitCode {
    main_with("spread", measure)
}

async fn measure(children: Children, _: Args) -> Result<()> {
    let mut first = None;
    println!("daemons  accepted ms  in force everywhere ms  longest ms  ratio");
    for size in SIZES {
        let times = fleet(&children.daemon, size).await?;
        let accepted = median(times.iter().map(|times| times.accepted).collect());
        let spread = median(times.iter().map(|times| times.spread).collect());
        let longest = times.iter().map(|times| millis(times.spread));
        let longest = longest.fold(0.0, f64::max);
        let ratio = spread / *first.get_or_insert(spread);
        println!("{size:7}  {accepted:11.1}  {spread:22.1}  {longest:10.1}  {ratio:5.2}");
    }
    Ok(())
}

async fn fleet(program: &Program, size: usize) -> Result<Vec<Times>> {
    let folder = tempfile::tempdir()?;
    let layout = Layout::default().with_daemons(size);
    let mut fleet = Fleet::start(program.clone(), folder.path().into(), layout).await?;
    if !fleet.wait_ready(READY).await {
        return Err(LabError::Wrong("the daemons did not get ready".into()));
    }
    let mut times = Vec::new();
    for number in 0..CHANGES {
        times.push(change(&fleet, number).await?);
    }
    for daemon in &mut fleet.daemons {
        daemon.kill().await?;
    }
    Ok(times)
}

/// Makes one change and waits until it is in force everywhere.
async fn change(fleet: &Fleet, number: usize) -> Result<Times> {
    let addresses: Vec<_> = fleet.daemons.iter().map(|d| d.started.callers).collect();
    let text = format!("alter account padkos.leaders concurrency {}", 100 + number);
    let body = json!({
        "change": format!("{:032x}", rand::random::<u128>()),
        "statements": text,
    });
    let request = client::request(Method::POST, "/v1/operator")
        .header("Authorization", format!("Bearer {OPERATOR_KEY}"));
    let sent = Instant::now();
    let address = addresses[number % addresses.len()];
    let answer = client::send(address, request, body.to_string()).await?;
    let accepted = Instant::now();
    let answer: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
    let generation = answer["results"][0]["generation"].as_f64();
    let generation = generation.ok_or_else(|| LabError::Wrong(answer.to_string()))?;
    let mut waits = JoinSet::new();
    for address in addresses {
        waits.spawn(async move {
            while metric(address, "medlarrill_generation").await < Some(generation) {
                tokio::time::sleep(LOOK).await;
            }
        });
    }
    waits.join_all().await;
    Ok(Times {
        accepted: accepted - sent,
        spread: accepted.elapsed(),
    })
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// The median, in milliseconds.
fn median(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    let upper = times[times.len() / 2];
    let lower = times[(times.len() - 1) / 2];
    (millis(upper) + millis(lower)) / 2.0
}
