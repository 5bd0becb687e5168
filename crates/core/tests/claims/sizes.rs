//! Sizes of objects, which the platform bounds, and of a claim in memory.

use googletest::prelude::*;
use medlarrill_core::claims::{
    Claim, ClaimId, KeyHash, LogEvent, LogLimits, LogState, ProcessId, Record, Reply, ShardLog,
};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::Incarnation;
use medlarrill_core::wire::ClaimRequest;

use crate::bench::{WALL, ask};
use crate::platform::{Platform, call_of};

/// A third below the platform's limit.
const MOST: usize = 700 << 10;

/// Claims that one shard holds in the run below.
const CLAIMS: u64 = 20_000;

fn event(log: &mut ShardLog, platform: &mut Platform, event: LogEvent, now: Millis) {
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        for action in log.handle(event, now) {
            let Some(call) = call_of(&action) else {
                continue;
            };
            let reply: Reply = platform.carry_out(&action).expect("a reply");
            events.push(LogEvent::Reply { call, reply });
        }
    }
}

/// An owner that has recorded many claims, and its platform.
fn filled(claimants: u64, per_batch: u64, name: usize) -> (ShardLog, Platform) {
    let member = ProcessId {
        daemon: "owner".parse().expect("a name"),
        incarnation: Incarnation(7),
    };
    let mut platform = Platform::default();
    let mut log = ShardLog::new(3, member, 1, WALL, Millis::ZERO);
    let mut now = Millis::ZERO;
    event(&mut log, &mut platform, LogEvent::Assign(true), now);
    for number in 0..CLAIMS {
        let daemon = format!("{:0name$}", number % claimants);
        let ask = ClaimRequest {
            claimant: u64::MAX - number % claimants,
            daemon,
            ask: u64::from(u32::MAX) + number,
            ..ask(number, 1)
        };
        event(&mut log, &mut platform, LogEvent::Request(ask), now);
        if number % per_batch == 0 {
            now += LogLimits::default().batch_interval;
            let wall = WALL + now;
            event(&mut log, &mut platform, LogEvent::Tick { wall }, now);
        }
    }
    now += LogLimits::default().batch_interval;
    let wall = WALL + now;
    event(&mut log, &mut platform, LogEvent::Tick { wall }, now);
    (log, platform)
}

fn largest(platform: &Platform) -> usize {
    let sizes = platform.objects.values().map(|object| object.bytes.len());
    sizes.max().expect("an object")
}

#[gtest]
fn objects_stay_well_under_the_limit() {
    for (claimants, per_batch) in [(350, 100), (CLAIMS, 500)] {
        let (log, platform) = filled(claimants, per_batch, 64);
        let claims = log.chain().unwrap().table.len();
        let most = largest(&platform);
        println!("{claims} claims of {claimants} claimants: largest object {most} B");
        expect_that!(claims, eq(CLAIMS as usize));
        expect_that!(most, lt(MOST));
    }
}

#[gtest]
fn bytes_per_claim() {
    let (mut log, platform) = filled(350, 100, 12);
    let memory = size_of::<KeyHash>() + size_of::<Claim>();
    println!("memory: {memory} B per claim, less the table's spare room");
    let records = platform.objects.values().map(|object| {
        let record = Record::read(object.bytes.clone()).unwrap();
        (record, object.bytes.len())
    });
    let (mut batches, mut checkpoints) = (Vec::new(), Vec::new());
    for (record, size) in records {
        match record.body {
            Some(medlarrill_core::claims::Body::Batch(batch)) => {
                batches.push((batch.claims.len(), size));
            }
            Some(medlarrill_core::claims::Body::Checkpoint(checkpoint)) => {
                checkpoints.push((checkpoint.claims.len(), size));
            }
            _ => {}
        }
    }
    for (name, objects) in [("batches", &batches), ("checkpoints", &checkpoints)] {
        let claims: usize = objects.iter().map(|(claims, _)| claims).sum();
        let bytes: usize = objects.iter().map(|(_, bytes)| bytes).sum();
        let each = bytes as f64 / claims as f64;
        println!(
            "{name}: {} with {claims} claims, {each:.0} B per claim",
            objects.len()
        );
        expect_that!(each, lt(250.0));
    }
    let mut single = platform.clone();
    let first = ask(u64::MAX, 1);
    let id = ClaimId {
        claimant: Incarnation(first.claimant),
        number: 1,
    };
    let now = Millis::from_secs(3000);
    event(&mut log, &mut single, LogEvent::Request(first), now);
    let size = single.objects.last_key_value().unwrap().1.bytes.len();
    println!("object with one claim ({id:?}): {size} B");
    expect_that!(log.state(), eq(LogState::Owner));
}
