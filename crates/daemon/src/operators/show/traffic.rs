//! The table of control traffic: links and platform calls.

use std::collections::{BTreeMap, BTreeSet};

use medlarrill_core::operator::answer::Table;
use medlarrill_net::link::KindCount;
use medlarrill_net::platform::{Ending, Snapshot};

use crate::context::Context;

/// Endings of calls that were never sent.
const UNSENT: [Ending; 2] = [Ending::Budget, Ending::Down];

/// Messages and bytes on links by kind, calls and bytes to the platform by role.
pub fn control(context: &Context) -> Table {
    let columns = ["with", "kind", "sent", "bytes-sent", "heard", "bytes-heard"];
    let mut table = Table::new(&columns);
    let counts = context.peers.links().counts();
    links(&mut table, &counts.sent(), &counts.received());
    platform(&mut table, &context.platform.snapshot());
    table
}

fn links(
    table: &mut Table,
    sent: &BTreeMap<&'static str, KindCount>,
    received: &BTreeMap<&'static str, KindCount>,
) {
    let kinds: BTreeSet<_> = sent.keys().chain(received.keys()).collect();
    for kind in kinds {
        let sent = sent.get(kind).copied().unwrap_or_default();
        let received = received.get(kind).copied().unwrap_or_default();
        table.push([
            "daemons".into(),
            (*kind).into(),
            sent.messages.to_string(),
            sent.bytes.to_string(),
            received.messages.to_string(),
            received.bytes.to_string(),
        ]);
    }
}

fn platform(table: &mut Table, snapshot: &Snapshot) {
    for bytes in &snapshot.bytes {
        let calls = snapshot.calls.iter();
        let calls = calls.filter(|call| call.role == bytes.role && !UNSENT.contains(&call.ending));
        let (sent, received) = calls.fold((0, 0), |(sent, received), call| {
            let answered = !matches!(call.ending, Ending::Unreachable | Ending::Unknown);
            (
                sent + call.count,
                received + call.count * u64::from(answered),
            )
        });
        table.push([
            "platform".into(),
            bytes.role.to_string(),
            sent.to_string(),
            bytes.sent.to_string(),
            received.to_string(),
            bytes.received.to_string(),
        ]);
    }
}
