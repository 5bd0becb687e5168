//! Synchronisation of the configuration between daemons, with lost and late messages, outages
//! and restarts.

#[path = "change_race/platform.rs"]
#[expect(dead_code, reason = "shared with the races, which use all of it")]
mod platform;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use googletest::prelude::*;
use medlarrill_core::change::committer::{self, Outcome};
use medlarrill_core::change::sync::{Action, ConfigSync, Event, JOIN_WINDOW, Rejected};
use medlarrill_core::change::{Committer, Digest};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{ChangeId, Generation, Incarnation};
use medlarrill_core::operator::parse;
use medlarrill_core::wire::{PartAnswer, PartRequest};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use platform::Platform;

const GENERATIONS: u32 = 12;
const DAEMONS: usize = 6;
const SEEDS: u64 = 100;
const NOW: Millis = Millis(10_000);

/// Every generation as stored; `pool a` has as many slots as the generation's number.
struct Library {
    heads: Vec<Bytes>,
    parts: BTreeMap<Digest, Bytes>,
}

fn library() -> Library {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut platform = Platform {
        calm: true,
        ..Platform::default()
    };
    for n in 1..=GENERATIONS {
        let text = match n {
            1 => "create pool a kind service slots 1; create pool b kind service".into(),
            n => format!("alter pool a slots {n}"),
        };
        let changes = parse(&text).unwrap();
        let changes = changes.iter().filter_map(|s| s.change().cloned()).collect();
        let mut committer = Committer::new(ChangeId(n.into()), changes, NOW, NOW);
        let mut actions = committer.handle(committer::Event::Start, NOW);
        while let Some(action) = actions.pop() {
            if let committer::Action::Finish(outcome) = action {
                assert!(matches!(outcome, Outcome::Accepted(_)));
                break;
            }
            let event = platform.call(action, &mut rng);
            actions.extend(committer.handle(event, NOW));
        }
    }
    let heads = platform.history.iter().map(|head| head.to_bytes().into());
    Library {
        heads: heads.collect(),
        parts: platform.archive,
    }
}

impl Library {
    fn head(&self, generation: usize) -> Bytes {
        self.heads[generation - 1].clone()
    }

    fn served(&self, ask: &PartRequest, generation: usize) -> PartAnswer {
        let digest = |bytes: &Bytes| Digest::from_bytes(bytes).unwrap();
        PartAnswer {
            head: match ask.digests.is_empty() {
                true => self.head(generation),
                false => Bytes::new(),
            },
            parts: ask
                .digests
                .iter()
                .map(|d| self.parts[&digest(d)].clone())
                .collect(),
        }
    }
}

fn announced(peer: u64, local: bool, generation: u64) -> Event {
    Event::Announced {
        peer: Incarnation(peer),
        local,
        generation: Generation(generation),
    }
}

fn asks(actions: &[Action]) -> Vec<(Incarnation, PartRequest)> {
    let request = |action: &Action| match action {
        Action::Request { peer, request } => Some((*peer, request.clone())),
        _ => None,
    };
    actions.iter().filter_map(request).collect()
}

fn applied(actions: &[Action]) -> Option<Generation> {
    actions.iter().find_map(|action| match action {
        Action::Apply(config) => Some(config.generation),
        _ => None,
    })
}

/// Answers all requests to a peer, until there are no more.
fn answer_all(
    sync: &mut ConfigSync,
    library: &Library,
    mut actions: Vec<Action>,
    at: usize,
) -> Vec<Action> {
    let mut all = Vec::new();
    while let Some((peer, ask)) = asks(&actions).pop() {
        let answer = library.served(&ask, at);
        all.append(&mut actions);
        actions = sync.handle(Event::Answer { peer, answer }, NOW);
    }
    all.append(&mut actions);
    all
}

#[gtest]
fn a_starting_daemon_listens_before_it_takes_the_highest() {
    let library = library();
    let mut sync = ConfigSync::new(1);
    let actions = sync.handle(announced(1, true, 3), NOW);
    let actions = answer_all(&mut sync, &library, actions, 3);
    expect_that!(applied(&actions), none());
    let late = NOW + JOIN_WINDOW;
    let actions = sync.handle(announced(2, false, 5), late - Millis(10));
    // The higher generation is being fetched, so the lower one isn't applied instead.
    expect_that!(applied(&sync.handle(Event::Timer, late)), none());
    let actions = answer_all(&mut sync, &library, actions, 5);
    expect_that!(applied(&actions), none());
    expect_that!(sync.is_ready(), eq(false));
    expect_that!(
        applied(&sync.handle(Event::Timer, late)),
        some(eq(Generation(5)))
    );
    expect_that!(sync.is_ready(), eq(true));
}

