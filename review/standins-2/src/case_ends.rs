//! Streams without chunks and length whose replica is killed between two events.

use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, new_attempt, request};
use crate::fleet::{Fleet, free_address};
use crate::operator::{Route, configure};
use crate::record::Record;
use crate::replica::{Plan, Replica, Runs};
use crate::store::Store;

/// When chats come, and when one replica is killed.
const CHATS: f64 = 4.0;
const KILLED: f64 = 6.0;
const REPLICAS: u8 = 6;
const STREAMS: usize = 60;
const EVENTS: u64 = 60;

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let record = Record::new(folder);
    let store = Store::start();
    let route = Route {
        prefix: "/chat/",
        service: "model-pool",
        kind: "streaming",
        attempts: 2,
        timeout_ms: 12_000,
        target_ms: 400,
        gap_ms: 400,
        can_resume: true,
    };
    configure(&store, 7, &[route]);
    let runs = Runs::default();
    let plan = |n: u8| Plan {
        id: format!("i-000{n}"),
        service: "model-pool".into(),
        zone: format!("zone-{}", (b'a' + (n - 1) % 3) as char),
        version: "1".into(),
        address: free_address(Ipv4Addr::new(127, 66, n, 2)),
        store: store.address,
        slots: 64,
        work_ms: 40,
        events: EVENTS,
        gap_ms: 100,
        extra_each: 0,
        extra_from_ms: 0,
        extra_to_ms: 0,
        ends_by_close: 1,
    };
    let mut replicas: Vec<Replica> = (1..=REPLICAS)
        .map(|n| Replica::start(plan(n), &runs, &record))
        .collect();
    let fleet = Fleet::start(3, 66, store.address, 260);
    if !fleet.wait_ready() {
        record.say("the daemons don't become ready");
        return Verdict::CouldNotRun;
    }
    record.say("three daemons before six replicas");
    record.until(CHATS);
    let ends = Arc::new(Mutex::new(Vec::new()));
    let chats: Vec<_> = (0..STREAMS)
        .map(|n| {
            let address = fleet.daemons[n % 3].callers;
            let (record, ends) = (record.clone(), Arc::clone(&ends));
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(20 * n as u64));
                let end = chat(address, n, &record);
                ends.lock().unwrap().push(end);
            })
        })
        .collect();
    record.until(KILLED);
    if has_trouble {
        replicas[0].kill();
        record.say("replica i-0001 is killed");
    }
    for chat in chats {
        chat.join().ok();
    }
    let ends = ends.lock().unwrap();
    let whole = ends
        .iter()
        .filter(|end| end.is_complete && end.last == EVENTS)
        .count();
    let short: Vec<&End> = ends
        .iter()
        .filter(|end| end.is_complete && end.last < EVENTS)
        .collect();
    record.say(format!(
        "{whole} of {STREAMS} streams came whole; {} end as complete before their last piece",
        short.len()
    ));
    for end in &short {
        record.line(format!(
            "ends as complete after event {}: {}",
            end.last, end.attempt
        ));
    }
    match (!short.is_empty(), whole) {
        (true, _) => Verdict::Broken,
        (false, 0) => Verdict::CouldNotRun,
        (false, _) => Verdict::Held,
    }
}

struct End {
    attempt: String,
    /// Whether the answer ended with its last chunk.
    is_complete: bool,
    /// Id of the last event.
    last: u64,
}

/// Holds one chat.
fn chat(address: std::net::SocketAddr, n: usize, record: &Record) -> End {
    let attempt = new_attempt();
    let more = format!(
        "Medlarrill-Model: m\r\nMedlarrill-Token-Usage: 800,240\r\n\
         Medlarrill-Prompt-Prefix: 5c1e07a2:400,{:x}:400\r\n",
        0x9100 + n
    );
    record.line(format!("client sends {attempt} to {address}"));
    let bytes = request("/chat/say", &attempt, 12_000, &more, b"{\"say\":\"hello\"}");
    let answer = Client::new(address).send(&bytes, Duration::from_secs(12));
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let last = ids.filter_map(|id| id.parse().ok()).last().unwrap_or(0);
    record.line(format!(
        "client gets for {attempt}: status {}, complete {}, last event {last} {}",
        answer.status, answer.is_whole, answer.error
    ));
    End {
        attempt,
        is_complete: answer.is_whole && answer.status == 200,
        last,
    }
}
