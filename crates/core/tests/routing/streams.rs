//! Which software version began a stream, and where it may go on.

use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::AccountId;
use medlarrill_core::routing::config::RetryPolicy;
use medlarrill_core::routing::endpoint::{Build, Endpoint};
use medlarrill_core::routing::plan::{Refusal, RetryPlan};
use medlarrill_core::routing::revision::Era;
use medlarrill_core::routing::streams::archive::{Archive, ArchivedBuilds, builds_to_keep};
use medlarrill_core::routing::streams::begun::BegunStreams;
use medlarrill_core::routing::streams::history::{BuildEvidence, BuildHistory, RecentBuild};
use medlarrill_core::routing::streams::holders::Holders;
use medlarrill_core::routing::streams::lookup::{
    Doubt, Knowledge, LookupError, Place, Reply, told_origin,
};
use medlarrill_core::routing::streams::memory::StreamMemory;
use medlarrill_core::routing::streams::message::{Answer, Began, Message, Question};
use medlarrill_core::routing::streams::{Origin, PoolHash, StreamKey};
use medlarrill_core::routing::view::View;

use super::support::{endpoint, id, pool, prefix, route, started_at, view};

fn origin(build: &str) -> Origin {
    Origin::new(&pool(), &build.into())
}

fn place(build: &str) -> Place {
    Place {
        pool: pool(),
        build: build.into(),
    }
}

fn of_build(name: &str, build: &str) -> Endpoint {
    Endpoint {
        build: build.into(),
        ..endpoint(name)
    }
}

fn plan() -> RetryPlan {
    RetryPlan::new(&route(RetryPolicy::Resume, 3), Millis(60_000))
}

fn bound_plan(build: &str) -> RetryPlan {
    let mut plan = plan();
    plan.bind(build.into());
    plan
}

fn recent(build: &str) -> RecentBuild {
    RecentBuild::new(&pool(), &build.into())
}

fn evidence(is_complete: bool, builds: &[&str]) -> BuildEvidence {
    BuildEvidence {
        is_complete,
        recent: builds.iter().map(|build| recent(build)).collect(),
    }
}

#[gtest]
fn the_key_of_a_stream_depends_on_account_host_path_and_attempt() {
    let account = |name: &str| -> AccountId { name.parse().expect("a name") };
    let (a, b) = (account("a"), account("b"));
    let key = StreamKey::new(Some(&a), "h", "/p/", "1");
    expect_that!(key, eq(StreamKey::new(Some(&a), "h", "/p/", "1")));
    for other in [
        StreamKey::new(Some(&b), "h", "/p/", "1"),
        StreamKey::new(None, "h", "/p/", "1"),
        StreamKey::new(Some(&a), "i", "/p/", "1"),
        StreamKey::new(Some(&a), "h", "/q/", "1"),
        StreamKey::new(Some(&a), "h", "/p/", "2"),
        StreamKey::new(Some(&a), "h", "/p", "/1"),
    ] {
        expect_that!(key, not(eq(other)));
    }
}

#[gtest]
fn a_stream_is_remembered_for_a_minute_after_it_was_last_recorded() {
    let mut memory = StreamMemory::default();
    memory.record(StreamKey(1), origin("v1"), Millis(0));
    memory.record(StreamKey(2), origin("v2"), Millis(0));
    memory.record(StreamKey(1), origin("v1"), Millis(30_000));
    let at = Millis(70_000);
    expect_that!(memory.get(StreamKey(1), at), some(some(eq(origin("v1")))));
    expect_that!(memory.get(StreamKey(2), at), none());
    memory.record(StreamKey(3), origin("v1"), at);
    expect_that!(memory.len(), eq(2));
}

