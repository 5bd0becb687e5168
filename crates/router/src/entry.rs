//! Takes callers' requests and brings them answers.

mod answer;
mod dispatch;
mod handler;
mod order;
mod relay;
mod server;
mod trace;

pub use server::{serve_callers, serve_metrics, serve_ready};
