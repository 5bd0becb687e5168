//! Placement: rendezvous, the chat directory, the load view and the decision.

#![expect(
    clippy::unwrap_used,
    reason = "the helpers of these tests hold fixed names"
)]

use std::collections::VecDeque;

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{ChatHash, DaemonId, EndpointId};
use medlarrill_core::placement::{
    CacheHint, ChatPlaces, Daemon, Directory, Distance, EndpointLoad, EndpointState, Fleet, Group,
    Node, Occupancy, Place, PlacementReason, PlacementRequest, PoolSum, PoolView, can_forward,
    chat_hash, expected_cached, key_of, place,
};
use medlarrill_core::reason::Reason;
use medlarrill_core::units::Tokens;
use rand_pcg::Pcg64Mcg;

const NOW: Millis = Millis::from_secs(100);

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::new(7)
}

fn endpoint(n: usize) -> EndpointId {
    format!("e{n}").parse().unwrap()
}

fn daemon(n: usize, data_centre: &str, region: &str) -> Daemon {
    Daemon {
        id: format!("d{n}").parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        region: region.parse().unwrap(),
    }
}

fn served(n: usize, prefix: u64, at: Millis) -> Place {
    Place {
        endpoint: endpoint(n),
        prefix: Tokens(prefix),
        served: at,
        hint: None,
    }
}

fn counted(load: u64) -> Occupancy {
    Occupancy {
        load: Tokens(load),
        waiting: Tokens(0),
        room: true,
    }
}

/// Ready endpoints of one home with these loads.
fn pool(loads: &[u64]) -> PoolView {
    let mut pool = PoolView::new(1.25);
    for (n, load) in loads.iter().enumerate() {
        pool.set_endpoint(&endpoint(n), Distance::SameDataCentre);
        pool.set_state(&endpoint(n), EndpointState::Ready);
        pool.set_own_load(&endpoint(n), counted(*load), NOW);
    }
    pool
}

fn ask<'a>(places: &'a [Place], tried: &'a [EndpointId]) -> PlacementRequest<'a> {
    PlacementRequest {
        chat: Some(ChatHash(1)),
        places,
        prompt: Tokens(1000),
        tried,
        own_only: false,
    }
}

#[gtest]
fn a_node_that_leaves_moves_only_its_own_keys() {
    let node = |n: usize| Node::new(n, &format!("n{n}"));
    let whole = Group::new((0..10).map(node).collect());
    let less = Group::new((0..9).map(node).collect());
    let mut moved = 0;
    for key in 0..10_000 {
        let (before, after) = (whole.first(key), less.first(key));
        if before != after {
            moved += 1;
            expect_that!(before, some(eq(&9)));
        }
    }
    expect_that!(moved, all![gt(800), lt(1200)]);
}

#[gtest]
fn weight_sets_the_share_of_keys() {
    let heavy = Node::new(0, "heavy").with_weight(3.0);
    let group = Group::new(vec![heavy, Node::new(1, "light")]);
    let won = (0..10_000)
        .filter(|key| group.first(*key) == Some(&0))
        .count();
    expect_that!(won, all![gt(7200), lt(7800)]);
    expect_that!(group.rank(5).len(), eq(2));
}

#[gtest]
fn a_home_is_near_while_any_near_daemon_lives() {
    let daemons = [
        daemon(0, "a", "r"),
        daemon(1, "a", "r"),
        daemon(2, "b", "r"),
        daemon(3, "c", "s"),
    ];
    let home = |live: &[Daemon]| {
        let fleet = Fleet::new(live.iter().cloned());
        let region = "r".parse().unwrap();
        let found = fleet.home_of(&endpoint(0), &"a".parse().unwrap(), Some(&region));
        found.cloned()
    };
    expect_that!(
        home(&daemons),
        some(any![eq(&daemons[0].id), eq(&daemons[1].id)])
    );
    expect_that!(home(&daemons[2..]), some(eq(&daemons[2].id)));
    expect_that!(home(&daemons[3..]), some(eq(&daemons[3].id)));
    expect_that!(home(&[]), none());
}

#[gtest]
fn all_agree_on_owners_and_watchers_whatever_the_order() {
    let mut daemons: Vec<_> = (0..8).map(|n| daemon(n, "a", "r")).collect();
    let one = Fleet::new(daemons.iter().cloned());
    daemons.reverse();
    let other = Fleet::new(daemons);
    for shard in 0..64 {
        let key = key_of(&format!("shard-{shard}"));
        expect_that!(one.owner_of(key), eq(other.owner_of(key)));
    }
    let centre = "a".parse().unwrap();
    let watchers = one.owners_in(&centre, key_of("watcher"), 2);
    expect_that!(watchers.len(), eq(2));
    expect_that!(
        watchers,
        eq(&other.owners_in(&centre, key_of("watcher"), 2))
    );
}

#[gtest]
fn one_chat_name_in_two_institutions_is_two_chats() {
    let hash = |institution: &str, chat: &[u8]| chat_hash(&institution.parse().unwrap(), chat);
    expect_that!(hash("a", b"chat"), not(eq(hash("b", b"chat"))));
    expect_that!(hash("ab", b"c"), not(eq(hash("a", b"bc"))));
}

