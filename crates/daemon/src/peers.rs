//! Sends messages to daemons by name; messages to this daemon stay inside it.

use std::sync::Arc;

use medlarrill_core::ids::DaemonId;
use medlarrill_core::wire::Body;
use medlarrill_net::link::{Event, Handler, Link, LinkError, Links, PeerId, Result};
use tokio::sync::watch;

use crate::fleet::FleetView;

/// Sends messages to every daemon of the fleet.
pub struct Peers {
    me: PeerId,
    local: Handler,
    links: Links,
    fleet: watch::Receiver<Arc<FleetView>>,
}

impl Peers {
    /// Sends over `links`, and to `local` for messages to this daemon itself.
    pub const fn new(
        me: PeerId,
        local: Handler,
        links: Links,
        fleet: watch::Receiver<Arc<FleetView>>,
    ) -> Self {
        Self {
            me,
            local,
            links,
            fleet,
        }
    }

    /// Links to other daemons.
    pub const fn links(&self) -> &Links {
        &self.links
    }

    /// Sends a message, waiting while the link's queue is full.
    ///
    /// # Errors
    ///
    /// When the daemon is unknown or unreachable; the message was not sent.
    pub async fn send(&self, to: &DaemonId, body: Body) -> Result<()> {
        if *to == self.me.daemon {
            (self.local)(Event::Message(self.me.clone(), Box::new(body)));
            return Ok(());
        }
        self.link(to).await?.send(body).await
    }

    /// Sends a message if the link is up and its queue isn't full; else drops it.
    ///
    /// # Errors
    ///
    /// As `send`, and when the link's queue is full.
    pub async fn try_send(&self, to: &DaemonId, body: Body) -> Result<()> {
        if *to == self.me.daemon {
            (self.local)(Event::Message(self.me.clone(), Box::new(body)));
            return Ok(());
        }
        self.link(to).await?.try_send(body)
    }

    async fn link(&self, to: &DaemonId) -> Result<Link> {
        let known = self.fleet.borrow().peers.get(to).map(|peer| peer.address);
        // A daemon that has connected and authenticated may not be in the view yet.
        let address = known.or_else(|| self.links.address_of(to));
        self.links.to(to, address.ok_or(LinkError::Closed)?).await
    }
}
