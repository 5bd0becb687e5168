//! Account limits over a fleet: shares by demand, overshoot, loss of the owner.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Demand, Fleet, Outcome};
use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, Incarnation, RequestId};
use medlarrill_core::limits::{
    AccountHash, Action, AllocatorAction, AllocatorEvent, EntryLimiter, Event, Limits,
    ShareAllocator,
};
use medlarrill_core::reason::Reason;
use medlarrill_core::wire::Usage;
use rand::SeedableRng;
use rand_pcg::Pcg32;

const ENTRIES: usize = 9;

fn demand(rate: f64, concurrency: u32, rates: Vec<f64>) -> Demand {
    Demand {
        account: AccountHash(42),
        limits: Limits { rate, concurrency },
        rates,
    }
}

fn only(entry: usize, rate: f64) -> Vec<f64> {
    (0..ENTRIES)
        .map(|index| if index == entry { rate } else { 0.0 })
        .collect()
}

/// Limits, rates, and part of what fits that has to be admitted in a minute.
struct Case {
    name: &'static str,
    rate: f64,
    concurrency: u32,
    rates: Vec<f64>,
    least: f64,
}

fn cases() -> Vec<Case> {
    let case = |name, rate, concurrency, rates, least| Case {
        name,
        rate,
        concurrency,
        rates,
        least,
    };
    vec![
        case("room at every entry", 100.0, 400, vec![5.0; ENTRIES], 1.0),
        case("room at one entry", 100.0, 400, only(3, 45.0), 0.99),
        case("a small account", 3.4, 14, vec![0.19; ENTRIES], 0.85),
        case("one entry over the rate", 100.0, 1000, only(3, 150.0), 0.95),
        case("all over the rate", 100.0, 1000, vec![30.0; ENTRIES], 0.95),
        case(
            "all over the concurrency",
            1000.0,
            100,
            vec![5.0; ENTRIES],
            0.88,
        ),
        case(
            "all over a small concurrency",
            1000.0,
            4,
            vec![0.3; ENTRIES],
            0.6,
        ),
        case("all over a small rate", 1.0, 100, vec![2.0; ENTRIES], 0.8),
    ]
}

/// What may be admitted in a span: the rate, a second and a half of it saved up, and two requests
/// at each entry.
fn rate_bound(rate: f64, span: u64) -> usize {
    (rate * (span as f64 / 1000.0 + 1.5)) as usize + 2 * ENTRIES
}

fn check(outcome: &Outcome, rate: f64, concurrency: u32) {
    expect_that!(outcome.most, le(concurrency));
    for span in [1_000, 10_000, 30_000] {
        expect_that!(outcome.most_in(span), le(rate_bound(rate, span)));
    }
    expect_that!(outcome.empty_after, eq(0));
    expect_that!(outcome.held, le(20));
}

#[gtest]
fn limits_hold_over_all_entries_and_are_used_up() {
    for seed in 1..=3 {
        for case in cases() {
            let mut fleet = Fleet::new(
                ENTRIES,
                vec![demand(case.rate, case.concurrency, case.rates)],
                seed,
            );
            // The owner learns for two seconds what a former one granted.
            fleet.run(5_000);
            fleet.outcomes[0].admitted.clear();
            let before = fleet.outcomes[0].asked;
            fleet.run(65_000);
            let outcome = &fleet.outcomes[0];
            let allowed = case.rate.min(f64::from(case.concurrency) / 4.0) * 60.0;
            let part = outcome.admitted.len() as f64 / allowed.min((outcome.asked - before) as f64);
            println!("{}, seed {seed}: {part:.3} of what fits", case.name);
            check(outcome, case.rate, case.concurrency);
            expect_that!(part, ge(case.least), "{}", case.name);
        }
    }
}

#[gtest]
fn demand_that_moves_to_another_entry_is_served_at_once() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(ENTRIES, vec![demand(100.0, 200, only(0, 40.0))], seed);
        fleet.run(30_000);
        fleet.outcomes[0].refused.clear();
        fleet.set_rates(0, only(5, 40.0), 30_000);
        fleet.run(60_000);
        let outcome = &fleet.outcomes[0];
        check(outcome, 100.0, 200);
        let refused: u64 = outcome.refused.values().sum();
        println!("seed {seed}: {refused} refused of {}", outcome.asked);
        expect_that!(refused, le(outcome.asked / 20));
    }
}