#[gtest]
fn what_others_kept_of_a_stream_does_not_prolong_its_record() {
    let mut memory = StreamMemory::default();
    memory.record(StreamKey(1), origin("v1"), Millis(0));
    memory.learn(StreamKey(1), origin("v1"), Millis(30_000));
    memory.learn(StreamKey(2), origin("v1"), Millis(30_000));
    expect_that!(memory.get(StreamKey(1), Millis(60_000)), none());
    expect_that!(memory.get(StreamKey(2), Millis(60_000)), some(anything()));
    memory.learn(StreamKey(2), origin("v2"), Millis(30_000));
    expect_that!(memory.get(StreamKey(2), Millis(30_000)), some(none()));
}

#[gtest]
fn a_stream_with_two_origins_is_ambiguous() {
    let mut memory = StreamMemory::default();
    for build in ["v1", "v2", "v1"] {
        memory.record(StreamKey(1), origin(build), Millis(0));
    }
    expect_that!(memory.get(StreamKey(1), Millis(0)), some(none()));
}

#[gtest]
fn the_memory_is_bounded() {
    let mut memory = StreamMemory::default();
    for number in 0..150_000 {
        memory.record(StreamKey(number), origin("v1"), Millis(number / 100));
    }
    expect_that!(memory.len(), le(100_000));
    expect_that!(
        memory.get(StreamKey(149_999), Millis(1500)),
        some(anything())
    );
}

#[gtest]
fn daemons_that_know_most_of_the_same_others_ask_whom_they_told() {
    let daemon = |number: u16| ([127, 0, 0, 1], number).into();
    // Each leaves itself out, and one doesn't know a few others.
    let teller = Holders::new((1..1000).map(daemon));
    let asker = Holders::new((0..1000).filter(|n| *n != 500 && n % 50 != 7).map(daemon));
    let keys = (0..1000).map(StreamKey);
    let misses = keys.filter(|key| {
        let asked = asker.asked(*key);
        let told = teller.told(*key);
        assert_that!(told.len(), eq(3));
        !told.iter().any(|daemon| asked.contains(daemon))
    });
    expect_that!(misses.count(), le(1));
}

/// Guards against streams of which nobody is told, since they began before another daemon was heard of.
#[gtest]
fn daemons_are_told_of_the_streams_that_began_before_they_were_heard_of() {
    let daemon = |number: u16| ([127, 0, 0, 1], number).into();
    let streams = || (0..100).map(|number| (StreamKey(number), origin("v1")));
    for is_large in [false, true] {
        let mut begun = BegunStreams::default();
        for (key, origin) in streams() {
            begun.record(key, origin, &[], Millis(100));
        }
        let first = |_| vec![daemon(1)];
        let untold = begun.take_untold(first, is_large, Millis(200));
        let all: Vec<_> = streams().map(|(key, v1)| (daemon(1), key, v1)).collect();
        expect_that!(untold, eq(&all));
        expect_that!(begun.take_untold(first, is_large, Millis(300)), is_empty());
        // Others that are heard of later than the first one.
        let both = |_| vec![daemon(1), daemon(2)];
        let untold = begun.take_untold(both, is_large, Millis(400));
        expect_that!(untold.len(), eq(if is_large { 0 } else { 100 }));
        expect_that!(untold.iter().all(|(to, ..)| *to == daemon(2)), eq(true));
        // Streams that have ended.
        let third = |_| vec![daemon(3)];
        expect_that!(
            begun.take_untold(third, is_large, Millis(20_100)),
            is_empty()
        );
    }
}

#[gtest]
fn the_streams_to_tell_later_are_bounded() {
    let daemon = ([127, 0, 0, 1], 1).into();
    let mut begun = BegunStreams::default();
    for number in 0..10_000 {
        begun.record(StreamKey(number), origin("v1"), &[], Millis(number / 100));
    }
    let untold = begun.take_untold(|_| vec![daemon], false, Millis(100));
    expect_that!(untold.len(), le(4096));
    let last = (daemon, StreamKey(9999), origin("v1"));
    expect_that!(untold.last(), some(eq(&last)));
}

