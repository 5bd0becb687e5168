//! Lists of objects, read page by page.

use medlarrill_core::clock::Millis;
use medlarrill_core::routing::mirror::{Change, Object, Update};
use medlarrill_core::routing::revision::Revision;
use medlarrill_net::now::now;
use medlarrill_platform::store::{self as wire, Freshness};

use super::{ANSWER_TIMEOUT, StoreFollower};
use crate::store::client::{Answer, CallError, Result};

/// Maximum age of a partially read list that is continued after a failed call.
const PARTIAL_LIST_MAX_AGE: Millis = Millis(3000);

/// The pages of a list that were read so far.
pub(super) struct PartialList {
    objects: Vec<Object>,
    /// Lowest revision of the pages, which are all of one era.
    revision: Revision,
    /// When the first page was requested.
    called_at: Millis,
}

impl StoreFollower {
    /// Waits for changes after a revision. Reads a list, which comes in pages, if these can't be used:
    /// further calls would be answered with the same ones.
    pub(super) async fn watch_or_list(&mut self, reached: Revision) -> Result<()> {
        match self.watch(reached).await {
            Err(error) if error.is_unusable() => {
                log::warn!(
                    target: "store", kind:% = self.kind, cause:% = error;
                    "store: changes can't be used, listing again"
                );
                self.list().await
            }
            result => result,
        }
    }

    /// Reads a complete list, continuing one that was partially read before.
    pub(super) async fn list(&mut self) -> Result<()> {
        let eras = self.store.copies.eras();
        let is_current = |partial: &PartialList| {
            now().since(partial.called_at) < PARTIAL_LIST_MAX_AGE
                && !eras.is_past(partial.revision.era)
        };
        let mut partial = self.partial.take().filter(is_current);
        loop {
            let result = self.list_page(&mut partial).await;
            if !matches!(result, Ok(true)) {
                // The failed call may be retried; pages read before it are kept.
                self.partial = partial.filter(|_| result.is_err());
                return result.map(|_| ());
            }
        }
    }

    /// Reads one page of a list; returns whether more follow.
    async fn list_page(&mut self, partial: &mut Option<PartialList>) -> Result<bool> {
        let after = partial.as_ref().and_then(|partial| partial.objects.last());
        let after = after.map(|object| object.name.as_str());
        let path = wire::list_path(self.kind, after, self.freshness);
        let called_at = now();
        let Answer { body, era } = self.call(&path, ANSWER_TIMEOUT).await?;
        self.check_era(era)?;
        let page = wire::page(&body).map_err(CallError::Decode)?.in_era(era);
        let revision = Revision::new(era, page.revision);
        self.store
            .copies
            .report_all_unreadable(self.kind, &page.unreadable);
        self.log_behind(revision);
        if page.more && page.next_after(after).is_none() {
            return Err(CallError::Stuck);
        }
        if partial
            .as_ref()
            .is_some_and(|partial| partial.revision.era != era)
        {
            // The pages before are of the store as it was before its restoration.
            *partial = None;
            return Ok(true);
        }
        // Changes between two pages are received again with the changes since the first page.
        let list = partial.get_or_insert_with(|| PartialList {
            objects: Vec::new(),
            revision,
            called_at,
        });
        // Stale pages may come from several replicas of the store, of which some lag behind others.
        list.revision = list.revision.min(revision);
        list.objects.extend(page.objects);
        if !page.more
            && let Some(list) = partial.take()
        {
            self.apply_list(list);
        }
        Ok(page.more)
    }

    fn apply_list(&self, list: PartialList) {
        let update = Update {
            complete: true,
            changes: list.objects.into_iter().map(Change::Put).collect(),
            revision: list.revision,
        };
        self.store.copies.set_listed();
        let as_of = (self.freshness == Freshness::Latest).then_some(list.called_at);
        self.store.copies.apply(self.kind, update, as_of, now());
    }
}
