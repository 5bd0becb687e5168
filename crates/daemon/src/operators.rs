//! The operators' API, `POST /v1/operator`.
//!
//! `handler` authenticates the operator and reads the request, `run` answers its
//! statements, `change` commits changes through the platform, `wait` waits until a
//! generation is in force everywhere, `show` answers `show` statements from live
//! state; `state_queries` queries other daemons for the state of their endpoints.

mod change;
mod handler;
mod run;
mod show;
mod state_queries;
mod wait;

pub use handler::Operators;
pub use state_queries::StateQueries;
