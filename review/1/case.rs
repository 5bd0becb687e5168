//! Streams that all daemons lose with their power while the replicas are replaced by another version.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client::{Call, call};
use crate::record::Record;
use crate::replica::{Replica, Work};
use crate::world::{Outcome, POOL, World, ms};

/// Streams that clients begin.
const STREAMS: usize = 12;
/// Time for which the machines have no power.
const OFF: Duration = ms(3500);
/// The deadline of the clients, from their first attempt.
const DEADLINE: Duration = ms(12_000);

pub fn run(world: &mut World, has_trouble: bool) -> Outcome {
    let old: Vec<Replica> = (0..2)
        .map(|n| world.replica(&format!("i-old-{n}"), "v1", Work::default()))
        .collect();
    world.start_all(true)?;
    // The fleet has run for a while before.
    sleep(ms(8000));
    let fronts: Vec<SocketAddr> = world.daemons.iter().map(|daemon| daemon.front()).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (fronts, record) = (fronts.clone(), world.record.clone());
            std::thread::spawn(move || client(n, &fronts, &record))
        })
        .collect();
    sleep(ms(1500));
    if has_trouble {
        for daemon in &mut world.daemons {
            daemon.kill();
        }
    }
    let off = Instant::now();
    // Planned work: two releases, each of half of the replicas; each new one starts first.
    let mut due = Vec::new();
    for (n, replica) in old.iter().enumerate() {
        world.replica(&format!("i-new-{n}"), "v2", Work::default());
        sleep(ms(200));
        replica.drain();
        // It serves for drain_ms (2 s) and a little longer after its report.
        due.push((Instant::now() + ms(2300), replica));
        sleep(ms(300));
    }
    for (at, replica) in due {
        sleep(at.saturating_duration_since(Instant::now()));
        replica.unlist();
        replica.end();
    }
    sleep(OFF.saturating_sub(off.elapsed()));
    if has_trouble {
        for daemon in &mut world.daemons {
            daemon.start(false).map_err(|error| error.to_string())?;
        }
        world.wait_ready()?;
    }
    let mut mixed = 0;
    for (n, client) in clients.into_iter().enumerate() {
        let events = client.join().map_err(|_| "a client failed")?;
        let versions: BTreeSet<&str> = events.iter().map(version_of).collect();
        if versions.len() > 1 {
            mixed += 1;
            world
                .record
                .note(&format!("stream {n} holds events of {versions:?}"));
        }
    }
    world.record.note(&format!(
        "{mixed} of {STREAMS} streams hold events of two software versions; 2 are allowed"
    ));
    Ok(mixed <= 2)
}

/// A client: begins a stream, and takes it up where it broke off, on a new connection at the next daemon. A try
/// whose connection is refused, or that gets a 503, is followed by another a second later, four in all. Returns the events.
fn client(n: usize, fronts: &[SocketAddr], record: &Record) -> Vec<(u64, String)> {
    client_with(n, fronts, n, record)
}

/// The software version of an event.
pub fn version_of(event: &(u64, String)) -> &str {
    event.1.split('@').next().unwrap_or_default()
}

/// The same for a client that begins at a given daemon.
pub fn client_with(
    n: usize,
    fronts: &[SocketAddr],
    at: usize,
    record: &Record,
) -> Vec<(u64, String)> {
    let begun = Instant::now();
    let got = call(fronts[at % fronts.len()], &first(n), |_| true);
    record.note(&format!(
        "stream {n}: status {}, whole {}, last event {:?}",
        got.status,
        got.is_whole,
        got.events.last()
    ));
    let mut events = got.events;
    if got.is_whole {
        return events;
    }
    for again in 1..=4 {
        sleep(ms(1000));
        let last = events.last().map_or(0, |(id, _)| *id);
        let mut call_again = first(n);
        call_again.attempt = format!("b{n:03}{again}");
        call_again.wait_ms = DEADLINE.saturating_sub(begun.elapsed()).as_millis() as u64;
        call_again.headers.push(("Last-Event-Id", last.to_string()));
        call_again.headers.push(("Resumes", format!("a{n:03}")));
        let got = call(fronts[(at + again) % fronts.len()], &call_again, |_| true);
        record.note(&format!(
            "stream {n}: try {again} at {} to go on after {last}: connected {}, status {}, whole {}, events {:?}",
            fronts[(at + again) % fronts.len()], got.connected, got.status, got.is_whole, got.events
        ));
        let goes_on = got.status == 200;
        events.extend(got.events);
        if goes_on {
            break;
        }
    }
    events
}

pub fn first(n: usize) -> Call {
    Call {
        method: "POST",
        path: format!("/stream/{n}"),
        attempt: format!("a{n:03}"),
        wait_ms: DEADLINE.as_millis() as u64,
        headers: vec![
            ("Medlarrill-Model", "m".into()),
            ("Medlarrill-Token-Usage", "1460,80".into()),
            (
                "Medlarrill-Prompt-Prefix",
                format!("5c1e07a2:800,91bd3f06:410,e4402b{n:02x}:250"),
            ),
        ],
        body: format!("prompt of stream {n} for {POOL}").into_bytes(),
    }
}
