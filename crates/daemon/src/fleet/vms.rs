//! Polls the platform's list of VMs, which lags behind their real state.

use std::net::SocketAddr;

use medlarrill_core::clock::Millis;
use medlarrill_core::membership::ListedVm;
use medlarrill_net::platform::{Client, Role, VmKind, VmState};

use super::handle::{Handle, Message};

/// Interval between two reads.
const INTERVAL: Millis = Millis::from_secs(5);
/// Interval between two reads until the lagging list contains this daemon.
const INITIAL_INTERVAL: Millis = Millis(500);
/// Longest wait for an answer.
const TIMEOUT: Millis = Millis::from_secs(2);

/// Reads the list until the membership task ends.
pub async fn follow_vms(platform: Client, fleet: Handle, own: SocketAddr) {
    let mut interval = INITIAL_INTERVAL;
    loop {
        match platform.vms(Role::Vms, TIMEOUT).await {
            Ok(list) => {
                if list.vms.iter().any(|vm| vm.address == own) {
                    interval = INTERVAL;
                }
                let routers = list.vms.iter().filter(|vm| vm.kind == VmKind::Router);
                let listed = routers.map(|vm| ListedVm {
                    address: vm.address,
                    leaving: vm.state == VmState::Leaving,
                });
                if !fleet.send(Message::Listed(listed.collect())) {
                    return;
                }
            }
            Err(error) => log::info!(target: "fleet", "fleet: can't read the list of VMs: {error}"),
        }
        tokio::time::sleep(interval.as_duration()).await;
    }
}
