//! Most new connections go to one daemon for some seconds. It keeps the bodies of all requests that
//! it has, until their answers end, and grows beyond the memory of its machine.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, new_attempt, request};
use crate::fleet::{Fleet, free_address};
use crate::operator::{MAX_BODY, Route, configure};
use crate::record::Record;
use crate::replica::{Plan, Replica, Runs};
use crate::store::Store;

/// Memory of a machine, as on the users' small sites.
const MEMORY_MB: u64 = 260;
/// When clients come, when most new connections begin to go to one daemon, and when all ends.
const TIMES: (f64, f64, f64) = (3.0, 12.0, 24.0);
/// For how long that lasts.
const CROWDED: f64 = 6.5;
/// New clients a second, with and without the trouble.
const RATE: f64 = 16.0;

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let record = Record::new(folder);
    let store = Store::start();
    let chats = Route {
        prefix: "/chat/",
        service: "model-pool",
        kind: "streaming",
        attempts: 1,
        timeout_ms: 12_000,
        target_ms: 1_000,
        gap_ms: 600,
        can_resume: false,
    };
    let states = Route {
        prefix: "/state/",
        service: "registry",
        kind: "safe",
        attempts: 2,
        timeout_ms: 1_500,
        target_ms: 300,
        gap_ms: 0,
        can_resume: false,
    };
    configure(&store, 7, &[chats, states]);
    let runs = Runs::default();
    let plan = |service: &str, n: u8, (work_ms, events): (u64, u64)| Plan {
        id: format!("i-{service}-{n}"),
        service: service.into(),
        zone: format!("zone-{}", (b'a' + (n - 1) % 3) as char),
        version: "1".into(),
        address: free_address(Ipv4Addr::new(127, 63, n, if events == 0 { 3 } else { 2 })),
        store: store.address,
        slots: 64,
        work_ms,
        events,
        gap_ms: 100,
        extra_each: 0,
        extra_from_ms: 0,
        extra_to_ms: 0,
        ends_by_close: 0,
    };
    let engines = (1..=6).map(|n| plan("model-pool", n, (1_500, 30)));
    let plain = (1..=3).map(|n| plan("registry", n, (10, 0)));
    let _replicas: Vec<Replica> = engines
        .chain(plain)
        .map(|plan| Replica::start(plan, &runs, &record))
        .collect();
    let mut fleet = Fleet::start(3, 63, store.address, MEMORY_MB);
    if !fleet.wait_ready() {
        record.say("the daemons don't become ready");
        return Verdict::CouldNotRun;
    }
    record.say("three daemons before six model replicas and three of a registry");
    let addresses: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
    let ends = Arc::new(Mutex::new(Vec::new()));
    let open = Arc::new(AtomicUsize::new(0));
    let mut most = [0; 3];
    let mut killed: HashMap<usize, f64> = HashMap::new();
    let mut sent = 0;
    let mut clients = Vec::new();
    record.until(TIMES.0);
    while record.now() < TIMES.2 {
        // The platform ends a process that exceeds the memory of its machine, and starts it again.
        for (n, daemon) in fleet.daemons.iter_mut().enumerate() {
            let memory = daemon.memory_mb();
            most[n] = most[n].max(memory);
            if memory > MEMORY_MB {
                record.say(format!(
                    "{} has {memory} MB of {MEMORY_MB}: the platform kills it",
                    daemon.name
                ));
                daemon.kill();
                killed.insert(n, record.now());
                std::thread::sleep(Duration::from_millis(200));
                daemon.start();
            }
        }
        let due = ((record.now() - TIMES.0) * RATE) as usize;
        while sent < due {
            let crowded =
                has_trouble && record.now() >= TIMES.1 && record.now() < TIMES.1 + CROWDED;
            // Nine of ten new connections go to the first daemon; else the daemons take turns.
            let target = if crowded && sent % 10 != 0 {
                0
            } else {
                sent % 3
            };
            let (address, record, ends, open) = (
                addresses[target],
                record.clone(),
                Arc::clone(&ends),
                Arc::clone(&open),
            );
            clients.push(std::thread::spawn(move || {
                open.fetch_add(1, Ordering::Relaxed);
                let end = client(address, &record);
                open.fetch_sub(1, Ordering::Relaxed);
                ends.lock().unwrap().push(end);
            }));
            sent += 1;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    for client in clients {
        client.join().ok();
    }
    let runs = runs.by_attempt();
    let ends = ends.lock().unwrap();
    let whole = ends.iter().filter(|end| end.is_whole).count();
    // Requests on a kept connection that a replica ran, and whose connection was closed without an answer.
    let is_lost = |end: &&End| end.is_kept && end.status == 0 && runs.contains_key(&end.attempt);
    let lost: Vec<&End> = ends.iter().filter(is_lost).collect();
    record.say(format!(
        "{whole} of {} chats came whole; most memory {most:?} MB; {} daemons killed; {} requests passed on and lost \
         with their kept connections",
        ends.len(),
        killed.len(),
        lost.len()
    ));
    for end in &lost {
        record.line(format!("lost: {}", end.attempt));
    }
    // LOST: more than three times.
    match (lost.len() > 3, whole) {
        (true, _) => Verdict::Broken,
        (false, 0) => Verdict::CouldNotRun,
        (false, _) => Verdict::Held,
    }
}

struct End {
    attempt: String,
    is_kept: bool,
    status: u16,
    is_whole: bool,
}

/// Asks for a state, then sends a chat of the largest size on the same connection.
fn client(address: SocketAddr, record: &Record) -> End {
    let mut client = Client::new(address);
    let state = request("/state/now", &new_attempt(), 1_500, "", b"");
    let is_kept = client.send(&state, Duration::from_millis(1_700)).status == 200;
    let attempt = new_attempt();
    let more = "Medlarrill-Model: m\r\nMedlarrill-Token-Usage: 1300,240\r\nMedlarrill-Prompt-Prefix: 5c1e07a2:400,91bd:900\r\n";
    let body = vec![b'x'; MAX_BODY as usize];
    record.line(format!("client sends {attempt} to {address}"));
    let answer = client.send(
        &request("/chat/say", &attempt, 12_000, more, &body),
        Duration::from_secs(12),
    );
    record.line(format!(
        "client gets for {attempt}: status {}, whole {} {}",
        answer.status, answer.is_whole, answer.error
    ));
    End {
        attempt,
        is_kept,
        status: answer.status,
        is_whole: answer.is_whole && answer.status == 200,
    }
}
