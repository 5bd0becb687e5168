//! What it costs a daemon to know many endpoints, by their number: their list at a start, the same
//! list from a second source, one endpoint that is replaced, and an update on the other daemons.

use std::collections::HashMap;
use std::hint::black_box;

use bytes::Bytes;
use criterion::{BatchSize, BenchmarkId, Criterion};
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::budget;
use medlarrill_core::routing::endpoint::{Endpoint, InstanceId, StartTime};
use medlarrill_core::routing::exchange::{PeerCounts, PeerUpdate, short_id};
use medlarrill_core::routing::mirror::{Change, Mirror, Object, Update};
use medlarrill_core::routing::revision::{Era, Revision};
use medlarrill_core::routing::view::View;

const SIZES: [usize; 3] = [2500, 10_000, 20_000];
const NOW: Millis = Millis(60_000);
/// Endpoints with requests in flight in an update on the other daemons.
const BUSY: usize = 1000;

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name")
}

fn id(number: usize) -> InstanceId {
    // Odd multiples of a number that has no factor in common with the range, so that names come in
    // no order.
    let mixed = (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24;
    let started = StartTime(1_000_000 + number as u64);
    InstanceId::new(name(&format!("i-{mixed:010x}")), Some(started))
}

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        id: id(number),
        pool: name("pool"),
        build: "v1".into(),
        address: ([10, 0, 0, 1], 8080).into(),
        data_centre: name(&format!("dc-{}", number % 5)),
        slots: 16,
        leaving: false,
    }
}

fn view() -> View {
    let retries = budget::Settings {
        ratio: 0.2,
        window: Millis(10_000),
        slack: 50.0,
    };
    View::new(name("dc-0"), retries, 7, Millis(0))
}

fn full_view(endpoints: usize) -> View {
    let mut view = view();
    for number in 0..endpoints {
        view.upsert(endpoint(number), Millis(0));
    }
    view
}

fn list(endpoints: usize) -> Update {
    list_in(Era(0), endpoints)
}

fn list_in(era: Era, endpoints: usize) -> Update {
    let put = |number| {
        Change::Put(Object {
            name: id(number).endpoint.as_str().to_owned(),
            revision: Revision::new(era, number as u64 + 1),
            spec: Bytes::from_static(&[b'x'; 200]),
        })
    };
    Update {
        complete: true,
        changes: (0..endpoints).map(put).collect(),
        revision: Revision::new(era, endpoints as u64),
    }
}

fn listing(c: &mut Criterion) {
    let mut group = c.benchmark_group("listing");
    group.sample_size(10);
    for size in SIZES {
        let endpoints: Vec<Endpoint> = (0..size).map(endpoint).collect();
        group.bench_function(
            BenchmarkId::new("first list in the view", size),
            |bencher| {
                bencher.iter_batched(
                    || (view(), endpoints.clone()),
                    |(mut view, endpoints)| {
                        for endpoint in endpoints {
                            view.upsert(endpoint, NOW);
                        }
                        view
                    },
                    BatchSize::PerIteration,
                );
            },
        );
        let update = list(size);
        let mut copy = Mirror::default();
        copy.apply(update.clone(), Some(NOW), NOW);
        let restored = list_in(Era(1), size);
        group.bench_function(
            BenchmarkId::new("same list of a new era", size),
            |bencher| {
                bencher.iter_batched(
                    || (copy.clone(), restored.clone()),
                    |(mut copy, restored)| {
                        black_box(copy.apply(restored, Some(NOW), NOW));
                        copy
                    },
                    BatchSize::PerIteration,
                );
            },
        );
        group.bench_function(BenchmarkId::new("same list again", size), |bencher| {
            bencher.iter_batched(
                || (copy.clone(), update.clone()),
                |(mut copy, update)| {
                    black_box(copy.apply(update, Some(NOW), NOW));
                    copy
                },
                BatchSize::PerIteration,
            );
        });
    }
}

fn changes(c: &mut Criterion) {
    let mut group = c.benchmark_group("changes");
    group.sample_size(20);
    for size in SIZES {
        let mut view = full_view(size);
        let mut next = size;
        group.bench_function(BenchmarkId::new("endpoint replaced", size), |bencher| {
            bencher.iter(|| {
                view.remove(&id(next - size).endpoint);
                view.upsert(endpoint(next), NOW);
                next += 1;
            });
        });
        let mut view = full_view(size);
        let busy = (0..BUSY).map(|number| {
            let counts = PeerCounts {
                in_flight: 1,
                ..PeerCounts::default()
            };
            (short_id(&id(number * 2)), counts)
        });
        let update = PeerUpdate {
            endpoints: busy.collect::<HashMap<_, _>>(),
            ..PeerUpdate::default()
        };
        group.bench_function(BenchmarkId::new("update on peers", size), |bencher| {
            bencher.iter_batched(
                || update.clone(),
                |update| view.update_peers(update, 1000, NOW),
                BatchSize::SmallInput,
            );
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    listing(&mut criterion);
    changes(&mut criterion);
    criterion.final_summary();
}
