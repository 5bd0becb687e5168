//! What the operator writes.

use crate::json::{Json, number, object, text};
use crate::store::Store;

/// A route of one service.
pub struct Route {
    pub prefix: &'static str,
    pub service: &'static str,
    pub kind: &'static str,
    pub attempts: u64,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub gap_ms: u64,
    pub can_resume: bool,
}

/// The largest body that a client may send, as on the users' sites.
pub const MAX_BODY: u64 = 4_194_304;

pub fn configure(store: &Store, version: u64, routes: &[Route]) {
    let services: Vec<Json> = routes
        .iter()
        .map(|route| {
            object(vec![
                ("name", text(route.service)),
                ("health_path", text("/health")),
                ("max_connections", number(370)),
            ])
        })
        .collect();
    let routes = routes.iter().map(|route| {
        object(vec![
            ("name", text(format!("route-{}", route.service))),
            ("host", text("chats.example")),
            ("path_prefix", text(route.prefix)),
            ("service", text(route.service)),
            ("kind", text(route.kind)),
            ("attempts", number(route.attempts)),
            ("timeout_ms", number(route.timeout_ms)),
            ("target_latency_ms", number(route.target_ms)),
            ("gap_target_ms", number(route.gap_ms)),
            ("priority", number(0)),
            ("sticky", Json::Bool(route.kind == "streaming")),
            ("can_resume", Json::Bool(route.can_resume)),
            ("auth_exempt", Json::Bool(false)),
        ])
    });
    let limits = object(vec![
        ("max_header_bytes", number(16_384)),
        ("max_body_bytes", number(MAX_BODY)),
        ("header_timeout_ms", number(5_000)),
        ("idle_timeout_ms", number(15_000)),
    ]);
    let tenant = object(vec![
        ("name", text("tenant-a")),
        ("api_keys", Json::List(vec![text("key-of-tenant-a")])),
    ]);
    let spec = object(vec![
        ("version", number(version)),
        ("routes", Json::List(routes.collect())),
        ("services", Json::List(services)),
        ("limits", limits),
        ("tenants", Json::List(vec![tenant])),
    ]);
    store.put("config", "main", spec);
}
