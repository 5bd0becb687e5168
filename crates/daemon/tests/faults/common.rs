//! What the tests of faults share.

use medlarrill_core::clock::Millis;
use medlarrill_testkit::fleet::{CallError, Problem, metric};
use medlarrill_testkit::http::Outage;
use medlarrill_testkit::wait::until;
use medlarrill_testkit::{engine, platform};
use tokio::sync::Semaphore;

use crate::bench::{Bench, GUARD};
use crate::load::Load;
use crate::operator::rows;

/// How long callers wait for one try.
pub const PATIENT: Millis = Millis::from_secs(30);
/// The same, where a daemon gives no answer at all.
pub const IMPATIENT: Millis = Millis::from_secs(3);
/// Fleets that run at once, so that none starves and looks frozen.
pub static ROOM: Semaphore = Semaphore::const_new(3);

/// Starts or ends an outage of the platform.
pub fn platform_outage(bench: &Bench, outage: Option<Outage>) {
    bench.fleet.platform.set_faults(platform::Faults {
        outage,
        ..platform::Faults::default()
    });
}

/// Makes an engine leave.
pub fn leaving(bench: &Bench, at: usize) {
    bench.fleet.engines[at].set_faults(engine::Faults {
        leaving: true,
        ..engine::Faults::default()
    });
}

/// Waits until a daemon knows of so many.
pub async fn daemons_known(bench: &Bench, at: usize, count: f64) {
    let address = bench.fleet.daemons[at].started.callers;
    let known = async || metric(address, "medlarrill_daemons").await == Some(count);
    until("the daemons agree", known).await;
}

/// Waits until a daemon knows that engines are leaving, of those that it is home of.
pub async fn all_leaving(bench: &Bench, at: usize, engines: &[&str]) {
    let name = format!("d{}", at + 1);
    let known = async || {
        let rows = rows(&bench.fleet, at, "show endpoints").await;
        let own = rows.iter().filter(|row| row[8] == name);
        let mut own = own.filter(|row| engines.contains(&row[0].as_str()));
        own.all(|row| row[4] == "leaving")
    };
    until("homes know that their engines leave", known).await;
}

/// Runs that began at engines when these were leaving.
pub fn late(bench: &Bench) -> usize {
    let engines = bench.fleet.engines.iter();
    let all = engines.flat_map(engine::Engine::runs);
    all.filter(|run| run.leaving).count()
}

/// Waits until the fleet is whole, and calls all of it.
pub async fn settled(bench: &Bench, load: &mut Load) {
    assert!(
        bench.fleet.wait_ready(GUARD).await,
        "the fleet is not whole again"
    );
    load.follow(&bench.fleet);
}

/// Starts a daemon anew and waits until all goes on.
pub async fn restart(bench: &mut Bench, load: &mut Load, at: usize) {
    bench.fleet.restart_daemon(at).await.unwrap();
    settled(bench, load).await;
    load.progress(3).await;
}

/// Books once.
pub async fn book(bench: &Bench, at: usize, key: &str) -> Result<String, Problem> {
    let caller = bench.fleet.caller(at).unwrap();
    match caller.call("/bookings/room", Some(key), key).await {
        Ok(answer) => Ok(String::from_utf8_lossy(answer.body()).into_owned()),
        Err(CallError::Problem(problem)) => Err(problem),
        Err(error) => panic!("{error}"),
    }
}

/// Books, coming back while the fleet asks for that.
pub async fn book_patiently(bench: &Bench, at: usize, key: &str) -> Result<String, Problem> {
    for _ in 0..600 {
        match book(bench, at, key).await {
            Err(problem) if problem.retry_after.is_some() => {
                tokio::time::sleep(Millis(100).as_duration()).await;
            }
            end => return end,
        }
    }
    panic!("the booking was put off for too long")
}