/// Guards against streams of which only daemons are told that ended long ago.
#[gtest]
fn daemons_that_were_heard_of_are_told_before_those_that_are_only_listed() {
    let daemon = |number: u16| ([127, 0, 0, 1], number).into();
    let mut holders = Holders::new((1..9).map(daemon));
    holders.set((1..9).map(daemon), (100..200).map(daemon));
    for key in (0..100).map(StreamKey) {
        let told = holders.told(key);
        expect_that!(told.len(), eq(3));
        expect_that!(told.iter().all(|daemon| holders.is_heard(daemon)), eq(true));
        // Some of those that are listed may have started just now, or are out of reach.
        let asked = holders.asked(key);
        expect_that!(asked.len(), eq(6));
        expect_that!(told.iter().all(|daemon| asked.contains(daemon)), eq(true));
    }
    // A daemon that has just started has heard of few others.
    holders.set([daemon(1)], (100..200).map(daemon));
    expect_that!(holders.told(StreamKey(0)).len(), eq(3));
    expect_that!(holders.asked(StreamKey(0)).len(), eq(4));
}

#[gtest]
fn messages_are_read_as_they_were_written() {
    let streams = [(StreamKey(1), origin("v1")), (StreamKey(2), origin("v2"))];
    let messages = [
        Message::Began(Began::new(&streams)),
        Message::Question(Question::new(7, StreamKey(1))),
        Message::Answer(Answer::new(7, Reply::Known(origin("v1")))),
        Message::Answer(Answer::new(7, Reply::Ambiguous)),
        Message::Answer(Answer::new(
            7,
            Reply::Unknown(evidence(true, &["v1", "v2"])),
        )),
    ];
    for message in messages {
        let read = Message::decode(&message.clone().encode()).expect("a message");
        expect_that!(read, some(eq(&message)));
        if let Message::Answer(answer) = &message {
            let again = Answer::new(answer.token, answer.reply());
            expect_that!(again, eq(answer));
        }
    }
}

#[gtest]
fn daemons_that_do_not_know_these_messages_ignore_them() {
    use medlarrill_core::routing::exchange::Message as OfExchange;
    let message = Message::Began(Began::new(&[(StreamKey(1), origin("v1"))]));
    let read = OfExchange::decode(&message.encode()).expect("a datagram");
    expect_that!(read.is_none(), eq(true));
}

#[gtest]
fn replies_that_contradict_each_other_tell_no_origin() {
    let unknown = Reply::Unknown(evidence(true, &["v1"]));
    let known = |build| Reply::Known(origin(build));
    expect_that!(told_origin(std::slice::from_ref(&unknown)), ok(none()));
    expect_that!(
        told_origin(&[unknown.clone(), known("v1"), known("v1")]),
        ok(some(eq(origin("v1"))))
    );
    for replies in [[known("v1"), known("v2")], [known("v1"), Reply::Ambiguous]] {
        expect_that!(told_origin(&replies), err(eq(LookupError::Ambiguous)));
    }
}

/// What is known of a stream: the versions that are listed, what the daemon saw itself, what the
/// platform kept, and what others answered.
fn single(
    listed: &[&str],
    own: BuildEvidence,
    archived: Option<BuildEvidence>,
    replies: &[BuildEvidence],
) -> std::result::Result<Place, Doubt> {
    let replies: Vec<Reply> = replies.iter().cloned().map(Reply::Unknown).collect();
    let knowledge = Knowledge {
        places: listed.iter().map(|build| place(build)).collect(),
        pools: vec![PoolHash::from(&pool())],
        own,
        archived,
        replies: &replies,
        is_current: true,
        joins_others: true,
    };
    knowledge.single_place()
}