#[gtest]
fn the_directory_keeps_the_last_two_places() {
    let mut directory = Directory::new(10);
    let chat = ChatHash(1);
    for n in [0, 1, 2, 1] {
        directory.record(chat, &served(n, 100 + n as u64, NOW));
    }
    let places = directory.places(chat);
    expect_that!(places, eq(&vec![served(1, 101, NOW), served(2, 102, NOW)]));
    directory.record_cache_event(chat, &endpoint(2), CacheHint::Evicted);
    expect_that!(directory.places(chat)[1].hint, some(eq(CacheHint::Evicted)));
    directory.remove_place(chat, &endpoint(1));
    expect_that!(directory.places(chat).len(), eq(1));
    directory.remove_endpoint(&endpoint(2));
    expect_that!(directory.is_empty(), eq(true));
}

#[gtest]
fn the_least_recent_chat_gives_way() {
    let mut directory = Directory::new(3);
    for n in 0..3 {
        directory.record(ChatHash(n), &served(0, 10, NOW));
    }
    directory.record(ChatHash(0), &served(1, 20, NOW));
    directory.record(ChatHash(3), &served(0, 10, NOW));
    expect_that!(
        directory.recent(),
        elements_are![eq(&ChatHash(3)), eq(&ChatHash(0)), eq(&ChatHash(2))]
    );
}

#[gtest]
fn an_entry_at_the_design_size_takes_few_bytes() {
    let mut directory = Directory::new(40_000);
    for n in 0..50_000u64 {
        let chat = chat_hash(&"i".parse().unwrap(), &n.to_le_bytes());
        directory.record(chat, &served(n as usize % 20, 10, NOW));
    }
    expect_that!(directory.len(), eq(40_000));
    let each = directory.state_bytes() / directory.len();
    println!("{each} bytes an entry");
    expect_that!(each, lt(90));
}

#[gtest]
fn a_hand_over_goes_in_batches_and_keeps_what_is_newer() {
    let (mut from, mut to) = (Directory::new(100), Directory::new(100));
    for n in 0..25 {
        from.record(ChatHash(n), &served(0, 10, NOW));
    }
    let later = NOW + Millis::from_secs(5);
    to.record(ChatHash(3), &served(1, 20, later));
    let mut plan: VecDeque<_> = from.recent().into();
    let mut batches = 0;
    while !plan.is_empty() {
        let batch: Vec<ChatPlaces> = from.export(&mut plan, 10);
        expect_that!(batch.len(), le(10));
        to.import(batch);
        batches += 1;
    }
    expect_that!(batches, eq(3));
    expect_that!((from.len(), to.len()), eq((0, 25)));
    let places = to.places(ChatHash(3));
    expect_that!(places, eq(&vec![served(1, 20, later), served(0, 10, NOW)]));
}

#[gtest]
fn a_chat_returns_unless_its_place_is_over_the_bound() {
    let places = [served(0, 900, NOW), served(1, 500, NOW)];
    let chosen = |loads: &[u64]| {
        let placement = place(&pool(loads), &ask(&places, &[]), NOW, &mut rng()).unwrap();
        (placement.endpoint, placement.reason)
    };
    expect_that!(
        chosen(&[110, 100, 100, 100]),
        eq(&(endpoint(0), PlacementReason::Returned))
    );
    expect_that!(
        chosen(&[200, 100, 100, 100]),
        eq(&(endpoint(1), PlacementReason::SecondPlace))
    );
    expect_that!(
        chosen(&[300, 300, 10, 500, 10]),
        any![
            eq(&(endpoint(2), PlacementReason::Spilled)),
            eq(&(endpoint(4), PlacementReason::Spilled))
        ]
    );
}

#[gtest]
fn no_work_goes_to_endpoints_that_leave_or_were_tried() {
    let mut pool = pool(&[10, 10, 10]);
    pool.set_state(&endpoint(0), EndpointState::Leaving);
    let places = [served(0, 900, NOW)];
    let tried = [endpoint(1)];
    let placement = place(&pool, &ask(&places, &tried), NOW, &mut rng()).unwrap();
    expect_that!(placement.endpoint, eq(&endpoint(2)));
    pool.set_state(&endpoint(2), EndpointState::Drained);
    let refused = place(&pool, &ask(&places, &tried), NOW, &mut rng());
    expect_that!(refused, err(eq(&Reason::NoEndpoint)));
}

#[gtest]
fn an_old_prefix_counts_less_where_the_cache_turns_over_fast() {
    let old = served(0, 1000, Millis::ZERO);
    let cached = |age| expected_cached(&old, Tokens(1000), age, NOW);
    expect_that!(cached(None), near(1000.0, 0.1));
    expect_that!(cached(Some(Millis::from_secs(1000))), gt(990.0));
    expect_that!(cached(Some(Millis::from_secs(30))), lt(10.0));
    let hinted = Place {
        hint: Some(CacheHint::Evicted),
        ..old.clone()
    };
    let unlikely = expected_cached(&hinted, Tokens(1000), None, NOW);
    expect_that!(unlikely, all![gt(0.0), lt(500.0)]);
}

