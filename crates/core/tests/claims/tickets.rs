//! Tickets: once, and only by the process that issued them.

use bytes::Bytes;
use googletest::prelude::*;
use medlarrill_core::claims::{
    CachedAnswer, Digest, Redemption, RunOutcome, ShutdownRecord, Ticket, TicketAction,
    TicketEvent, TicketHolder, TicketLimits, Tickets,
};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{Incarnation, RequestId};
use medlarrill_core::outcome::Outcome;
use medlarrill_core::reason::Reason;

use crate::bench::{WALL, member};

const NOW: Millis = Millis::from_secs(1);

fn holder(account: &str) -> TicketHolder {
    TicketHolder {
        institution: "padkos".parse().expect("a name"),
        account: account.parse().expect("a name"),
    }
}

fn issue(tickets: &mut Tickets) -> Ticket {
    let event = TicketEvent::Issue {
        request: RequestId(1),
        holder: holder("school"),
        wall: WALL,
    };
    match tickets.handle(event, NOW) {
        Some(TicketAction::Issued { ticket, .. }) => ticket,
        other => panic!("no ticket: {other:?}"),
    }
}

fn redeem(tickets: &mut Tickets, ticket: &Ticket, request: u128, now: Millis) -> TicketAction {
    let redemption = Redemption {
        request: RequestId(request),
        ticket: ticket.clone(),
        holder: holder("school"),
        digest: Digest::of("POST", "/book", b"one"),
    };
    tickets
        .handle(TicketEvent::Redeem(redemption), now)
        .expect("an action")
}

fn end(tickets: &mut Tickets, request: u128, end: RunOutcome) {
    let request = RequestId(request);
    tickets.handle(TicketEvent::Ended { request, end }, NOW);
}

fn dispatch(request: u128) -> TicketAction {
    let request = RequestId(request);
    TicketAction::Dispatch { request }
}

fn refuse(request: u128, reason: Reason) -> TicketAction {
    let request = RequestId(request);
    TicketAction::Refuse { request, reason }
}

#[gtest]
fn ticket_runs_once() {
    let mut tickets = Tickets::new(member(0));
    let ticket = issue(&mut tickets);
    expect_that!(ticket.to_string().parse::<Ticket>(), ok(eq(&ticket)));
    expect_that!(redeem(&mut tickets, &ticket, 2, NOW), eq(&dispatch(2)));
    let second = redeem(&mut tickets, &ticket, 3, NOW);
    expect_that!(second, eq(&refuse(3, Reason::KeyRunning)));
    let answer = CachedAnswer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(b"done"),
    };
    end(&mut tickets, 2, RunOutcome::Ran(Some(answer.clone())));
    let request = RequestId(4);
    let replay = TicketAction::Replay { request, answer };
    expect_that!(redeem(&mut tickets, &ticket, 4, NOW), eq(&replay));
}

#[gtest]
fn ticket_that_was_not_sent_may_be_used_again() {
    let mut tickets = Tickets::new(member(0));
    let ticket = issue(&mut tickets);
    redeem(&mut tickets, &ticket, 2, NOW);
    end(&mut tickets, 2, RunOutcome::NotRun);
    expect_that!(redeem(&mut tickets, &ticket, 3, NOW), eq(&dispatch(3)));
    end(&mut tickets, 3, RunOutcome::Unknown);
    let after = redeem(&mut tickets, &ticket, 4, NOW);
    expect_that!(after, eq(&refuse(4, Reason::KeyUnknown)));
}

#[gtest]
fn other_processes_and_accounts_cannot_use_a_ticket() {
    let mut first = Tickets::new(member(0));
    let ticket = issue(&mut first);
    let mut second = Tickets::new(member(1));
    issue(&mut second);
    let elsewhere = redeem(&mut second, &ticket, 2, NOW);
    expect_that!(elsewhere, eq(&refuse(2, Reason::TicketUnknown)));
    let redemption = Redemption {
        request: RequestId(3),
        ticket: ticket.clone(),
        holder: holder("church"),
        digest: Digest::of("POST", "/book", b"one"),
    };
    let foreign = first.handle(TicketEvent::Redeem(redemption.clone()), NOW);
    expect_that!(foreign, some(eq(&refuse(3, Reason::Forbidden))));
    redeem(&mut first, &ticket, 4, NOW);
    let other = Redemption {
        holder: holder("school"),
        digest: Digest::of("POST", "/book", b"two"),
        ..redemption
    };
    let reused = first.handle(TicketEvent::Redeem(other), NOW);
    expect_that!(reused, some(eq(&refuse(3, Reason::KeyReused))));
}

#[gtest]
fn expired_ticket_is_not_run_only_if_it_was_not_used() {
    let mut tickets = Tickets::new(member(0));
    let used = issue(&mut tickets);
    let unused = issue(&mut tickets);
    redeem(&mut tickets, &used, 2, NOW);
    end(&mut tickets, 2, RunOutcome::Ran(None));
    let limits = TicketLimits::default();
    let expired = NOW + limits.lifetime;
    let refused = redeem(&mut tickets, &unused, 3, expired);
    expect_that!(refused, eq(&refuse(3, Reason::TicketExpired)));
    let ran = redeem(&mut tickets, &used, 4, expired);
    expect_that!(ran, eq(&refuse(4, Reason::KeyRan)));
    let forgotten = redeem(&mut tickets, &used, 5, NOW + limits.retention);
    expect_that!(forgotten, eq(&refuse(5, Reason::TicketUnknown)));
    expect_that!(tickets.is_empty(), eq(true));
}

#[gtest]
fn tickets_of_an_account_are_bounded() {
    let limits = TicketLimits {
        max_unused: 2,
        ..TicketLimits::default()
    };
    let mut tickets = Tickets::new(member(0)).with_limits(limits);
    issue(&mut tickets);
    issue(&mut tickets);
    let event = TicketEvent::Issue {
        request: RequestId(3),
        holder: holder("school"),
        wall: WALL,
    };
    let third = tickets.handle(event, NOW);
    expect_that!(third, some(eq(&refuse(3, Reason::AccountConcurrency))));
}

#[gtest]
fn last_word_says_which_tickets_ran() {
    let mut tickets = Tickets::new(member(0));
    let numbers: Vec<_> = (0..4).map(|_| issue(&mut tickets)).collect();
    redeem(&mut tickets, &numbers[0], 2, NOW);
    redeem(&mut tickets, &numbers[1], 3, NOW);
    redeem(&mut tickets, &numbers[2], 4, NOW);
    end(&mut tickets, 2, RunOutcome::Ran(None));
    end(&mut tickets, 3, RunOutcome::Unknown);
    end(&mut tickets, 4, RunOutcome::NotRun);
    expect_that!(tickets.outcomes(), none());
    tickets.handle(TicketEvent::Stop, NOW);
    let after = redeem(&mut tickets, &numbers[3], 5, NOW);
    expect_that!(after, eq(&refuse(5, Reason::Stopping)));
    let record = ShutdownRecord::new(Incarnation(100), None, tickets.outcomes(), Millis::MAX);
    let read = ShutdownRecord::read(record.to_bytes()).unwrap();
    let outcomes: Vec<_> = numbers.iter().map(|t| read.ticket(t.number)).collect();
    let expected = [
        Outcome::Ran,
        Outcome::Unknown,
        Outcome::NotRun,
        Outcome::NotRun,
    ];
    expect_that!(outcomes, eq(&expected));
    expect_that!(read.ticket(99), eq(Outcome::Unknown));
}
