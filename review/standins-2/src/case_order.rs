//! Streams that begin at a replica which has become another software version under its id, while
//! the store is away, and go on at a replica of the version that the list still names.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, new_attempt, request};
use crate::fleet::{Fleet, free_address};
use crate::operator::{Route, configure};
use crate::processes::signal;
use crate::record::Record;
use crate::replica::{Plan, Replica, Runs};
use crate::store::Store;

/// When the store goes away, and for how long (the sites' troubles: `platform_down`, `for_s` 4.5).
const OUTAGE: (f64, f64) = (8.0, 4.5);
/// When the replica ends and starts again as another version.
const REPLACED: f64 = 8.3;
/// When chats come: after the replica is back.
const CHATS: f64 = 9.5;
/// When the replica falls silent, and for how long ("for a second or so").
const SILENCE: (f64, f64) = (10.5, 1.5);
const STREAMS: usize = 30;

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
    let plan = |n: u8, version: &str| Plan {
        id: format!("i-000{n}"),
        service: "model-pool".into(),
        zone: format!("zone-{}", (b'a' + n - 1) as char),
        version: version.into(),
        address: free_address(Ipv4Addr::new(127, 61, n, 2)),
        store: store.address,
        slots: 64,
        work_ms: 40,
        events: 40,
        gap_ms: 100,
        extra_each: 0,
        extra_from_ms: 0,
        extra_to_ms: 0,
        ends_by_close: 0,
    };
    let mut replicas: Vec<Replica> = (1..=3)
        .map(|n| Replica::start(plan(n, "1"), &runs, &record))
        .collect();
    let fleet = Fleet::start(3, 61, store.address, 260);
    if !fleet.wait_ready() {
        record.say("the daemons don't become ready");
        return Verdict::CouldNotRun;
    }
    record.say("three daemons before three replicas of version 1");
    record.until(OUTAGE.0);
    if has_trouble {
        store.set_down(true);
        record.say("the store is down");
        record.until(REPLACED);
        let plan = Plan {
            version: "2".into(),
            ..replicas[0].plan.clone()
        };
        replicas[0].kill();
        std::thread::sleep(Duration::from_millis(300));
        replicas[0] = Replica::start(plan, &runs, &record);
        record.say("replica i-0001 has started again under its id, as version 2");
    }
    record.until(CHATS);
    let ends = Arc::new(Mutex::new(Vec::new()));
    let chats: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (address, record, ends) = (
                fleet.daemons[n % 3].callers,
                record.clone(),
                Arc::clone(&ends),
            );
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(20 * n as u64));
                let end = chat(address, n, &record);
                ends.lock().unwrap().push(end);
            })
        })
        .collect();
    // That is no disruption, and comes with and without the trouble.
    record.until(SILENCE.0);
    signal(replicas[0].pid(), "STOP");
    record.say("replica i-0001 falls silent");
    record.until(SILENCE.0 + SILENCE.1);
    signal(replicas[0].pid(), "CONT");
    record.say("replica i-0001 goes on");
    if has_trouble {
        record.until(OUTAGE.0 + OUTAGE.1);
        store.set_down(false);
        record.say("the store is back");
    }
    for chat in chats {
        chat.join().ok();
    }
    let ends = ends.lock().unwrap();
    let whole = ends.iter().filter(|end| end.is_whole).count();
    let mixed: Vec<&End> = ends.iter().filter(|end| end.versions.len() > 1).collect();
    record.say(format!(
        "{whole} of {STREAMS} streams came whole; {} hold events of two versions",
        mixed.len()
    ));
    for end in &mixed {
        record.line(format!(
            "events of two versions in one answer: {} {:?}",
            end.attempt, end.versions
        ));
    }
    // ORDER: more than two streams.
    match (mixed.len() > 2, whole) {
        (true, _) => Verdict::Broken,
        (false, 0) => Verdict::CouldNotRun,
        (false, _) => Verdict::Held,
    }
}

struct End {
    attempt: String,
    is_whole: bool,
    versions: BTreeSet<String>,
}

/// Holds one chat, and returns of which versions its events are.
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
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let versions: BTreeSet<String> = data
        .filter_map(|data| data.split(' ').next())
        .map(str::to_owned)
        .collect();
    record.line(format!(
        "client gets for {attempt}: status {}, whole {}, {} bytes, versions {versions:?} {}",
        answer.status,
        answer.is_whole,
        answer.body.len(),
        answer.error
    ));
    End {
        attempt,
        is_whole: answer.is_whole && answer.status == 200,
        versions,
    }
}