#[gtest]
fn after_the_last_hop_a_home_passes_on_only_to_its_own() {
    let here = endpoint(0);
    let last = PlacementRequest {
        own_only: true,
        ..ask(&[], &[])
    };
    let may = |pool: &PoolView, ask: &PlacementRequest<'_>| can_forward(pool, ask, &here, NOW);
    expect_that!(may(&pool(&[150, 60]), &last), eq(true));
    expect_that!(may(&pool(&[150, 950, 60, 60]), &last), eq(true));
    let mut remote = pool(&[150]);
    remote.set_endpoint(&endpoint(1), Distance::SameDataCentre);
    remote.set_state(&endpoint(1), EndpointState::Ready);
    expect_that!(may(&remote, &last), eq(false));
    expect_that!(may(&remote, &ask(&[], &[])), eq(true));
}

#[gtest]
fn a_stale_sum_tightens_the_bound() {
    let mut pool = pool(&[100]);
    let other: DaemonId = "d1".parse().unwrap();
    let sum = PoolSum {
        load: Tokens(900),
        endpoints: 9,
        as_of: NOW,
    };
    pool.update_sum(&other, sum);
    expect_that!(pool.mean(NOW).load, near(100.0, 0.1));
    let later = pool.mean(NOW + Millis::from_secs(13)).load;
    expect_that!(later, all![gt(20.0), lt(50.0)]);
    pool.remove_daemon(&other);
    expect_that!(pool.mean(NOW).load, near(100.0, 0.1));
}

#[gtest]
fn work_sent_counts_until_the_home_tells_of_it() {
    let mut pool = PoolView::new(1.25);
    let id = endpoint(0);
    pool.set_endpoint(&id, Distance::SameDataCentre);
    let tell = |pool: &mut PoolView, load, at| {
        let heard = EndpointLoad {
            endpoint: endpoint(0),
            load: Tokens(load),
            room: true,
            as_of: at,
        };
        pool.update_load(&heard, at);
    };
    let estimate = |pool: &PoolView| pool.get(&id).unwrap().estimate(0.0, NOW);
    tell(&mut pool, 100, NOW);
    pool.note_sent(&id, Tokens(50));
    expect_that!(estimate(&pool), near(150.0, 0.1));
    tell(&mut pool, 1, NOW - Millis(5));
    expect_that!(estimate(&pool), near(150.0, 0.1));
    tell(&mut pool, 150, NOW + Millis(500));
    tell(&mut pool, 150, NOW + Millis(1000));
    expect_that!(estimate(&pool), near(150.0, 0.1));
}

#[gtest]
fn without_room_anywhere_a_chat_waits_where_its_prefix_is() {
    let chosen = |loads: &[u64]| {
        let mut pool = pool(loads);
        for (n, load) in loads.iter().enumerate() {
            let full = Occupancy {
                room: false,
                ..counted(*load)
            };
            pool.set_own_load(&endpoint(n), full, NOW);
        }
        let places = [served(0, 900, NOW)];
        let placement = place(&pool, &ask(&places, &[]), NOW, &mut rng()).unwrap();
        placement.reason
    };
    expect_that!(
        chosen(&[1050, 1000, 1000, 1000]),
        eq(PlacementReason::Returned)
    );
    expect_that!(
        chosen(&[2500, 1000, 1000, 1000]),
        eq(PlacementReason::Spilled)
    );
}

#[gtest]
fn after_the_last_hop_only_own_endpoints_are_chosen() {
    let mut pool = pool(&[100, 90]);
    pool.set_endpoint(&endpoint(2), Distance::SameDataCentre);
    pool.set_state(&endpoint(2), EndpointState::Ready);
    let last = PlacementRequest {
        own_only: true,
        ..ask(&[], &[])
    };
    let mut rng = rng();
    for _ in 0..20 {
        let placement = place(&pool, &last, NOW, &mut rng).unwrap();
        expect_that!(placement.endpoint, not(eq(&endpoint(2))));
    }
}

#[gtest]
fn only_anothers_endpoint_of_unknown_state_is_returned_to_and_only_with_hops_left() {
    let mut pool = pool(&[10, 10]);
    pool.set_endpoint(&endpoint(2), Distance::SameDataCentre);
    pool.set_state(&endpoint(2), EndpointState::Unknown);
    let others = [served(2, 900, NOW)];
    let asked = ask(&others, &[]);
    let placement = place(&pool, &asked, NOW, &mut rng()).unwrap();
    expect_that!(placement.endpoint, eq(&endpoint(2)));
    pool.set_state(&endpoint(0), EndpointState::Unknown);
    let own = [served(0, 900, NOW)];
    let last = PlacementRequest {
        own_only: true,
        ..ask(&own, &[])
    };
    for asked in [ask(&own, &[]), last] {
        let placement = place(&pool, &asked, NOW, &mut rng()).unwrap();
        expect_that!(placement.endpoint, eq(&endpoint(1)));
    }
}
