//! Reads the platform's lagging list of VMs, slowly.

use std::net::SocketAddr;

use medlarrill_core::clock::Millis;
use medlarrill_core::membership::ListedVm;
use medlarrill_net::platform::{Client, Role, VmKind, VmState};

use super::handle::{Handle, Message};

/// Time between two reads.
const EVERY: Millis = Millis::from_secs(5);
/// Time between two reads until the list, which lags, names this daemon.
const FIRST: Millis = Millis(500);
/// Longest wait for an answer.
const WAIT: Millis = Millis::from_secs(2);

/// Reads the list for as long as the daemon runs.
pub async fn follow_vms(platform: Client, fleet: Handle, own: SocketAddr) {
    let mut every = FIRST;
    loop {
        match platform.vms(Role::Vms, WAIT).await {
            Ok(list) => {
                if list.vms.iter().any(|vm| vm.address == own) {
                    every = EVERY;
                }
                let routers = list.vms.iter().filter(|vm| vm.kind == VmKind::Router);
                let listed = routers.map(|vm| ListedVm {
                    address: vm.address,
                    leaving: vm.state == VmState::Leaving,
                });
                if !fleet.tell(Message::Listed(listed.collect())) {
                    return;
                }
            }
            Err(error) => log::info!(target: "fleet", "fleet: no list of VMs: {error}"),
        }
        tokio::time::sleep(every.as_duration()).await;
    }
}