#[gtest]
fn a_surge_over_the_limit_is_refused_by_the_limit_that_it_breaks() {
    let mut fleet = Fleet::new(ENTRIES, vec![demand(5.0, 1000, vec![10.0; ENTRIES])], 1);
    fleet.run(30_000);
    expect_that!(
        fleet.outcomes[0].refused.get(&Reason::AccountRate),
        some(gt(&1000))
    );
    let mut fleet = Fleet::new(ENTRIES, vec![demand(1000.0, 5, vec![10.0; ENTRIES])], 1);
    fleet.run(30_000);
    expect_that!(
        fleet.outcomes[0].refused.get(&Reason::AccountConcurrency),
        some(gt(&1000))
    );
}

#[gtest]
fn entries_without_an_owner_go_to_their_even_part() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(ENTRIES, vec![demand(900.0, 90, vec![10.0; ENTRIES])], seed);
        fleet.mute = true;
        fleet.run(60_000);
        let outcome = &fleet.outcomes[0];
        println!(
            "seed {seed}: most in flight {}, admitted {}",
            outcome.most,
            outcome.admitted.len()
        );
        expect_that!(outcome.most, all!(gt(80), le(90)));
        // A request is held for an answer no longer than a fifth of a second.
        expect_that!(outcome.held, le(200));
    }
}

#[gtest]
fn a_new_owner_does_not_give_what_is_in_use() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(ENTRIES, vec![demand(1000.0, 100, vec![5.0; ENTRIES])], seed);
        fleet.run(30_000);
        let owner = fleet.owner_of(0);
        fleet.set_gone(owner, true, 30_000);
        fleet.run(60_000);
        fleet.set_gone(owner, false, 60_000);
        fleet.run(90_000);
        let most = fleet.outcomes[0].most;
        println!("seed {seed}: most in flight {most}");
        // What the lost daemon had in flight is given to others while the model lets it end.
        expect_that!(most, le(125));
    }
}

#[gtest]
fn only_accounts_in_use_cost_messages() {
    let mut fleet = Fleet::new(ENTRIES, vec![demand(100.0, 400, vec![1.0; ENTRIES])], 1);
    fleet.run(30_000);
    fleet.set_rates(0, vec![0.0; ENTRIES], 30_000);
    fleet.run(80_000);
    let frames = fleet.frames;
    fleet.run(600_000);
    expect_that!(fleet.frames, eq(frames));
    expect_that!(fleet.accounts_held(), eq(0));
}

/// One entry's report of the one account, to an owner among two daemons.
fn report(
    ledger: &mut ShareAllocator,
    from: &str,
    number: u64,
    seen: u64,
    now: u64,
    row: [u32; 3],
) -> Vec<AllocatorAction> {
    let [flights, share, need] = row;
    let usage = Usage {
        number,
        acknowledged: seen,
        accounts: vec![42],
        in_flight: vec![flights],
        rates: vec![100],
        shares: vec![share],
        waiting: vec![need],
        samples: Vec::new(),
    };
    let limits = Limits {
        rate: 100.0,
        concurrency: 10,
    };
    let event = AllocatorEvent::Usage {
        from: from.parse().expect("a name"),
        usage,
    };
    ledger.handle(event, Millis(now), |_| Some(limits))
}

fn share_of(actions: &[AllocatorAction], to: &str) -> Option<u32> {
    let action = actions.iter().find(|action| action.to.as_str() == to);
    action.map(|action| action.grant.shares.first().copied().unwrap_or(0))
}

#[gtest]
fn a_share_is_given_on_only_when_its_holder_has_confirmed_its_loss() {
    let mut ledger = ShareAllocator::new(2, Millis(0));
    let first = report(&mut ledger, "e1", 1, 0, 5_000, [8, 0, 2]);
    expect_that!(share_of(&first, "e1"), some(eq(10)));
    report(&mut ledger, "e1", 2, 1, 6_000, [2, 10, 0]);
    let asked = report(&mut ledger, "e2", 1, 0, 7_000, [0, 0, 8]);
    expect_that!(share_of(&asked, "e2"), none());
    expect_that!(share_of(&asked, "e1"), some(eq(2)));
    let number = asked[0].grant.number;
    let confirmed = report(&mut ledger, "e1", 3, number, 7_001, [2, 2, 0]);
    expect_that!(share_of(&confirmed, "e2"), some(eq(8)));
    expect_that!(ledger.outstanding(AccountHash(42)), eq(10));
}