#[gtest]
fn a_single_version_is_certain_only_if_someone_would_know_of_others() {
    let own = || evidence(true, &["v1"]);
    let young = || evidence(false, &["v1"]);
    expect_that!(single(&["v1"], own(), None, &[]), ok(eq(&place("v1"))));
    let both = evidence(true, &["v1", "v2"]);
    expect_that!(
        single(&["v1", "v2"], both.clone(), None, &[]),
        err(eq(&Doubt::Several))
    );
    expect_that!(single(&[], own(), None, &[]), err(eq(&Doubt::Unlisted)));
    let with_reply = |own, reply| single(&["v1"], own, None, &[reply]);
    expect_that!(
        single(&["v1"], young(), None, &[]),
        err(eq(&Doubt::Incomplete))
    );
    expect_that!(with_reply(young(), young()), err(eq(&Doubt::Incomplete)));
    expect_that!(with_reply(young(), own()), ok(anything()));
    // Another daemon has seen a version that this one hasn't.
    expect_that!(with_reply(young(), both), err(eq(&Doubt::Unseen)));
    let other = evidence(false, &["v2"]);
    expect_that!(with_reply(own(), other), err(eq(&Doubt::Unseen)));
}

/// Guards against streams that go on at the version that replaced theirs while all daemons were down:
/// what the platform kept names one that isn't listed any more.
#[gtest]
fn a_version_that_only_the_platform_kept_may_have_begun_the_stream() {
    let young = || evidence(false, &["v2"]);
    let kept = |builds: &[&str]| Some(evidence(true, builds));
    let by_kept = |builds: &[&str]| single(&["v2"], young(), kept(builds), &[]);
    expect_that!(by_kept(&["v1"]), err(anything()));
    expect_that!(by_kept(&["v1", "v2"]), err(eq(&Doubt::Unseen)));
    expect_that!(by_kept(&["v2"]), ok(eq(&place("v2"))));
    // It was written before any version of the pool was listed.
    expect_that!(by_kept(&[]), err(eq(&Doubt::Incomplete)));
    // Other young daemons have read the same.
    let replies = [evidence(false, &["v2", "v1"])];
    expect_that!(
        single(&["v2"], young(), kept(&["v1"]), &replies),
        err(anything())
    );
    let replies = [evidence(true, &["v2", "v1"])];
    expect_that!(
        single(&["v2"], young(), None, &replies),
        err(eq(&Doubt::Unseen))
    );
}

/// Guards against conclusions from a list that may be older than the stream, and against others of a
/// daemon that waits for it in vain.
#[gtest]
fn a_single_version_is_certain_only_by_a_list_that_was_read_since_the_request_came() {
    let (long, young) = (evidence(true, &["v1"]), evidence(false, &["v1"]));
    let other = evidence(true, &["v1", "v2"]);
    let single = |listed: &[&str], own: &BuildEvidence, others: &[&BuildEvidence], is_current| {
        let others = others.iter().copied().cloned();
        let replies: Vec<Reply> = others.map(Reply::Unknown).collect();
        let knowledge = Knowledge {
            places: listed.iter().map(|build| place(build)).collect(),
            pools: vec![PoolHash::from(&pool())],
            own: own.clone(),
            archived: Some(long.clone()),
            replies: &replies,
            is_current,
            joins_others: true,
        };
        knowledge.single_place()
    };
    // The last daemon that is left has a current list.
    expect_that!(single(&["v1"], &long, &[], true), ok(eq(&place("v1"))));
    for others in [&[][..], &[&long], &[&young]] {
        let outdated = single(&["v1"], &long, others, false);
        expect_that!(outdated, err(eq(&Doubt::Outdated)));
    }
    // A newer list would not make it certain.
    let several = single(&["v1", "v2"], &long, &[], false);
    expect_that!(several, err(eq(&Doubt::Several)));
    expect_that!(
        single(&["v1"], &long, &[&other], false),
        err(eq(&Doubt::Unseen))
    );
}

