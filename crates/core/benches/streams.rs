//! What it costs to rank the daemons that are told of a stream, and to remember one.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion};
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::streams::holders::Holders;
use medlarrill_core::routing::streams::memory::StreamMemory;
use medlarrill_core::routing::streams::message::{Began, Message};
use medlarrill_core::routing::streams::{Origin, StreamKey};

/// Daemons of the smallest and the largest fleets, and of twice that.
const SIZES: [u16; 4] = [9, 84, 1000, 2000];

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let mut group = criterion.benchmark_group("told");
    for size in SIZES {
        let daemons = (0..size).map(|port| ([10, 0, 0, 1], port).into());
        let holders = Holders::new(daemons);
        let mut key = 0u64;
        group.bench_function(BenchmarkId::from_parameter(size), |bench| {
            bench.iter(|| {
                key = key.wrapping_add(0x9e37_79b9_7f4a_7c15);
                black_box(holders.told(StreamKey(key)))
            });
        });
    }
    group.finish();
    let mut memory = StreamMemory::default();
    let mut number = 0u64;
    criterion.bench_function("record", |bench| {
        bench.iter(|| {
            number += 1;
            memory.record(StreamKey(number), Origin(1), Millis(number / 100));
        });
    });
    let message = || Message::Began(Began::new(&[(StreamKey(u64::MAX), Origin(u64::MAX))]));
    println!(
        "a stream takes {} bytes in a datagram",
        message().encode().len()
    );
    criterion.bench_function("encode", |bench| {
        bench.iter(|| black_box(message().encode()));
    });
    criterion.final_summary();
}
