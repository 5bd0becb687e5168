//! What parts of prompts cost each request, and what a loss costs while much is known.

use std::hint::black_box;

use criterion::Criterion;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::PoolId;
use medlarrill_core::routing::causes::Causes;
use medlarrill_core::routing::endpoint::{Build, InstanceId};
use medlarrill_core::routing::fingerprint::Fingerprint;
use medlarrill_core::routing::quarantine::Quarantine;
use medlarrill_core::routing::request::{PromptPart, RequestHead};
use medlarrill_core::routing::runs::Runs;
use medlarrill_core::units::Tokens;

fn prompt(number: u64) -> RequestHead {
    let part = |id| PromptPart {
        id,
        tokens: Tokens(100),
    };
    RequestHead {
        model: "m".into(),
        parts: [1, 100 + number % 50, 2, 1_000_000 + number]
            .map(part)
            .into(),
        ..RequestHead::default()
    }
}

/// A quarantine that knows 500 losses of as many causes.
fn full() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 0..500 {
        let cause = Fingerprint(10_000 + number);
        quarantine.record_losses(&[cause], number as u32, None, Millis(1000));
    }
    quarantine
}

fn bench(criterion: &mut Criterion) {
    let pool: PoolId = "pool".parse().expect("a name");
    let build: Build = "v1".into();
    let id = InstanceId::new("e-1".parse().expect("a name"), None);
    let mut quarantine = full();
    let mut runs = Runs::default();
    let mut number = 0;
    criterion.bench_function("request that is served", |bencher| {
        bencher.iter(|| {
            number += 1;
            let now = Millis(number);
            let causes = Causes::new(Fingerprint(number), &prompt(number), &pool);
            let run_id = runs.begin(&id, &build, causes.clone(), now);
            runs.set_sent(&id, run_id, true);
            runs.record_sign(&id, run_id, now);
            quarantine.record_response(&causes.at(&build), now, now);
            runs.end(&id, run_id, now);
        });
    });
    criterion.bench_function("loss of four causes", |bencher| {
        bencher.iter_batched_ref(
            full,
            |quarantine| {
                let causes = [1, 2, 3, 4].map(Fingerprint);
                black_box(quarantine.record_losses(&causes, 9999, None, Millis(2000)))
            },
            criterion::BatchSize::SmallInput,
        );
    });
    criterion.bench_function("snapshot", |bencher| {
        bencher.iter(|| black_box(quarantine.snapshot(Millis(100_000))));
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench(&mut criterion);
    criterion.final_summary();
}