#[gtest]
fn a_peer_that_is_gone_does_not_hold_a_start_up() {
    let library = library();
    let mut sync = ConfigSync::new(1);
    let actions = sync.handle(announced(1, true, 3), NOW);
    answer_all(&mut sync, &library, actions, 3);
    sync.handle(announced(2, true, 5), NOW);
    sync.handle(Event::PeerLost(Incarnation(2)), NOW);
    expect_that!(
        applied(&sync.handle(Event::Timer, NOW + JOIN_WINDOW)),
        some(eq(Generation(3)))
    );
}

#[gtest]
fn the_platforms_own_head_needs_no_listening() {
    let library = library();
    let mut sync = ConfigSync::new(1);
    let reads = sync.handle(Event::Watching(true), NOW);
    expect_that!(reads, contains(eq(&Action::ReadHead)));
    let head = library.head(4);
    let parts = vec![];
    for action in sync.handle(Event::Head { head, parts }, NOW) {
        if let Action::ReadPart(digest) = action {
            let bytes = library.parts.get(&digest).cloned();
            sync.handle(Event::Part(digest, bytes), NOW);
        }
    }
    expect_that!(sync.generation(), eq(Generation(4)));
}

#[gtest]
fn a_late_head_takes_nothing_back() {
    let library = library();
    let mut sync = ConfigSync::new(1);
    let parts: Vec<_> = library.parts.values().cloned().collect();
    let head = |generation| Event::Head {
        head: library.head(generation),
        parts: parts.clone(),
    };
    expect_that!(applied(&sync.handle(head(5), NOW)), some(eq(Generation(5))));
    expect_that!(applied(&sync.handle(head(4), NOW)), none());
    expect_that!(applied(&sync.handle(head(5), NOW)), none());
    expect_that!(sync.generation(), eq(Generation(5)));
}

#[gtest]
fn parts_that_were_not_asked_for_are_rejected() {
    let library = library();
    let mut sync = ConfigSync::new(1);
    let actions = sync.handle(announced(1, true, 2), NOW);
    let (peer, ask) = asks(&actions).remove(0);
    let mut answer = library.served(&ask, 2);
    answer.parts = vec![Bytes::from_static(b"{}")];
    let actions = sync.handle(Event::Answer { peer, answer }, NOW);
    expect_that!(
        actions,
        contains(eq(&Action::Reject(Rejected::Digest(Digest::of(b"{}")))))
    );
    let answer = PartAnswer {
        head: Bytes::from_static(b"nonsense"),
        parts: vec![],
    };
    expect_that!(
        sync.handle(Event::Answer { peer, answer }, NOW),
        contains(matches_pattern!(Action::Reject(matches_pattern!(
            Rejected::Head(_)
        ))))
    );
}

#[gtest]
fn near_peers_are_asked_first_and_the_platform_before_far_ones() {
    let library = library();
    let mut sync = ConfigSync::new(1);
    sync.handle(Event::Watching(true), NOW);
    sync.handle(announced(1, false, 4), NOW);
    let head = library.head(4);
    let actions = sync.handle(
        Event::Head {
            head,
            parts: vec![],
        },
        NOW + JOIN_WINDOW,
    );
    // The head was requested from the peer in another data centre, which doesn't answer.
    let actions = [actions, sync.handle(Event::Unanswered(Incarnation(1)), NOW)].concat();
    expect_that!(actions, contains(matches_pattern!(Action::ReadPart(_))));
    let mut near = ConfigSync::new(1);
    near.handle(announced(1, false, 4), NOW);
    let actions = near.handle(Event::Unanswered(Incarnation(1)), NOW);
    expect_that!(asks(&actions), is_empty());
    let actions = near.handle(announced(2, true, 4), NOW);
    expect_that!(asks(&actions)[0].0, eq(Incarnation(2)));
}

/// A message in transit, to the daemon of that index.
struct Message {
    to: usize,
    from: usize,
    body: Body,
}

enum Body {
    Event(Event),
    Ask(PartRequest),
    Read(Action),
}

struct World<'a> {
    library: &'a Library,
    rng: Pcg64Mcg,
    now: Millis,
    published: usize,
    down: bool,
    calm: bool,
    daemons: Vec<ConfigSync>,
    timers: BTreeSet<(Millis, usize)>,
    messages: Vec<Message>,
}

