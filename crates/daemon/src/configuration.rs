//! The configuration in force: where it comes from and the view of it.

mod poll;
mod view;

pub use poll::poll;
pub use view::{Client, ConfigView};
