//! Endpoints that start again under their ids as another software version, which the list doesn't
//! show yet.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use medlarrill_net::now::wall;
use medlarrill_platform_standin::{Behaviour, Endpoint};
use tokio::net::TcpListener;

use super::setup::{Bench, POOL};
use super::versions::{Part, STREAMS, finish, first_call, of_build, read};

pub const DAEMONS: usize = 3;

/// When the first endpoints started, in milliseconds since the Unix epoch.
pub const BORN: u64 = 1_700_000_000_000;

pub fn slow(build: &'static str) -> Behaviour {
    Behaviour {
        pace: Duration::from_millis(120),
        ..of_build(build)
    }
}

/// Daemons before endpoints of these versions, whose entries have start times.
pub async fn start(builds: &[&'static str]) -> Bench {
    let mut bench = Bench::without_daemon(0).await;
    for (number, build) in builds.iter().enumerate() {
        let id = format!("e-{number}");
        bench.add_endpoint(&id, slow(build)).await;
        let mut entry = bench.endpoints[number].entry(POOL, "ready");
        entry["born"] = BORN.into();
        bench.store.put("servers", &id, entry);
    }
    for number in 0..DAEMONS {
        let seeds: Vec<usize> = (0..number).collect();
        bench.add_first_daemon(&seeds, bench.store.address());
    }
    for number in 0..DAEMONS {
        bench.ready(number, builds.len()).await;
        bench.takes_connections(number).await;
    }
    bench.until_all_live(DAEMONS).await;
    bench
}

/// Reads streams at the first daemon; returns those that broke off.
pub fn read_all(bench: &Bench) -> impl Future<Output = Vec<(String, Part)>> + use<> {
    let address = bench.daemons[0].callers();
    let reads = (0..STREAMS).map(|number| {
        tokio::spawn(async move {
            let attempt = format!("first-{number}");
            let part = read(address, &first_call(&attempt), usize::MAX).await;
            (attempt, part)
        })
    });
    let reads: Vec<_> = reads.collect();
    async {
        let parts = futures_util::future::join_all(reads).await;
        let parts = parts.into_iter().map(|part| part.expect("a part"));
        let broken: Vec<_> = parts.filter(|(_, part)| part.is_broken()).collect();
        assert_that!(broken, not(is_empty()));
        broken
    }
}

/// Binds the port of an endpoint that has just ended. It may be in use for a moment by a connection
/// on any port.
pub async fn bind_again(address: SocketAddr) -> TcpListener {
    let mut tries = 0..100;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => assert!(tries.next().is_some(), "{address}: {error}"),
        }
        Bench::pause(20).await;
    }
}

/// Reads streams amid which the first endpoint ends. It is back under its id and address as `build`,
/// and isn't listed anew.
async fn replace_amid_streams(bench: &mut Bench, build: &'static str) -> Vec<(String, Part)> {
    let reading = read_all(bench);
    let arrived = |endpoint: &Endpoint| endpoint.arrivals().len();
    while bench.endpoints.iter().map(arrived).sum::<usize>() < STREAMS {
        Bench::pause(10).await;
    }
    Bench::pause(300).await;
    replace(bench, 1, build).await;
    reading.await
}

/// Ends the first endpoints at once; they are back under their ids and addresses as `build`.
pub async fn replace(bench: &mut Bench, count: usize, build: &'static str) {
    let old = &mut bench.endpoints[..count];
    old.iter().for_each(Endpoint::end);
    for (number, endpoint) in old.iter_mut().enumerate() {
        while !endpoint.has_crashed() {
            Bench::pause(10).await;
        }
        let listener = bind_again(endpoint.address()).await;
        let id = format!("e-{number}");
        let next = Endpoint::on(listener, &id, bench.ledger.clone(), 0).await;
        let next = next.expect("an endpoint");
        next.behave(slow(build));
        if endpoint.start_time().is_some() {
            next.tell_start(wall().0);
        }
        *endpoint = next;
    }
}

#[tokio::test]
async fn no_stream_goes_on_at_another_version_under_its_endpoints_id_that_is_not_listed_yet() {
    let mut bench = start(&["v1", "v2"]).await;
    let broken = replace_amid_streams(&mut bench, "v2").await;
    Bench::pause(300).await;
    for daemon in 0..DAEMONS {
        let taken_up = finish(&bench, daemon, &broken, &format!("at-{daemon}")).await;
        taken_up.assert_none_wrong("v1");
        assert_that!(taken_up.refused, eq(broken.len()), "{taken_up:?}");
    }
}

#[tokio::test]
async fn streams_go_on_at_an_endpoint_that_lost_connections_and_lives() {
    let bench = start(&["v1", "v2"]).await;
    let long = |build| Behaviour {
        events: 60,
        ..slow(build)
    };
    let set = |change: fn(Behaviour) -> Behaviour| {
        for (number, build) in ["v1", "v2"].into_iter().enumerate() {
            bench.behave_one(number, change(long(build)));
        }
    };
    set(|long| long);
    let other = bench.daemons[1].callers();
    let others = (0..STREAMS).map(|number| {
        tokio::spawn(async move {
            let call = first_call(&format!("other-{number}")).with_wait(8000);
            read(other, &call, usize::MAX).await
        })
    });
    let others: Vec<_> = others.collect();
    while bench.endpoints[0].streams() == 0 {
        Bench::pause(10).await;
    }
    Bench::pause(300).await;
    set(|long| Behaviour {
        events: 8,
        cuts: 1.0,
        ..long
    });
    let broken = read_all(&bench).await;
    set(|long| Behaviour { events: 8, ..long });
    Bench::pause(500).await;
    let taken_up = finish(&bench, 1, &broken, "again").await;
    taken_up.assert_none_wrong("v1 and v2");
    assert_that!(taken_up.whole, eq(broken.len()), "{taken_up:?}");
    others.iter().for_each(tokio::task::JoinHandle::abort);
}
