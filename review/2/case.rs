//! All machines but one are lost; clients take their streams up at the one that is left.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::case1::first;
use crate::client::call;
use crate::record::Record;
use crate::replica::Work;
use crate::world::{Outcome, World, ms};

/// Daemons of the deployment.
pub const DAEMONS: usize = 9;
/// Streams that clients begin at the machines that will be lost.
const STREAMS: usize = 120;
/// Streams that clients begin at the machine that is left.
const NEW: usize = 24;
/// The deadline of the clients, from their first attempt.
const DEADLINE: Duration = ms(12_000);

pub fn run(world: &mut World, has_trouble: bool) -> Outcome {
    let _replicas: Vec<_> = (0..4)
        .map(|n| world.replica(&format!("i-{n}"), "v1", Work::default()))
        .collect();
    world.start_all(true)?;
    // Longer than the daemons need to know each other, and than any stream lives.
    sleep(ms(25_000));
    let fronts: Vec<SocketAddr> = world.daemons.iter().map(|daemon| daemon.front()).collect();
    let left = fronts[0];
    let has_left = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (at, record, has_left) = (
                fronts[1 + n % (DAEMONS - 1)],
                world.record.clone(),
                Arc::clone(&has_left),
            );
            std::thread::spawn(move || client(n, at, left, &has_left, &record))
        })
        .collect();
    sleep(ms(2500));
    if has_trouble {
        for daemon in &mut world.daemons[1..] {
            daemon.kill();
        }
    }
    // The clients' connections end in any case.
    has_left.store(true, Ordering::SeqCst);
    sleep(ms(600));
    let new: Vec<_> = (0..NEW)
        .map(|n| {
            let record = world.record.clone();
            sleep(ms(50));
            std::thread::spawn(move || {
                let mut call_1 = first(STREAMS + n);
                call_1.attempt = format!("n{n:03}");
                let got = call(left, &call_1, |got| got.events.len() < 3);
                record.note(&format!(
                    "new stream {n}: status {}, {} events",
                    got.status,
                    got.events.len()
                ));
                !got.events.is_empty()
            })
        })
        .collect();
    let count = |all: Vec<std::thread::JoinHandle<bool>>| {
        all.into_iter()
            .filter_map(|one| one.join().ok())
            .filter(|ok| *ok)
            .count()
    };
    let (gone_on, begun) = (count(clients), count(new));
    let shares = (gone_on as f64 / STREAMS as f64, begun as f64 / NEW as f64);
    world.record.note(&format!(
        "{gone_on} of {STREAMS} streams that were taken up went on ({:.2}); {begun} of {NEW} new ones began ({:.2})",
        shares.0, shares.1
    ));
    Ok(shares.0 >= shares.1 / 2.0)
}

/// Begins a stream, loses the connection, and takes the stream up at the machine that is left, with four tries.
/// Returns whether it went on.
fn client(
    n: usize,
    at: SocketAddr,
    left: SocketAddr,
    has_left: &AtomicBool,
    record: &Record,
) -> bool {
    let begun = Instant::now();
    let got = call(at, &first(n), |_| !has_left.load(Ordering::SeqCst));
    let last = got.events.last().map_or(0, |(id, _)| *id);
    record.note(&format!(
        "stream {n}: status {}, {last} events, then the connection ended",
        got.status
    ));
    for again in 1..=4 {
        sleep(ms(700));
        let mut call_again = first(n);
        call_again.attempt = format!("b{n:03}{again}");
        call_again.wait_ms = DEADLINE.saturating_sub(begun.elapsed()).as_millis() as u64;
        call_again.headers.push(("Last-Event-Id", last.to_string()));
        call_again.headers.push(("Resumes", format!("a{n:03}")));
        let got = call(left, &call_again, |got| got.events.len() < 3);
        record.note(&format!(
            "stream {n}: try {again} to go on after {last}: status {}, events {:?}",
            got.status, got.events
        ));
        if !got.events.is_empty() {
            return true;
        }
    }
    false
}