#[gtest]
fn a_new_owner_honours_former_grants_and_keeps_something_back_at_first() {
    let mut ledger = ShareAllocator::new(2, Millis(0));
    let first = report(&mut ledger, "e1", 1, 0, 100, [0, 0, 10]);
    expect_that!(share_of(&first, "e1"), some(eq(5)));
    let mut ledger = ShareAllocator::new(2, Millis(0));
    report(&mut ledger, "e1", 1, 0, 100, [1, 9, 0]);
    let second = report(&mut ledger, "e2", 1, 0, 101, [0, 0, 10]);
    expect_that!(share_of(&second, "e2"), some(eq(1)));
}

#[gtest]
fn a_large_fleet_comes_back_to_the_limit_after_a_surge() {
    for seed in 1..=3 {
        let size = 48;
        let demands = vec![demand(1000.0, 100, vec![0.3; size])];
        let mut fleet = Fleet::new(size, demands, seed);
        fleet.run(60_000);
        let refused: u64 = fleet.outcomes[0].refused.values().sum();
        expect_that!(refused, eq(0));
        fleet.set_rates(0, vec![1.5; size], 60_000);
        fleet.run(90_000);
        let peak = std::mem::take(&mut fleet.outcomes[0].most);
        fleet.run(180_000);
        let after = fleet.outcomes[0].most;
        println!(
            "seed {seed}: {peak} in flight of 100 at the surge's start, {after} after half a minute"
        );
        expect_that!(peak, le(160));
        expect_that!(after, le(100));
    }
}

fn attempt(number: u32) -> AttemptId {
    AttemptId {
        request: RequestId(7),
        number,
        sender: Incarnation(1),
    }
}

fn outcome_of(actions: &[Action], wanted: AttemptId) -> Option<bool> {
    actions.iter().find_map(|action| match action {
        Action::Admit { id } if *id == wanted => Some(true),
        Action::Refuse { id, .. } if *id == wanted => Some(false),
        _ => None,
    })
}

#[gtest]
fn a_request_admitted_as_if_the_owner_were_lost_since_one_that_waited_was_cancelled() {
    let owner = |_| Some("owner".parse().expect("a name"));
    let mut entry = EntryLimiter::new(9, Pcg32::seed_from_u64(1), Millis(0));
    let acquire = |number: u32| Event::Acquire {
        id: attempt(number),
        account: AccountHash(42),
        limits: Limits {
            rate: 1000.0,
            concurrency: 3,
        },
    };
    let mut ask = |event, at| entry.handle(event, Millis(at), owner);
    let is_held = |number: &u32| {
        let actions = ask(acquire(*number), 1000);
        outcome_of(&actions, attempt(*number)).is_none()
    };
    let waiting = (0..10).find(is_held).expect("a request that waits");
    ask(
        Event::Release {
            id: attempt(waiting),
        },
        1010,
    );
    ask(Event::Tick, 1050);
    let actions = ask(acquire(100), 1110);
    expect_that!(outcome_of(&actions, attempt(100)), none());
}

/// Most requests in flight at daemons that have lost others, of an account with a concurrency of 90.
fn most_in_flight(live: usize, lost: u32) -> u32 {
    let mut fleet = Fleet::new(live, vec![demand(900.0, 90, vec![200.0; live])], 3);
    fleet.lose(lost, 0);
    fleet.run(15_000);
    fleet.outcomes[0].most
}

#[gtest]
fn a_daemon_that_is_cut_off_grants_itself_whole_limits() {
    for (live, lost, allowed) in [(1, 8, 10), (4, 5, 40), (5, 4, 50)] {
        let in_flight = most_in_flight(live, lost);
        expect_that!(in_flight, all!(le(allowed), ge(allowed / 2)), "{live} of 9");
    }
}

#[gtest]
fn a_daemon_that_the_others_have_left_uses_whole_limits() {
    expect_that!(most_in_flight(1, 0), eq(90));
}
