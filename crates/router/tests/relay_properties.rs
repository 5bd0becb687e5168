//! Messages between copies: any bytes are read without a panic, and what was coded is read back.

use bytes::Bytes;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::mirror::{Change, Object, Update};
use medlarrill_core::routing::revision::{Era, Revision};
use medlarrill_platform::store::Kind;
use medlarrill_router::store::relay::message::{EncodedUpdate, Notification, Subscription};
use proptest::collection::vec;
use proptest::prelude::*;

fn revision() -> impl Strategy<Value = Revision> {
    let parts = (any::<u64>(), any::<u64>());
    parts.prop_map(|(era, number)| Revision::new(Era(era), number))
}

fn change() -> impl Strategy<Value = Change> {
    let put = ("[a-z0-9-]{0,12}", revision(), vec(any::<u8>(), 0..200));
    let put = put.prop_map(|(name, revision, spec)| {
        Change::Put(Object {
            name,
            revision,
            spec: spec.into(),
        })
    });
    let removed = ("[a-z0-9-]{0,12}", revision());
    let removed = removed.prop_map(|(name, revision)| Change::Removed { name, revision });
    prop_oneof![put, removed]
}

/// Puts before removals, as messages carry them.
fn in_order(changes: Vec<Change>) -> Vec<Change> {
    let is_put = |change: &Change| matches!(change, Change::Put(_));
    let (puts, removals): (Vec<Change>, Vec<Change>) = changes.into_iter().partition(is_put);
    puts.into_iter().chain(removals).collect()
}

#[test]
fn a_copy_that_is_old_is_not_relied_on_unless_the_platform_is_away() {
    let tell = |age, failing| Notification::new(Kind::Endpoints, None, Millis(age), failing);
    // The platform holds a call and pauses after it for 2.4 s together.
    assert!(tell(2400, None).is_fresh());
    assert!(!tell(3500, None).is_fresh());
    assert!(tell(60_000, Some(Millis(500))).is_fresh());
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused(bytes in vec(any::<u8>(), 0..512)) {
        Subscription::read(&bytes).ok();
        if let Ok(tell) = Notification::read(&bytes) {
            tell.into_update().ok();
        }
    }

    #[test]
    fn an_update_is_read_back_whole(
        changes in vec(change(), 0..20),
        whole: bool,
        revision in revision(),
        age in 0_u64..1 << 40,
    ) {
        let update = Update { complete: whole, changes, revision };
        let packed = EncodedUpdate::new(&update);
        let sent = Notification::new(Kind::Endpoints, Some(packed), Millis(age), None).encode();
        let tell = Notification::read(&sent).expect("a message");
        let (kind, read, told) = tell.into_update().expect("an update").expect("a kind");
        prop_assert_eq!(kind, Kind::Endpoints);
        prop_assert_eq!(told, Millis(age));
        let changes = in_order(update.changes);
        prop_assert_eq!(read, Update { changes, ..update });
    }

    #[test]
    fn a_message_that_was_cut_or_changed_is_read_or_refused(
        changes in vec(change(), 0..20),
        cut in any::<prop::sample::Index>(),
        at in any::<prop::sample::Index>(),
        byte: u8,
    ) {
        let update = Update { complete: true, changes, revision: 9.into() };
        let sent = Notification::new(Kind::Configuration, Some(EncodedUpdate::new(&update)), Millis(1), None);
        let mut sent = sent.encode().to_vec();
        let place = at.index(sent.len());
        sent[place] = byte;
        sent.truncate(cut.index(sent.len()) + 1);
        if let Ok(tell) = Notification::read(&Bytes::from(sent)) {
            tell.into_update().ok();
        }
    }
}
