//! HTTP server for callers: reads requests, routes them to endpoints, and relays the responses.

mod answer;
mod body;
mod crowd;
mod dispatch;
mod failed_attempt;
mod handler;
mod hedge;
mod idle;
mod relay;
mod request;
mod server;
mod take_up;
mod trace;
mod unwritten;

pub use crowd::Crowd;
pub use server::{serve_callers, serve_metrics, serve_ready};
