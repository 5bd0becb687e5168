//! A replica sends additional bytes after a complete answer, late; the request that is on the
//! connection by then is run by it, and by another replica, too.

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

/// Until when requests are sent: daemons keep connections for such requests from 10 s on.
const END: f64 = 21.0;
/// When the replica is faulty, since its start (`garble`: `for_s` 5).
const FAULTY_MS: (u64, u64) = (14_000, 19_000);
/// One answer in so many is followed by additional bytes (`garble`, `extra late`: x 0.03).
const EXTRA_EACH: u64 = 34;

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let record = Record::new(folder);
    let store = Store::start();
    let route = Route {
        prefix: "/orders/",
        service: "orders",
        kind: "unsafe",
        attempts: 1,
        timeout_ms: 800,
        target_ms: 150,
        gap_ms: 0,
        can_resume: false,
    };
    configure(&store, 7, &[route]);
    let runs = Runs::default();
    let plan = |n: u8| Plan {
        id: format!("i-000{n}"),
        service: "orders".into(),
        zone: format!("zone-{}", (b'a' + n - 1) as char),
        version: "1".into(),
        address: free_address(Ipv4Addr::new(127, 62, n, 2)),
        store: store.address,
        slots: 6,
        work_ms: 30,
        events: 0,
        gap_ms: 0,
        // One replica of three is faulty (`garble`: share 0.35).
        extra_each: if has_trouble && n == 1 { EXTRA_EACH } else { 0 },
        extra_from_ms: FAULTY_MS.0,
        extra_to_ms: FAULTY_MS.1,
        ends_by_close: 0,
    };
    let _replicas: Vec<Replica> = (1..=3)
        .map(|n| Replica::start(plan(n), &runs, &record))
        .collect();
    let fleet = Fleet::start(3, 62, store.address, 260);
    if !fleet.wait_ready() {
        record.say("the daemons don't become ready");
        return Verdict::CouldNotRun;
    }
    record.say("three daemons before three replicas");
    let answers = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..12)
        .map(|n| {
            let (address, record, answers) = (
                fleet.daemons[n % 3].callers,
                record.clone(),
                Arc::clone(&answers),
            );
            std::thread::spawn(move || {
                let mut client = Client::new(address);
                while record.now() < END {
                    let attempt = new_attempt();
                    record.line(format!("client sends {attempt} to {address}"));
                    let bytes = request("/orders/charge", &attempt, 1_500, "", b"{\"print\":12}");
                    let answer = client.send(&bytes, Duration::from_millis(1_700));
                    record.line(format!(
                        "client gets for {attempt}: status {} {}",
                        answer.status, answer.error
                    ));
                    answers.lock().unwrap().push((attempt, answer.status));
                    std::thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    for client in clients {
        client.join().ok();
    }
    std::thread::sleep(Duration::from_millis(300));
    let runs = runs.by_attempt();
    let answers = answers.lock().unwrap();
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    let twice: Vec<_> = runs.iter().filter(|(_, ran)| ran.len() > 1).collect();
    let refused_and_run = answers.iter().filter(|(attempt, status)| {
        [408, 421, 429, 503].contains(status) && runs.contains_key(attempt)
    });
    let refused_and_run = refused_and_run.count();
    record.say(format!(
        "{served} of {} requests answered with success; {} ran twice; {refused_and_run} were refused as not run, and ran",
        answers.len(),
        twice.len()
    ));
    for (attempt, ran) in &twice {
        let by: Vec<&str> = ran.iter().map(|ran| ran.replica.as_str()).collect();
        record.line(format!("ran twice: {attempt} at {}", by.join(" and ")));
    }
    match (twice.len() + refused_and_run > 0, served) {
        (true, _) => Verdict::Broken,
        (false, 0) => Verdict::CouldNotRun,
        (false, _) => Verdict::Held,
    }
}
