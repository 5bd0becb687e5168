//! What a copy takes from another daemon that is ahead of it.

use bytes::Bytes;
use googletest::prelude::*;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::mirror::{Change, Mirror, Object, Update};
use medlarrill_core::routing::revision::Revision;

fn list(objects: &[(&str, u64)], revision: u64) -> Update {
    let put = |(name, revision): &(&str, u64)| {
        Change::Put(Object {
            name: (*name).into(),
            revision: (*revision).into(),
            spec: Bytes::from_static(b"{}"),
        })
    };
    Update {
        complete: true,
        changes: objects.iter().map(put).collect(),
        revision: revision.into(),
    }
}

/// What the platform reports to a watch from a revision on.
fn watch(after: Revision) -> Update {
    let removed = Change::Removed {
        name: "gone".into(),
        revision: 15.into(),
    };
    Update {
        complete: false,
        changes: (after < 15.into()).then_some(removed).into_iter().collect(),
        revision: 20.into(),
    }
}

#[gtest]
fn a_removed_object_kept_since_the_position_of_a_source_ahead_was_taken_over() {
    let at = Millis(10);
    let mut copy = Mirror::persistent();
    copy.apply(list(&[("a", 3), ("gone", 4)], 10), Some(at), at);
    let told = list(&[("a", 3), ("new", 18)], 20);
    copy.apply(told.into_objects(), None, at);
    expect_that!(copy.get("new"), some(anything()));
    let missed = watch(copy.revision().expect("a revision"));
    copy.apply(missed, Some(at), at);
    expect_that!(copy.get("gone"), none());
    expect_that!(copy.revision(), some(eq(20.into())));
}