/// Guards against versions that came and left between the last list of others and the first one here.
#[gtest]
fn others_are_believed_only_by_a_daemon_whose_list_reaches_back_to_theirs() {
    let replies = [Reply::Unknown(evidence(true, &["v1"]))];
    let single = |joins_others| Knowledge {
        places: vec![place("v1")],
        pools: vec![PoolHash::from(&pool())],
        own: evidence(false, &["v1"]),
        archived: None,
        replies: &replies,
        is_current: true,
        joins_others,
    };
    expect_that!(single(true).single_place(), ok(anything()));
    expect_that!(single(false).single_place(), err(eq(&Doubt::Incomplete)));
    let mut history = BuildHistory::default();
    expect_that!(history.joins_others(Millis(9000)), eq(false));
    history.record_listed(&pool(), &"v1".into(), Millis(1000));
    // Another list, just as old, may have been read before this one.
    expect_that!(history.joins_others(Millis(4000)), eq(false));
    expect_that!(history.joins_others(Millis(4001)), eq(true));
}

/// Guards against versions that came and left unseen.
#[gtest]
fn a_process_that_missed_changes_of_the_list_is_certain_of_nothing_for_a_while() {
    for is_first in [false, true] {
        let mut history = BuildHistory::default();
        if is_first {
            history.set_first();
        }
        history.record_listed(&pool(), &"v1".into(), Millis(0));
        history.record_kept(&[], Millis(0));
        let mut archived = ArchivedBuilds::default();
        archived.record([recent("v1")], Millis(30_000));
        let is_complete = |history: &BuildHistory, archived: &ArchivedBuilds| {
            let kept = archived.evidence(history.archive_from(), Millis(35_000));
            kept.expect("was read").is_complete
        };
        expect_that!(is_complete(&history, &archived), eq(true));
        history.record_gap(Millis(30_001));
        // What was read before doesn't tell what was missed.
        expect_that!(is_complete(&history, &archived), eq(false));
        // Its writer's list may lag behind.
        for (at, expected) in [(34_000, false), (34_001, true)] {
            archived.record([recent("v1")], Millis(at));
            expect_that!(is_complete(&history, &archived), eq(expected));
        }
        expect_that!(history.evidence(Millis(50_000)).is_complete, eq(false));
        expect_that!(history.evidence(Millis(50_001)).is_complete, eq(true));
    }
}

/// Guards against refusals of streams of one pool while another pool is replaced.
#[gtest]
fn versions_of_other_pools_do_not_matter() {
    let other = RecentBuild::new(&"other".parse().expect("a name"), &"w1".into());
    let kept = evidence(true, &["v1"]).with_recent(&[other]);
    let young = || evidence(false, &["v1"]);
    expect_that!(
        single(&["v1"], young(), Some(kept.clone()), &[]),
        ok(anything())
    );
    expect_that!(single(&["v1"], young(), None, &[kept]), ok(anything()));
    // A daemon of an earlier build doesn't say of which pool it is.
    let other = RecentBuild::of_any_pool(other.origin);
    let kept = evidence(true, &["v1"]).with_recent(&[other]);
    expect_that!(
        single(&["v1"], young(), Some(kept), &[]),
        err(eq(&Doubt::Unseen))
    );
}

#[gtest]
fn a_daemon_keeps_what_was_kept_until_it_has_seen_all_itself() {
    let kept = || Some(evidence(true, &["v1"]));
    expect_that!(
        builds_to_keep(evidence(true, &["v2"]), kept()),
        eq(&evidence(true, &["v2"]))
    );
    expect_that!(
        builds_to_keep(evidence(false, &["v2"]), kept()),
        eq(&evidence(true, &["v2", "v1"]))
    );
    expect_that!(
        builds_to_keep(evidence(false, &["v2"]), None),
        eq(&evidence(false, &["v2"]))
    );
}

/// Guards against an archive that proves what it has never known: another version of a pool may have
/// served after it was written, and left since.
#[gtest]
fn of_a_pool_that_the_archive_lacks_nothing_is_certain() {
    let other = RecentBuild::new(&"other".parse().expect("a name"), &"w1".into());
    let archived = BuildEvidence {
        is_complete: true,
        recent: vec![other],
    };
    let seen = evidence(false, &["v2"]).with_recent(&[other]);
    let kept = builds_to_keep(seen.clone(), Some(archived));
    expect_that!(kept.is_complete, eq(true));
    expect_that!(
        single(&["v2"], seen, Some(kept), &[]),
        err(eq(&Doubt::Unseen))
    );
}

