//! Accepts connections of other daemons: those that follow copies of the platform's objects, and
//! those that ask for a connection to an endpoint.

use std::sync::Arc;

use futures_util::StreamExt;
use medlarrill_core::clock::Millis;
use tokio::net::TcpListener;

use crate::shared::Shared;
use crate::socket::{self, Link, framed};
use crate::store::{StoreContext, relay};
use crate::tunnel::{self, Opening};

/// Timeout for the first message.
const OPENING_TIMEOUT: Millis = Millis(2000);

/// Serves other daemons until the process ends.
pub async fn serve(listener: TcpListener, store: StoreContext, shared: Arc<Shared>) {
    loop {
        let stream = socket::accept(&listener).await;
        let (store, shared) = (store.clone(), Arc::clone(&shared));
        tokio::spawn(async move { serve_one(&store, &shared, framed(stream)).await });
    }
}

async fn serve_one(store: &StoreContext, shared: &Shared, mut link: Link) {
    let opening = tokio::time::timeout(OPENING_TIMEOUT.as_duration(), link.next()).await;
    let first = match opening {
        Ok(Some(Ok(first))) => first,
        Ok(Some(Err(error))) => {
            log::debug!(target: "links", "links: the first message can't be read: {error}");
            return;
        }
        // The other daemon left, or sends nothing.
        Ok(None) | Err(_) => return,
    };
    match Opening::read(&first) {
        Some(wanted) => tunnel::serve(shared, link, &wanted).await,
        None => relay::serve(store, link, &first).await,
    }
}
