//! Clients that read their streams slowly, and all the while, while their daemon is stopped in order.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{new_attempt, request};
use crate::fleet::{Fleet, free_address};
use crate::narrow::connect_narrow;
use crate::operator::{Route, configure};
use crate::processes::signal;
use crate::record::Record;
use crate::replica::{Plan, Replica, Runs};
use crate::store::Store;

/// When the clients send, and when the daemon gets SIGTERM.
const SENT: f64 = 8.0;
const STOPPED: f64 = 8.4;
const CLIENTS: usize = 10;
/// For how long a slow client reads slowly, and how much it reads four times a second.
const SLOW: Duration = Duration::from_millis(5_500);
const STEP: usize = 125;
/// Receive buffer of a client, in bytes.
const BUFFER: i32 = 4096;

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let record = Record::new(folder);
    let store = Store::start();
    let route = Route {
        prefix: "/chat/",
        service: "model-pool",
        kind: "streaming",
        attempts: 1,
        timeout_ms: 12_000,
        target_ms: 400,
        gap_ms: 400,
        can_resume: false,
    };
    configure(&store, 7, &[route]);
    let runs = Runs::default();
    let plan = |n: u8| Plan {
        id: format!("i-000{n}"),
        service: "model-pool".into(),
        zone: format!("zone-{}", (b'a' + n - 1) as char),
        version: "1".into(),
        address: free_address(Ipv4Addr::new(127, 64, n, 2)),
        store: store.address,
        slots: 64,
        work_ms: 40,
        events: 150,
        gap_ms: 10,
        extra_each: 0,
        extra_from_ms: 0,
        extra_to_ms: 0,
        ends_by_close: 0,
    };
    let _replicas: Vec<Replica> = (1..=3)
        .map(|n| Replica::start(plan(n), &runs, &record))
        .collect();
    let fleet = Fleet::start(3, 64, store.address, 260);
    if !fleet.wait_ready() {
        record.say("the daemons don't become ready");
        return Verdict::CouldNotRun;
    }
    record.say("three daemons before three replicas");
    record.until(SENT);
    let ends = Arc::new(Mutex::new(Vec::new()));
    let address = fleet.daemons[0].callers;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (record, ends) = (record.clone(), Arc::clone(&ends));
            std::thread::spawn(move || {
                let attempt = new_attempt();
                record.line(format!("client sends {attempt} to {address}"));
                let read = read_chat(address, &attempt, has_trouble);
                let text = match &read {
                    Ok(bytes) => format!("a whole answer of {bytes} bytes"),
                    Err((bytes, cause)) => format!("{bytes} bytes, then {cause}"),
                };
                record.line(format!("client gets for {attempt}: {text}"));
                ends.lock().unwrap().push((attempt, read.is_ok()));
            })
        })
        .collect();
    record.until(STOPPED);
    signal(fleet.daemons[0].pid(), "TERM");
    record.say(format!("{} gets SIGTERM", fleet.daemons[0].name));
    for client in clients {
        client.join().ok();
    }
    record.say("all clients are done");
    std::thread::sleep(Duration::from_millis(200));
    let runs = runs.by_attempt();
    let ends = ends.lock().unwrap();
    let whole = ends.iter().filter(|(_, is_whole)| *is_whole).count();
    let is_lost = |(attempt, is_whole): &&(String, bool)| !is_whole && runs.contains_key(attempt);
    let lost = ends.iter().filter(is_lost).count();
    record.say(format!(
        "{whole} of {CLIENTS} clients got whole streams; {lost} lost theirs while a replica ran it"
    ));
    // LOST around planned work: none may be.
    match (lost > 0, whole) {
        (true, _) => Verdict::Broken,
        (false, 0) => Verdict::CouldNotRun,
        (false, _) => Verdict::Held,
    }
}

/// Sends a chat and reads its answer to the last chunk, slowly at first if so wanted; returns the bytes
/// that came, with the error if the answer broke off.
fn read_chat(address: SocketAddr, attempt: &str, is_slow: bool) -> Result<usize, (usize, String)> {
    let failed = |bytes: usize| move |error: std::io::Error| (bytes, error.to_string());
    let mut stream = connect_narrow(address, BUFFER).map_err(failed(0))?;
    stream
        .set_read_timeout(Some(Duration::from_secs(12)))
        .map_err(failed(0))?;
    let more = "Medlarrill-Model: m\r\nMedlarrill-Token-Usage: 800,240\r\nMedlarrill-Prompt-Prefix: 5c1e:400,91bd:400\r\n";
    let bytes = request("/chat/say", attempt, 12_000, more, b"{\"say\":\"hello\"}");
    stream.write_all(&bytes).map_err(failed(0))?;
    let (sent, mut answer) = (Instant::now(), Vec::new());
    loop {
        let reads_slowly = is_slow && sent.elapsed() < SLOW;
        let mut buffer = vec![0; if reads_slowly { STEP } else { 4096 }];
        let count = stream.read(&mut buffer).map_err(failed(answer.len()))?;
        if count == 0 {
            return Err((answer.len(), "closed".into()));
        }
        answer.extend_from_slice(&buffer[..count]);
        if answer.ends_with(b"\r\n0\r\n\r\n") {
            return Ok(answer.len());
        }
        if reads_slowly {
            std::thread::sleep(Duration::from_millis(250));
        }
    }
}
