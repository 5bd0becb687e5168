//! A single membership state machine, message by message.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{DaemonId, Generation, Incarnation};
use medlarrill_core::membership::{
    Action, Announced, Event, ListedVm, Liveness, Member, Membership, Peer, State,
};
use medlarrill_core::wire::Gossip;

use crate::fleet::{Fleet, address};

fn member(at: usize, incarnation: u64) -> Member {
    Member::new(
        format!("router-{at}").parse().unwrap(),
        Incarnation(incarnation),
        address(at),
        "dc0".parse().unwrap(),
        "r0".parse().unwrap(),
    )
    .with_epoch(1000)
}

fn machine() -> Membership {
    Membership::new(member(0, 10), vec![address(1)], 1, Millis(0))
}

fn peer(member: &Member) -> Peer {
    Peer {
        daemon: member.daemon.clone(),
        incarnation: member.incarnation,
    }
}

fn receive(machine: &mut Membership, from: &Member, message: Gossip, now: u64) -> Vec<Gossip> {
    let from = peer(from);
    let actions = machine.handle(Event::Received { from, message }, Millis(now));
    let sent = actions.into_iter().filter_map(|action| match action {
        Action::Send { message, .. } => Some(message),
        _ => None,
    });
    sent.collect()
}

fn records(members: &[&Member]) -> Gossip {
    Gossip {
        records: members.iter().map(|m| m.record()).collect(),
        ..Gossip::default()
    }
}

#[gtest]
fn a_record_keeps_every_part() {
    let mut member = member(3, 7);
    member.address = "[2001:db8::1]:7101".parse().unwrap();
    member.announced = Announced::Leaving;
    member.ready = true;
    expect_that!(Member::from_record(&member.record()), some(eq(&member)));
    let mut broken = member.record();
    broken.address.truncate(5);
    expect_that!(Member::from_record(&broken), none());
}

#[gtest]
fn a_message_for_an_earlier_process_is_told_so() {
    let mut machine = machine();
    let other = member(1, 20);
    receive(&mut machine, &other, records(&[&other]), 100);
    let message = Gossip {
        to: 9,
        ping: 5,
        ..Gossip::default()
    };
    let answers = receive(&mut machine, &other, message, 200);
    expect_that!(answers.len(), eq(1));
    let reply = Member::from_record(&answers[0].records[0]).unwrap();
    expect_that!(reply.incarnation, eq(Incarnation(10)));
    expect_that!(answers[0].ack, eq(0));
}

#[gtest]
fn an_earlier_process_never_comes_back() {
    let mut machine = machine();
    let earlier = member(1, 30);
    let later = member(1, 20).with_epoch(1001);
    receive(&mut machine, &earlier, records(&[&earlier]), 100);
    receive(&mut machine, &later, records(&[&later]), 200);
    receive(&mut machine, &earlier, records(&[&earlier]), 300);
    let known = machine.get(&earlier.daemon).unwrap();
    expect_that!(known.incarnation, eq(later.incarnation));
}

#[gtest]
fn a_doubt_about_oneself_is_answered_by_a_higher_number() {
    let mut machine = machine();
    let other = member(1, 20);
    receive(&mut machine, &other, records(&[&other]), 100);
    let before = machine.own().heartbeat;
    let mut suspected = machine.own().clone();
    suspected.liveness = Liveness::Suspect;
    let message = Gossip {
        changes: vec![suspected.change(false)],
        ..Gossip::default()
    };
    receive(&mut machine, &other, message, 200);
    expect_that!(machine.own().heartbeat, gt(before));
    expect_that!(machine.own().state(), not(eq(State::Suspect)));
}