impl World<'_> {
    /// The incarnation of a daemon; a restart keeps it, which is the harder case.
    fn peer(index: usize) -> Incarnation {
        Incarnation(index as u64 + 1)
    }

    fn watches(index: usize) -> bool {
        index < 2
    }

    fn handle(&mut self, to: usize, event: Event) {
        let before = self.daemons[to].generation();
        let actions = self.daemons[to].handle(event, self.now);
        for action in actions {
            match action {
                Action::Apply(config) => {
                    assert!(config.generation > before, "taken back");
                    let pool = &config.pools[&"a".parse().unwrap()];
                    assert_eq!(u64::from(pool.slots), config.generation.0);
                }
                Action::Request { peer, request } => self.messages.push(Message {
                    to: peer.0 as usize - 1,
                    from: to,
                    body: Body::Ask(request),
                }),
                Action::Wait(until) => {
                    self.timers.insert((until, to));
                }
                Action::Reject(rejected) => {
                    // Parts may be received twice; nothing here is damaged.
                    assert!(matches!(rejected, Rejected::Digest(_)), "{rejected}");
                }
                read => {
                    assert!(Self::watches(to), "only watchers read the platform");
                    self.messages.push(Message {
                        to,
                        from: to,
                        body: Body::Read(read),
                    });
                }
            }
        }
    }

    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.messages.len());
        let Message { to, from, body } = self.messages.swap_remove(index);
        let lost = !self.calm && self.rng.random_bool(0.1);
        match body {
            _ if lost && to != from => {}
            Body::Event(event) => self.handle(to, event),
            Body::Ask(ask) => {
                let event = Event::Answer {
                    peer: Self::peer(to),
                    answer: self.daemons[to].serve(&ask),
                };
                self.messages.push(Message {
                    to: from,
                    from: to,
                    body: Body::Event(event),
                });
            }
            Body::Read(read) => {
                let event = self.read(&read, lost);
                self.messages.push(Message {
                    to,
                    from,
                    body: Body::Event(event),
                });
            }
        }
    }

    fn read(&mut self, read: &Action, lost: bool) -> Event {
        let lost = lost || self.down;
        match read {
            Action::ReadPart(digest) if lost => Event::PartFailed(*digest),
            Action::ReadPart(digest) => {
                Event::Part(*digest, self.library.parts.get(digest).cloned())
            }
            _ if lost => Event::HeadFailed,
            _ => Event::Head {
                head: self.library.head(self.published),
                parts: Vec::new(),
            },
        }
    }

    fn announce(&mut self) {
        let from = self.rng.random_range(0..DAEMONS);
        let to = self.rng.random_range(0..DAEMONS);
        if from == to {
            return;
        }
        let event = Event::Announced {
            peer: Self::peer(from),
            local: from % 2 == to % 2,
            generation: self.daemons[from].generation(),
        };
        let body = Body::Event(event);
        self.messages.push(Message { to, from, body });
    }

    fn step(&mut self) {
        self.now += Millis(self.rng.random_range(1..50));
        let due = self.timers.range(..=(self.now, usize::MAX));
        let due: Vec<_> = due.copied().collect();
        for timer in due {
            self.timers.remove(&timer);
            self.handle(timer.1, Event::Timer);
        }
        self.announce();
        for _ in 0..3 {
            self.deliver();
        }
    }

    fn disturb(&mut self) {
        if self.rng.random_bool(0.01) {
            self.down = !self.down;
        }
        if self.rng.random_bool(0.02) && self.published < GENERATIONS as usize {
            self.published += 1;
            for index in (0..DAEMONS).filter(|index| Self::watches(*index)) {
                self.handle(index, Event::HeadChanged);
            }
        }
        if self.rng.random_bool(0.01) {
            let index = self.rng.random_range(0..DAEMONS);
            self.daemons[index] = ConfigSync::new(self.now.0);
            self.handle(index, Event::Watching(Self::watches(index)));
        }
    }
}

#[gtest]
fn every_daemon_comes_to_the_newest_and_none_goes_back() {
    let library = library();
    for seed in 0..SEEDS {
        let mut world = World {
            library: &library,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Millis(1),
            published: 1,
            down: false,
            calm: false,
            daemons: (0..DAEMONS)
                .map(|index| ConfigSync::new(index as u64))
                .collect(),
            timers: BTreeSet::new(),
            messages: Vec::new(),
        };
        for index in 0..DAEMONS {
            world.handle(index, Event::Watching(World::watches(index)));
        }
        for _ in 0..1500 {
            world.disturb();
            world.step();
        }
        world.down = false;
        world.calm = true;
        for _ in 0..1500 {
            world.step();
        }
        let newest = Generation(world.published as u64);
        for daemon in &world.daemons {
            assert_eq!(daemon.generation(), newest, "seed {seed}");
        }
    }
}