#[gtest]
fn an_archive_is_outdated_once_the_store_went_back_to_a_copy() {
    let archive = || Archive::new([recent("v1")], []);
    let of_third = || archive().with_era(Some(Era(3)));
    expect_that!(of_third().is_outdated(Some(Era(3))), eq(false));
    // A daemon that saw the store built anew before counts eras apart, but the store doesn't.
    let rebuilt = Era(9).rebuilt(Era(3));
    expect_that!(of_third().is_outdated(Some(rebuilt)), eq(false));
    expect_that!(of_third().is_outdated(Some(Era(4))), eq(true));
    expect_that!(of_third().is_outdated(None), eq(true));
    // An earlier build names no era.
    expect_that!(archive().is_outdated(Some(Era(4))), eq(false));
}

#[gtest]
fn a_tail_says_nothing_of_versions_once_the_archive_was_written_again() {
    let archive = Archive::new([recent("v1")], []);
    expect_that!(archive.is_in_force(Some(7.into())), eq(true));
    let tail = archive.with_after(7.into());
    expect_that!(tail.is_in_force(Some(7.into())), eq(true));
    expect_that!(tail.is_in_force(Some(8.into())), eq(false));
    expect_that!(tail.is_in_force(None), eq(false));
}

#[gtest]
fn a_complete_archive_replaces_what_was_read_before_and_another_one_adds_to_it() {
    let mut archived = ArchivedBuilds::default();
    expect_that!(archived.evidence(None, Millis(0)), none());
    archived.record([], Millis(0));
    let none_kept = evidence(false, &[]);
    expect_that!(archived.evidence(None, Millis(0)), some(eq(&none_kept)));
    archived.record([recent("v1")], Millis(0));
    let read =
        |archived: &ArchivedBuilds, at| archived.evidence(None, Millis(at)).expect("was read");
    expect_that!(read(&archived, 0), eq(&evidence(true, &["v1"])));
    archived.record([recent("v2"), RecentBuild::UNKNOWN], Millis(1000));
    let both = read(&archived, 1000);
    expect_that!(both.is_complete, eq(false));
    expect_that!(
        both.recent,
        unordered_elements_are![eq(&recent("v1")), eq(&recent("v2"))]
    );
    expect_that!(read(&archived, 20_000), eq(&evidence(false, &["v2"])));
    archived.record([recent("v3")], Millis(20_500));
    expect_that!(read(&archived, 20_500), eq(&evidence(true, &["v3"])));
}

#[gtest]
fn a_version_counts_for_the_lifetime_of_a_stream_after_it_has_left() {
    let mut history = BuildHistory::default();
    let (v1, v2) = (Build::from("v1"), Build::from("v2"));
    history.record_listed(&pool(), &v1, Millis(0));
    history.record_listed(&pool(), &v2, Millis(10_000));
    history.record_unlisted(&pool(), &v1);
    history.review(Millis(11_000));
    let recent = |history: &BuildHistory, at| history.recent(&pool(), at).count();
    expect_that!(recent(&history, Millis(30_000)), eq(2));
    expect_that!(recent(&history, Millis(31_000)), eq(1));
    // It serves again.
    history.record_listed(&pool(), &v1, Millis(30_000));
    history.review(Millis(31_000));
    expect_that!(recent(&history, Millis(60_000)), eq(2));
}