#[gtest]
fn a_record_that_does_not_come_is_asked_for_again() {
    let (mut machine, others) = with_peers();
    let unknown = member(9, 90);
    let message = Gossip {
        changes: vec![unknown.change(false)],
        ..Gossip::default()
    };
    let answers = receive(&mut machine, &others[0], message, 100);
    expect_that!(answers[0].wants, elements_are![eq(&90)]);
    let mut asked = 0;
    for now in (200..6000).step_by(100) {
        let wall = Millis(now);
        let actions = machine.handle(Event::Tick { wall }, wall);
        let asks =
            |a: &&Action| matches!(a, Action::Send { message, .. } if message.wants.contains(&90));
        asked += actions.iter().filter(asks).count();
    }
    expect_that!(asked, eq(4));
}

#[gtest]
fn a_doubted_sender_is_told_of_the_doubt() {
    let mut machine = machine();
    let (other, third) = (member(1, 20), member(2, 30));
    receive(&mut machine, &other, records(&[&other, &third]), 100);
    let mut suspected = third.clone();
    suspected.liveness = Liveness::Suspect;
    let change = suspected.change(false);
    let message = Gossip {
        changes: vec![change],
        ..Gossip::default()
    };
    receive(&mut machine, &other, message, 200);
    let answers = receive(&mut machine, &third, Gossip::default(), 300);
    expect_that!(answers.len(), eq(1));
    expect_that!(answers[0].changes, contains(eq(&change)));
}

#[gtest]
fn a_member_that_another_holds_gone_is_probed_and_told() {
    let mut machine = machine();
    let (other, third) = (member(1, 20), member(2, 30));
    receive(&mut machine, &other, records(&[&other, &third]), 100);
    let mut gone = third.clone();
    gone.liveness = Liveness::Gone;
    let message = Gossip {
        changes: vec![gone.change(false)],
        ..Gossip::default()
    };
    receive(&mut machine, &other, message, 200);
    let wall = Millis(300);
    let actions = machine.handle(Event::Tick { wall }, Millis(300));
    let probed = actions.iter().any(|action| match action {
        Action::Send { to, message } => {
            to.daemon.as_ref() == Some(&third.daemon)
                && message.ping != 0
                && message.changes.contains(&gone.change(false))
        }
        _ => false,
    });
    expect_that!(probed, is_true());
}

/// Sends a tick, and returns the probed members with the numbers of their probes.
fn probes(machine: &mut Membership, now: u64) -> Vec<(DaemonId, u32)> {
    let wall = Millis(now);
    let actions = machine.handle(Event::Tick { wall }, wall);
    let sent = actions.into_iter().filter_map(|action| match action {
        Action::Send { to, message } if message.ping != 0 => Some((to.daemon?, message.ping)),
        _ => None,
    });
    sent.collect()
}

/// Answers probes, with the digests of a different table if `buckets` are given.
fn answer(
    machine: &mut Membership,
    others: &[Member],
    pings: &[(DaemonId, u32)],
    buckets: &[u32],
    now: u64,
) {
    for (daemon, ack) in pings {
        let other = others.iter().find(|m| m.daemon == *daemon).unwrap();
        let ack = Gossip {
            ack: *ack,
            buckets: buckets.to_vec(),
            ..Gossip::default()
        };
        receive(machine, other, ack, now);
    }
}

fn with_peers() -> (Membership, [Member; 3]) {
    let mut machine = machine();
    let others = [member(1, 20), member(2, 30), member(3, 40)];
    for other in &others {
        receive(&mut machine, other, records(&[other]), 50);
    }
    (machine, others)
}

#[gtest]
fn answers_to_probes_from_before_a_pause_make_nothing_fresh() {
    let (mut machine, others) = with_peers();
    let before = probes(&mut machine, 100);
    let after = probes(&mut machine, 5000);
    let suspected = machine.members().filter(|m| m.liveness != Liveness::Alive);
    expect_that!(suspected.count(), eq(0));
    answer(&mut machine, &others, &before, &[], 5001);
    expect_that!(machine.is_fresh(Millis(5002)), is_false());
    answer(&mut machine, &others, &after, &[], 5003);
    expect_that!(machine.is_fresh(Millis(5004)), is_true());
}

