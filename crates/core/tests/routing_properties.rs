//! Datagrams between daemons and streams of events, for any input.

use bytes::Bytes;
use medlarrill_core::routing::events::Splitter;
use medlarrill_core::routing::exchange::{Entry, Message, Moved, Report, Sent};
use proptest::collection::vec;
use proptest::prelude::*;

fn report() -> impl Strategy<Value = Report> {
    let entry = (any::<u32>(), any::<u32>(), any::<u32>(), any::<u32>());
    let entry = entry.prop_map(|(endpoint, in_flight, good, bad)| Entry {
        endpoint,
        in_flight,
        good,
        bad,
    });
    let pair = || (any::<u32>(), any::<u32>());
    let sent = pair().prop_map(|(prefix, count)| Sent { prefix, count });
    let moved = pair().prop_map(|(prefix, endpoint)| Moved { prefix, endpoint });
    let parts = (
        vec(entry, 0..8),
        any::<bool>(),
        vec(sent, 0..8),
        vec(moved, 0..8),
    );
    parts.prop_map(|(entries, cut_off, sent, moved)| Report {
        entries,
        cut_off,
        sent,
        strength: 3,
        moved,
    })
}

proptest! {
    #[test]
    fn any_datagram_is_read_or_refused(bytes in vec(any::<u8>(), 0..512)) {
        if let Ok(Some(Message::Summary(summary))) = Message::decode(&bytes) {
            summary.heard();
            for peer in &summary.peers {
                peer.address();
                peer.age();
            }
        }
    }

    #[test]
    fn a_report_is_read_back(report in report()) {
        let sent = Message::Report(report.clone()).encode();
        let read = Message::decode(&sent).expect("a datagram");
        prop_assert_eq!(read, Some(Message::Report(report)));
    }

    #[test]
    fn a_stream_in_any_pieces_is_handed_on_byte_for_byte(
        lines in vec("(id: ?[0-9]{0,22}|data: [a-z]{0,9}|:|\r)?", 0..40),
        cuts in vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let text = lines.join("\n");
        let mut ends: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len() + 1)).collect();
        ends.push(text.len());
        ends.sort_unstable();
        let mut splitter = Splitter::new(None);
        let mut handed = Vec::new();
        let mut from = 0;
        for end in ends {
            let piece = Bytes::copy_from_slice(&text.as_bytes()[from..end]);
            handed.extend_from_slice(&splitter.push(&piece));
            from = end;
        }
        prop_assert!(text.as_bytes().starts_with(&handed));
        prop_assert_eq!(splitter.is_unfinished(), handed.len() < text.len());
    }

    #[test]
    fn any_bytes_of_a_stream_are_taken(pieces in vec(vec(any::<u8>(), 0..64), 0..16)) {
        let mut splitter = Splitter::new(None);
        let taken: usize = pieces.iter().map(Vec::len).sum();
        let handed = pieces.into_iter().map(|piece| splitter.push(&piece.into()).len());
        prop_assert!(handed.sum::<usize>() <= taken);
    }
}