#[gtest]
fn a_process_is_certain_of_what_served_before_only_after_a_while_or_at_the_first_start() {
    let mut history = BuildHistory::default();
    expect_that!(history.evidence(Millis(0)).is_complete, eq(false));
    history.record_listed(&pool(), &"v1".into(), Millis(1000));
    expect_that!(history.evidence(Millis(20_000)).is_complete, eq(false));
    expect_that!(history.evidence(Millis(21_000)).is_complete, eq(true));
    let mut first = BuildHistory::default();
    first.set_first();
    expect_that!(first.evidence(Millis(0)).is_complete, eq(false));
    first.record_listed(&pool(), &"v1".into(), Millis(1000));
    // The settings say the same after a restart.
    expect_that!(first.evidence(Millis(1000)).is_complete, eq(false));
    let unseen = [recent("v2"), RecentBuild::UNKNOWN];
    let kept = [(&[][..], true), (&[recent("v1")], true)];
    let contradicting = unseen
        .iter()
        .map(|kept| (std::slice::from_ref(kept), false));
    for (kept, expected) in kept.into_iter().chain(contradicting) {
        let mut first = first.clone();
        first.record_kept(kept, Millis(1000));
        expect_that!(first.evidence(Millis(1000)).is_complete, eq(expected));
        // Once it is known to have begun earlier, nothing takes that back.
        first.record_kept(&[], Millis(1000));
        expect_that!(first.evidence(Millis(1000)).is_complete, eq(expected));
    }
}

/// A view with endpoints of two versions, listed at once.
fn two_versions() -> View {
    let mut view = view("near", 1);
    for number in 0..4 {
        view.upsert(of_build(&format!("a{number}"), "v1"), Millis(0));
        view.upsert(of_build(&format!("b{number}"), "v2"), Millis(0));
    }
    view
}

#[gtest]
fn a_stream_that_has_begun_is_sent_only_to_its_version() {
    let mut view = two_versions();
    for build in ["v1", "v2"] {
        for number in 0..100 {
            for shared in [None, Some(prefix(number))] {
                let plan = bound_plan(build);
                let choice = view.choose(&pool(), shared.as_ref(), &plan, Millis(10));
                let choice = choice.expect("a choice");
                expect_that!(choice.endpoint.build.as_str(), eq(build));
                view.end(&choice.endpoint.id);
            }
        }
    }
}

#[gtest]
fn a_stream_whose_version_has_no_endpoint_left_is_not_sent() {
    let mut view = two_versions();
    let gone = bound_plan("v3");
    let choice = view.choose(&pool(), None, &gone, Millis(10));
    expect_that!(choice.is_err(), eq(true));
    expect_that!(gone.refusal(false), eq(Refusal::NotResumable));
    let bound = bound_plan("v1");
    for number in 1..4 {
        view.remove(&id(&format!("a{number}")).endpoint);
    }
    expect_that!(
        view.has_other(&pool(), &bound, &id("a0"), Millis(10)),
        eq(false)
    );
    expect_that!(
        view.has_other(&pool(), &plan(), &id("a0"), Millis(10)),
        eq(true)
    );
}

#[gtest]
fn cached_prefixes_are_fetched_only_from_endpoints_of_the_same_version() {
    let mut view = two_versions();
    for number in 0..200 {
        // The first choice leaves a trace of the prefix, the second one is bound elsewhere.
        let prefix = prefix(number);
        for build in ["v1", "v2", "v1"] {
            let plan = bound_plan(build);
            let choice = view.choose(&pool(), Some(&prefix), &plan, Millis(10));
            let choice = choice.expect("a choice");
            if let Some(source) = &choice.source {
                expect_that!(source.build, eq(&choice.endpoint.build));
            }
        }
    }
}

#[gtest]
fn no_stream_begins_at_a_new_version_for_some_seconds() {
    let mut view = view("near", 1);
    for number in 0..9 {
        view.upsert(of_build(&format!("a{number}"), "v1"), Millis(0));
    }
    view.upsert(of_build("b0", "v2"), Millis(30_000));
    let begins_at = |view: &mut View, at| {
        let mut count = 0;
        for _ in 0..200 {
            let choice = view.choose(&pool(), None, &plan(), at).expect("a choice");
            count += usize::from(choice.endpoint.build.as_str() == "v2");
            view.end(&choice.endpoint.id);
        }
        count
    };
    expect_that!(begins_at(&mut view, Millis(33_000)), eq(0));
    expect_that!(begins_at(&mut view, Millis(34_100)), gt(0));
}

