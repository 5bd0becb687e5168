//! The entry: takes callers' requests and brings them their answers.
//!
//! `server` listens, `chat` and `service` read a request into a `Job`, `run`
//! tries it at homes until one answers, `answer` turns what comes back into
//! the caller's response. `attempt` is one try; `attempts` the table by which
//! frames find it.

mod answer;
mod attempt;
mod attempts;
mod auth;
mod connections;
mod events;
mod flight;
mod gate;
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
pub use states::{StateQueue, RequestStates};
pub use strays::{Queue as StrayQueue, StrayFrames};
pub use tracker::Tracker;
