//! The entry: accepts callers' requests and returns the responses.
//!
//! `server` listens, `handlers` and `request` read a request into a `Job`,
//! `run` sends it to homes until one answers, `answer` turns the home's
//! frames into the caller's response. `attempt` is one attempt; `attempts` is
//! the table that maps incoming frames to attempts.

mod acceptor;
mod answer;
mod attempt;
mod attempts;
mod auth;
mod connections;
mod events;
mod flight;
mod handlers;
mod job;
mod keyed;
mod problem;
mod request;
mod run;
pub mod server;
mod states;
mod strays;
mod tracker;

pub use attempts::AttemptTable;
pub use auth::bearer;
pub use events::last_id;
pub use problem::Problem;
pub use states::{RequestStates, StateQueue};
pub use strays::{Queue as StrayQueue, StrayFrames};
pub use tracker::Tracker;