#[gtest]
fn new_versions_serve_at_once_where_few_other_endpoints_are_left() {
    let mut view = view("near", 1);
    view.upsert(of_build("a0", "v1"), Millis(0));
    view.upsert(of_build("b0", "v2"), Millis(30_000));
    view.upsert(of_build("b1", "v2"), Millis(30_000));
    let mut builds = Vec::new();
    for _ in 0..200 {
        let choice = view.choose(&pool(), None, &plan(), Millis(30_100));
        builds.push(choice.expect("a choice").endpoint.build.clone());
    }
    expect_that!(builds, contains(eq(&Build::from("v2"))));
}

#[gtest]
fn the_version_of_an_endpoint_follows_its_entry() {
    let mut view = view("near", 1);
    view.upsert(of_build("a0", "v1"), Millis(0));
    view.upsert(of_build("a0", "v2"), Millis(30_000));
    let choice = view.choose(&pool(), None, &bound_plan("v1"), Millis(30_100));
    expect_that!(choice.is_err(), eq(true));
    expect_that!(view.is_served(&place("v2")), eq(true));
    expect_that!(view.is_served(&place("v1")), eq(false));
}

#[gtest]
fn an_endpoint_whose_connections_were_lost_may_be_another_process_under_its_id() {
    let mut view = view("near", 1);
    let listed = |name: &str, at| Endpoint {
        id: started_at(name, at),
        ..of_build(name, "v1")
    };
    view.upsert(listed("a0", 1), Millis(0));
    view.upsert(listed("a1", 1), Millis(0));
    view.doubt(&started_at("a0", 1), Millis(30_000));
    let chosen = |view: &mut View, plan: &RetryPlan, at| {
        let mut names = Vec::new();
        for _ in 0..100 {
            let choice = view.choose(&pool(), None, plan, at).expect("a choice");
            names.push(choice.endpoint.id.endpoint.to_string());
            view.end(&choice.endpoint.id);
        }
        names
    };
    for plan in [plan(), bound_plan("v1")] {
        let names = chosen(&mut view, &plan, Millis(31_000));
        expect_that!(names, each(eq("a1")));
        let names = chosen(&mut view, &plan, Millis(33_100));
        expect_that!(names, contains(eq("a0")));
    }
    // A stream that begins goes there if there is no other; one that has begun doesn't.
    view.doubt(&started_at("a0", 1), Millis(40_000));
    view.remove(&id("a1").endpoint);
    let at = Millis(40_100);
    expect_that!(view.choose(&pool(), None, &plan(), at).is_ok(), eq(true));
    let bound = bound_plan("v1");
    expect_that!(view.choose(&pool(), None, &bound, at).is_err(), eq(true));
    // It is listed anew, as another version.
    let next = Endpoint {
        build: "v2".into(),
        ..listed("a0", 2)
    };
    view.upsert(next, Millis(40_200));
    let at = Millis(40_300);
    let bound = bound_plan("v2");
    expect_that!(view.choose(&pool(), None, &bound, at).is_ok(), eq(true));
}

#[gtest]
fn nothing_is_concluded_from_an_archive_that_other_versions_may_be_missing_from() {
    let young = || evidence(false, &["v1"]);
    let after = |read: &[RecentBuild]| {
        let mut archived = ArchivedBuilds::default();
        archived.record(read.iter().copied(), Millis(0));
        single(&["v1"], young(), archived.evidence(None, Millis(0)), &[])
    };
    expect_that!(after(&[recent("v1")]), ok(anything()));
    expect_that!(
        after(&[recent("v1"), RecentBuild::UNKNOWN]),
        err(eq(&Doubt::Incomplete))
    );
    // Daemons that have read such an archive may answer so.
    let reply = evidence(false, &["v1"]).with_recent(&[RecentBuild::UNKNOWN]);
    let own = evidence(true, &["v1"]);
    expect_that!(single(&["v1"], own, None, &[reply]), err(anything()));
}
