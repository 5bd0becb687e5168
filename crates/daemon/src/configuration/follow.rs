//! Waits for changes of the platform's head, while this daemon watches.

use medlarrill_core::change::HEAD_KEY;
use medlarrill_net::platform::{Client, Follow, Role};
use tokio_util::task::AbortOnDropHandle;

use super::handle::{Handle, Message};

/// Tells the task of every change until dropped.
///
/// What is listed first, also after a gap, counts as a change.
pub fn follow(platform: &Client, task: Handle) -> AbortOnDropHandle<()> {
    let mut follower = platform.follow(Follow::new(Role::Watch, HEAD_KEY));
    AbortOnDropHandle::new(tokio::spawn(async move {
        while follower.next().await.is_some() {
            if !task.send(Message::Changed) {
                return;
            }
        }
    }))
}
