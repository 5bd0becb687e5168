//! Starts a platform, and a client with large budgets and short backoff.

use std::net::SocketAddr;

use medlarrill_core::clock::Millis;
use medlarrill_core::units::Rate;
use medlarrill_net::platform::{Backoff, Budget, Client, Role, Settings};
use medlarrill_testkit::http::Outage;
use medlarrill_testkit::platform::Faults;
use medlarrill_testkit::{ANY_PORT, Platform};

pub fn budget(rate: f64, burst: u32) -> Budget {
    Budget {
        rate: Rate(rate),
        burst,
    }
}

/// Settings with large budgets and short backoff, so that tests don't wait.
pub fn settings(address: SocketAddr) -> Settings {
    let backoff = Backoff {
        base: Millis(2),
        cap: Millis(20),
    };
    Role::ALL
        .into_iter()
        .fold(Settings::new(address, 7), |settings, role| {
            settings.with_budget(role, budget(1000.0, 1000))
        })
        .with_backoff(backoff)
}

pub async fn start() -> (Platform, Client) {
    let platform = Platform::start(ANY_PORT).await.unwrap();
    let client = Client::new(settings(platform.address()));
    (platform, client)
}

pub fn outage(outage: Outage) -> Faults {
    Faults {
        outage: Some(outage),
        ..Faults::default()
    }
}
