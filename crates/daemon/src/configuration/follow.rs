//! Follows changes of the head on the platform, while this daemon is a watcher.

use medlarrill_core::change::HEAD_KEY;
use medlarrill_net::platform::{Client, Follow, Role};
use tokio_util::task::AbortOnDropHandle;

use super::handle::{Handle, Message};

/// Notifies the task of every change until dropped.
///
/// The first listing counts as a change, also after an interruption.
pub fn follow(platform: &Client, task: Handle) -> AbortOnDropHandle<()> {
    let mut follower = platform.follow(Follow::new(Role::Watch, HEAD_KEY));
    AbortOnDropHandle::new(tokio::spawn(async move {
        while follower.next().await.is_some() {
            if !task.send(Message::HeadChanged) {
                return;
            }
        }
    }))
}
