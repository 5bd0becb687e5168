//! Operators: `POST /v1/operator`, from the key to the answer.
//!
//! `handler` lets in who has an operator's key and reads the request, `run`
//! answers its statements, `change` makes changes through the platform, `wait`
//! waits until a generation is in force everywhere, `show` answers questions
//! from live state; `questions` are those to other daemons.

mod change;
mod handler;
mod state_queries;
mod run;
mod show;
mod wait;

pub use handler::Operators;
pub use state_queries::StateQueries;
