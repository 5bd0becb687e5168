//! Daemons that reach the endpoints by paths of their own, which can be cut.

use std::time::Duration;

use medlarrill_platform_standin::{Call, Caller, View};
use medlarrill_testkit::proxy::{Entry, Harm, Proxy};

use super::setup::{Bench, POOL};

pub const PATHS: [&str; 4] = ["/plain/x", "/once/x", "/stream/x", "/stream-once/x"];
/// Time between two first tries at one daemon.
const PACE: Duration = Duration::from_millis(40);

/// What a cut does to connections to endpoints.
#[derive(Clone, Copy, PartialEq)]
pub enum Cut {
    /// Open ones fall silent, new ones get no answer.
    Hang,
    /// Open ones are reset, new ones are refused.
    Reset,
    /// Open ones live on, new ones are refused.
    NewOnly,
}

/// Daemons of which some have paths of their own to the endpoints.
pub struct Site {
    pub bench: Bench,
    /// The paths of each of the first daemons.
    pub paths: Vec<Vec<Proxy>>,
    _views: Vec<View>,
}

impl Site {
    /// The first `harmed` of the daemons have paths that can be cut.
    pub async fn start(endpoints: usize, harmed: usize, daemons: usize) -> Self {
        let mut bench = Bench::without_daemon(endpoints).await;
        let (mut paths, mut views) = (Vec::new(), Vec::new());
        for number in 0..daemons {
            let seeds: &[usize] = if number == 0 { &[] } else { &[0] };
            if number >= harmed {
                bench.add_daemon(seeds);
                continue;
            }
            let mut proxies = Vec::new();
            let mut seen = Vec::new();
            for endpoint in &bench.endpoints {
                let proxy = Proxy::start(endpoint.address()).await.expect("a proxy");
                seen.push((endpoint.address(), proxy.address));
                proxies.push(proxy);
            }
            let view = bench.store.view(seen).await.expect("a view");
            bench.add_daemon_behind(seeds, view.address());
            paths.push(proxies);
            views.push(view);
        }
        for daemon in 0..daemons {
            bench.ready(daemon, endpoints).await;
            if daemons > 1 {
                let live = format!("\"live\":{daemons}");
                bench.until(daemon, &live, 1).await;
            }
        }
        let site = Self {
            bench,
            paths,
            _views: views,
        };
        site.have_own_addresses().await;
        site
    }

    /// Waits until each daemon reaches the endpoints by its own paths: one that starts may have
    /// copied the list of another daemon, with the addresses of that one.
    async fn have_own_addresses(&self) {
        for endpoint in &self.bench.endpoints {
            let entry = endpoint.entry(POOL, "ready");
            self.bench.store.put("servers", endpoint.id(), entry);
        }
        for daemon in 0..self.bench.daemons.len() {
            for (number, endpoint) in self.bench.endpoints.iter().enumerate() {
                let own = self.paths.get(daemon).map(|paths| paths[number].address);
                let address = own.unwrap_or(endpoint.address());
                let listed = format!("\"address\":\"{address}\"");
                self.bench.until(daemon, &listed, 1).await;
            }
        }
    }

    pub fn cut(&self, daemon: usize, cut: Cut) {
        let (harm, entry) = match cut {
            Cut::Hang => (Harm::Silence, Entry::Hang),
            Cut::Reset => (Harm::Reset, Entry::Refuse),
            Cut::NewOnly => (Harm::None, Entry::Refuse),
        };
        for path in &self.paths[daemon] {
            path.harm(harm);
            path.admit(entry);
        }
    }

    pub fn heal(&self, daemon: usize) {
        for path in &self.paths[daemon] {
            path.harm(Harm::None);
            path.admit(Entry::Open);
        }
    }

    /// Sends first tries to a daemon, each on a connection of its own; returns those that failed.
    pub async fn first_tries(&self, daemon: usize, name: &str, count: usize) -> Vec<String> {
        let address = self.bench.daemons[daemon].callers();
        let mut calls = Vec::new();
        for number in 0..count {
            let path = PATHS[number % PATHS.len()];
            let call = Call::new(format!("{name}-{daemon}-{number}"), path);
            calls.push(tokio::spawn(async move {
                let reply = Caller::new(address).send(&call).await;
                (call, reply)
            }));
            tokio::time::sleep(PACE).await;
        }
        let mut failed = Vec::new();
        for call in calls {
            let (call, reply) = call.await.expect("a reply");
            if !reply.is_success() {
                failed.push(format!(
                    "{} {}: {:?}",
                    call.attempt, call.path, reply.status
                ));
            }
        }
        failed
    }
}
