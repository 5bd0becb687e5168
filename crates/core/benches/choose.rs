//! What it costs to pick an endpoint, by the size of the pool.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::PoolId;
use medlarrill_core::placement::key_of;
use medlarrill_core::routing::budget;
use medlarrill_core::routing::config::{Priority, RetryPolicy, Route};
use medlarrill_core::routing::endpoint::{Endpoint, InstanceId};
use medlarrill_core::routing::load::LoadReport;
use medlarrill_core::routing::plan::RetryPlan;
use medlarrill_core::routing::request::SharedPrefix;
use medlarrill_core::routing::view::View;
use medlarrill_core::units::Tokens;

/// Pools of some 75 VMs, of 300, of 1,000, and twice that.
const SIZES: [usize; 5] = [60, 326, 4500, 10_000, 20_000];
const NOW: Millis = Millis(60_000);

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name")
}

fn pool() -> PoolId {
    name("pool")
}

/// A view of endpoints over three data centres; where `is_busy`, all have answered and work.
fn view(endpoints: usize, is_busy: bool) -> View {
    let repeats = budget::Settings {
        ratio: 0.2,
        window: Millis(10_000),
        slack: 50.0,
    };
    let mut view = View::new(name("dc-0"), repeats, 7, Millis(0));
    for number in 0..endpoints {
        let id = InstanceId::new(name(&format!("i-{number:010x}")), None);
        let endpoint = Endpoint {
            id: id.clone(),
            pool: pool(),
            build: "v1".into(),
            address: ([10, 0, 0, 1], 8080).into(),
            data_centre: name(&format!("dc-{}", number % 3)),
            slots: 64,
            leaving: false,
        };
        view.upsert(endpoint, Millis(0));
        if is_busy {
            let report = LoadReport {
                running: (number % 7) as u32,
                waiting: 0,
                slots: 64,
            };
            view.report(&id, report, Millis(59_500));
            view.record_success(&id, Millis(59_500));
        }
    }
    view
}

fn route() -> Route {
    Route {
        name: "route".into(),
        host: "host".into(),
        prefix: "/a/".into(),
        retry: RetryPolicy::Resume,
        stream: true,
        cached: true,
        attempts: 2,
        timeout: Millis(10_000),
        target: Millis(1000),
        gap: Millis(600),
        priority: Priority(1),
        auth_exempt: false,
        shares: Vec::new(),
    }
}

fn choose(c: &mut Criterion) {
    let plan = RetryPlan::new(&route(), Millis(90_000));
    let pool = pool();
    for (state, is_busy) in [("idle", false), ("busy", true)] {
        let mut group = c.benchmark_group(format!("choose, {state}"));
        for size in SIZES {
            let mut view = view(size, is_busy);
            let mut key = 0;
            group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
                bencher.iter(|| {
                    key = (key + 1) % 500;
                    let prefix = SharedPrefix {
                        key: key_of(&key.to_string()),
                        tokens: Tokens(10_000),
                    };
                    let choice = view.choose(&pool, Some(&prefix), &plan, NOW);
                    let id = choice.expect("an endpoint").endpoint.id.clone();
                    view.end(&id);
                    black_box(id)
                });
            });
        }
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    choose(&mut criterion);
    criterion.final_summary();
}
