use bytes::Bytes;
use googletest::prelude::*;
use medlarrill_core::routing::events::EventSplitter;
use proptest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid:3\r\ndata: c\r\n\r\n";

#[gtest]
fn whole_events_are_handed_on_and_an_unfinished_one_is_held() {
    let mut splitter = EventSplitter::new(None);
    let complete = splitter.push(&Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda"));
    expect_that!(complete, eq(&Bytes::from_static(b"id: 1\ndata: a\n\n")));
    expect_that!(splitter.last_id(), some(eq(1)));
    expect_that!(splitter.has_partial(), eq(true));
    splitter.discard_partial();
    expect_that!(splitter.has_partial(), eq(false));
    let next = splitter.push(&Bytes::from_static(b"id: 2\ndata: b\n\n"));
    expect_that!(next, eq(&Bytes::from_static(b"id: 2\ndata: b\n\n")));
    expect_that!(splitter.last_id(), some(eq(2)));
}

#[gtest]
fn a_stream_that_goes_on_starts_from_the_callers_event() {
    expect_that!(EventSplitter::new(Some(12)).last_id(), some(eq(12)));
}

proptest! {
    #[test]
    fn any_cuts_give_the_same_bytes_and_the_last_id(cuts in prop::collection::vec(0..STREAM.len(), 0..8)) {
        let mut cuts = cuts;
        cuts.sort_unstable();
        cuts.push(STREAM.len());
        let mut splitter = EventSplitter::new(None);
        let mut got = Vec::new();
        let mut from = 0;
        for to in cuts {
            let complete = splitter.push(&Bytes::copy_from_slice(&STREAM[from..to]));
            prop_assert!(complete.is_empty() || complete.ends_with(b"\n"));
            got.extend_from_slice(&complete);
            from = to;
        }
        prop_assert_eq!(got.as_slice(), STREAM);
        prop_assert_eq!(splitter.last_id(), Some(3));
        prop_assert!(!splitter.has_partial());
    }
}