#[gtest]
fn a_new_process_is_fresh_once_a_peer_knows_the_same() {
    let (mut machine, others) = with_peers();
    let first = probes(&mut machine, 100);
    answer(&mut machine, &others, &first, &[1; 16], 101);
    expect_that!(machine.is_fresh(Millis(102)), is_false());
    let mut second = Vec::new();
    for now in (200..1000).step_by(100) {
        second.extend(probes(&mut machine, now));
    }
    answer(&mut machine, &others, &second, &[], 901);
    expect_that!(machine.is_fresh(Millis(902)), is_true());
}

#[gtest]
fn a_young_process_overtakes_a_rival_and_an_old_one_yields() {
    let rival = member(0, 99).with_epoch(2000);
    let mut young = machine();
    let other = member(1, 20);
    receive(&mut young, &other, records(&[&other, &rival]), 100);
    expect_that!(young.own().epoch, eq(2001));
    let mut old = machine();
    let from = peer(&other);
    let message = records(&[&other, &rival]);
    let actions = old.handle(Event::Received { from, message }, Millis(60_000));
    let by = Incarnation(99);
    expect_that!(actions, contains(eq(&Action::Replaced { by })));
}

#[gtest]
fn a_vm_listed_as_leaving_hears_of_it() {
    let list = |at: usize| ListedVm {
        address: address(at),
        leaving: true,
    };
    let mut machine = machine();
    let other = machine.handle(Event::VmList(vec![list(1)]), Millis(100));
    expect_that!(other, is_empty());
    let own = machine.handle(Event::VmList(vec![list(0)]), Millis(200));
    expect_that!(own, elements_are![eq(&Action::ListedLeaving)]);
}

#[gtest]
fn a_generation_is_heard_and_those_that_lag_are_named() {
    let mut fleet = Fleet::new(9, 3, 30);
    assert!(fleet.until(20_000, Fleet::agreed).is_some());
    for at in 0..8 {
        fleet.nodes[at].machine.set_generation(Generation(4));
    }
    let heard = |f: &Fleet| {
        let wanted = |a: &Action| matches!(a, Action::NewerGeneration { generation, .. } if *generation == Generation(4));
        f.nodes[8].seen.iter().any(|(_, a)| wanted(a))
    };
    expect_that!(fleet.until(5000, heard), some(le(2000)));
    let now = fleet.clock(0);
    let actions = fleet.nodes[0].machine.probe_lagging(Generation(4), now);
    fleet.act(0, actions);
    fleet.run(100);
    let lagging = fleet.nodes[0].machine.lagging(Generation(4));
    let lagging: Vec<_> = lagging.map(|m| m.daemon.clone()).collect();
    expect_that!(lagging, elements_are![eq(&fleet.peer(8).daemon)]);
}

#[gtest]
fn loads_are_heard_in_the_data_centre_and_sums_in_the_region() {
    let mut fleet = Fleet::new(9, 3, 31);
    assert!(fleet.until(20_000, Fleet::agreed).is_some());
    for _ in 0..5 {
        fleet.set_loads(4, 13, 2);
        fleet.run(1000);
    }
    let first = fleet.nodes[0].machine.own().data_centre.clone();
    let mut from = std::collections::BTreeMap::new();
    let mut centres = std::collections::BTreeMap::new();
    for (seen, action) in &fleet.nodes[0].seen {
        match action {
            Action::LoadReceived { from: name, at, .. } => {
                expect_that!(seen.since(*at), le(Millis(1300)));
                from.insert(name.clone(), at);
            }
            Action::SumsReceived { data_centre, sums } => {
                centres.insert(data_centre.clone(), sums.clone());
            }
            _ => {}
        }
    }
    expect_that!(from.len(), eq(2));
    expect_that!(centres.len(), eq(2));
    expect_that!(centres.contains_key(&first), is_false());
    for sums in centres.values() {
        // Three daemons with 13 endpoints each, over four pools.
        let endpoints: u32 = sums.iter().map(|sum| sum.endpoints).sum();
        expect_that!(endpoints, eq(39));
    }
}
